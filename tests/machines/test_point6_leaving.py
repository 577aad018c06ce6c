"""Point 6: a host that is leaving receives no new work after 3 s."""

import pytest
from bilberryhitch_membership import Membership
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from .harness import Counts, Point, run_point
from .mutants_point6_leaving import MUTANTS
from .oracle_point6_leaving import Cause, LeavingOracle
from .world_point6_leaving import ENTRIES, World

# Few hosts, so that faults coincide; ruwi1 and seeb3 exchange no heartbeats.
PROCESSES = st.sampled_from(["ruwi1", "ruwi2", "seeb3"])
HOSTS = st.sampled_from(["w1", "x1", "ruwi2"])
COUNTS = Counts()


class LeavingMachine(RuleBasedStateMachine):
    """Drains, leaves and restarts hosts among cut links, lags, outages and pauses."""

    membership_type = Membership

    def __init__(self):
        super().__init__()
        COUNTS.histories += 1
        self.world = World(self.membership_type)

    @rule(at=PROCESSES, host=HOSTS, leaving=st.booleans())
    def write_drain(self, at, host, leaving):
        self.step()
        self.world.write_drain(at, host, leaving)

    @rule(one=PROCESSES, other=PROCESSES, host=HOSTS)
    def drain_and_undrain_race(self, one, other, host):
        self.step()
        self.world.write_drain(one, host, True)
        self.world.write_drain(other, host, False)

    @rule(host=HOSTS, state=st.sampled_from(["leaving", "live"]))
    def list_state(self, host, state):
        self.step()
        self.world.set_listed(host, state)

    @rule(host=HOSTS)
    def reboot(self, host):
        self.step()
        self.world.reboot(host)

    @rule(process=PROCESSES)
    def restart(self, process):
        self.fault()
        self.world.restart(process)

    @rule(process=PROCESSES)
    def leave(self, process):
        self.step()
        self.world.leave(process)

    @rule(one=PROCESSES, other=PROCESSES, open_=st.booleans())
    def set_path(self, one, other, open_):
        self.fault()
        self.world.set_path(one, other, open_)

    @rule(process=PROCESSES, partner=PROCESSES)
    def leave_one_path(self, process, partner):
        self.fault()
        self.world.leave_one_path(process, partner)

    @rule(process=PROCESSES)
    def cut_from_peers(self, process):
        self.fault()
        for other in ENTRIES:
            self.world.set_path(process, other, False)

    @rule(process=PROCESSES, fault=st.sampled_from(["none", "down", "slow", "lost"]))
    def set_store(self, process, fault):
        self.fault()
        if fault == "lost":
            self.world.tables[process].lose_answers = 2
            return
        slow_s = 3.5 if fault == "slow" else 0.0
        self.world.set_store(process, down=fault == "down", slow_s=slow_s)

    @rule(
        process=PROCESSES,
        mode=st.sampled_from(["true", "lag", "flap", "omit", "live", "down"]),
        lag_s=st.sampled_from([2.0, 5.0, 20.0]),
        omitted=HOSTS,
    )
    def set_host_list(self, process, mode, lag_s, omitted):
        self.fault()
        host_list = self.world.lists[process]
        host_list.mode, host_list.lag_s, host_list.omitted = mode, lag_s, omitted

    @rule(delay_s=st.sampled_from([0.0, 0.1, 0.7]), duplicate=st.booleans())
    def set_link(self, delay_s, duplicate):
        self.fault()
        self.world.delay_s, self.world.duplicate = delay_s, duplicate

    @rule(process=PROCESSES, paused=st.booleans())
    def set_paused(self, process, paused):
        self.fault()
        (self.world.pause if paused else self.world.resume)(process)

    @rule(seconds=st.sampled_from([0.6, 1.5, 4.0]))
    def advance(self, seconds):
        self.step()
        self.world.advance(seconds)

    def teardown(self):
        try:
            self.world.settle()
        finally:
            self.world.close()

    def step(self):
        COUNTS.steps += 1

    def fault(self):
        COUNTS.steps += 1
        COUNTS.faults += 1


POINT = Point(6, LeavingMachine, COUNTS)


def test_point_holds():
    """Guards against new work for a host that has been leaving for over 3 s."""
    run_point(POINT, seed_number=1, histories=20)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_each_mechanism_is_needed(mutant):
    # Guards against a machine that can't detect a missing mechanism.
    history = MUTANTS[mutant]
    run_history(Membership, history)
    with pytest.raises(AssertionError):
        run_history(mutant, history)


def run_history(membership_type, history):
    class Machine(LeavingMachine):
        pass

    Machine.membership_type = membership_type
    machine = Machine()
    try:
        history(machine)
    finally:
        machine.world.close()


def make_leaving_oracle():
    oracle = LeavingOracle({"e1": "ruwi", "e2": "ruwi", "s1": "seeb"})
    for process in ("e1", "e2", "s1"):
        oracle.started(0.0, process, f"{process}-1")
    oracle.learned(10.0, "e1", "w1", Cause("drain", "5"))
    return oracle


def test_oracle_rejects_an_offer_after_three_seconds():
    oracle = make_leaving_oracle()
    for process in ("e1", "e2", "s1"):
        assert not oracle.violations(13.0, process, {"w1"})
        assert oracle.violations(13.1, process, {"w1"})
        assert not oracle.violations(13.1, process, {"x1"})


def test_oracle_counts_both_store_and_peers():
    oracle = make_leaving_oracle()
    oracle.store_changed(0.0, "e2", False)
    assert oracle.violations(14.0, "e2", {"w1"})
    oracle.path_changed(0.0, "e1", "e2", False)
    assert not oracle.violations(99.0, "e2", {"w1"})
    oracle.store_changed(20.0, "e2", True)
    assert not oracle.violations(23.0, "e2", {"w1"})
    assert oracle.violations(23.1, "e2", {"w1"})


def test_oracle_ends_a_drain_only_by_a_later_revision():
    oracle = make_leaving_oracle()
    oracle.drain_ended("w1", 4)
    oracle.booted("w1", "b2")
    assert oracle.violations(14.0, "e2", {"w1"})
    oracle.drain_ended("w1", 6)
    assert not oracle.violations(14.0, "e2", {"w1"})


def test_oracle_ends_a_boot_only_by_a_new_one():
    oracle = make_leaving_oracle()
    oracle.learned(10.0, "e1", "x1", Cause("boot", "b1"))
    oracle.drain_ended("x1", 9)
    oracle.booted("x1", "b1")
    assert oracle.violations(14.0, "e1", {"x1"})
    oracle.booted("x1", "b2")
    assert not oracle.violations(14.0, "e1", {"x1"})


def test_oracle_extends_the_deadline_after_a_pause_or_restart():
    oracle = make_leaving_oracle()
    oracle.paused("e2")
    assert not oracle.violations(99.0, "e2", {"w1"})
    oracle.resumed(20.0, "e2")
    assert oracle.violations(23.1, "e2", {"w1"})
    oracle.started(30.0, "e2", "e2-2")
    assert not oracle.violations(33.0, "e2", {"w1"})
    assert oracle.violations(33.1, "e2", {"w1"})


def test_oracle_rejects_an_offer_of_a_silent_process_that_left():
    oracle = make_leaving_oracle()
    oracle.learned(10.0, "s1", "s1", Cause("run", "s1-1"))
    oracle.path_changed(0.0, "s1", "e1", False)
    assert oracle.violations(13.1, "e1", {"s1"})
    oracle.started(14.0, "s1", "s1-2")
    assert not oracle.violations(18.0, "e1", {"s1"})
