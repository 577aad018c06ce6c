"""The platform over HTTP: table service, object store and host list."""

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
    wire_write,
)

T = TypeVar("T")

MAX_CONNECTIONS = 16
READ_TRIES = 3
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
# Failures raised before the first byte of the request can have left.
BEFORE_SENDING = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSPORT_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _Answer(NamedTuple):
    status: int
    body: bytes
    no_effect: bool


class PlatformClient:
    """Client of the platform; implements TableService, ObjectStore and HostList.

    :param base_url: for example ``http://10.0.0.1:7400``
    :param token: bearer token, or empty for none
    :param timeout_s: limit for each attempt; half of it is for connecting
    :param rng: source of the jitter between retries of reads
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
        self._budget = retry_budget or RetryBudget(rng or random.Random())
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool; connections are made on demand."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
            timeout=aiohttp.ClientTimeout(
                total=self._timeout_s, connect=self._timeout_s / 2
            ),
            headers=self._headers,
        )

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``.

        :raises StoreUnavailable: no answer within the tries
        """
        answer = await self._read("get", "/v1/tables/row", {"key": key})
        row = _decoded("get", RowAnswer, answer.body).row
        return None if row is None else row.to_row()

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return one page of rows under ``prefix`` written after ``since``.

        :raises StoreUnavailable: no answer within the tries
        """
        query = {
            "prefix": prefix,
            "since": str(since),
            "after": after,
            "limit": str(limit),
        }
        answer = await self._read("scan", "/v1/tables/rows", query)
        return _decoded("scan", PageAnswer, answer.body).to_page()

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Send a transaction once.

        :raises StoreUnavailable: it certainly was not applied
        :raises StoreAnswerLost: it may have been applied
        """
        call = "transact"
        transaction = Transaction(
            [WireExpect(expect.key, expect.revision) for expect in expects],
            [wire_write(write) for write in writes],
        )
        body = msgspec.json.encode(transaction)
        if len(body) > MAX_TRANSACTION_BYTES:
            raise BadInput("transaction", len(body), "larger than the platform takes")
        answer = await self._write(call, "POST", "/v1/tables/transactions", body)
        try:
            if answer.status == HTTP_OK:
                committed = msgspec.json.decode(answer.body, type=Committed)
                return Ok(committed.revision)
            if answer.status == HTTP_CONFLICT:
                conflict = msgspec.json.decode(answer.body, type=Conflicted)
                return Error(StoreConflict(conflict.key, conflict.found_revision))
        except msgspec.DecodeError as error:
            raise StoreAnswerLost(call) from error
        raise StoreAnswerLost(call)

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object; repeating the call is harmless.

        :raises StoreUnavailable: it certainly was not stored
        :raises StoreAnswerLost: it may have been stored
        """
        answer = await self._write("put_object", "PUT", _object_path(key), body)
        if answer.status != HTTP_OK:
            raise StoreAnswerLost("put_object")

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``.

        :raises StoreUnavailable: no answer within the tries
        """
        answer = await self._read("get_object", _object_path(key), {})
        return None if answer.status == HTTP_NOT_FOUND else answer.body

    async def list_hosts(self) -> list[Host]:
        """Return every host of the platform's list.

        :raises StoreUnavailable: no answer within the tries
        """
        answer = await self._read("list_hosts", "/v1/hosts", {})
        try:
            return decode(list[Host], answer.body)
        except BadInput as error:
            raise StoreUnavailable("list_hosts") from error

    async def _write(self, call: str, method: str, path: str, body: bytes) -> _Answer:
        """Send once; tell failures without effect from uncertain ones."""
        try:
            answer = await self._exchange(method, path, {}, body)
        except BEFORE_SENDING as error:
            raise StoreUnavailable(call) from error
        except TRANSPORT_FAILURES as error:
            raise StoreAnswerLost(call) from error
        if answer.no_effect:
            raise StoreUnavailable(call)
        return answer

    async def _read(self, call: str, path: str, query: Mapping[str, str]) -> _Answer:
        """Send a read, again within the retry budget."""
        self._budget.record_call()
        for retry in range(READ_TRIES):
            try:
                answer = await self._exchange("GET", path, query, None)
                if answer.status == HTTP_OK or _is_absent(answer):
                    return answer
            except TRANSPORT_FAILURES:
                pass
            if retry == READ_TRIES - 1 or not self._budget.take_retry():
                break
            await asyncio.sleep(self._budget.delay_s(retry))
        raise StoreUnavailable(call)

    async def _exchange(
        self, method: str, path: str, query: Mapping[str, str], body: bytes | None
    ) -> _Answer:
        if self._session is None:
            raise StoreUnavailable("client is not started")
        url = URL(self._base_url + path, encoded=True).with_query(dict(query))
        # aiohttp warns about raw bytes above 1 MiB; a buffer is sent in pieces.
        data = None if body is None else io.BytesIO(body)
        async with self._session.request(method, url, data=data) as response:
            content = await response.read()
            no_effect = response.headers.get(EFFECT_HEADER) == NO_EFFECT
            return _Answer(response.status, content, no_effect)


def _is_absent(answer: _Answer) -> bool:
    """Whether the platform itself, not something before it, found nothing."""
    return answer.status == HTTP_NOT_FOUND and answer.no_effect


def _object_path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="")


def _decoded(call: str, kind: type[T], body: bytes) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(call) from error
