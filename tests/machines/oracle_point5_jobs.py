"""Oracle for jobs, points 4 and 5: at most one run, and truthful answers."""

from collections import Counter, defaultdict
from typing import NamedTuple


class JobFacts(NamedTuple):
    """The stored state of a job.

    :param once: whether the job is non-idempotent
    :param accelerators: accelerators of the whole gang
    """

    caller: str
    key: str
    once: bool
    accelerators: int
    status: str | None
    detail: str


def check_jobs(jobs, events, not_run, answers):
    """Raise AssertionError for a second run, a duplicate job or a false answer.

    :param jobs: stored state by job id
    :param events: worker events, ordered by time
    :param not_run: callers whose every answer was ``NotRun``
    :param answers: status and detail returned by cancellations, by job id
    """
    by_job = defaultdict(list)
    for event in events:
        by_job[event.attempt_id.partition("/")[0]].append(event)
    keys = Counter(job.key for job in jobs.values() if job.key)
    assert all(count == 1 for count in keys.values()), f"two jobs for a key: {keys}"
    for job_id, job in jobs.items():
        history = by_job[job_id]
        starts = [event for event in history if event.kind == "start"]
        if job.once:
            _check_once(job_id, history)
        answer = answers.get(job_id, (job.status, job.detail))
        assert answer == (job.status, job.detail), f"{job_id} changed after {answer}"
        if job.caller in not_run or _never_ran(job):
            assert not starts, f"{job_id} was reported as never run, but it started"
        if job.status == "completed":
            _check_completed(job_id, job, history)


def _never_ran(job):
    cancelled = job.status == "cancelled" and "before any task started" in job.detail
    return job.status == "not_run" or cancelled


def _check_once(job_id, history):
    attempts = defaultdict(list)
    for event in history:
        attempts[event.attempt_id].append(event)
    ran = []
    for attempt_id, events in attempts.items():
        starts = [event for event in events if event.kind == "start"]
        hosts = Counter(event.host for event in starts)
        assert all(count == 1 for count in hosts.values()), f"{attempt_id}: {hosts}"
        if starts:
            ran.append((attempt_id, starts, events))
    for (earlier, starts, events), (later, restarts, _) in zip(
        ran, ran[1:], strict=False
    ):
        confirmed_checkpoints = {
            event.host: event.saved for event in events if event.kind == "checkpoint"
        }
        saved = restarts[0].saved
        resumed = saved and all(event.saved == saved for event in restarts)
        all_confirmed = all(
            confirmed_checkpoints.get(event.host) == saved for event in starts
        )
        assert resumed and all_confirmed, f"{job_id} ran as {earlier} and as {later}"


def _check_completed(job_id, job, history):
    finished = Counter()
    for event in history:
        if event.kind == "finish":
            finished[event.attempt_id] += event.accelerators
    assert job.accelerators in finished.values(), f"{job_id} completed only in part"
