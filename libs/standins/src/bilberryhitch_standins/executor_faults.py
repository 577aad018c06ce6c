"""Faults of the executor stand-in, set by tests or over ``/faults``."""

import asyncio
from typing import Literal, NamedTuple, get_args

FaultKind = Literal[
    "slow",
    "pause",
    "drop_before",
    "drop_after",
    "truncate",
    "over_long",
    "wrong_attempt",
    "duplicate",
    "fail",
]
FAULT_KINDS: tuple[str, ...] = get_args(FaultKind)
DEFAULT_EXTRA_BYTES = 2_097_152


class ExecutorFault(NamedTuple):
    """A fault and the number of requests that it affects.

    :param kind: ``slow`` delays the answer; ``pause`` lets requests wait;
        ``drop_before`` and ``drop_after`` close the connection before or after the
        request ran; ``truncate`` sends less than the announced length; ``over_long``
        appends bytes; ``wrong_attempt`` answers with another attempt's identifier;
        ``duplicate`` sends the answer twice; ``fail`` answers with status 500
    :param seconds: delay of ``slow``, in seconds
    :param times: number of requests that it affects; 0 for all until it is cleared;
        ignored for ``pause``, which always lasts until it is cleared
    :param extra_bytes: number of bytes that ``over_long`` appends to the answer
    """

    kind: FaultKind
    seconds: float = 0.0
    times: int = 0
    extra_bytes: int = DEFAULT_EXTRA_BYTES


class ExecutorFaults:
    """Active faults, at most one of each kind."""

    def __init__(self) -> None:
        self._faults: dict[str, ExecutorFault] = {}
        self._unpaused = asyncio.Event()
        self._unpaused.set()

    def put(self, fault: ExecutorFault) -> None:
        """Set a fault, replacing one of the same kind."""
        self._faults[fault.kind] = fault
        if fault.kind == "pause":
            self._unpaused.clear()

    def clear(self) -> None:
        """Remove all faults and resume paused requests."""
        self._faults.clear()
        self._unpaused.set()

    def consume(self, kind: FaultKind) -> ExecutorFault | None:
        """Return the fault if it is active, and count one affected request."""
        fault = self._faults.get(kind)
        if fault is None:
            return None
        if fault.times == 1:
            del self._faults[kind]
        elif fault.times > 1:
            self._faults[kind] = fault._replace(times=fault.times - 1)
        return fault

    async def wait_while_paused(self) -> None:
        """Wait while ``pause`` is set."""
        await self._unpaused.wait()

    def active(self) -> list[str]:
        """Return the kinds of the active faults, sorted."""
        return sorted(self._faults)
