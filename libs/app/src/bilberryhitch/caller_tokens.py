"""Finds the caller that a bearer token stands for."""

import hashlib
from collections.abc import Callable, Mapping

from aiohttp import web
from bilberryhitch_model.errors import BilberryhitchError, Unauthenticated
from bilberryhitch_settings import Caller
from expression import Error, Ok, Result

BEARER = "Bearer "


def token_authentication(
    callers: Mapping[str, Caller],
) -> Callable[[web.Request], Result[Caller, BilberryhitchError]]:
    """Return the function that authenticates a request.

    :param callers: caller by the SHA-256 of its token in hexadecimal; looking a
        digest up tells nothing about the token by its timing
    """

    def authenticate(request: web.Request) -> Result[Caller, BilberryhitchError]:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            return Error(Unauthenticated())
        digest = hashlib.sha256(header.removeprefix(BEARER).encode()).hexdigest()
        caller = callers.get(digest)
        return Error(Unauthenticated()) if caller is None else Ok(caller)

    return authenticate
