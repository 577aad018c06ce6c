"""Tells the failures of workers from those of jobs.

A faulty worker fails the runs of any job, and a job that cannot be done fails on any
worker; a single failure shows neither. Failures count against their workers until the
job has failed on several of them and on most of those that it runs on. They count again
once its runs do well elsewhere. See ``docs/design/blame.md``.
"""

from collections.abc import Mapping

from bilberryhitch_telemetry import events, log

from .runs import Run, RunState
from .units import TrackedJob
from .workers import Worker

# A long-running task that worked for this long on a worker shows that they get on. Its
# failure speaks against neither.
SERVED_S = 30.0


class Blame:
    """Decides for each job whether its failures count against the workers.

    :param workers: workers by identifier; their health is updated
    """

    def __init__(self, workers: Mapping[str, Worker]) -> None:
        self._workers = workers
        # Jobs that may be at fault, by name.
        self._suspected: dict[str, TrackedJob] = {}

    def record_success(self, worker: Worker, job: TrackedJob | None) -> None:
        """Record that a run has ended well.

        :param job: job of the run; None if it is not known
        """
        worker.health.record_success()
        if job is None:
            return
        self._suspected.pop(job.request.job, None)
        self._apply_verdict(job, 0)
        job.failures.clear()

    def record_failure(
        self, worker: Worker, run: Run, job: TrackedJob | None, now: float
    ) -> None:
        """Record a failed or stalled run.

        :param job: job of the run; None if it is not known
        """
        lasting = run.unit is not None and run.unit.step.step.long_running
        if lasting and now - run.ordered_at >= SERVED_S:
            return
        worker.health.record_failure(
            run.task.job,
            run.ordered_at,
            now,
            blamed_for=job.failures.blamed_for if job else 0,
        )
        if job is not None:
            job.failures.record(worker.entry.worker, now)
            if job.failures.on_several_workers(now):
                self._suspected[job.request.job] = job

    def review(self, now: float) -> None:
        """Judge the jobs that may be at fault."""
        for name, job in list(self._suspected.items()):
            if job.finished:
                # What it did wrong stays with it.
                del self._suspected[name]
                continue
            active = {
                run.worker
                for unit in job.units
                for run in unit.runs.values()
                if run.state is not RunState.STOPPING
            }
            self._apply_verdict(job, job.failures.count_if_at_fault(active, now))
            if not job.failures.on_several_workers(now):
                del self._suspected[name]

    def _apply_verdict(self, job: TrackedJob, blamed_for: int) -> None:
        """Let the failures of a job count against its workers, or not.

        :param blamed_for: see ``JobFailures``
        """
        failures = job.failures
        if failures.blamed_for == blamed_for:
            return
        if not failures.blamed_for or not blamed_for:
            log(
                events.JOB_JUDGED,
                request_id=job.request.job,
                at_fault=bool(blamed_for),
                workers=failures.workers,
            )
        failures.blamed_for = blamed_for
        for name in failures.workers:
            worker = self._workers.get(name)
            if worker is not None:
                worker.health.blame_job(job.request.job, blamed_for)
