"""Executor client; accepts only complete answers that belong to their attempt."""

import asyncio
from typing import NamedTuple, Protocol

import aiohttp
from bilberryhitch_model import Host
from bilberryhitch_model.errors import ExecutorLost, ExecutorNotAccepted

CONNECTIONS_PER_EXECUTOR = 64
# Shorter than the idle timeouts of HTTP servers, so that a request that cannot be
# retried is not sent on a connection that the executor is about to close.
KEEPALIVE_S = 5.0
NOT_ACCEPTED_STATUS = 503
NOT_ACCEPTED_BODY = b"not accepted"
CHUNK_BYTES = 65_536
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class ExecutorAnswer(NamedTuple):
    """Answer of an executor to one attempt.

    :param status: HTTP status; 200 means that the run succeeded
    :param content_length: value of the Content-Length header, in bytes
    """

    attempt_id: str
    status: int
    content_length: int
    body: bytes
    content_type: str = DEFAULT_CONTENT_TYPE


class ExecutorClient(Protocol):
    """Sends requests and probes to executors."""

    async def call(  # noqa: PLR0917 - one parameter per field of the protocol
        self,
        host: Host,
        attempt_id: str,
        route: str,
        body: bytes,
        content_type: str,
        timeout_s: float,
        max_body_bytes: int,
    ) -> ExecutorAnswer:
        """Run one request.

        :param timeout_s: limit of the whole call
        :param max_body_bytes: limit of the answer's body
        :raises ExecutorNotAccepted: the request did not run
        :raises ExecutorLost: the request may have run; no complete answer came back
        """

    async def probe(self, host: Host, timeout_s: float) -> bool:
        """Return whether the executor responds; runs no request."""


def check_answer(
    answer: ExecutorAnswer, host: str, attempt_id: str, max_body_bytes: int
) -> ExecutorAnswer:
    """Return the answer if it is complete and belongs to the attempt.

    :raises ExecutorLost: the answer is incomplete, too long or of another attempt
    """
    if answer.attempt_id != attempt_id:
        raise ExecutorLost(host, "answer to another attempt")
    if answer.content_length > max_body_bytes:
        raise ExecutorLost(host, "answer longer than the limit of the route")
    if answer.content_length != len(answer.body):
        raise ExecutorLost(host, "answer of another length than announced")
    return answer


class HttpExecutorClient:
    """Executor client over HTTP with persistent connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_PER_EXECUTOR,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def close(self) -> None:
        """Close every connection."""
        if self._session is None:
            return
        session, self._session = self._session, None
        await session.close()

    async def call(  # noqa: PLR0917 - one parameter per field of the protocol
        self,
        host: Host,
        attempt_id: str,
        route: str,
        body: bytes,
        content_type: str,
        timeout_s: float,
        max_body_bytes: int,
    ) -> ExecutorAnswer:
        """Run one request; see :class:`ExecutorClient`."""
        if self._session is None:
            raise ExecutorNotAccepted(host.name, "client is closed")
        headers = {
            "Attempt-Id": attempt_id,
            "Route": route,
            "Content-Type": content_type,
        }
        try:
            async with self._session.post(
                f"http://{host.address}/v1/run",
                data=body,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return await _read(response, host.name, attempt_id, max_body_bytes)
        except aiohttp.ClientConnectorError as error:
            raise _connect_failure(host.name, error) from error
        except TimeoutError as error:
            raise ExecutorLost(host.name, "timed out") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise ExecutorLost(host.name, type(error).__name__) from error

    async def probe(self, host: Host, timeout_s: float) -> bool:
        """Return whether the executor answers HTTP with any status."""
        if self._session is None:
            return False
        try:
            async with self._session.get(
                f"http://{host.address}/v1/run",
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ):
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def _connect_failure(
    host: str, error: aiohttp.ClientConnectorError
) -> ExecutorNotAccepted | ExecutorLost:
    if isinstance(error.os_error, ConnectionRefusedError):
        return ExecutorNotAccepted(host, "connection refused")
    return ExecutorLost(host, type(error.os_error).__name__)


async def _read(
    response: aiohttp.ClientResponse, host: str, attempt_id: str, limit: int
) -> ExecutorAnswer:
    """Read and check an answer; closes the connection if the check fails."""
    try:
        length = response.content_length
        if length is None:
            raise ExecutorLost(host, "answer without Content-Length")
        answer = ExecutorAnswer(
            response.headers.get("Attempt-Id", ""),
            response.status,
            length,
            b"",
            response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        )
        if answer.attempt_id != attempt_id:
            raise ExecutorLost(host, "answer to another attempt")
        if length > limit:
            raise ExecutorLost(host, "answer longer than the limit of the route")
        body = await _read_body(response, length)
        answer = check_answer(answer._replace(body=body), host, attempt_id, limit)
        if answer.status == NOT_ACCEPTED_STATUS and body == NOT_ACCEPTED_BODY:
            raise ExecutorNotAccepted(host, "no free slot or connection")
        return answer
    except (ExecutorLost, asyncio.CancelledError):
        response.close()
        raise


async def _read_body(response: aiohttp.ClientResponse, length: int) -> bytes:
    chunks = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        chunks += chunk
        if len(chunks) > length:
            break
    return bytes(chunks)
