"""Commands for callers: requests and jobs."""

import argparse
import asyncio
import sys
import time
from http import HTTPStatus

from .api_client import ApiClient, ApiResponse
from .exit_codes import ExitCode, from_http_status
from .printing import print_response

WAIT_CALL_TIMEOUT_S = 20.0
PERMANENT_ERRORS = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.UNAUTHORIZED,
    HTTPStatus.NOT_FOUND,
)
OUTCOME_EXIT_CODES = {
    "completed": ExitCode.OK,
    "failed": ExitCode.FAILED,
    "cancelled": ExitCode.FAILED,
    "not_run": ExitCode.NOT_RUN,
    "unknown": ExitCode.UNKNOWN,
}


async def send_request(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Send a request and print its response body."""
    headers = {"Idempotency-Key": arguments.key} if arguments.key else {}
    response = await client.call(
        "POST",
        f"/v1/requests/{arguments.route}",
        arguments.body.encode(),
        headers,
    )
    sys.stdout.write(response.body.decode(errors="replace") + "\n")
    return OUTCOME_EXIT_CODES.get(response.outcome, from_http_status(response.status))


async def submit_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Submit a job; with ``--wait`` also wait for its outcome."""
    headers = {"Idempotency-Key": arguments.key} if arguments.key else {}
    call = {
        "route": arguments.route,
        "shape": {
            "tasks": arguments.tasks,
            "accelerators": arguments.accelerators,
            "cores": arguments.cores,
            "memory_gb": arguments.memory_gb,
        },
        "run": arguments.run,
    }
    response = await client.call("POST", "/v1/jobs", call, headers)
    code = from_http_status(response.status)
    if code is not ExitCode.OK or not arguments.wait:
        return print_response(response)
    return await _poll_until_finished(client, response.json["job_id"], 0.0)


async def job_status(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the state of a job."""
    return print_response(await client.call("GET", f"/v1/jobs/{arguments.job}"))


async def wait_for_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Wait until a job has finished and report its state meanwhile."""
    return await _poll_until_finished(client, arguments.job, arguments.timeout)


async def cancel_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Cancel a job."""
    return print_response(await client.call("DELETE", f"/v1/jobs/{arguments.job}"))


async def explain_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the reason for the state of a job."""
    return print_response(await client.call("GET", f"/v1/jobs/{arguments.job}/explain"))


async def _poll_until_finished(
    client: ApiClient, job_id: str, timeout_s: float
) -> ExitCode:
    started_s = time.monotonic()
    while True:
        response = await client.call(
            "GET", f"/v1/jobs/{job_id}/wait?timeout_s={WAIT_CALL_TIMEOUT_S}"
        )
        elapsed_s = time.monotonic() - started_s
        if _is_final(response):
            return _print_outcome(response)
        _show_progress(job_id, response, elapsed_s)
        if timeout_s and elapsed_s > timeout_s:
            return _print_outcome(response)
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            await asyncio.sleep(1.0)


def _is_final(response: ApiResponse) -> bool:
    if response.status in PERMANENT_ERRORS:
        return True
    body = response.json
    return isinstance(body, dict) and body.get("state") == "finished"


def _print_outcome(response: ApiResponse) -> ExitCode:
    print_response(response)
    body = response.json
    if isinstance(body, dict) and body.get("status"):
        return OUTCOME_EXIT_CODES[body["status"]]
    return from_http_status(response.status)


def _show_progress(job_id: str, response: ApiResponse, elapsed_s: float) -> None:
    body = response.json
    state = body.get("state", "?") if isinstance(body, dict) else "?"
    sys.stderr.write(f"{job_id}: {state} after {elapsed_s:.0f} s\n")
