"""Rules shared by the state machines for requests (points 3, 4 and 5)."""

from bilberryhitch_membership import owner
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from tests.machines.request_world import CENTRES, EXECUTORS, World

HOSTS = st.sampled_from(sorted(CENTRES))
OWNER = owner("x1", ["e1", "e2", "e3"])
HOST_PAIRS = st.sampled_from([("e1", "e2"), ("e2", "e3"), ("e1", "e3"), ("e1", "s1")])
EXECUTOR_FAULTS = st.sampled_from(
    ["refuse", "drop_before", "drop_after", "slow", "late", "crossed"]
    + ["truncated", "over_long", "duplicate"]
)
LINK_FAULTS = st.sampled_from(["duplicate", "delay", "lose_reply", "crossed"])
KEYS = st.sampled_from(["a", "b"])
# Shrinking prefers the first entry: 0 s keeps calls close together.
PAUSES_S = st.sampled_from([0.0, 0.01, 0.3, 1.0, 2.5, 5.0])


class RequestMachine(RuleBasedStateMachine):
    """Sends requests, with faults of executors, links, the store and entry hosts."""

    counts = None
    oracle = None

    def __init__(self):
        super().__init__()
        self.world = World()
        self.counts.histories += 1

    def step(self):
        self.counts.steps += 1

    def fault(self):
        self.step()
        self.counts.faults += 1

    @rule(host=HOSTS, route=st.sampled_from(["once", "twice"]), times=st.integers(1, 5))
    def submit(self, host, route, times):
        self.step()
        for _ in range(times):
            self.world.submit(host, route)

    @rule(host=HOSTS, route=st.sampled_from(["once", "once", "twice"]), key=KEYS)
    def submit_keyed(self, host, route, key):
        self.step()
        self.world.submit(host, route, f"{route}-{key}")

    @rule(seconds=PAUSES_S)
    def advance(self, seconds):
        self.step()
        self.world.advance(seconds)

    @rule(executor=st.sampled_from(EXECUTORS), kind=EXECUTOR_FAULTS)
    def break_executor(self, executor, kind):
        self.fault()
        self.world.executors[executor.name].faults.append(kind)

    @rule(kind=LINK_FAULTS)
    def break_link(self, kind):
        self.fault()
        self.world.link_faults.append(kind)

    @rule(pair=HOST_PAIRS, cut=st.booleans())
    def cut(self, pair, cut):
        self.fault()
        change = self.world.cuts.add if cut else self.world.cuts.discard
        change(frozenset(pair))

    @rule(host=HOSTS, kind=st.sampled_from(["down", "slow", "lose", "up"]))
    def store(self, host, kind):
        self.fault()
        tables = self.world.hosts[host].tables
        tables.down = kind == "down"
        tables.slow_s = 0.7 if kind == "slow" else 0.0
        tables.lose_answers = 2 if kind == "lose" else 0

    @rule(host=HOSTS)
    def kill_and_replace(self, host):
        self.fault()
        self.world.hosts[host].stop(for_good=True)
        self.world.start(host)

    @rule(
        kind=LINK_FAULTS,
        host=st.sampled_from(sorted({"e1", "e2", "e3"} - {OWNER})),
        then=st.sampled_from(["replace owner", "load owner", "wait"]),
    )
    def forward_over_broken_link(self, kind, host, then):
        """Forward a request over a faulty link; separate rules seldom combine so."""
        self.fault()
        self.world.link_faults.append(kind)
        self.world.submit(host, "once")
        self.world.advance(0.1)
        if then == "load owner":  # a delayed forward then exceeds its time-out
            self.world.advance(1.4)
            for _ in range(4):
                self.world.submit(OWNER, "once")
        if then == "replace owner":
            self.world.hosts[OWNER].stop(for_good=True)
            self.world.start(OWNER)

    @rule(host=HOSTS, seconds=st.sampled_from([0.2, 2.5]))
    def pause(self, host, seconds):
        self.fault()
        process = self.world.hosts[host]
        process.stop(for_good=False)
        self.world.advance(seconds)
        process.resume()

    @rule(host=HOSTS, other=HOSTS)
    def see_wrong_hosts(self, host, other):
        self.fault()
        if host != other:
            self.world.hosts[host].hidden ^= {other}

    @rule(host=HOSTS)
    def ask_status(self, host):
        self.step()
        for handle in list(self.world.handles)[-2:]:
            self.world.request_status(host, handle)

    def teardown(self):
        try:
            type(self).oracle(self.world.finish())
            most = max(each.most_running for each in self.world.executors.values())
            assert most <= 2, "an executor ran more requests than it has slots"
        finally:
            self.world.close()


def search_violation(machine, *, seed_number, histories):
    """Run a machine whose code under test lacks a mechanism, without shrinking.

    Shrinking takes minutes and the test needs only the ``AssertionError``.
    """
    seed(seed_number)(machine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=histories,
            stateful_step_count=50,
            deadline=None,
            database=None,
            print_blob=False,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
