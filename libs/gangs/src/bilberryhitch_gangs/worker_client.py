"""Calls to workers: the interface, its records and the HTTP client."""

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol, TypeVar

import aiohttp
from bilberryhitch_model import Host, from_plain
from bilberryhitch_model.errors import (
    BadInput,
    StaleToken,
    WorkerRefused,
    WorkerUnreachable,
)

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


class LeaseView(NamedTuple):
    """A worker's report of one lease.

    :param state: ``reserved``, ``running``, ``held`` at its checkpoint,
        ``finished``, ``failed``, ``stopped``, ``lapsed`` or ``absent``
    :param started: whether the task has started under the lease
    :param boot_id: the worker's current boot
    """

    attempt_id: str
    state: str
    started: bool
    detail: str = ""
    boot_id: str = ""


class WorkerView(NamedTuple):
    """A worker's report of all its leases.

    :param boot_id: the worker's current boot
    :param highest: highest fencing token that the worker has seen
    """

    boot_id: str
    highest: int
    leases: tuple[LeaseView, ...] = ()


class Reservation(NamedTuple):
    """Resources to reserve on one worker.

    :param accelerators: indices of the accelerators
    :param term_s: lease term in seconds
    """

    attempt_id: str
    accelerators: tuple[int, ...]
    cores: int
    memory_gb: int
    term_s: float


class WorkerClient(Protocol):
    """Calls to workers, each with a timeout.

    ``token`` is the planner's fencing token. Every call may raise
    :class:`StaleToken` (the worker has seen a higher token),
    :class:`WorkerRefused` (without effect) or :class:`WorkerUnreachable` (it may
    have had an effect).
    """

    async def reserve(self, host: Host, token: int, wanted: Reservation) -> LeaseView:
        """Reserve resources under a new lease; no task starts yet."""

    async def start_task(
        self, host: Host, token: int, attempt_id: str, run: str, saved: str
    ) -> LeaseView:
        """Start the task, from the checkpoint ``saved`` unless it is empty."""

    async def renew(
        self, host: Host, token: int, attempt_ids: Sequence[str], term_s: float
    ) -> WorkerView:
        """Renew the given leases; return the state of every lease."""

    async def checkpoint(
        self, host: Host, token: int, attempt_id: str, saved: str
    ) -> LeaseView:
        """Save the task's state under the key ``saved`` and suspend the task."""

    async def throttle(
        self, host: Host, token: int, attempt_id: str, speed: float
    ) -> LeaseView:
        """Run the task at the fraction ``speed`` of its full speed."""

    async def stop(self, host: Host, token: int, attempt_id: str) -> LeaseView:
        """End the lease; the answer says whether its task ever started."""

    async def release(self, host: Host, token: int, attempt_id: str) -> None:
        """Delete the lease and its result from the worker."""

    async def state(self, host: Host) -> WorkerView:
        """Return every lease, without presenting a token."""


class HttpWorkerClient:
    """Worker client over HTTP with one connection pool for all workers.

    :param timeout_s: limit of a whole call, in seconds
    """

    def __init__(self, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def reserve(self, host: Host, token: int, wanted: Reservation) -> LeaseView:
        """Reserve resources under a new lease; no task starts yet."""
        body = {"token": token, **wanted._asdict()}
        return await self._lease_call(host, "/v1/leases", body)

    async def start_task(
        self, host: Host, token: int, attempt_id: str, run: str, saved: str
    ) -> LeaseView:
        """Start the task, from the checkpoint ``saved`` unless it is empty."""
        body = {"attempt_id": attempt_id, "token": token, "run": run}
        if saved:
            body["saved"] = saved
        return await self._lease_call(host, "/v1/leases/start", body)

    async def renew(
        self, host: Host, token: int, attempt_ids: Sequence[str], term_s: float
    ) -> WorkerView:
        """Renew the given leases; return the state of every lease."""
        body = {"token": token, "attempt_ids": list(attempt_ids), "term_s": term_s}
        return self._read(host, WorkerView, await self._call(host, "/v1/renew", body))

    async def checkpoint(
        self, host: Host, token: int, attempt_id: str, saved: str
    ) -> LeaseView:
        """Save the task's state under the key ``saved`` and suspend the task."""
        body = {"attempt_id": attempt_id, "token": token, "saved": saved}
        return await self._lease_call(host, "/v1/leases/checkpoint", body)

    async def throttle(
        self, host: Host, token: int, attempt_id: str, speed: float
    ) -> LeaseView:
        """Run the task at the fraction ``speed`` of its full speed."""
        body = {"attempt_id": attempt_id, "token": token, "speed": speed}
        return await self._lease_call(host, "/v1/leases/throttle", body)

    async def stop(self, host: Host, token: int, attempt_id: str) -> LeaseView:
        """End the lease; the answer says whether its task ever started."""
        body = {"attempt_id": attempt_id, "token": token}
        return await self._lease_call(host, "/v1/leases/stop", body)

    async def release(self, host: Host, token: int, attempt_id: str) -> None:
        """Delete the lease and its result from the worker."""
        body = {"attempt_id": attempt_id, "token": token}
        await self._call(host, "/v1/leases/release", body)

    async def state(self, host: Host) -> WorkerView:
        """Return every lease, without presenting a token."""
        return self._read(host, WorkerView, await self._call(host, "/v1/state", None))

    async def _lease_call(
        self, host: Host, path: str, body: dict[str, Any]
    ) -> LeaseView:
        return self._read(host, LeaseView, await self._call(host, path, body))

    async def _call(self, host: Host, path: str, body: dict[str, Any] | None) -> Any:
        if self._session is None:
            raise WorkerUnreachable(host.name)
        method = "GET" if body is None else "POST"
        url = f"http://{host.address}{path}"
        try:
            async with self._session.request(method, url, json=body) as answer:
                plain = await answer.json()
                status = answer.status
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise WorkerUnreachable(host.name) from error
        return self._check(host, status, plain)

    @staticmethod
    def _check(host: Host, status: int, plain: Any) -> Any:
        if status == HTTP_OK:
            return plain
        if status >= HTTP_SERVER_ERROR or not isinstance(plain, dict):
            raise WorkerUnreachable(host.name)
        if status == HTTP_CONFLICT and "highest" in plain:
            raise StaleToken(host.name, int(plain["highest"]))
        raise WorkerRefused(host.name, str(plain.get("reason", status)))

    @staticmethod
    def _read(host: Host, kind: type[T], plain: Any) -> T:
        try:
            return from_plain(kind, plain)
        except BadInput as error:
            raise WorkerUnreachable(host.name) from error
