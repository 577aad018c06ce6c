"""HTTP client of the platform: table service, object store and host list."""

import asyncio
import io
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from bilberryhitch_model import Host, decode
from bilberryhitch_model.errors import (
    BadInput,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from expression import Error, Ok, Result
from yarl import URL

from .interfaces import Expect, Page, Row, Write
from .retry_budget import RetryBudget
from .wire import (
    EFFECT_HEADER,
    MAX_TRANSACTION_BYTES,
    NO_EFFECT,
    Committed,
    Conflicted,
    PageAnswer,
    RowAnswer,
    Transaction,
    WireExpect,
    to_wire_write,
)

T = TypeVar("T")

MAX_CONNECTIONS = 16
MAX_READ_ATTEMPTS = 3
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
# Raised before any byte of the request is sent, so the call had no effect.
CONNECT_FAILURES = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSPORT_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _HttpResponse(NamedTuple):
    status: int
    body: bytes
    no_effect: bool


class PlatformClient:
    """Client of the platform; implements TableService, ObjectStore and HostList.

    :param base_url: for example ``http://10.0.0.1:7400``
    :param token: bearer token, or empty for none
    :param timeout_s: timeout of each write, and of each pause in the response to a
        read, which may be large; connecting may take half of it
    :param rng: source of the jitter between retries of reads
    :param retry_budget: budget for retries of reads; by default one with ``rng``
    """

    def __init__(
        self,
        base_url: str,
        *,
        token: str = "",
        timeout_s: float = 2.0,
        rng: random.Random | None = None,
        retry_budget: RetryBudget | None = None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._timeout_s = timeout_s
        self._retry_budget = retry_budget or RetryBudget(rng or random.Random())
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool; connections are established on demand."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
            headers=self._headers,
        )

    async def close(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``.

        :raises StoreUnavailable: no attempt got a valid response
        """
        response = await self._read("get", "/v1/tables/row", {"key": key})
        row = _decode_body("get", RowAnswer, response.body).row
        return None if row is None else row.to_row()

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return one page of rows under ``prefix`` written after ``since``.

        :raises StoreUnavailable: no attempt got a valid response
        """
        query = {
            "prefix": prefix,
            "since": str(since),
            "after": after,
            "limit": str(limit),
        }
        response = await self._read("scan", "/v1/tables/rows", query)
        return _decode_body("scan", PageAnswer, response.body).to_page()

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Send a transaction once.

        :returns: the new revision, or the first condition that failed
        :raises BadInput: if the body exceeds ``MAX_TRANSACTION_BYTES``
        :raises StoreUnavailable: it was not applied
        :raises StoreAnswerLost: it may have been applied
        """
        call = "transact"
        transaction = Transaction(
            [WireExpect(expect.key, expect.revision) for expect in expects],
            [to_wire_write(write) for write in writes],
        )
        body = msgspec.json.encode(transaction)
        if len(body) > MAX_TRANSACTION_BYTES:
            raise BadInput("transaction", len(body), "larger than the platform takes")
        response = await self._write(call, "POST", "/v1/tables/transactions", body)
        try:
            if response.status == HTTP_OK:
                committed = msgspec.json.decode(response.body, type=Committed)
                return Ok(committed.revision)
            if response.status == HTTP_CONFLICT:
                conflict = msgspec.json.decode(response.body, type=Conflicted)
                return Error(StoreConflict(conflict.key, conflict.found_revision))
        except msgspec.DecodeError as error:
            raise StoreAnswerLost(call) from error
        raise StoreAnswerLost(call)

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object; the call is idempotent.

        :raises StoreUnavailable: it was not stored
        :raises StoreAnswerLost: it may have been stored
        """
        response = await self._write("put_object", "PUT", _object_path(key), body)
        if response.status != HTTP_OK:
            raise StoreAnswerLost("put_object")

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``.

        :raises StoreUnavailable: no attempt got a valid response
        """
        response = await self._read("get_object", _object_path(key), {})
        return None if response.status == HTTP_NOT_FOUND else response.body

    async def list_hosts(self) -> list[Host]:
        """Return all hosts of the platform's list.

        :raises StoreUnavailable: no attempt got a valid response
        """
        response = await self._read("list_hosts", "/v1/hosts", {})
        try:
            return decode(list[Host], response.body)
        except BadInput as error:
            raise StoreUnavailable("list_hosts") from error

    async def _write(
        self, call: str, method: str, path: str, body: bytes
    ) -> _HttpResponse:
        """Send a write once.

        :raises StoreUnavailable: it had no effect
        :raises StoreAnswerLost: it may have taken effect
        """
        try:
            response = await self._exchange(method, path, {}, body)
        except CONNECT_FAILURES as error:
            raise StoreUnavailable(call) from error
        except TRANSPORT_FAILURES as error:
            raise StoreAnswerLost(call) from error
        if response.no_effect:
            raise StoreUnavailable(call)
        return response

    async def _read(
        self, call: str, path: str, query: Mapping[str, str]
    ) -> _HttpResponse:
        """Send a read and retry it within the retry budget."""
        self._retry_budget.record_call()
        for attempt in range(MAX_READ_ATTEMPTS):
            try:
                response = await self._exchange("GET", path, query, None)
                if response.status == HTTP_OK or _is_absent(response):
                    return response
            except TRANSPORT_FAILURES:
                pass
            if attempt == MAX_READ_ATTEMPTS - 1 or not self._retry_budget.take_retry():
                break
            await asyncio.sleep(self._retry_budget.delay_s(attempt))
        raise StoreUnavailable(call)

    async def _exchange(
        self, method: str, path: str, query: Mapping[str, str], body: bytes | None
    ) -> _HttpResponse:
        if self._session is None:
            raise StoreUnavailable("client is not started")
        url = URL(self._base_url + path, encoded=True).with_query(dict(query))
        # aiohttp warns about ``bytes`` above 1 MiB; it sends a buffer in chunks.
        data = None if body is None else io.BytesIO(body)
        timeout = aiohttp.ClientTimeout(
            total=None if body is None else self._timeout_s,
            connect=self._timeout_s / 2,
            sock_read=self._timeout_s,
        )
        async with self._session.request(
            method, url, data=data, timeout=timeout
        ) as http_response:
            response_body = await http_response.read()
            no_effect = http_response.headers.get(EFFECT_HEADER) == NO_EFFECT
            return _HttpResponse(http_response.status, response_body, no_effect)


def _is_absent(response: _HttpResponse) -> bool:
    """Whether the 404 comes from the platform and not from a proxy before it."""
    return response.status == HTTP_NOT_FOUND and response.no_effect


def _object_path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="")


def _decode_body(call: str, schema: type[T], body: bytes) -> T:
    try:
        return msgspec.json.decode(body, type=schema)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(call) from error
