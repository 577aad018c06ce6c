"""Work that is thrown away, by cause, for logs and metrics."""

from enum import StrEnum

from bilberryhitch_telemetry import events, log, metrics

from .reports import EndKind
from .runs import Run
from .units import core_equivalents

# A run that writes checkpoints loses about this much work at most.
CHECKPOINT_PERIOD_S = 1.0


class LossCause(StrEnum):
    """Why the work of a run is thrown away.

    ``EVICTED``: stopped for a guarantee. ``STALLED``: stopped without progress.
    ``CANCELLED``: the caller cancelled the job. ``JOB_FAILED``: another task of the job
    has failed for good. ``NOT_NEEDED``: another run has done the task, or no planner
    needs it. ``MEMBER_ENDED``: another member of its gang ended. ``UNCERTAIN_START``:
    its start got no certain answer. ``FAILED``: it failed by itself. ``WORKER_LOST``:
    its worker ended, or its lease expired.
    """

    EVICTED = "evicted"
    STALLED = "stalled"
    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    NOT_NEEDED = "not_needed"
    MEMBER_ENDED = "member_ended"
    UNCERTAIN_START = "uncertain_start"
    FAILED = "failed"
    WORKER_LOST = "worker_lost"


CAUSE_BY_END = {
    EndKind.FAILED: LossCause.FAILED,
    EndKind.LAPSED: LossCause.WORKER_LOST,
    EndKind.BROKEN: LossCause.MEMBER_ENDED,
    EndKind.ALONE: LossCause.MEMBER_ENDED,
    EndKind.STOPPED: LossCause.NOT_NEEDED,
}


def lost_core_seconds(run: Run, now: float) -> float:
    """Return the work that is lost if a run ends now, in core-seconds.

    The work of an adopted run counts from its adoption.

    :param now: monotonic time in seconds
    """
    if run.unit is None:
        return 0.0
    step = run.unit.step.step
    elapsed_s = max(0.0, now - run.ordered_at)
    if step.saves_progress:
        elapsed_s = min(elapsed_s, CHECKPOINT_PERIOD_S)
    return core_equivalents(step) * elapsed_s


def record_lost_work(run: Run, how: EndKind, now: float) -> None:
    """Log and count the work of a run that has ended without success.

    :param now: monotonic time in seconds
    """
    if how is EndKind.DONE or run.unit is None:
        return
    cause = run.stopped_for or CAUSE_BY_END[how]
    lost_core_s = lost_core_seconds(run, now)
    queue = run.unit.step.job.queue.name
    metrics.LOST_WORK.add(lost_core_s, {"cause": str(cause), "queue": queue})
    log(
        events.WORK_LOST,
        request_id=run.task.job,
        task=f"{run.task.job}.{run.task.occurrence}.{run.task.step}.{run.task.ordinal}",
        run=run.number,
        worker=run.worker,
        queue=queue,
        cause=str(cause),
        lost_core_s=round(lost_core_s, 1),
    )
