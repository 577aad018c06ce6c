"""Commands for callers: requests and jobs."""

import argparse
import asyncio
import sys
import time
from http import HTTPStatus

from .api_client import ApiAnswer, ApiClient
from .exit_codes import ExitCode, from_http_status
from .printing import print_answer

WAIT_CALL_S = 20.0
FINAL_ERRORS = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.UNAUTHORIZED,
    HTTPStatus.NOT_FOUND,
)
OUTCOME_CODES = {
    "completed": ExitCode.OK,
    "failed": ExitCode.FAILED,
    "cancelled": ExitCode.FAILED,
    "not_run": ExitCode.NOT_RUN,
    "unknown": ExitCode.UNKNOWN,
}


async def send_request(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Send a request and print its answer."""
    headers = {"Idempotency-Key": arguments.key} if arguments.key else {}
    answer = await client.call(
        "POST",
        f"/v1/requests/{arguments.route}",
        arguments.body.encode(),
        headers,
    )
    sys.stdout.write(answer.body.decode(errors="replace") + "\n")
    return OUTCOME_CODES.get(answer.outcome, from_http_status(answer.status))


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
    answer = await client.call("POST", "/v1/jobs", call, headers)
    code = from_http_status(answer.status)
    if code is not ExitCode.OK or not arguments.wait:
        return print_answer(answer)
    return await _wait(client, answer.json["job_id"], 0.0)


async def job_status(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the state of a job."""
    return print_answer(await client.call("GET", f"/v1/jobs/{arguments.job}"))


async def wait_for_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Wait for a job, showing its state while it lasts."""
    return await _wait(client, arguments.job, arguments.timeout)


async def cancel_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Cancel a job."""
    return print_answer(await client.call("DELETE", f"/v1/jobs/{arguments.job}"))


async def explain_job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print why a job is where it is."""
    return print_answer(await client.call("GET", f"/v1/jobs/{arguments.job}/explain"))


async def _wait(client: ApiClient, job_id: str, timeout_s: float) -> ExitCode:
    started = time.monotonic()
    while True:
        answer = await client.call(
            "GET", f"/v1/jobs/{job_id}/wait?timeout_s={WAIT_CALL_S}"
        )
        elapsed = time.monotonic() - started
        if _is_over(answer):
            return _print_outcome(answer)
        _show_progress(job_id, answer, elapsed)
        if timeout_s and elapsed > timeout_s:
            return _print_outcome(answer)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            await asyncio.sleep(1.0)


def _is_over(answer: ApiAnswer) -> bool:
    if answer.status in FINAL_ERRORS:
        return True
    body = answer.json
    return isinstance(body, dict) and body.get("state") == "finished"


def _print_outcome(answer: ApiAnswer) -> ExitCode:
    print_answer(answer)
    body = answer.json
    if isinstance(body, dict) and body.get("status"):
        return OUTCOME_CODES[body["status"]]
    return from_http_status(answer.status)


def _show_progress(job_id: str, answer: ApiAnswer, elapsed_s: float) -> None:
    body = answer.json
    state = body.get("state", "?") if isinstance(body, dict) else "?"
    sys.stderr.write(f"{job_id}: {state} after {elapsed_s:.0f} s\n")
