"""Callers' answers while the store is well, silent, refusing or losing answers."""

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
    """Rows in memory whose next calls fail as listed."""

    def __init__(self, *failures):
        self.rows = {}
        self.failures = list(failures)
        self.calls = 0

    def _fail(self, *, done):
        self.calls += 1
        if not self.failures:
            return
        failure = self.failures.pop(0)
        if failure == "refused":
            raise StoreRefused("call", "503")
        if failure == "lost" or not done:
            raise StoreUnknown("call", failure)

    def put(self, table, key, value, partition=""):
        self.rows[table, partition, key] = StoreRow(table, key, value, 1)

    async def read(self, table, first="", last="", *, partition="", timeout_s):
        self._fail(done=False)
        rows = [
            row
            for (held, where, key), row in sorted(self.rows.items())
            if first <= key < last and (held, where) == (table, partition)
        ]
        return RowSnapshot(tuple(rows), 1)

    async def commit(self, expected, writes, removals=(), *, partition="", timeout_s):
        failing = self.failures[:1]
        if failing not in (["refused"], ["lost_undone"]):
            present = [
                (each.table, partition, each.key) in self.rows for each in expected
            ]
            if any(present):
                self._fail(done=True)
                raise CommitConflict(())
            for each in writes:
                self.put(each.table, each.key, each.value, partition)
        if failing == ["lost_undone"]:
            self.failures.pop(0)
            raise StoreUnknown("call", "lost")
        self._fail(done=True)
        return 1


def job_api(store, *, heard=0.0, config=True, public=False):
    return JobApi(
        JobOperations(store),
        lambda: configuration(public) if config else None,
        lambda: time.monotonic() - heard,
    )


def submit(store, **terms):
    async def run():
        api = job_api(store, **terms)
        call = api.admit("h", "/q/" + JOB, "k")
        if isinstance(call, JobReply):
            return call
        return await api.submit(call, CONTENT, time.monotonic() + 0.5)

    return asyncio.run(run())


def test_an_accepted_job_is_stored_whole():
    store = Store()
    assert submit(store).kind is ReplyKind.ACCEPTED
    stored = decode_request(JOB, store.rows["jobs", "0", JOB].value)
    assert (stored.account, stored.spec, stored.steps) == ("a", "spec", CONTENT.steps)


def test_the_same_identifier_is_one_job():
    store = Store()
    assert submit(store).kind is ReplyKind.ACCEPTED
    first = dict(store.rows)
    assert submit(store).kind is ReplyKind.ACCEPTED
    assert store.rows == first


def test_a_lost_answer_is_never_called_a_refusal():
    """Guards against REFUSED: the store had taken the job."""
    store = Store("lost", "refused", "refused")
    assert submit(store).kind in (ReplyKind.ACCEPTED, ReplyKind.UNKNOWN)
    assert ("jobs", "0", JOB) in store.rows


def test_a_slow_store_takes_jobs_of_all_parts_at_a_time():
    """Load: a burst while the store is fifty times as slow. With all jobs in one part
    they queued behind each other and behind the planner, and most were refused.
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

    async def scene():
        store = SlowStore()
        loop = asyncio.get_running_loop()
        acceptance = JobOperations(store, loop.time)
        requests = [
            JobRequest(f"{number:016x}", queue(), "a", "s", CONTENT.steps, 0.0)
            for number in range(48)
        ]
        verdicts = await asyncio.gather(
            *(acceptance.accept(request, loop.time() + 0.9) for request in requests)
        )
        assert set(verdicts) == {OperationResult.DONE}
        assert loop.time() < 4 * transaction_s

    run_virtual(scene())


def test_an_unanswered_try_is_repeated_until_it_is_certain():
    store = Store("lost_undone")
    assert submit(store).kind is ReplyKind.ACCEPTED
    assert store.calls >= 1


def test_a_certain_refusal_is_told_at_once_with_a_time_to_return():
    store = Store("refused")
    reply = submit(store)
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s == 1
    assert store.rows == {}
    assert store.calls == 1


def test_a_long_outage_refuses_without_a_call_and_asks_for_a_longer_pause():
    """Load: callers with four retries spent them all within an outage of 5 s."""
    store = Store()
    reply = submit(store, heard=5.0)
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s == 2
    assert store.calls == 0


@pytest.mark.parametrize(("heard", "ready"), [(0.0, True), (1.5, False), (60.0, False)])
def test_a_host_without_the_store_sends_new_callers_elsewhere(heard, ready):
    assert job_api(Store(), heard=heard).ready is ready


def test_a_host_without_a_configuration_refuses_and_is_not_ready():
    api = job_api(Store(), config=False)
    assert not api.ready
    assert api.admit("h", "/q/" + JOB, "k").kind is ReplyKind.NOT_RUN


def test_unknown_queues_and_keys_are_told_apart():
    api = job_api(Store())
    assert api.admit("h", "/other/", "k").kind is ReplyKind.NO_QUEUE
    assert api.admit("h", "/q/", "wrong").kind is ReplyKind.UNAUTHENTICATED
    assert api.admit("h", "/q/", None).kind is ReplyKind.UNAUTHENTICATED
    assert job_api(Store(), public=True).admit("h", "/q/", None).account == ""


def ask(store, key, method="state"):
    async def run():
        api = job_api(store)
        call = api.admit("h", "/q/" + JOB, key)
        return await getattr(api, method)(call, time.monotonic() + 0.5)

    return asyncio.run(run())


def test_a_job_is_shown_to_its_own_account_only():
    """A rival must not learn of another's job."""
    store = Store()
    submit(store)
    assert ask(store, "k").state is JobState.PENDING
    assert ask(store, "other").kind is ReplyKind.NO_JOB
    assert ask(store, "other", "cancel").kind is ReplyKind.NO_JOB


def test_a_cancelled_job_is_shown_so_unless_it_had_ended():
    store = Store()
    submit(store)
    assert ask(store, "k", "cancel").kind is ReplyKind.CANCELLED
    assert ask(store, "k").state is JobState.CANCELLED
    done = encode_progress(JobProgress(JobState.COMPLETED, "a", {}, 5.0))
    store.put("progress", JOB, done)
    assert ask(store, "k").state is JobState.COMPLETED
