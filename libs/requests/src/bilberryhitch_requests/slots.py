"""Slots of the executors that this entry host owns."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

from bilberryhitch_membership import owner as rendezvous_owner
from bilberryhitch_model import Host, Identity, Pool

from .ports import ConfigView, MembershipView

# The client keeps at most one connection per slot in use, so the executor's
# limit of 64 connections leaves room for owners with a wrong view.
SLOTS_PER_EXECUTOR = 8
FIRST_HOLD_S = 0.25
MAX_HOLD_S = 2.0

Owner = Callable[[str, Sequence[str]], str]


class _Executor:
    """What this host knows of one executor."""

    def __init__(self, host: Host, slots: int) -> None:
        self.host = host
        self.slots = slots
        self.busy = 0
        self.failures = 0
        self.held_until_s = 0.0
        self.needs_probe = False
        self.probing = False

    def free(self) -> int:
        """Return how many more requests may be sent to it now."""
        return 0 if self.needs_probe else self.slots - self.busy


class Lease:
    """One slot of an executor; released once."""

    def __init__(self, executor: _Executor, released: Callable[[], None]) -> None:
        self._executor = executor
        self._released = released
        self._held = True
        executor.busy += 1

    @property
    def host(self) -> Host:
        """The executor."""
        return self._executor.host

    def release(self) -> None:
        """Give the slot back."""
        if not self._held:
            return
        self._held = False
        self._executor.busy -= 1
        self._released()


class ExecutorSlots:
    """Grants slots of owned executors and takes failing executors out.

    :param released: called whenever a slot may have become free
    """

    def __init__(
        self,
        identity: Identity,
        config: ConfigView,
        membership: MembershipView,
        *,
        released: Callable[[], None],
        owner: Owner = rendezvous_owner,
        slots_per_executor: int = SLOTS_PER_EXECUTOR,
    ) -> None:
        self._slots_per_executor = slots_per_executor
        self._identity = identity
        self._config = config
        self._membership = membership
        self._released = released
        self._owner = owner
        self._executors: dict[str, _Executor] = {}
        self._owned: set[str] = set()
        self._owners: dict[str, str] = {}

    def refresh(self) -> None:
        """Take over the current view of executors and of their owners."""
        data_centre = self._identity.data_centre
        entry_hosts = self._membership.entry_hosts(data_centre)
        usable = self._membership.endpoints("executor", data_centre)
        self._owners = {
            host.name: self._owner(host.name, entry_hosts)
            for host in usable
            if entry_hosts
        }
        self._owned = {
            name for name, owner in self._owners.items() if owner == self._identity.host
        }
        for host in usable:
            self._note_host(host)
        for name, executor in list(self._executors.items()):
            if name not in self._owners and not executor.busy:
                del self._executors[name]

    def owns_any(self, pool: str) -> bool:
        """Return whether this host owns an executor of the pool."""
        return any(name in self._owned for name in self._names(pool))

    def owners(self, pool: str) -> Mapping[str, int]:
        """Return how many executors of the pool each entry host owns."""
        return Counter(
            self._owners[name] for name in self._names(pool) if name in self._owners
        )

    def take(self, pool: str) -> Lease | None:
        """Return a slot of the executor with the most free slots, if any."""
        best = max(self._usable(pool), key=_Executor.free, default=None)
        if best is None or best.free() <= 0:
            return None
        return Lease(best, self._released)

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by request pool."""
        return {
            pool.name: sum(max(0, each.free()) for each in self._usable(pool.name))
            for pool in self._config.tables_view.pools.values()
            if pool.work == "request"
        }

    def succeeded(self, name: str) -> None:
        """An executor answered a request."""
        executor = self._executors.get(name)
        if executor is not None:
            executor.failures = 0

    def failed(self, name: str) -> None:
        """An executor refused or lost a request: out until a probe answers."""
        executor = self._executors.get(name)
        if executor is None or executor.needs_probe:
            return
        now = asyncio.get_running_loop().time()
        hold_s = min(MAX_HOLD_S, FIRST_HOLD_S * 2 ** min(executor.failures, 10))
        executor.failures += 1
        executor.held_until_s = now + hold_s
        executor.needs_probe = True

    def due_probes(self) -> list[Host]:
        """Return executors to probe now; each is to be reported back."""
        now = asyncio.get_running_loop().time()
        due = [
            each
            for each in self._executors.values()
            if each.needs_probe and not each.probing and each.held_until_s <= now
        ]
        for executor in due:
            executor.probing = True
        return [executor.host for executor in due]

    def probed(self, name: str, *, answered: bool) -> None:
        """Take over the result of a probe."""
        executor = self._executors.get(name)
        if executor is None:
            return
        executor.probing = False
        executor.needs_probe = False
        if not answered:
            self.failed(name)
            return
        self._released()

    def _note_host(self, host: Host) -> None:
        known = self._executors.get(host.name)
        if known is None:
            self._executors[host.name] = _Executor(host, self._slots_per_executor)
            return
        if known.host.boot_id != host.boot_id:
            known.needs_probe = False
            known.failures = 0
        known.host = host

    def _names(self, pool: str) -> Sequence[str]:
        row: Pool | None = self._config.tables_view.pools.get(pool)
        return row.hosts if row is not None else ()

    def _usable(self, pool: str) -> Iterator[_Executor]:
        return (
            self._executors[name]
            for name in self._names(pool)
            if name in self._owned and not self._membership.is_leaving(name)
        )
