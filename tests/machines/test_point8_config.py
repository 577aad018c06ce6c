"""Point 8: an accepted configuration is adopted within 8 s and never reverts."""

import pytest
from bilberryhitch_config import ConfigService, commits, rows, service
from bilberryhitch_config.adoption import apply_change
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import commit
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .harness import Counts, Point, run_point
from .oracle_point8_config import Oracle
from .world_point8_config import CENTRES, LATENCY_S, World

PROCESSES = st.sampled_from(sorted(CENTRES))
COUNTS = Counts()


class ConfigMachine(RuleBasedStateMachine):
    """Commits changes at several hosts among cut links, outages and restarts."""

    service_type = ConfigService

    def __init__(self):
        super().__init__()
        COUNTS.histories += 1
        self.world = None

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.world = World(self.service_type, seed)

    @rule(
        at=PROCESSES,
        kind=st.sampled_from(["rows", "rows", "one row", "delete", "invalid"]),
        base=st.sampled_from([None, None, None, 0, 1]),
    )
    def commit(self, at, kind, base):
        self.step()
        self.world.commit(at, self.world.change(kind), base)

    @rule(one=PROCESSES, other=PROCESSES)
    def race(self, one, other):
        self.step()
        self.world.commit(one, self.world.change("rows"), None)
        self.world.commit(other, self.world.change("one row"), None)

    @rule(name=PROCESSES, lost=st.sampled_from([1, 1, 2, 5]))
    def lose_answers(self, name, lost):
        self.fault()
        self.world.processes[name].tables.lose_answers = lost

    @rule(
        name=PROCESSES,
        down=st.booleans(),
        slow_s=st.sampled_from([LATENCY_S, 0.4, 2.0]),
    )
    def set_store(self, name, down, slow_s):
        self.fault()
        tables = self.world.processes[name].tables
        tables.down, tables.slow_s = down, slow_s

    @rule(name=PROCESSES, store_down=st.booleans())
    def kill_and_restart(self, name, store_down):
        self.fault()
        self.world.processes[name].tables.down = store_down
        self.world.restart(name)

    @rule(one=PROCESSES, other=PROCESSES, open_=st.booleans())
    def set_path(self, one, other, open_):
        self.fault()
        path = frozenset((one, other))
        (self.world.cut.discard if open_ else self.world.cut.add)(path)

    @rule(centre=st.sampled_from("ab"), cut_off=st.booleans())
    def set_data_centre(self, centre, cut_off):
        self.fault()
        for name, own in CENTRES.items():
            if own == centre:
                self.world.processes[name].tables.down = cut_off
                for other, theirs in CENTRES.items():
                    if theirs != centre:
                        self.set_path(name, other, not cut_off)

    @rule(name=PROCESSES)
    def cut_from_peers(self, name):
        self.fault()
        for other in CENTRES:
            self.world.cut.add(frozenset((name, other)))

    @rule(max_delay_s=st.sampled_from([0.0, 0.1, 0.7]), duplicate=st.booleans())
    def set_link(self, max_delay_s, duplicate):
        self.fault()
        self.world.max_delay_s, self.world.duplicate = max_delay_s, duplicate

    @rule(name=PROCESSES, paused=st.booleans())
    def set_paused(self, name, paused):
        self.fault()
        self.world.set_paused(name, paused)

    @rule(data=st.data(), sender=PROCESSES, receiver=PROCESSES)
    def offer_old_revision(self, data, sender, receiver):
        self.fault()
        if self.world.old_offers:
            last = len(self.world.old_offers) - 1
            index = data.draw(st.integers(0, last))
            self.world.send(sender, [receiver], self.world.old_offers[index])

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.5, 4.0, 9.0]))
    def advance(self, seconds):
        self.step()
        self.world.advance(seconds)

    def teardown(self):
        if self.world is None:
            return
        try:
            self.world.settle()
        finally:
            self.world.close()

    def step(self):
        COUNTS.steps += 1

    def fault(self):
        COUNTS.steps += 1
        COUNTS.faults += 1


POINT = Point(8, ConfigMachine, COUNTS)


def test_point_holds():
    """Guards against late, lost, partial or reverted configuration changes."""
    run_point(POINT, seed_number=1, histories=60)


# Each mutant removes one mechanism; the oracle must then reject a short history of
# the machine's rules that holds with the mechanism in place.


def no_revision_check(monkeypatch):
    async def write(tables, proposal):
        change = proposal.change
        writes = commits.change_writes(change)
        await commit(tables, [], writes, change.operation_id)
        return commits.Ok(change)

    monkeypatch.setattr(commits, "write", write)


def lower_revisions_adopted(monkeypatch):
    async def receive(self, offer, *, forward=True):
        offered = service.decode_offer(offer)
        self._view = service.make_read_only(offered.snapshot or self._view)

    monkeypatch.setattr(ConfigService, "receive", receive)


def no_poll(monkeypatch):
    async def poll_once(self):
        return None

    monkeypatch.setattr(ConfigService, "_poll_once", poll_once)


def no_revision_requests(monkeypatch):
    monkeypatch.setattr(ConfigService, "_ask", lambda self, host: None)


def unconfirmed_snapshot(monkeypatch):
    async def read_snapshot(tables):
        head = await rows.read_head(tables)
        routes = await rows._read_table(tables, rows.ROUTE_PREFIX, rows.Route)
        pools = await rows._read_table(tables, rows.POOL_PREFIX, rows.Pool)
        return rows.Tables(head.revision, routes, pools)

    monkeypatch.setattr(service, "read_snapshot", read_snapshot)


