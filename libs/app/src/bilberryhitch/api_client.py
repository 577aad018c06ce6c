"""HTTP client of the command line."""

import argparse
import os
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec

from .arguments import DEFAULT_API


class ApiAnswer(NamedTuple):
    """An answer of the API."""

    status: int
    body: bytes
    outcome: str

    @property
    def json(self) -> Any:
        """The body read as JSON."""
        return msgspec.json.decode(self.body) if self.body else None


class ApiClient:
    """Calls one entry host, or the balancer in front of several.

    :param api: base URL
    :param token: bearer token, sent with every call
    """

    def __init__(self, api: str, token: str) -> None:
        self._api = api.rstrip("/")
        self._token = token
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        self._session = aiohttp.ClientSession(headers=headers)

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> ApiAnswer:
        """Send one call; ``bytes`` bodies go as they are, others as JSON.

        :raises aiohttp.ClientError: the entry host did not answer
        """
        if self._session is None:
            raise RuntimeError("start() was not called")
        data = body if isinstance(body, bytes) or body is None else _json(body)
        async with self._session.request(
            method, self._api + path, data=data, headers=headers
        ) as response:
            return ApiAnswer(
                response.status,
                await response.read(),
                response.headers.get("Bilberryhitch-Outcome", ""),
            )


def client_from_arguments(arguments: argparse.Namespace) -> ApiClient:
    """Return the client that the options and the environment name."""
    api = arguments.api or os.environ.get("BILBERRYHITCH_API", "") or DEFAULT_API
    if arguments.token_file:
        token = Path(arguments.token_file).read_text(encoding="utf-8").strip()
    else:
        token = os.environ.get("BILBERRYHITCH_TOKEN", "")
    return ApiClient(api, token)


def _json(body: Any) -> bytes:
    return msgspec.json.encode(body)
