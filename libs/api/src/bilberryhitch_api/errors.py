"""The one mapping from typed errors to HTTP answers."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from bilberryhitch_model import errors, shorten_value, to_plain
from bilberryhitch_telemetry import events, log

OUTCOME_HEADER = "Bilberryhitch-Outcome"
STORE_RETRY_AFTER_S = 1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

STATUSES: dict[type[errors.BilberryhitchError], int] = {
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
OUTCOMES: dict[type[errors.BilberryhitchError], str] = {
    errors.QueueFull: "not_run",
    errors.NotRun: "not_run",
    errors.OutcomeUnknown: "unknown",
}


class BodyTooLarge(errors.BadInput):
    """A body exceeds the limit; nothing changed."""

    code = "body_too_large"


STATUSES[BodyTooLarge] = 413


def status_of(error: errors.BilberryhitchError) -> int:
    """Return the HTTP status of an error; 500 for one without a mapping."""
    for kind in type(error).__mro__:
        if kind in STATUSES:
            return STATUSES[kind]
    return 500


def error_response(error: errors.BilberryhitchError, **extra: object) -> web.Response:
    """Return the JSON answer ``{"error": code, <data of the error>}``.

    :param extra: further members of the answer
    """
    body = {"error": error.code, **_members(error), **extra}
    headers = {}
    for kind, outcome in OUTCOMES.items():
        if isinstance(error, kind):
            headers[OUTCOME_HEADER] = outcome
    if status_of(error) in (429, 503):
        wait_s = getattr(error, "retry_after_s", STORE_RETRY_AFTER_S)
        headers["Retry-After"] = str(max(1, math.ceil(wait_s)))
    if isinstance(error, errors.Unauthenticated):
        headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(body, status=status_of(error), headers=headers)


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer every raised error as JSON, without a traceback."""
    try:
        return await handler(request)
    except errors.BilberryhitchError as error:
        return error_response(error)
    except web.HTTPException as error:
        return _plain_status(error)
    except Exception as error:
        log(events.HANDLER_FAILED, path=request.path, error=error)
        return web.json_response({"error": "internal"}, status=500)


def _plain_status(error: web.HTTPException) -> web.Response:
    code = error.reason.lower().replace(" ", "_")
    headers = {"Allow": error.headers["Allow"]} if "Allow" in error.headers else {}
    return web.json_response({"error": code}, status=error.status, headers=headers)


def _members(error: errors.BilberryhitchError) -> dict[str, Any]:
    return {name: _member(value) for name, value in vars(error).items()}


def _member(value: object) -> Any:
    plain = to_plain(value)
    if isinstance(plain, float) and not math.isfinite(plain):
        return str(plain)
    return plain if isinstance(plain, dict) else shorten_value(plain)
