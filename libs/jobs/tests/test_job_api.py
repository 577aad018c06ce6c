"""Replies of the job API if the store works, is silent, refuses or loses responses."""

import asyncio
import time
from collections import defaultdict

import pytest
from bilberryhitch_jobs import (
    Account,
    Configuration,
    JobApi,
    JobOperations,
    JobProgress,
    JobReply,
    JobRequest,
    JobState,
    JobSubmission,
    Limits,
    Queue,
    ReplyKind,
    Resources,
    RowSnapshot,
    Step,
    decode_request,
    encode_progress,
)
from bilberryhitch_jobs.errors import CommitConflict, StoreRefused, StoreUnknown
from bilberryhitch_jobs.job_operations import OperationResult
from bilberryhitch_jobs.rows import StoreRow
from bilberryhitch_model.errors import BadInput
from bilberryhitch_testing import run_virtual

JOB = "0" * 16
CONTENT = JobSubmission("spec", (Step(1, Resources(1), 1.0),), None)


def queue(public=False):
    return Queue("q", "h", "/q/", "pool", 3.0, 0, 2, 2.0, 1.0, public, None)


def configuration(public=False):
    accounts = {"a": Account("a", frozenset({"k"}), 0)}
    return Configuration(
        1, (queue(public),), {}, accounts, {"k": "a", "other": "b"}, Limits()
    )


class Store:
    """In-memory store whose next calls fail as listed.

    ``refused``: the call has no effect. ``lost``: a commit takes effect and its
    response is lost. ``lost_undone``: a commit has no effect and its response is lost.
    """

    def __init__(self, *failures):
        self.rows = {}
        self.failures = list(failures)
        self.calls = 0

    def _fail(self, *, took_effect):
        self.calls += 1
        if not self.failures:
            return
        failure = self.failures.pop(0)
        if failure == "refused":
            raise StoreRefused("call", "503")
        if failure == "lost" or not took_effect:
            raise StoreUnknown("call", failure)

    def put(self, table, key, value, partition=""):
        self.rows[table, partition, key] = StoreRow(table, key, value, 1)

    async def read(self, table, first="", last="", *, partition="", timeout_s):
        self._fail(took_effect=False)
        rows = [
            row
            for (row_table, row_partition, key), row in sorted(self.rows.items())
            if first <= key < last and (row_table, row_partition) == (table, partition)
        ]
        return RowSnapshot(tuple(rows), 1)

    async def commit(self, expected, writes, removals=(), *, partition="", timeout_s):
        next_failure = self.failures[:1]
        if next_failure not in (["refused"], ["lost_undone"]):
            present = [
                (each.table, partition, each.key) in self.rows for each in expected
            ]
            if any(present):
                self._fail(took_effect=True)
                raise CommitConflict(())
            for each in writes:
                self.put(each.table, each.key, each.value, partition)
        if next_failure == ["lost_undone"]:
            self.failures.pop(0)
            raise StoreUnknown("call", "lost")
        self._fail(took_effect=True)
        return 1


def job_api(store, *, silent_s=0.0, configured=True, public=False):
    return JobApi(
        JobOperations(store),
        lambda: configuration(public) if configured else None,
        lambda: time.monotonic() - silent_s,
    )


def submit(store, timeout_s=3.0, **options):
    async def run():
        api = job_api(store, **options)
        call = api.admit("h", "/q/" + JOB, "k")
        if isinstance(call, JobReply):
            return call
        return await api.submit(call, CONTENT, time.monotonic() + timeout_s)

    return asyncio.run(run())


def test_submit_stores_the_whole_job():
    store = Store()
    assert submit(store).kind is ReplyKind.ACCEPTED
    stored = decode_request(JOB, store.rows["jobs", "0", JOB].value)
    assert (stored.account, stored.spec, stored.steps) == (
        "a",
        "spec",
        CONTENT.steps,
    )


def test_a_job_larger_than_a_row_is_invalid():
    """Guards against a caller that is told to come back with a job that no host can
    ever store.
    """
    content = CONTENT._replace(spec="x" * 70_000)

    async def run():
        api = job_api(Store())
        call = api.admit("h", "/q/" + JOB, "k")
        return await api.submit(call, content, time.monotonic() + 0.5)

    with pytest.raises(BadInput, match="stored"):
        asyncio.run(run())


def test_the_same_identifier_is_one_job():
    store = Store()
    assert submit(store).kind is ReplyKind.ACCEPTED
    first = dict(store.rows)
    assert submit(store).kind is ReplyKind.ACCEPTED
    assert store.rows == first


def test_a_refusal_after_a_lost_response_is_not_reported_as_not_run():
    """Guards against NOT_RUN for a stored job: its commit took effect, the response was
    lost and the retries were refused.
    """
    store = Store("lost", "refused", "refused")
    assert submit(store).kind in (ReplyKind.ACCEPTED, ReplyKind.UNKNOWN)
    assert ("jobs", "0", JOB) in store.rows


def test_a_slow_store_commits_to_all_partitions_concurrently():
    """Guards against refusals under a burst while the store is fifty times as slow.
    With all jobs in one partition they queued behind each other and the planner, and
    most were refused.
    """
    transaction_s = 0.16

    class SlowStore(Store):
        def __init__(self):
            super().__init__()
            self.locks = defaultdict(asyncio.Lock)

        async def commit(
            self, expected, writes, removals=(), *, partition="", timeout_s
        ):
            async with self.locks[partition]:
                await asyncio.sleep(transaction_s)
            return await super().commit(
                expected, writes, removals, partition=partition, timeout_s=timeout_s
            )

    async def run():
        store = SlowStore()
        loop = asyncio.get_running_loop()
        operations = JobOperations(store, loop.time)
        requests = [
            JobRequest(f"{number:016x}", queue(), "a", "s", CONTENT.steps, 0.0)
            for number in range(48)
        ]
        results = await asyncio.gather(
            *(operations.accept(request, loop.time() + 0.9) for request in requests)
        )
        assert set(results) == {OperationResult.DONE}
        assert loop.time() < 4 * transaction_s

    run_virtual(run())


