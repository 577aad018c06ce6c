"""Oracle for point 6; its inputs come from outside the processes under test."""

from typing import NamedTuple

GRACE_S = 3.0
NEVER = float("inf")


class Cause(NamedTuple):
    """Why a host is leaving.

    ``kind`` is ``drain`` (``id`` is the store revision), ``boot`` (listed as leaving,
    ``id`` is the boot) or ``run`` (announced by the process, ``id`` is its run).
    """

    kind: str
    id: str


class Learning(NamedTuple):
    """A process learned that a host is leaving, not from its peers."""

    at: float
    process: str
    run: str
    host: str
    cause: Cause


class Violation(NamedTuple):
    process: str
    host: str
    learning: Learning
    deadline: float


class LeavingOracle:
    """Checks that no process that could know of it offers a leaving host.

    :param data_centres: data centre of each process
    """

    def __init__(self, data_centres):
        self._data_centres = data_centres
        self._runs = {}
        self._up_since = {}
        self._path_since = {}
        self._store_since = {}
        self._learnings = []
        self._causes = set()

    # Changes of processes, paths and the store.

    def started(self, at, process, run):
        self._runs[process] = run
        self._up_since[process] = at
        self.end_runs(process)

    def paused(self, process):
        self._up_since[process] = NEVER

    def resumed(self, at, process):
        self._up_since[process] = at

    def path_changed(self, at, one, other, open_):
        self._path_since[frozenset((one, other))] = at if open_ else NEVER

    def store_changed(self, at, process, works):
        self._store_since[process] = at if works else NEVER

    # Causes of leaving, and their end.

    def learned(self, at, process, host, cause):
        learning = Learning(at, process, self._runs[process], host, cause)
        if any(self._same(learning, known) for known in self._learnings):
            return
        self._learnings.append(learning)
        self._causes.add((host, cause))

    def drain_ended(self, host, revision):
        self._remove_ended(
            lambda h, cause: (
                h == host and cause.kind == "drain" and int(cause.id) < revision
            )
        )

    def booted(self, host, boot):
        self._remove_ended(lambda h, c: h == host and c.kind == "boot" and c.id != boot)

    def end_runs(self, host):
        run = self._runs[host]
        self._remove_ended(lambda h, c: h == host and c.kind == "run" and c.id != run)

    def leaving(self):
        """Return the hosts that have a cause to leave."""
        return {host for host, _ in self._causes}

    def violations(self, at, process, offered):
        """Return a violation for each host that the process must no longer offer."""
        found = []
        first = {}
        for learning in self._learnings:
            first.setdefault((learning.host, learning.cause), learning)
            if learning.host not in offered:
                continue
            is_first = first[learning.host, learning.cause] is learning
            deadline = self._deadline(learning, process, is_first)
            if at > deadline:
                found.append(Violation(process, learning.host, learning, deadline))
        return found

    def _deadline(self, learning, process, is_first):
        """Return when the process must have stopped offering the host."""
        up = max(learning.at, self._up_since[process])
        if process == learning.process and self._runs[process] == learning.run:
            return up + GRACE_S
        if learning.cause.kind == "run":
            return up + GRACE_S  # by a notice, or because heartbeats stop
        return (
            min(
                self._by_peer(learning, process, is_first),
                self._by_store(learning, process),
            )
            + GRACE_S
        )

    def _by_peer(self, learning, process, is_first):
        learner = learning.process
        if self._runs[learner] != learning.run or process == learner:
            return NEVER
        path = self._path_since.get(frozenset((learner, process)), 0.0)
        since = max(path, self._up_since[learner])
        same_data_centre = self._data_centres[learner] == self._data_centres[process]
        if since > learning.at and not same_data_centre:
            return NEVER  # not every pair of remote hosts exchanges heartbeats
        if not is_first and not same_data_centre:
            return NEVER
        return max(learning.at, since, self._up_since[process])

    def _by_store(self, learning, process):
        since = max(self._store_since.get(process, 0.0), self._up_since[process])
        if learning.cause.kind == "boot":
            if self._runs[learning.process] != learning.run:
                return NEVER
            learner = learning.process
            since = max(
                since, self._store_since.get(learner, 0.0), self._up_since[learner]
            )
        return max(learning.at, since)

    def _same(self, one, other):
        return one[1:] == other[1:]

    def _remove_ended(self, ended):
        self._causes = {pair for pair in self._causes if not ended(*pair)}
        self._learnings = [
            learning
            for learning in self._learnings
            if not ended(learning.host, learning.cause)
        ]
