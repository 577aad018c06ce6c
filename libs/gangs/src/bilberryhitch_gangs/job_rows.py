"""Rows of jobs and claims in the table service."""

import re
from typing import NamedTuple

from bilberryhitch_model import JobRecord, decode, encode
from bilberryhitch_platform import Put, Row, TableService

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
JOB_ID_PARTS = 3


class JobRow(NamedTuple):
    """A job record with the store revision that wrote it."""

    record: JobRecord
    revision: int


class JobPlace(NamedTuple):
    """The parts of a job id."""

    data_centre: str
    pool: str
    unique: str


class ClaimRow(NamedTuple):
    """The job that a caller's idempotency key stands for.

    :param digest: digest of the call, to tell a retry from other work
    """

    job_id: str
    digest: str


def make_job_id(data_centre: str, pool: str, unique: str) -> str:
    """Return the id of a new job."""
    return f"{data_centre}.{pool}.{unique}"


def parse_job_id(job_id: str) -> JobPlace | None:
    """Return the parts of a job id, or ``None`` when it cannot be one."""
    parts = job_id.split(".")
    if len(parts) != JOB_ID_PARTS or not all(map(NAME.fullmatch, parts)):
        return None
    return JobPlace(*parts)


def pool_prefix(data_centre: str, pool: str) -> str:
    """Return the key prefix of the jobs of a pool."""
    return f"jobs/{data_centre}/{pool}/"


def job_key(job_id: str) -> str:
    """Return the row key of a job id made by :func:`make_job_id`."""
    data_centre, pool, _ = job_id.split(".")
    return pool_prefix(data_centre, pool) + job_id


def claim_key(client_account: str, key: str) -> str:
    """Return the row key of a caller's idempotency key."""
    return f"claims/{client_account}/{key}"


def attempt_id(record: JobRecord) -> str:
    """Return the lease name of the record's current attempt.

    The epoch keeps attempts of two planners apart that both reserved for the
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
    """Return the job's row, or ``None`` when there is none.

    :raises StoreUnavailable: the store did not answer
    """
    row = await tables.get(job_key(job_id))
    return None if row is None else read_row(row)


async def scan_jobs(
    tables: TableService, prefix: str, since: int
) -> tuple[list[JobRow], int]:
    """Return job rows written after ``since``, with the revision to go on from.

    Rows written while pages are read may appear again in the next scan.

    :raises StoreUnavailable: the store did not answer
    """
    page = await tables.scan(prefix, since)
    upto = page.revision
    rows = list(page.rows)
    while page.more:
        page = await tables.scan(prefix, since, after=rows[-1].key)
        rows.extend(page.rows)
    return [read_row(row) for row in rows], upto