def test_an_attempt_without_response_is_retried():
    store = Store("lost_undone")
    assert submit(store).kind is ReplyKind.ACCEPTED
    # The store does not count the attempt without effect.
    assert store.calls >= 1


def test_a_refusal_is_reported_without_retries_and_with_a_retry_delay():
    store = Store("refused")
    reply = submit(store)
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s == 1
    assert store.rows == {}
    assert store.calls == 1


@pytest.mark.parametrize(("timeout_s", "delay_s"), [(3.0, 1), (12.5, 4), (0.5, 0)])
def test_a_long_outage_refuses_without_a_store_call_and_spreads_the_attempts(
    timeout_s, delay_s
):
    """Guards against callers with four retries using all of them up in a 5 s outage,
    and against callers that are told to return after they have stopped waiting.
    """
    store = Store()
    reply = submit(store, silent_s=5.0, timeout_s=timeout_s)
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s == delay_s
    assert store.calls == 0


def submit_before_the_end_of_an_outage(*, remaining_s, ends_after_s):
    """Submit a job to a host whose store is away for some time more.

    :param remaining_s: time that the caller has left
    """

    async def run():
        loop = asyncio.get_running_loop()
        store = Store()
        back_at = loop.time() + ends_after_s
        api = JobApi(
            JobOperations(store, loop.time),
            lambda: configuration(False),
            lambda: loop.time() - (5.0 if loop.time() < back_at else 0.0),
        )
        call = api.admit("h", "/q/" + JOB, "k")
        started_at = loop.time()
        reply = await api.submit(call, CONTENT, loop.time() + remaining_s)
        return reply, loop.time() - started_at, store

    return run_virtual(run())


@pytest.fixture
def loop_time(monkeypatch):
    """Let the API read the clock of the event loop."""
    monkeypatch.setattr(time, "monotonic", lambda: asyncio.get_running_loop().time())


def test_a_caller_that_cannot_come_back_is_served_when_the_store_is_back(loop_time):
    """Guards against callers refused with half a second left, just before the store
    answers again: no time to return can be told to them.
    """
    reply, took_s, store = submit_before_the_end_of_an_outage(
        remaining_s=1.0, ends_after_s=0.5
    )
    assert reply.kind is ReplyKind.ACCEPTED
    assert took_s < 0.7
    assert ("jobs", "0", JOB) in store.rows


def test_a_caller_that_cannot_come_back_is_refused_before_its_time_is_over(loop_time):
    reply, took_s, store = submit_before_the_end_of_an_outage(
        remaining_s=1.0, ends_after_s=9.0
    )
    assert reply.kind is ReplyKind.NOT_RUN
    assert 0.7 <= took_s < 1.0
    assert store.calls == 0


def test_a_caller_that_can_come_back_is_refused_at_once(loop_time):
    """Guards against callers that are held although they could come back in time."""
    reply, took_s, _ = submit_before_the_end_of_an_outage(
        remaining_s=2.9, ends_after_s=0.5
    )
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s == 1
    assert took_s < 0.1


@pytest.mark.parametrize(
    ("silent_s", "ready"), [(0.0, True), (1.5, False), (60.0, False)]
)
def test_a_host_without_store_responses_is_not_ready(silent_s, ready):
    assert job_api(Store(), silent_s=silent_s).ready is ready


def test_a_host_without_a_configuration_refuses_and_is_not_ready():
    api = job_api(Store(), configured=False)
    assert not api.ready
    assert api.admit("h", "/q/" + JOB, "k").kind is ReplyKind.NOT_RUN


def test_unknown_queues_and_invalid_keys_get_different_replies():
    api = job_api(Store())
    assert api.admit("h", "/other/", "k").kind is ReplyKind.NO_QUEUE
    assert api.admit("h", "/q/", "wrong").kind is ReplyKind.UNAUTHENTICATED
    assert api.admit("h", "/q/", None).kind is ReplyKind.UNAUTHENTICATED
    assert job_api(Store(), public=True).admit("h", "/q/", None).account == ""


def call_api(store, key, method="get_state"):
    async def run():
        api = job_api(store)
        call = api.admit("h", "/q/" + JOB, key)
        return await getattr(api, method)(call, time.monotonic() + 0.5)

    return asyncio.run(run())


def test_a_job_is_shown_to_its_own_account_only():
    """Guards against one client account reading or cancelling a job of another."""
    store = Store()
    submit(store)
    assert call_api(store, "k").state is JobState.PENDING
    assert call_api(store, "other").kind is ReplyKind.NO_JOB
    assert call_api(store, "other", "cancel").kind is ReplyKind.NO_JOB


def test_cancelling_changes_the_state_of_unfinished_jobs_only():
    store = Store()
    submit(store)
    assert call_api(store, "k", "cancel").kind is ReplyKind.CANCELLED
    assert call_api(store, "k").state is JobState.CANCELLED
    done = encode_progress(JobProgress(JobState.COMPLETED, "a", {}, 5.0))
    store.put("progress", JOB, done)
    assert call_api(store, "k").state is JobState.COMPLETED
