"""Point 6: a host that is leaving receives no new work after 3 s."""

from bilberryhitch_membership import Membership
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from .harness import Counts, Point, run_point
from .world_point6_leaving import ENTRIES, TARGETS, World

PROCESSES = st.sampled_from(sorted(ENTRIES))
HOSTS = st.sampled_from(sorted(TARGETS))
COUNTS = Counts()


class LeavingMachine(RuleBasedStateMachine):
    """Drains, leaves and restarts among cuts, lags, outages and pauses."""

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

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.5, 4.0]))
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
    run_point(POINT, seed_number=1, histories=20)
