"""HTTP handlers for callers: requests and jobs."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from aiohttp import web
from bilberryhitch_model import (
    Explanation,
    JobCall,
    JobRecord,
    Outcome,
    OutcomeStatus,
    RequestCall,
    Shape,
    encode,
    from_plain,
    parse_json,
)
from bilberryhitch_model.errors import BadInput, BilberryhitchError, NotFound
from bilberryhitch_settings import Caller
from expression import Result

from .bodies import read_body
from .errors import OUTCOME_HEADER

HANDLE_HEADER = "Bilberryhitch-Handle"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 128
MAX_WAIT_S = 60.0
OUTCOME_STATUS: dict[OutcomeStatus, HTTPStatus] = {
    "completed": HTTPStatus.OK,
    "failed": HTTPStatus.BAD_GATEWAY,
    "not_run": HTTPStatus.SERVICE_UNAVAILABLE,
    "cancelled": HTTPStatus.CONFLICT,
    "unknown": HTTPStatus.GATEWAY_TIMEOUT,
}


class Requests(Protocol):
    """What the handlers need of the request service."""

    async def submit(self, call: RequestCall) -> Outcome:
        """Run a request and return its outcome."""

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, BilberryhitchError]:
        """Return what is known under a handle."""


class Jobs(Protocol):
    """What the handlers need of the job service."""

    async def accept(self, call: JobCall) -> Result[JobRecord, BilberryhitchError]:
        """Accept a job durably, or say why not."""

    async def get(self, job_id: str) -> Result[JobRecord, BilberryhitchError]:
        """Return a job."""

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> Result[JobRecord, BilberryhitchError]:
        """Return a job once it is finished or the time is over."""

    async def cancel(self, job_id: str) -> Result[JobRecord, BilberryhitchError]:
        """Cancel a job."""

    async def explain(self, job_id: str) -> Result[Explanation, BilberryhitchError]:
        """Say why a job is where it is."""


class _JobBody(NamedTuple):
    route: str
    shape: Shape = Shape()
    run: str = ""


Authenticate = Callable[[web.Request], Result[Caller, BilberryhitchError]]


def caller_routes(
    requests: Requests,
    jobs: Jobs,
    authenticate: Authenticate,
    *,
    max_body_bytes: int,
) -> list[web.RouteDef]:
    """Return the routes for callers.

    :param authenticate: turns a request's bearer token into its caller
    :param max_body_bytes: limit of request and job bodies, in bytes
    """
    return [
        *_request_routes(requests, authenticate, max_body_bytes),
        *_job_routes(jobs, authenticate, max_body_bytes),
    ]


def _request_routes(
    requests: Requests, authenticate: Authenticate, max_body_bytes: int
) -> list[web.RouteDef]:
    async def submit(request: web.Request) -> web.StreamResponse:
        caller = _caller(authenticate, request)
        call = RequestCall(
            caller.client_account,
            caller.caller,
            request.match_info["route"],
            await read_body(request, max_body_bytes),
            _key(request),
            request.content_type,
        )
        return _outcome_response(await requests.submit(call))

    async def status(request: web.Request) -> web.StreamResponse:
        caller = _caller(authenticate, request)
        handle = request.match_info["handle"]
        result = await requests.status(handle, caller.client_account)
        if result.is_error():
            raise result.error
        return _outcome_response(result.ok)

    return [
        web.post("/v1/requests/{route}", submit),
        web.get("/v1/requests/{handle}", status),
    ]


def _job_routes(
    jobs: Jobs, authenticate: Authenticate, max_body_bytes: int
) -> list[web.RouteDef]:
    async def accept(request: web.Request) -> web.StreamResponse:
        caller = _caller(authenticate, request)
        plain = parse_json(await read_body(request, max_body_bytes))
        body = from_plain(_JobBody, plain)
        call = JobCall(
            caller.client_account,
            caller.caller,
            body.route,
            body.shape,
            body.run,
            _key(request),
        )
        result = await jobs.accept(call)
        if result.is_error():
            raise result.error
        return _record_response(result.ok, HTTPStatus.CREATED)

    async def get(request: web.Request) -> web.StreamResponse:
        return _record_response(await _own_job(jobs, authenticate, request))

    async def wait(request: web.Request) -> web.StreamResponse:
        record = await _own_job(jobs, authenticate, request)
        result = await jobs.wait(record.job_id, _wait_seconds(request))
        if result.is_error():
            raise result.error
        return _record_response(result.ok)

    async def cancel(request: web.Request) -> web.StreamResponse:
        record = await _own_job(jobs, authenticate, request)
        result = await jobs.cancel(record.job_id)
        if result.is_error():
            raise result.error
        return _record_response(result.ok)

    async def explain(request: web.Request) -> web.StreamResponse:
        record = await _own_job(jobs, authenticate, request)
        result = await jobs.explain(record.job_id)
        if result.is_error():
            raise result.error
        return web.Response(body=encode(result.ok), content_type="application/json")

    return [
        web.post("/v1/jobs", accept),
        web.get("/v1/jobs/{id}", get),
        web.get("/v1/jobs/{id}/wait", wait),
        web.delete("/v1/jobs/{id}", cancel),
        web.get("/v1/jobs/{id}/explain", explain),
    ]


def _caller(authenticate: Authenticate, request: web.Request) -> Caller:
    result = authenticate(request)
    if result.is_error():
        raise result.error
    return result.ok


async def _own_job(
    jobs: Jobs, authenticate: Authenticate, request: web.Request
) -> JobRecord:
    """Return the job in the path if it belongs to the caller's account.

    :raises NotFound: also for another account's job, so that ids do not leak
    """
    caller = _caller(authenticate, request)
    job_id = request.match_info["id"]
    result = await jobs.get(job_id)
    if result.is_error():
        raise result.error
    if result.ok.client_account != caller.client_account:
        raise NotFound("job", job_id)
    return result.ok


def _key(request: web.Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    printable = key.isascii() and key.isprintable() and "/" not in key
    if len(key) > MAX_KEY_CHARACTERS or not printable:
        raise BadInput(
            KEY_HEADER, key[:MAX_KEY_CHARACTERS], "1 to 128 printable ASCII, no /"
        )
    return key


def _wait_seconds(request: web.Request) -> float:
    text = request.query.get("timeout_s", "0")
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 <= seconds <= MAX_WAIT_S:
        raise BadInput("timeout_s", text, f"a number of seconds from 0 to {MAX_WAIT_S}")
    return seconds


def _record_response(
    record: JobRecord, status: HTTPStatus = HTTPStatus.OK
) -> web.Response:
    headers = {OUTCOME_HEADER: record.status} if record.status else {}
    return web.Response(
        body=encode(record),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def _outcome_response(outcome: Outcome) -> web.Response:
    headers: dict[str, str] = {OUTCOME_HEADER: outcome.status}
    if outcome.handle:
        headers[HANDLE_HEADER] = outcome.handle
    if outcome.status == "not_run":
        headers["Retry-After"] = str(max(1, round(outcome.retry_after_s)))
    status = OUTCOME_STATUS[outcome.status]
    if outcome.status == "completed":
        headers["Content-Type"] = outcome.content_type
        return web.Response(body=outcome.body, status=status, headers=headers)
    plain = {
        "outcome": outcome.status,
        "detail": outcome.detail,
        "handle": outcome.handle,
        "body": outcome.body.decode(errors="replace"),
    }
    return web.json_response(plain, status=status, headers=headers)
