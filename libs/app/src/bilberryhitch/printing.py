"""Output of the command line."""

import sys

import msgspec

from .api_client import ApiAnswer
from .exit_codes import ExitCode, from_http_status


def print_answer(answer: ApiAnswer) -> ExitCode:
    """Print a JSON answer, errors to stderr, and return its exit code."""
    code = from_http_status(answer.status)
    stream = sys.stdout if code is ExitCode.OK else sys.stderr
    text = msgspec.json.format(answer.body, indent=2) if answer.body else b""
    stream.write(text.decode(errors="replace") + "\n")
    return code
