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
OUTCOME_HTTP_STATUSES: dict[OutcomeStatus, HTTPStatus] = {
    "completed": HTTPStatus.OK,
    "failed": HTTPStatus.BAD_GATEWAY,
    "not_run": HTTPStatus.SERVICE_UNAVAILABLE,
    "cancelled": HTTPStatus.CONFLICT,
    "unknown": HTTPStatus.GATEWAY_TIMEOUT,
}


class Requests(Protocol):
    """The operations of the request service that the handlers use."""

    async def submit(self, call: RequestCall) -> Outcome:
        """Run a request and return its outcome."""

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, BilberryhitchError]:
        """Return the outcome of the request with a handle, as far as it is known."""


class Jobs(Protocol):
    """The operations of the job service that the handlers use."""

    async def accept(self, call: JobCall) -> Result[JobRecord, BilberryhitchError]:
        """Store a job and return its record, or the reason for the rejection."""

    async def get(self, job_id: str) -> Result[JobRecord, BilberryhitchError]:
        """Return the record of a job."""

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> Result[JobRecord, BilberryhitchError]:
        """Return a job once it has finished or the timeout has expired."""

    async def cancel(self, job_id: str) -> Result[JobRecord, BilberryhitchError]:
        """Cancel a job and return its record."""

    async def explain(self, job_id: str) -> Result[Explanation, BilberryhitchError]:
        """Return the reason for the current state of a job."""


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
    """Return the HTTP routes for callers.

    :param authenticate: returns the caller of an HTTP request, by its bearer token
    :param max_body_bytes: maximum size of an HTTP request body, in bytes
    """
    return [
        *_request_routes(requests, authenticate, max_body_bytes),
        *_job_routes(jobs, authenticate, max_body_bytes),
    ]


def _request_routes(
    requests: Requests, authenticate: Authenticate, max_body_bytes: int
) -> list[web.RouteDef]:
    async def submit(request: web.Request) -> web.StreamResponse:
        caller = _authenticated_caller(authenticate, request)
        call = RequestCall(
            caller.client_account,
            caller.caller,
            request.match_info["route"],
            await read_body(request, max_body_bytes),
            _idempotency_key(request),
            request.content_type,
        )
        return _outcome_response(await requests.submit(call))

    async def status(request: web.Request) -> web.StreamResponse:
        caller = _authenticated_caller(authenticate, request)
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
        caller = _authenticated_caller(authenticate, request)
        plain = parse_json(await read_body(request, max_body_bytes))
        body = from_plain(_JobBody, plain)
        call = JobCall(
            caller.client_account,
            caller.caller,
            body.route,
            body.shape,
            body.run,
            _idempotency_key(request),
        )
        result = await jobs.accept(call)
        if result.is_error():
            raise result.error
        return _job_response(result.ok, HTTPStatus.CREATED)

    async def get(request: web.Request) -> web.StreamResponse:
        return _job_response(await _get_own_job(jobs, authenticate, request))

    async def wait(request: web.Request) -> web.StreamResponse:
        record = await _get_own_job(jobs, authenticate, request)
        result = await jobs.wait(record.job_id, _wait_timeout_s(request))
        if result.is_error():
            raise result.error
        return _job_response(result.ok)

    async def cancel(request: web.Request) -> web.StreamResponse:
        record = await _get_own_job(jobs, authenticate, request)
        result = await jobs.cancel(record.job_id)
        if result.is_error():
            raise result.error
        return _job_response(result.ok)

    async def explain(request: web.Request) -> web.StreamResponse:
        record = await _get_own_job(jobs, authenticate, request)
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


def _authenticated_caller(authenticate: Authenticate, request: web.Request) -> Caller:
    result = authenticate(request)
    if result.is_error():
        raise result.error
    return result.ok


async def _get_own_job(
    jobs: Jobs, authenticate: Authenticate, request: web.Request
) -> JobRecord:
    """Return the job in the path if it belongs to the caller's client account.

    :raises NotFound: there is no such job, or it belongs to another client account;
        the error is the same, so that callers cannot probe for job ids
    """
    caller = _authenticated_caller(authenticate, request)
    job_id = request.match_info["id"]
    result = await jobs.get(job_id)
    if result.is_error():
        raise result.error
    if result.ok.client_account != caller.client_account:
        raise NotFound("job", job_id)
    return result.ok


def _idempotency_key(request: web.Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    printable = key.isascii() and key.isprintable() and "/" not in key
    if len(key) > MAX_KEY_CHARACTERS or not printable:
        raise BadInput(
            KEY_HEADER, key[:MAX_KEY_CHARACTERS], "1 to 128 printable ASCII, no /"
        )
    return key


def _wait_timeout_s(request: web.Request) -> float:
    text = request.query.get("timeout_s", "0")
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0.0 <= timeout_s <= MAX_WAIT_S:
        raise BadInput("timeout_s", text, f"a number of seconds from 0 to {MAX_WAIT_S}")
    return timeout_s


def _job_response(
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
    status = OUTCOME_HTTP_STATUSES[outcome.status]
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
