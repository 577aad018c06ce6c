"""Exit codes of the command line."""

from enum import IntEnum
from http import HTTPStatus


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNAUTHENTICATED = 5
    CONFLICT = 6
    UNREACHABLE = 7
    NOT_FOUND = 8


EXIT_CODE_MEANINGS: dict[ExitCode, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "the work ran and failed, or was cancelled",
    ExitCode.BAD_INPUT: "an argument, a file or a value is invalid; nothing changed",
    ExitCode.NOT_RUN: "the work was definitely not run",
    ExitCode.UNKNOWN: "the work may have run; query the printed handle later",
    ExitCode.UNAUTHENTICATED: "the token is missing or wrong",
    ExitCode.CONFLICT: "someone else changed the tables first",
    ExitCode.UNREACHABLE: "no entry host responded",
    ExitCode.NOT_FOUND: "no such job, request or host",
}


def from_http_status(status: int) -> ExitCode:
    """Return the exit code for an HTTP status of the API."""
    if status < HTTPStatus.BAD_REQUEST:
        return ExitCode.OK
    server_side = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return _EXIT_CODES_BY_HTTP_STATUS.get(
        status, ExitCode.FAILED if server_side else ExitCode.BAD_INPUT
    )


_EXIT_CODES_BY_HTTP_STATUS: dict[int, ExitCode] = {
    401: ExitCode.UNAUTHENTICATED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    429: ExitCode.NOT_RUN,
    502: ExitCode.FAILED,
    503: ExitCode.NOT_RUN,
    504: ExitCode.UNKNOWN,
}