def lost_answer_taken_for_refusal(monkeypatch):
    async def commit_once(tables, expects, writes, operation_id):
        try:
            return await commit(tables, expects, writes, operation_id, max_attempts=1)
        except StoreAnswerLost:
            raise StoreUnavailable("transact") from None

    monkeypatch.setattr(commits, "commit", commit_once)


def gaps_ignored(monkeypatch):
    def apply_changes(tables, changes):
        for change in changes:
            if change.revision > tables.revision:
                tables = apply_change(tables, change.change, change.revision)
        return tables

    monkeypatch.setattr(service, "apply_changes", apply_changes)


def race_and_wait(machine):
    machine.race(one="a1", other="b1")
    machine.advance(0.25)


def old_offer(machine):
    for _ in range(2):
        machine.commit(at="a1", kind="rows", base=None)
        machine.advance(1.5)
    offers = machine.world.old_offers
    machine.world.send("a1", ["a2"], offers[0])
    machine.advance(0.25)


def commit_while_cut_off(machine):
    machine.cut_from_peers(name="a1")
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(9.0)


def restart_without_store(machine):
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(0.25)
    machine.kill_and_restart(name="a2", store_down=True)
    machine.advance(9.0)


def commit_during_snapshot(machine):
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(0.25)
    machine.cut_from_peers(name="b2")
    machine.set_store(name="b2", down=False, slow_s=0.4)
    machine.kill_and_restart(name="b2", store_down=False)
    machine.advance(1.0)
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(4.0)


def lost_answer(machine):
    machine.lose_answers(name="a1", lost=1)
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(0.5)


def offers_with_a_gap(machine):
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(0.25)
    machine.set_store(name="a2", down=True, slow_s=LATENCY_S)
    machine.set_path(one="a1", other="a2", open_=False)
    machine.set_path(one="b1", other="a2", open_=False)
    machine.set_path(one="b2", other="a2", open_=False)
    machine.commit(at="a1", kind="rows", base=None)
    machine.advance(0.25)
    machine.set_path(one="a1", other="a2", open_=True)
    machine.commit(at="a1", kind="one row", base=None)
    machine.advance(0.25)


MUTANTS = [
    (no_revision_check, race_and_wait),
    (lower_revisions_adopted, old_offer),
    (no_poll, commit_while_cut_off),
    (no_revision_requests, restart_without_store),
    (unconfirmed_snapshot, commit_during_snapshot),
    (lost_answer_taken_for_refusal, lost_answer),
    (gaps_ignored, offers_with_a_gap),
]


def run_history(history):
    machine = ConfigMachine()
    machine.begin(seed=0)
    try:
        history(machine)
    finally:
        machine.teardown()


@pytest.mark.parametrize(("remove", "history"), MUTANTS)
def test_removed_mechanism_fails_its_history(remove, history, monkeypatch):
    """Guards against a machine that can't detect a missing mechanism."""
    run_history(history)
    remove(monkeypatch)
    with pytest.raises(AssertionError):
        run_history(history)


def change(revision, operator="ada", **rows):
    empty = {"put_routes": [], "put_pools": [], "delete_routes": [], "delete_pools": []}
    return {"revision": revision, "operator": operator, **empty, **rows}


P1, P2 = ({"name": "p", "n": 1}, {"name": "p", "n": 2})
FIRST = change(1, "ada", put_pools=[P1])
SECOND = change(2, "bob", put_pools=[P2], put_routes=[{"name": "r"}])


def replaced_change(oracle):
    oracle.record_changes(1, [change(1, "eve")])


def revision_gap(oracle):
    oracle.record_changes(1, [FIRST, change(3)])


def refused_but_applied(oracle):
    oracle.record_answer("bob", "refused")
    oracle.check_answers()


def accepted_but_missing(oracle):
    oracle.record_answer("eve", "accepted", 3)
    oracle.check_answers()


def applied_twice(oracle):
    oracle.record_changes(1, [FIRST, SECOND, change(3, "bob")])
    oracle.check_answers()


def reverted_view(oracle):
    oracle.check_view("a1", 1, 2, {"r": {"name": "r"}}, {"p": P2})
    oracle.check_view("a1", 1, 1, {}, {"p": P1})


def partial_view(oracle):
    oracle.check_view("a1", 1, 2, {}, {"p": P2})


def unaccepted_revision(oracle):
    oracle.check_view("a1", 1, 3, {}, {"p": P2})


def revision_late(oracle):
    for now_s in (0.0, 8.5):
        oracle.check_delays(now_s, {"a1": (1, 1, True, True, [])})


def late_beside_updated_peer(oracle):
    for now_s in (0.0, 8.5):
        peer = (1, 2, True, False, [])
        oracle.check_delays(now_s, {"a1": (1, 1, True, False, ["b1"]), "b1": peer})


BROKEN = [
    replaced_change,
    revision_gap,
    refused_but_applied,
    accepted_but_missing,
    applied_twice,
    reverted_view,
    partial_view,
    unaccepted_revision,
    revision_late,
    late_beside_updated_peer,
]


@pytest.mark.parametrize("history", BROKEN)
def test_oracle_rejects(history):
    oracle = Oracle()
    oracle.record_changes(0.0, [FIRST, SECOND])
    oracle.check_answers()
    with pytest.raises(AssertionError):
        history(oracle)


def test_oracle_accepts_a_cut_off_process_that_lags():
    oracle = Oracle()
    oracle.record_changes(0.0, [FIRST, SECOND])
    for now_s in (0.0, 100.0):
        oracle.check_delays(now_s, {"a1": (1, 0, True, False, [])})
    oracle.check_view("a1", 2, 1, {}, {"p": P1})
