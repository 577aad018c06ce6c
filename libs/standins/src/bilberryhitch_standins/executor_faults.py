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
    """One fault.

    :param seconds: delay of ``slow``
    :param times: how many requests it affects; 0 means until it is cleared
    :param extra_bytes: what ``over_long`` appends to the answer
    """

    kind: FaultKind
    seconds: float = 0.0
    times: int = 0
    extra_bytes: int = DEFAULT_EXTRA_BYTES


class ExecutorFaults:
    """The faults now in force; one of each kind."""

    def __init__(self) -> None:
        self._faults: dict[str, ExecutorFault] = {}
        self._running = asyncio.Event()
        self._running.set()

    def put(self, fault: ExecutorFault) -> None:
        """Set a fault, replacing one of the same kind."""
        self._faults[fault.kind] = fault
        if fault.kind == "pause":
            self._running.clear()

    def clear(self) -> None:
        """Remove every fault and let paused requests go on."""
        self._faults.clear()
        self._running.set()

    def take(self, kind: FaultKind) -> ExecutorFault | None:
        """Return the fault if it affects this request, counting it down."""
        fault = self._faults.get(kind)
        if fault is None:
            return None
        if fault.times == 1:
            del self._faults[kind]
        elif fault.times > 1:
            self._faults[kind] = fault._replace(times=fault.times - 1)
        return fault

    async def unpaused(self) -> None:
        """Wait while ``pause`` is set."""
        await self._running.wait()

    def active(self) -> list[str]:
        """Return the kinds in force, sorted."""
        return sorted(self._faults)
