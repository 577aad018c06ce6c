"""Maps exceptions to HTTP error responses."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from bilberryhitch_model import errors, shorten_value, to_plain
from bilberryhitch_telemetry import events, log

OUTCOME_HEADER = "Bilberryhitch-Outcome"
STORE_RETRY_AFTER_S = 1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

HTTP_STATUSES: dict[type[errors.BilberryhitchError], int] = {
    errors.BadInput: 400,
    errors.Unauthenticated: 401,
    errors.NotFound: 404,
    errors.ConfigConflict: 409,
    errors.TableInvalid: 422,
    errors.ShapeImpossible: 422,
    errors.QueueFull: 429,
    errors.NotRun: 503,
    errors.StoreUnavailable: 503,
    errors.OutcomeUnknown: 504,
    errors.StoreAnswerLost: 504,
}
OUTCOMES_BY_ERROR: dict[type[errors.BilberryhitchError], str] = {
    errors.QueueFull: "not_run",
    errors.NotRun: "not_run",
    errors.OutcomeUnknown: "unknown",
}


class BodyTooLarge(errors.BadInput):
    """A request body exceeds the size limit; nothing was changed."""

    code = "body_too_large"


HTTP_STATUSES[BodyTooLarge] = 413


def http_status(error: errors.BilberryhitchError) -> int:
    """Return the HTTP status of an error; 500 for types not listed."""
    for error_type in type(error).__mro__:
        if error_type in HTTP_STATUSES:
            return HTTP_STATUSES[error_type]
    return 500


def error_response(error: errors.BilberryhitchError, **extra: object) -> web.Response:
    """Return the JSON response ``{"error": code, <attributes of the error>}``.

    :param extra: further fields of the response body
    """
    body = {"error": error.code, **_body_fields(error), **extra}
    headers = {}
    for error_type, outcome in OUTCOMES_BY_ERROR.items():
        if isinstance(error, error_type):
            headers[OUTCOME_HEADER] = outcome
    if http_status(error) in (429, 503):
        retry_after_s = getattr(error, "retry_after_s", STORE_RETRY_AFTER_S)
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    if isinstance(error, errors.Unauthenticated):
        headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(body, status=http_status(error), headers=headers)


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn every exception into a JSON response without a traceback."""
    try:
        return await handler(request)
    except errors.BilberryhitchError as error:
        return error_response(error)
    except web.HTTPException as error:
        return _http_error_response(error)
    except Exception as error:
        log(events.HANDLER_FAILED, path=request.path, error=error)
        return web.json_response({"error": "internal"}, status=500)


def _http_error_response(error: web.HTTPException) -> web.Response:
    code = error.reason.lower().replace(" ", "_")
    headers = {"Allow": error.headers["Allow"]} if "Allow" in error.headers else {}
    return web.json_response({"error": code}, status=error.status, headers=headers)


def _body_fields(error: errors.BilberryhitchError) -> dict[str, Any]:
    return {name: _body_value(value) for name, value in vars(error).items()}


def _body_value(value: object) -> Any:
    plain = to_plain(value)
    if isinstance(plain, float) and not math.isfinite(plain):
        return str(plain)
    return plain if isinstance(plain, dict) else shorten_value(plain)
