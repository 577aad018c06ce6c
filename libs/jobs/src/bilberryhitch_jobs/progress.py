"""Durable progress of a job, and the encoding of its rows."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from .configuration import Queue
from .errors import RowUnreadable
from .records import JobRequest, JobState, Schedule, Step
from .row_values import UNREADABLE_ERRORS

# Index of the unit that stands for a whole gang.
GANG_INDEX = -1
# Far more tasks than a job is accepted with.
MAX_STORED_TASKS = 100_000
# A larger row is stored without the placements of its runs: the store takes 64 KB.
MAX_BYTES_WITH_PLACEMENTS = 60_000


class CrashCount(NamedTuple):
    """Crashes of workers that a run of one task was on.

    :param total: all of them, whatever their cause
    :param early: those shortly after the run had begun
    :param alone: those early ones on a sound worker that ran nothing else
    """

    total: int = 0
    early: int = 0
    alone: int = 0


class Placement(NamedTuple):
    """Where a run that may exist was ordered.

    :param worker: identifier of the worker
    :param started_ms: Unix time of the worker's start in ms, which changes when it
        starts again under its identifier; 0 if unknown
    """

    worker: str
    started_ms: int = 0


class UnitProgress(NamedTuple):
    """Progress of a scheduling unit: a gang or a single task.

    :param done: a run has completed successfully
    :param last_run: highest run number used so far
    :param failed_runs: numbers of the failed runs, without duplicates
    :param checkpoint: last checkpoint; empty for none
    :param crashes: crash counts by index of the task; tasks without one are left out
    :param placements: placements of the latest run by index of the task
    """

    done: bool = False
    last_run: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    crashes: Mapping[int, CrashCount] = MappingProxyType({})
    placements: Mapping[int, Placement] = MappingProxyType({})


class JobProgress(NamedTuple):
    """Progress of a job.

    :param account: client account that may read the job; empty for any
    :param units: by occurrence, step and index; units without a run are left out
    :param finished_s: Unix time in seconds of the end; 0 for an unfinished job
    """

    state: JobState
    account: str
    units: dict[tuple[int, int, int], UnitProgress]
    finished_s: float = 0.0


class _ProgressRow(msgspec.Struct, array_like=True):
    state: JobState
    account: str
    finished_s: float
    # (occurrence, step, index, done, last_run, failed_runs, checkpoint)
    units: list[tuple[int, int, int, bool, int, list[int], str]]
    # Earlier versions neither write nor read what follows.
    # (occurrence, step, index, task, total, early, alone)
    crashes: list[tuple[int, int, int, int, int, int, int]] = []
    workers: list[Placement] = []
    # (occurrence, step, index, task, position in ``workers``)
    placements: list[tuple[int, int, int, int, int]] = []


class _RequestRow(msgspec.Struct, array_like=True):
    job: str
    queue: Queue
    account: str
    spec: str
    accepted_s: float
    schedule: Schedule | None
    steps: list[Step]


_encode = msgspec.msgpack.Encoder().encode
_progress_decoder = msgspec.msgpack.Decoder(_ProgressRow)
_request_decoder = msgspec.msgpack.Decoder(_RequestRow)


def encode_progress(progress: JobProgress) -> bytes:
    """Return the value of a progress row; units of a finished job are left out."""
    units = [] if progress.finished_s else sorted(progress.units.items())
    workers: dict[Placement, int] = {}
    row = _ProgressRow(
        progress.state,
        progress.account,
        progress.finished_s,
        [
            (*key, unit.done, unit.last_run, list(unit.failed_runs), unit.checkpoint)
            for key, unit in units
        ],
        [
            (*key, task, *count)
            for key, unit in units
            for task, count in unit.crashes.items()
        ],
        placements=[
            (*key, task, workers.setdefault(placement, len(workers)))
            for key, unit in units
            for task, placement in unit.placements.items()
        ],
    )
    row.workers = list(workers)
    value = _encode(row)
    if len(value) > MAX_BYTES_WITH_PLACEMENTS:
        row.workers, row.placements = [], []
        value = _encode(row)
    return value


def decode_progress(key: str, value: bytes) -> JobProgress:
    """Decode the value of a progress row.

    :param key: key of the row, for the error
    :raises RowUnreadable: if the value cannot be decoded
    """
    try:
        row = _progress_decoder.decode(value)
        crashes, placements = _decode_crashes(row), _decode_placements(row)
    except (*UNREADABLE_ERRORS, IndexError) as error:
        raise RowUnreadable(key, str(error)) from error
    units = {
        (occurrence, step, index): UnitProgress(
            done,
            last_run,
            tuple(failed_runs),
            checkpoint,
            crashes.get((occurrence, step, index), {}),
            placements.get((occurrence, step, index), {}),
        )
        for (
            occurrence,
            step,
            index,
            done,
            last_run,
            failed_runs,
            checkpoint,
        ) in row.units
    }
    return JobProgress(row.state, row.account, units, row.finished_s)


def _decode_crashes(
    row: _ProgressRow,
) -> dict[tuple[int, int, int], dict[int, CrashCount]]:
    found: dict[tuple[int, int, int], dict[int, CrashCount]] = {}
    for occurrence, step, index, task, *counts in row.crashes:
        unit = found.setdefault((occurrence, step, index), {})
        unit[task] = CrashCount(*counts)
    return found


def _decode_placements(
    row: _ProgressRow,
) -> dict[tuple[int, int, int], dict[int, Placement]]:
    found: dict[tuple[int, int, int], dict[int, Placement]] = {}
    for occurrence, step, index, task, position in row.placements:
        unit = found.setdefault((occurrence, step, index), {})
        unit[task] = row.workers[position]
    return found


def _check_request(key: str, row: _RequestRow) -> None:
    """Check what the size of a tracked job and its order of steps depend on.

    :raises RowUnreadable: if no host can have accepted such a job
    """
    tasks = 0
    for index, step in enumerate(row.steps):
        if step.task_count < 1 or min(step.demand) < 0:
            raise RowUnreadable(key, f"step {index} has no task or needs less than 0")
        if not all(0 <= earlier < index for earlier in step.depends_on):
            raise RowUnreadable(key, f"step {index} depends on no earlier step")
        tasks += step.task_count
    occurrences = 1 if row.schedule is None else row.schedule.repeat_count
    if not 0 < tasks * occurrences <= MAX_STORED_TASKS:
        raise RowUnreadable(key, f"has {tasks * occurrences} tasks")


def encode_request(request: JobRequest) -> bytes:
    """Return the value of a job's row; the job is accepted once the row is stored."""
    return _encode(
        _RequestRow(
            request.job,
            request.queue,
            request.account,
            request.spec,
            request.accepted_s,
            request.schedule,
            list(request.steps),
        )
    )


def decode_request(key: str, value: bytes) -> JobRequest:
    """Decode the value of a job's row.

    :param key: key of the row, for the error
    :raises RowUnreadable: if the value cannot be decoded
    """
    try:
        row = _request_decoder.decode(value)
    except UNREADABLE_ERRORS as error:
        raise RowUnreadable(key, str(error)) from error
    _check_request(key, row)
    return JobRequest(
        row.job,
        row.queue,
        row.account,
        row.spec,
        tuple(row.steps),
        row.accepted_s,
        row.schedule,
    )
