"""Prints responses of the API."""

import sys

import msgspec

from .api_client import ApiResponse
from .exit_codes import ExitCode, from_http_status


def print_response(response: ApiResponse) -> ExitCode:
    """Print a JSON response and return its exit code; errors go to stderr."""
    code = from_http_status(response.status)
    stream = sys.stdout if code is ExitCode.OK else sys.stderr
    text = msgspec.json.format(response.body, indent=2) if response.body else b""
    stream.write(text.decode(errors="replace") + "\n")
    return code
