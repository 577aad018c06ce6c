"""HTTP client with which the commands call the API of an entry host."""

import argparse
import os
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec

from .arguments import DEFAULT_API


class ApiResponse(NamedTuple):
    """A response of the API.

    :param status: HTTP status
    :param outcome: value of the ``Bilberryhitch-Outcome`` header, or empty
    """

    status: int
    body: bytes
    outcome: str

    @property
    def json(self) -> Any:
        """The decoded JSON body, or ``None`` if the body is empty."""
        return msgspec.json.decode(self.body) if self.body else None


class ApiClient:
    """Sends HTTP requests to one entry host, or to a load balancer before several.

    :param api: base URL
    :param token: bearer token sent with every HTTP request, or empty
    """

    def __init__(self, api: str, token: str) -> None:
        self._api = api.rstrip("/")
        self._token = token
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        self._session = aiohttp.ClientSession(headers=headers)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> ApiResponse:
        """Send one HTTP request.

        :param path: path and query
        :param body: sent unchanged if it is ``bytes``, otherwise encoded as JSON
        :raises aiohttp.ClientError: the entry host did not respond
        """
        if self._session is None:
            raise RuntimeError("start() was not called")
        data = body if isinstance(body, bytes) or body is None else _encode_json(body)
        async with self._session.request(
            method, self._api + path, data=data, headers=headers
        ) as response:
            return ApiResponse(
                response.status,
                await response.read(),
                response.headers.get("Bilberryhitch-Outcome", ""),
            )


def make_client(arguments: argparse.Namespace) -> ApiClient:
    """Return a client configured by options and environment variables.

    :raises OSError: the token file cannot be read
    """
    api = arguments.api or os.environ.get("BILBERRYHITCH_API", "") or DEFAULT_API
    if arguments.token_file:
        token = Path(arguments.token_file).read_text(encoding="utf-8").strip()
    else:
        token = os.environ.get("BILBERRYHITCH_TOKEN", "")
    return ApiClient(api, token)


def _encode_json(body: Any) -> bytes:
    return msgspec.json.encode(body)
