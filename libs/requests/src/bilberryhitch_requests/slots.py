"""Slots of the executors owned by this entry host."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

from bilberryhitch_membership import owner as rendezvous_owner
from bilberryhitch_model import Host, Identity, Pool

from .interfaces import ConfigView, MembershipView

# At most one connection per slot is in use. An executor accepts 64 connections, which
# leaves room for hosts that consider themselves its owner because their view is stale.
SLOTS_PER_EXECUTOR = 8
MIN_PROBE_DELAY_S = 0.25
MAX_PROBE_DELAY_S = 2.0

SelectOwner = Callable[[str, Sequence[str]], str]


class _ExecutorState:
    """Busy slots and failures of one executor."""

    def __init__(self, host: Host, slots: int) -> None:
        self.host = host
        self.slots = slots
        self.busy = 0
        self.failures = 0
        self.probe_after_s = 0.0
        self.needs_probe = False
        self.probing = False

    def free(self) -> int:
        """Return how many more requests may be sent to the executor now."""
        return 0 if self.needs_probe else self.slots - self.busy


class SlotLease:
    """One acquired slot of an executor; releasing it again has no effect."""

    def __init__(
        self, executor: _ExecutorState, on_release: Callable[[], None]
    ) -> None:
        self._executor = executor
        self._on_release = on_release
        self._held = True
        executor.busy += 1

    @property
    def host(self) -> Host:
        """The host of the executor."""
        return self._executor.host

    def release(self) -> None:
        """Free the slot."""
        if not self._held:
            return
        self._held = False
        self._executor.busy -= 1
        self._on_release()


class ExecutorSlots:
    """Hands out slots of owned executors; a circuit breaker excludes failing ones.

    :param on_release: called whenever a slot may have become free
    :param owner: selects the owner of an executor among the entry hosts
    """

    def __init__(
        self,
        identity: Identity,
        config: ConfigView,
        membership: MembershipView,
        *,
        on_release: Callable[[], None],
        owner: SelectOwner = rendezvous_owner,
        slots_per_executor: int = SLOTS_PER_EXECUTOR,
    ) -> None:
        self._slots_per_executor = slots_per_executor
        self._identity = identity
        self._config = config
        self._membership = membership
        self._on_release = on_release
        self._owner = owner
        self._executors: dict[str, _ExecutorState] = {}
        self._owned: set[str] = set()
        self._owner_by_executor: dict[str, str] = {}

    def refresh(self) -> None:
        """Update the executors and their owners from membership."""
        data_centre = self._identity.data_centre
        entry_hosts = self._membership.entry_hosts(data_centre)
        usable = self._membership.endpoints("executor", data_centre)
        self._owner_by_executor = {
            host.name: self._owner(host.name, entry_hosts)
            for host in usable
            if entry_hosts
        }
        self._owned = {
            name
            for name, owner in self._owner_by_executor.items()
            if owner == self._identity.host
        }
        for host in usable:
            self._update_executor(host)
        for name, executor in list(self._executors.items()):
            if name not in self._owner_by_executor and not executor.busy:
                del self._executors[name]

    def owns_any(self, pool: str) -> bool:
        """Return whether this host owns an executor of the pool."""
        return any(name in self._owned for name in self._pool_hosts(pool))

    def executor_counts(self, pool: str) -> Mapping[str, int]:
        """Return how many executors of the pool each entry host owns."""
        return Counter(
            self._owner_by_executor[name]
            for name in self._pool_hosts(pool)
            if name in self._owner_by_executor
        )

    def acquire(self, pool: str) -> SlotLease | None:
        """Acquire a slot of the executor with the most free slots.

        :returns: the lease, or ``None`` if no slot is free
        """
        best = max(self._usable_executors(pool), key=_ExecutorState.free, default=None)
        if best is None or best.free() <= 0:
            return None
        return SlotLease(best, self._on_release)

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by request pool."""
        return {
            pool.name: sum(
                max(0, each.free()) for each in self._usable_executors(pool.name)
            )
            for pool in self._config.tables_view.pools.values()
            if pool.work == "request"
        }

    def record_success(self, name: str) -> None:
        """Record that an executor answered a request."""
        executor = self._executors.get(name)
        if executor is not None:
            executor.failures = 0

    def record_failure(self, name: str) -> None:
        """Exclude an executor that refused or lost a request until a probe succeeds.

        The delay before the probe doubles with each consecutive failure.
        """
        executor = self._executors.get(name)
        if executor is None or executor.needs_probe:
            return
        now = asyncio.get_running_loop().time()
        delay_s = min(
            MAX_PROBE_DELAY_S, MIN_PROBE_DELAY_S * 2 ** min(executor.failures, 10)
        )
        executor.failures += 1
        executor.probe_after_s = now + delay_s
        executor.needs_probe = True

    def take_due_probes(self) -> list[Host]:
        """Return the executors whose probe is due and mark them as being probed.

        The caller must report each result with :meth:`record_probe`.
        """
        now = asyncio.get_running_loop().time()
        due = [
            each
            for each in self._executors.values()
            if each.needs_probe and not each.probing and each.probe_after_s <= now
        ]
        for executor in due:
            executor.probing = True
        return [executor.host for executor in due]

    def record_probe(self, name: str, *, answered: bool) -> None:
        """Record the result of a probe."""
        executor = self._executors.get(name)
        if executor is None:
            return
        executor.probing = False
        executor.needs_probe = False
        if not answered:
            self.record_failure(name)
            return
        self._on_release()

    def _update_executor(self, host: Host) -> None:
        known = self._executors.get(host.name)
        if known is None:
            self._executors[host.name] = _ExecutorState(host, self._slots_per_executor)
            return
        if known.host.boot_id != host.boot_id:
            known.needs_probe = False
            known.failures = 0
        known.host = host

    def _pool_hosts(self, pool: str) -> Sequence[str]:
        row: Pool | None = self._config.tables_view.pools.get(pool)
        return row.hosts if row is not None else ()

    def _usable_executors(self, pool: str) -> Iterator[_ExecutorState]:
        return (
            self._executors[name]
            for name in self._pool_hosts(pool)
            if name in self._owned and not self._membership.is_leaving(name)
        )
