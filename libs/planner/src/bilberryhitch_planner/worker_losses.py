"""Releases the runs of workers that have ended, restarted or become unreachable.

A worker that starts again under its identifier knows nothing of its former life. A list
of runs shows what the life that made it runs, of the orders that had been answered
before the list was requested.
"""

from collections.abc import Container

from bilberryhitch_jobs import JobState, TaskName
from bilberryhitch_telemetry import events, log

from .cluster_state import ClusterState, format_task
from .crashes import (
    InheritedPlacements,
    LostTask,
    count_crash,
    is_proof,
    lost_task,
)
from .lost_work import LossCause
from .release_log import Proof, log_release
from .reports import EndKind
from .runs import RunState
from .units import TrackedJob
from .workers import Worker


class WorkerLosses:
    """Runs that were lost with their workers, and the crashes counted for their tasks.

    :param state: jobs, workers and runs; updated
    """

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self._inherited = InheritedPlacements()

    def inherit_placements(self, job: TrackedJob, unix_s: float) -> None:
        """Remember where an earlier planner had placed the runs of a job."""
        for worker in self._inherited.add(job, self._state.workers):
            lost = [task for task, _ in self._inherited.take(worker)]
            self._count_crash(worker, lost, unix_s, certain=True)

    def settle_inherited(self, worker: Worker, started_ms: int, unix_s: float) -> None:
        """Settle the inherited placements on a worker that lists its runs.

        :param started_ms: Unix time of the worker's start in ms
        """
        name = worker.entry.worker
        lost = [
            task
            for task, placement in self._inherited.take(name)
            if placement.started_ms not in (0, started_ms)
        ]
        self._count_crash(name, lost, unix_s, certain=True)

    def release_ended_worker(
        self,
        worker: Worker,
        known_at: float,
        now: float,
        unix_s: float,
        *,
        announced: bool,
    ) -> None:
        """Release all runs of a worker that has certainly ended.

        :param known_at: monotonic time at which it had ended
        :param announced: it was expected to end, so this was no crash
        """
        lapsed = bool(worker.lapsed)
        lost = self._take_lost_tasks(worker)
        if not announced:
            proof = not lapsed and is_proof(worker, lost)
            self._count_crash(
                worker.entry.worker, lost, unix_s, certain=True, proof=proof
            )
        self._release_all(worker, Proof.WORKER_ENDED, now, unix_s, known_at=known_at)

    def apply_restart(
        self,
        worker: Worker,
        started_ms: int,
        own: Container[tuple[TaskName, int]],
        sent_at: float,
        now: float,
        unix_s: float,
        *,
        announced: bool,
    ) -> None:
        """Release the runs that ended with the former life of a restarted worker.

        A run whose last order was answered after the request for the new life's list
        may be in either life. A later list settles it.

        :param started_ms: Unix time of the start of the new life in ms
        :param own: runs that the new life lists, active or ended
        :param sent_at: monotonic time at which the request for that list was sent
        :param announced: the former life was expected to end, so this was no crash
        """
        lapsed = bool(worker.lapsed)
        missing = {key: run for key, run in worker.runs.items() if key not in own}
        for run in missing.values():
            # Only the life that answered a stop rejects a start that arrives later.
            if run.confirmed and run.certain:
                continue
            if run.state is RunState.STOPPING:
                self._state.repeat_stop(run)
            elif run.confirmed:
                self._state.order_stop(run, LossCause.WORKER_LOST)
        ended = [run for run in missing.values() if run.settled_before(sent_at)]
        log(
            events.WORKER_RESTARTED,
            worker=worker.entry.worker,
            former_ms=worker.started_ms,
            started_ms=started_ms,
            requested_s=round(now - sent_at, 3),
            released=len(ended),
            kept=len(worker.runs) - len(ended),
        )
        doubtful = {
            key: lost_task(worker, run, run.unit)
            for key, run in missing.items()
            if run.unit is not None and run not in ended
        }
        lost, worker.lapsed = worker.lapsed, []
        lost += [lost_task(worker, run, run.unit) for run in ended if run.unit]
        lost += [task for task, _ in self._inherited.take(worker.entry.worker)]
        worker.doubtful = {}
        if not announced:
            proof = not lapsed and is_proof(worker, [*lost, *doubtful.values()])
            worker.doubtful = {key: (task, proof) for key, task in doubtful.items()}
            self._count_crash(
                worker.entry.worker, lost, unix_s, certain=True, proof=proof
            )
        worker.last_end_sequence = 0
        worker.health.record_crash(now)
        for run in ended:
            log_release(worker, run, Proof.RESTARTED, now, known_at=sent_at)
            self._state.release_run(worker, run, EndKind.LAPSED, "", now, unix_s)

    def release_missing_runs(
        self,
        worker: Worker,
        listed: Container[tuple[TaskName, int]],
        sent_at: float,
        now: float,
        unix_s: float,
    ) -> None:
        """Release the runs that have ended, as the worker does not list them.

        :param listed: active runs on the worker
        :param sent_at: monotonic time at which the request for the list was sent
        """
        ended = [
            (key, run)
            for key, run in worker.runs.items()
            if key not in listed and run.settled_before(sent_at)
        ]
        for key, run in ended:
            if key in worker.doubtful:
                task, proof = worker.doubtful[key]
                self._count_crash(
                    worker.entry.worker, [task], unix_s, certain=True, proof=proof
                )
            log_release(worker, run, Proof.NOT_LISTED, now, known_at=sent_at)
            self._state.release_run(worker, run, EndKind.LAPSED, "", now, unix_s)
        worker.doubtful = {
            key: doubt
            for key, doubt in worker.doubtful.items()
            if key in worker.runs and key not in listed
        }

    def release_lapsed_worker(
        self, worker: Worker, now: float, unix_s: float, *, announced: bool
    ) -> None:
        """Release all runs of a worker whose lease has expired.

        Whether it has crashed shows when it answers again. One that is not registered
        any more may never do that.

        :param announced: it was expected to end
        """
        lost = self._take_lost_tasks(worker)
        if worker.registered:
            worker.lapsed = lost
        elif not announced:
            self._count_crash(worker.entry.worker, lost, unix_s, certain=False)
        self._release_all(worker, Proof.LAPSED, now, unix_s)

    def _take_lost_tasks(self, worker: Worker) -> list[LostTask]:
        """Return the tasks that may have had a run on a worker that has none now."""
        lost, worker.lapsed = worker.lapsed, []
        worker.doubtful = {}
        lost += [
            lost_task(worker, run, run.unit)
            for run in worker.runs.values()
            if run.unit is not None
        ]
        lost += [task for task, _ in self._inherited.take(worker.entry.worker)]
        return lost

    def _release_all(
        self,
        worker: Worker,
        proof: Proof,
        now: float,
        unix_s: float,
        *,
        known_at: float | None = None,
    ) -> None:
        for run in list(worker.runs.values()):
            log_release(worker, run, proof, now, known_at=known_at)
            self._state.release_run(worker, run, EndKind.LAPSED, "", now, unix_s)

    def _count_crash(
        self,
        worker: str,
        lost: list[LostTask],
        unix_s: float,
        *,
        certain: bool,
        proof: bool = False,
    ) -> None:
        """Count the crash of a worker; give up the jobs whose tasks cause crashes."""
        if not lost:
            return
        count_crash(lost, certain=certain, proof=proof)
        log(
            events.WORKER_CRASHED,
            worker=worker,
            certain=certain,
            proof=proof,
            tasks=[format_task(each.unit.task(each.task_index)) for each in lost],
        )
        for each in lost:
            job = each.unit.step.job
            self._state.dirty.add(job.request.job)
            if each.unit.crashes_workers and not each.unit.done and not job.finished:
                log(
                    events.TASK_GIVEN_UP,
                    request_id=job.request.job,
                    task=format_task(each.unit.task(each.task_index)),
                    **each.unit.crashes[each.task_index]._asdict(),
                )
                self._state.finish_job(job, JobState.FAILED, unix_s)
