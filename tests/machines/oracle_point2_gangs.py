"""Oracle for point 2: no gang runs partially for longer than the bound."""

from collections import defaultdict

# One lease term plus one request time-out (design page, section 6.2).
BOUND_S = 11.0
ROUNDING_S = 0.001


def check_gangs(events, accelerators, now):
    """Raise AssertionError for a gang that ran partially for too long.

    :param events: worker events, ordered by time
    :param accelerators: accelerators of the whole gang, by job id
    :param now: time at which the history ends, in seconds
    """
    attempts = defaultdict(list)
    for event in events:
        attempts[event.attempt_id].append(event)
    for attempt_id, history in attempts.items():
        job_id = attempt_id.partition("/")[0]
        if job_id in accelerators:
            _check_attempt(attempt_id, history, accelerators[job_id], now)


def _check_attempt(attempt_id, history, required, now):
    running, finished = {}, {}
    partial_since = None
    for event in history:
        if event.kind == "start":
            running[event.host] = event.accelerators
        elif event.kind == "finish":
            finished[event.host] = running.pop(event.host)
        elif event.kind in ("fail", "stop", "lapse", "lost"):
            running.pop(event.host, None)
        total = sum(running.values()) + sum(finished.values())
        partial = bool(running) and total < required
        if partial and partial_since is None:
            partial_since = event.at
        elif not partial and partial_since is not None:
            _check_duration(attempt_id, partial_since, event.at)
            partial_since = None
    if partial_since is not None:
        _check_duration(attempt_id, partial_since, now)


def _check_duration(attempt_id, since, until):
    assert until - since <= BOUND_S + ROUNDING_S, (
        f"{attempt_id} ran partially from {since:.3f} to {until:.3f} s"
    )
