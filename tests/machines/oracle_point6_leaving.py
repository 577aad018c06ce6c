"""Oracle for point 6, told what happened outside the processes under test."""

from typing import NamedTuple

GRACE_S = 3.0
NEVER = float("inf")


class Cause(NamedTuple):
    """Why a host is leaving.

    ``kind`` is ``drain`` (``id`` is the store revision), ``boot`` (called leaving
    by the host list, ``id`` is the boot) or ``run`` (a process's own word).
    """

    kind: str
    id: str


class Learning(NamedTuple):
    """A process learned from a source other than its peers."""

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
    """No process that is obliged to know offers a leaving host.

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

    # What happens to processes, paths and the store.

    def started(self, at, process, run):
        self._runs[process] = run
        self._up_since[process] = at
        self.end_runs(process)

    def paused(self, process):
        self._up_since[process] = NEVER

    def resumed(self, at, process):
        self._up_since[process] = at

    def path(self, at, one, other, open_):
        self._path_since[frozenset((one, other))] = at if open_ else NEVER

    def store(self, at, process, works):
        self._store_since[process] = at if works else NEVER

    # What is learned, and what ends it.

    def learned(self, at, process, host, cause):
        learning = Learning(at, process, self._runs[process], host, cause)
        if any(self._same(learning, known) for known in self._learnings):
            return
        self._learnings.append(learning)
        self._causes.add((host, cause))

    def undrained(self, host, revision):
        self._end(
            lambda h, cause: (
                h == host and cause.kind == "drain" and int(cause.id) < revision
            )
        )

    def booted(self, host, boot):
        self._end(lambda h, c: h == host and c.kind == "boot" and c.id != boot)

    def end_runs(self, host):
        run = self._runs[host]
        self._end(lambda h, c: h == host and c.kind == "run" and c.id != run)

    def leaving(self):
        """Return the hosts with a cause that holds."""
        return {host for host, _ in self._causes}

    def violations(self, at, process, offered):
        """Return what a process must not offer at this time, but does."""
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
            return up + GRACE_S  # told if it can be, else it hears no heartbeat
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
        near = self._data_centres[learner] == self._data_centres[process]
        if since > learning.at and not near:
            return NEVER  # heartbeats do not join every pair of data centres
        if not is_first and not near:
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

    def _end(self, ended):
        self._causes = {pair for pair in self._causes if not ended(*pair)}
        self._learnings = [
            learning
            for learning in self._learnings
            if not ended(learning.host, learning.cause)
        ]
