"""Logs why a run is held for over that no worker has listed as ended."""

from enum import StrEnum

from bilberryhitch_telemetry import events, log

from .cluster_state import format_task
from .runs import Run
from .workers import Worker


class Proof(StrEnum):
    """What shows that a run is over or was never started.

    ``NOT_STARTED``: each attempt of its start was answered with a refusal.
    ``NOT_LISTED``: a list requested after its last answer lacks it. ``RESTARTED``: such
    a list is that of a later life of the worker. ``LAPSED``: its lease has expired.
    ``WORKER_ENDED``: the worker has ended.
    """

    NOT_STARTED = "not_started"
    NOT_LISTED = "not_listed"
    RESTARTED = "restarted"
    LAPSED = "lapsed"
    WORKER_ENDED = "worker_ended"


def log_release(
    worker: Worker,
    run: Run,
    proof: Proof,
    now: float,
    *,
    known_at: float | None = None,
) -> None:
    """Log a release with the ages in seconds of what the planner knows.

    :param known_at: monotonic time to which the proof dates back: that of the request
        for a list of runs, or that at which the worker is known to have ended
    """
    log(
        events.RUN_RELEASED,
        request_id=run.task.job,
        task=format_task(run.task),
        run=run.number,
        worker=run.worker,
        proof=str(proof),
        state=run.state.name.lower(),
        confirmed=run.confirmed,
        ordered_s=_age_s(run.ordered_at, now),
        sent_s=_age_s(run.sent_at, now),
        settled_s=_age_s(run.settled_at, now),
        known_s=_age_s(known_at, now),
        answered_s=_age_s(worker.answered_at, now),
        lease_left_s=round(worker.lease_until - now, 3),
        started_ms=worker.started_ms,
    )


def _age_s(time: float | None, now: float) -> float | None:
    return None if time is None else round(now - time, 3)
