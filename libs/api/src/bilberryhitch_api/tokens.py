"""Finds the operator or the caller that a bearer token stands for."""

import hashlib
import hmac
from collections.abc import Callable, Mapping

from aiohttp import web
from bilberryhitch_model.errors import BilberryhitchError, Unauthenticated
from bilberryhitch_settings import Caller
from bilberryhitch_telemetry import events, log
from expression import Error, Ok, Result

BEARER = "Bearer "


def authenticate_operator(request: web.Request, operators: Mapping[str, str]) -> str:
    """Return the operator's name.

    :param operators: SHA-256 of the token in hexadecimal, by operator name
    :raises Unauthenticated: the token is missing or nobody's
    """
    digest = _token_digest(request)
    found = ""
    # Every digest is compared in constant time, so the time of a refusal tells
    # nothing about the tokens.
    for name, expected in operators.items():
        if hmac.compare_digest(digest, expected):
            found = name
    if not found:
        raise _refused(request)
    return found


def caller_authenticator(
    callers: Mapping[str, Caller],
) -> Callable[[web.Request], Result[Caller, BilberryhitchError]]:
    """Return the function that finds the caller of a request.

    :param callers: caller by the SHA-256 of its token in hexadecimal; looking a
        digest up tells nothing about the token by its timing
    """

    def authenticate(request: web.Request) -> Result[Caller, BilberryhitchError]:
        caller = callers.get(_token_digest(request))
        return Error(_refused(request)) if caller is None else Ok(caller)

    return authenticate


def _token_digest(request: web.Request) -> str:
    """Return the digest of the bearer token, or empty without one."""
    header = request.headers.get("Authorization", "")
    token = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
    if not token:
        return ""
    return hashlib.sha256(token.encode(errors="replace")).hexdigest()


def _refused(request: web.Request) -> Unauthenticated:
    log(events.UNAUTHENTICATED_CALL, path=request.path)
    return Unauthenticated()
