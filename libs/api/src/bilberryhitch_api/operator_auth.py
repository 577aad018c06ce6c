"""Finds the operator that a bearer token stands for."""

import hashlib
import hmac
from collections.abc import Mapping

from aiohttp import web
from bilberryhitch_model.errors import Unauthenticated
from bilberryhitch_telemetry import events, log

BEARER = "Bearer "


def authenticate_operator(request: web.Request, operators: Mapping[str, str]) -> str:
    """Return the operator's name.

    :param operators: SHA-256 of the token in hexadecimal, by operator name
    :raises Unauthenticated: the token is missing or nobody's
    """
    header = request.headers.get("Authorization", "")
    token = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
    digest = hashlib.sha256(token.encode(errors="replace")).hexdigest()
    found = ""
    # Every digest is compared in constant time, so the time of a refusal tells
    # nothing about the tokens.
    for name, expected in operators.items():
        if hmac.compare_digest(digest, expected):
            found = name
    if token and found:
        return found
    log(events.UNAUTHENTICATED_CALL, path=request.path)
    raise Unauthenticated()
