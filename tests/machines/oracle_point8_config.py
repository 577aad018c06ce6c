"""Oracle for point 8; raises ``AssertionError``.

It shares no code with the code under test: rows and changes are plain mappings.
"""

LIMIT_S = 8.0


def replay(changes):
    """Return the state ``(routes, pools)`` after each prefix of the changes."""
    routes, pools = {}, {}
    states = [({}, {})]
    for change in changes:
        routes, pools = dict(routes), dict(pools)
        for name in change["delete_routes"]:
            del routes[name]
        for name in change["delete_pools"]:
            del pools[name]
        routes.update((row["name"], row) for row in change["put_routes"])
        pools.update((row["name"], row) for row in change["put_pools"])
        states.append((routes, pools))
    return states


class Oracle:
    """Checks the stored changes, the answers to operators and the adopted views."""

    def __init__(self):
        self.changes = []
        self.accepted_at = []
        self.states = replay([])
        self.answers = {}
        self.shown_revisions = {}
        self.reachable_since = {}

    def record_changes(self, now_s, changes):
        """Record the change rows of the store, in key order."""
        revisions = [change["revision"] for change in changes]
        assert revisions == list(range(1, len(changes) + 1)), (
            "revisions are not consecutive"
        )
        assert changes[: len(self.changes)] == self.changes, "a change was replaced"
        if len(changes) > len(self.changes):
            self.accepted_at += [now_s] * (len(changes) - len(self.changes))
            self.changes = list(changes)
            self.states = replay(changes)

    def record_answer(self, operator, status, revision=0):
        """Record an answer: ``accepted``, ``refused`` or ``unknown``.

        :param operator: a name used for this commit only
        """
        self.answers[operator] = (status, revision)

    def check_answers(self):
        found = {change["operator"]: change["revision"] for change in self.changes}
        assert len(found) == len(self.changes), "a commit was applied twice"
        for operator, (status, revision) in self.answers.items():
            if status == "accepted":
                assert found.get(operator) == revision, "an accepted commit is missing"
            if status == "refused":
                assert operator not in found, "a refused commit changed something"

    def check_view(self, process, incarnation, revision, routes, pools):
        """Check a configuration that a process shows."""
        key = (process, incarnation)
        assert revision >= self.shown_revisions.get(key, 0), "a view reverted"
        self.shown_revisions[key] = revision
        assert revision < len(self.states), "a view shows an unaccepted change"
        assert (routes, pools) == self.states[revision], "a view is not a prefix"

    def check_delays(self, now_s, processes):
        """Check that no process is late to adopt a revision that it can reach.

        :param processes: by name: ``(incarnation, revision, running, store, peers)``
            where ``store`` is whether it can read the store and ``peers`` are the
            names of the processes that it is connected to
        """
        for name, (incarnation, revision, running, store, peers) in processes.items():
            for expected in range(revision + 1, len(self.changes) + 1):
                available = store or any(
                    processes[peer][2] and processes[peer][1] >= expected
                    for peer in peers
                )
                key = (name, incarnation, expected)
                if not (running and available):
                    self.reachable_since.pop(key, None)
                    continue
                since_s = self.reachable_since.setdefault(key, now_s)
                since_s = max(since_s, self.accepted_at[expected - 1])
                assert now_s - since_s <= LIMIT_S, "a revision is late"
