"""Callers during an outage of the store: who is kept waiting and who is refused.

Pattern: calls arrive evenly while the store falls silent for a few seconds, or turns
one host away while it serves the others.
"""

import asyncio

import pytest
from bilberryhitch_jobs import (
    JobOperations,
    JobRequest,
    Queue,
    RelayingStore,
    Resources,
    Step,
    StoreHealth,
    probe_while_silent,
)
from bilberryhitch_jobs.errors import CommitConflict, StoreRefused, StoreUnknown
from bilberryhitch_jobs.job_operations import OperationResult
from bilberryhitch_jobs.store_health import PROBE_PERIOD_S, SILENCE_S
from bilberryhitch_testing import run_virtual

QUEUE = Queue("q", "h", "/q/", "pool", 3.0, 0, 2, 1.5, 0.25, False, None)
CALLER_TIMEOUT_S = 2.9
ARRIVAL_PERIOD_S = 0.1


def loop_time():
    return asyncio.get_running_loop().time()


def job_request(number):
    steps = (Step(1, Resources(1, 1, 1), 2.0),)
    return JobRequest(f"{number:016x}", QUEUE, "a", "s", steps, 0.0)


class FaultyStore:
    """A store client with the health check of the real one.

    :ivar silent_until: time until which calls get no answer
    :ivar refusing: calls are refused
    """

    def __init__(self, rows=None, *, fail_fast=True):
        self.rows = {} if rows is None else rows
        self.health = StoreHealth(loop_time)
        self.silent_until = 0.0
        self.refusing = False
        self.sent = 0
        self._fail_fast = fail_fast

    async def commit(self, expected, writes, removals=(), *, partition="", timeout_s):
        await self._send(timeout_s)
        if writes[0].key in self.rows:
            raise CommitConflict(())
        self.rows[writes[0].key] = writes[0].value
        return 1

    async def probe(self):
        await self._send(0.4, even_if_silent=True)

    async def _send(self, timeout_s, *, even_if_silent=False):
        checked = self._fail_fast and not even_if_silent
        if checked and not await self.health.wait_until_answering(0.25):
            raise StoreRefused("call", "silent")
        self.sent += 1
        number = self.health.begin_call()
        silent = loop_time() < self.silent_until
        await asyncio.sleep(timeout_s if silent else 0.01)
        self.health.end_call(number, answered=not silent)
        if silent:
            raise StoreUnknown("call", "timeout")
        if self.refusing:
            raise StoreRefused("call", "503")


async def submit_all(store, count):
    """Submit jobs at even intervals; return each outcome and how long it took."""
    operations = JobOperations(store, now=loop_time)

    async def submit(number):
        started_at = loop_time()
        deadline = started_at + CALLER_TIMEOUT_S
        result = await operations.accept(job_request(number), deadline)
        return result, loop_time() - started_at

    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(ARRIVAL_PERIOD_S)
    return await asyncio.gather(*tasks)


def test_few_callers_are_kept_waiting_by_a_silent_store():
    """Guards against callers that are held until their deadline although the host could
    know that the store does not answer, and who could come back in time.
    """

    async def run_scenario():
        store = FaultyStore()
        probes = asyncio.create_task(probe_while_silent(store.health, store.probe))
        store.silent_until = 4.0
        outcomes = await submit_all(store, 60)
        probes.cancel()
        during = outcomes[:38]
        unknown = [each for each in during if each[0] is OperationResult.UNKNOWN]
        refused = [each for each in during if each[0] is OperationResult.REFUSED]
        # Only calls that were sent before the silence could be noticed.
        assert len(unknown) <= SILENCE_S / ARRIVAL_PERIOD_S + 1
        assert refused
        assert all(took < 0.3 for _, took in refused)
        # No caller was told that its job was not stored although it was.
        assert not {job_request(i).job for i, (r, _) in enumerate(outcomes)
                    if r is OperationResult.REFUSED} & store.rows.keys()  # fmt: skip
        after = outcomes[int((4.0 + PROBE_PERIOD_S + 0.5) / ARRIVAL_PERIOD_S) :]
        assert {result for result, _ in after} == {OperationResult.DONE}

    run_virtual(run_scenario())


