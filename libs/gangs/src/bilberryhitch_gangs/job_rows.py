"""Rows of jobs and idempotency keys in the table service."""

import re
from typing import NamedTuple

import msgspec
from bilberryhitch_model import JobRecord, decode, encode
from bilberryhitch_platform import Put, Row, TableService

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
JOB_ID_PART_COUNT = 3


class JobRow(NamedTuple):
    """A job record with the store revision at which it was written."""

    record: JobRecord
    revision: int


class JobIdParts(NamedTuple):
    """The parts of a job id."""

    data_centre: str
    pool: str
    unique: str


class ClaimRow(NamedTuple):
    """The job that was accepted under a caller's idempotency key.

    :param digest: digest of the call, to tell a retry from a different call
    """

    job_id: str
    digest: str


def make_job_id(data_centre: str, pool: str, unique: str) -> str:
    """Return the id of a new job."""
    return f"{data_centre}.{pool}.{unique}"


def parse_job_id(job_id: str) -> JobIdParts | None:
    """Return the parts of a job id, or ``None`` if the text is not a valid id."""
    parts = job_id.split(".")
    if len(parts) != JOB_ID_PART_COUNT or not all(map(NAME_PATTERN.fullmatch, parts)):
        return None
    return JobIdParts(*parts)


def pool_prefix(data_centre: str, pool: str) -> str:
    """Return the key prefix of the jobs of a pool."""
    return f"jobs/{data_centre}/{pool}/"


def job_key(job_id: str) -> str:
    """Return the row key of a job id made by :func:`make_job_id`."""
    data_centre, pool, _ = job_id.split(".")
    return pool_prefix(data_centre, pool) + job_id


def claim_key(client_account: str, key: str) -> str:
    """Return the row key for an idempotency key of a client account."""
    return f"claims/{client_account}/{key}"


def attempt_id(record: JobRecord) -> str:
    """Return the lease name of the record's current attempt.

    The epoch distinguishes attempts of two planners that both reserved for the
    same attempt number before either wrote its start mark.
    """
    return f"{record.job_id}/{record.attempt}/{record.epoch}"


def job_of_attempt(attempt: str) -> str:
    """Return the job id within a lease name."""
    return attempt.partition("/")[0]


def put_job(record: JobRecord) -> Put:
    """Return the write of a job row."""
    return Put(job_key(record.job_id), encode(record))


def read_row(row: Row) -> JobRow:
    """Decode a job row.

    :raises BadInput: the row is not a job record
    """
    return JobRow(decode(JobRecord, row.value), row.revision)


async def get_job(tables: TableService, job_id: str) -> JobRow | None:
    """Return the job's row, or ``None`` if there is none.

    :raises StoreUnavailable: the store did not answer
    """
    row = await tables.get(job_key(job_id))
    return None if row is None else read_row(row)


async def scan_jobs(
    tables: TableService, prefix: str, since: int, *, unfinished: bool = False
) -> tuple[list[JobRow], int]:
    """Return job rows written after a revision, and the revision for the next scan.

    Rows written during the scan may appear again in the next one.

    :param since: store revision; 0 for all rows
    :param unfinished: skip finished jobs, which far outnumber the others
    :raises StoreUnavailable: the store did not answer
    """
    page = await tables.scan(prefix, since)
    revision = page.revision
    rows: list[JobRow] = []
    while True:
        wanted = (row for row in page.rows if not (unfinished and _is_finished(row)))
        rows.extend(map(read_row, wanted))
        if not page.more:
            return rows, revision
        page = await tables.scan(prefix, since, after=page.rows[-1].key)


class _JobState(msgspec.Struct):
    """The only field of a job row needed to skip it without decoding the rest."""

    state: str = ""


def _is_finished(row: Row) -> bool:
    try:
        return msgspec.json.decode(row.value, type=_JobState).state == "finished"
    except msgspec.MsgspecError:
        return False
