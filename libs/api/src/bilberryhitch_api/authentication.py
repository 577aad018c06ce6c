"""Authenticates operators and callers by bearer token."""

import hashlib
import hmac
from collections.abc import Callable, Mapping

from aiohttp import web
from bilberryhitch_model.errors import BilberryhitchError, Unauthenticated
from bilberryhitch_settings import Caller
from bilberryhitch_telemetry import events, log
from expression import Error, Ok, Result

BEARER_PREFIX = "Bearer "


def authenticate_operator(request: web.Request, operators: Mapping[str, str]) -> str:
    """Return the name of the operator who sent a request.

    :param operators: SHA-256 of the token in hexadecimal, by operator name
    :raises Unauthenticated: the token is missing or unknown
    """
    digest = _token_digest(request)
    operator = ""
    # All digests are compared, each in constant time, so that the response time
    # reveals nothing about the tokens.
    for name, expected in operators.items():
        if hmac.compare_digest(digest, expected):
            operator = name
    if not operator:
        raise _unauthenticated(request)
    return operator


def caller_authenticator(
    callers: Mapping[str, Caller],
) -> Callable[[web.Request], Result[Caller, BilberryhitchError]]:
    """Return a function that authenticates the caller of a request.

    :param callers: callers by the SHA-256 of their tokens in hexadecimal; the time of
        a lookup by digest reveals nothing about the token
    """

    def authenticate(request: web.Request) -> Result[Caller, BilberryhitchError]:
        caller = callers.get(_token_digest(request))
        return Error(_unauthenticated(request)) if caller is None else Ok(caller)

    return authenticate


def _token_digest(request: web.Request) -> str:
    """Return the digest of the bearer token, or an empty text without a token."""
    header = request.headers.get("Authorization", "")
    token = (
        header.removeprefix(BEARER_PREFIX) if header.startswith(BEARER_PREFIX) else ""
    )
    if not token:
        return ""
    return hashlib.sha256(token.encode(errors="replace")).hexdigest()


def _unauthenticated(request: web.Request) -> Unauthenticated:
    log(events.UNAUTHENTICATED_CALL, path=request.path)
    return Unauthenticated()