def test_a_slow_store_is_not_taken_for_a_silent_one():
    async def run_scenario():
        health = StoreHealth(loop_time)
        for _ in range(20):
            number = health.begin_call()
            await asyncio.sleep(0.3)
            assert not health.silent
            health.end_call(number, answered=True)

    run_virtual(run_scenario())


def test_a_call_that_waits_for_changes_is_not_overdue_while_it_waits():
    async def run_scenario():
        health = StoreHealth(loop_time)
        number = health.begin_call(wait_s=1.0)
        await asyncio.sleep(1.4)
        assert not health.silent
        await asyncio.sleep(0.2)
        assert health.silent
        health.end_call(number, answered=True)
        assert not health.silent

    run_virtual(run_scenario())


def test_one_lost_answer_among_others_is_no_silence():
    """Guards against refusals because a single connection was lost."""

    async def run_scenario():
        health = StoreHealth(loop_time)
        lost = health.begin_call()
        for _ in range(10):
            number = health.begin_call()
            await asyncio.sleep(0.1)
            health.note_response()
            health.end_call(number, answered=True)
        health.end_call(lost, answered=False)
        assert not health.silent

    run_virtual(run_scenario())


def relaying(direct, *relays):
    async def get_relays():
        return relays

    return RelayingStore(direct, get_relays)


def test_callers_of_a_host_that_the_store_turns_away_are_served_through_another():
    """Guards against refusals by one host while the store serves the others."""

    async def run_scenario():
        direct = FaultyStore()
        direct.refusing = True
        relay = FaultyStore(direct.rows, fail_fast=False)
        outcomes = await submit_all(relaying(direct, relay), 30)
        assert {result for result, _ in outcomes} == {OperationResult.DONE}
        assert len(relay.rows) == 30

    run_virtual(run_scenario())


def test_a_job_is_stored_once_if_the_direct_answer_was_lost():
    """Guards against a job stored twice, or refused although it is stored."""

    async def run_scenario():
        direct = FaultyStore()
        direct.silent_until = 60.0
        relay = FaultyStore(direct.rows, fail_fast=False)
        # The direct call takes effect without an answer.
        direct.rows[job_request(0).job] = b"stored"
        outcomes = await submit_all(relaying(direct, relay), 1)
        assert outcomes[0][0] is OperationResult.DONE
        assert direct.rows == {job_request(0).job: b"stored"}

    run_virtual(run_scenario())


def test_an_unknown_outcome_at_a_relay_is_not_a_refusal():
    async def run_scenario():
        direct, relay = FaultyStore(), FaultyStore(fail_fast=False)
        direct.refusing = True
        relay.silent_until = 60.0
        outcomes = await submit_all(relaying(direct, relay), 1)
        assert outcomes[0][0] is OperationResult.UNKNOWN

    run_virtual(run_scenario())


def test_a_refusal_by_every_host_is_passed_on_at_once():
    async def run_scenario():
        stores = [FaultyStore(), FaultyStore(fail_fast=False), FaultyStore()]
        for store in stores:
            store.refusing = True
        with pytest.raises(StoreRefused):
            await relaying(*stores).commit((), (object(),), timeout_s=0.5)
        outcomes = await submit_all(relaying(*stores), 3)
        assert {result for result, _ in outcomes} == {OperationResult.REFUSED}
        assert all(took < 0.1 for _, took in outcomes)

    run_virtual(run_scenario())


def test_a_response_that_still_arrives_does_not_keep_a_caller_beyond_its_deadline():
    """Guards against callers who hang on a slow transfer, which has no time limit."""

    class SlowStore:
        async def read(self, table, first="", last="", *, partition="", timeout_s):
            await asyncio.sleep(3600)

    async def ask():
        operations = JobOperations(SlowStore(), now=loop_time)
        deadline = loop_time() + CALLER_TIMEOUT_S
        result, state = await operations.get_state("j", "a", deadline)
        assert (result, state) == (OperationResult.REFUSED, None)
        assert loop_time() <= deadline + 0.1

    run_virtual(ask())
