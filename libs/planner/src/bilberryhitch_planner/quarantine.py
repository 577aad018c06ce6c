"""The workers in quarantine, and who may use them nevertheless.

They may be sound, and the only ones with room. So long-running units may use them after
a while, urgent ones that are within their guarantee after a shorter one, and others
if the service is under half in use.
"""

from collections.abc import Mapping, Sequence

from .guarantees import Guarantees
from .pool_usage import is_underused
from .units import Unit
from .workers import Worker

# How long a unit waits for the end of the quarantines. The platform allows a wait of
# 3 s beside free capacity.
MAX_QUARANTINE_WAIT_S = 2.0
# The same for an urgent unit within its guarantee. It has to begin within 2.7 s, of
# which stopping other work takes 0.9 s.
GUARANTEED_WAIT_S = 1.0


# How long a service must have been under half in use. In a busy one each end of a wide
# gang leaves that much free for a moment.
MIN_UNDERUSED_S = 1.0


class Quarantine:
    """Quarantined workers by service."""

    def __init__(self) -> None:
        self._workers: Mapping[str, Sequence[Worker]] = {}
        # Monotonic time since which a service with such workers is under half in use.
        self._underused_since: dict[str, float] = {}

    def update(
        self,
        workers: Mapping[str, Sequence[Worker]],
        usable: Mapping[str, Sequence[Worker]],
        now: float,
    ) -> None:
        """Set the workers in quarantine.

        :param workers: those that would get runs otherwise, by service
        :param usable: the workers that may get runs, by service
        """
        self._workers = workers
        self._underused_since = {
            service: self._underused_since.get(service, now)
            for service, members in workers.items()
            if is_underused([*members, *usable.get(service, ())])
        }

    def workers(self, service: str) -> Sequence[Worker]:
        """Return the quarantined workers of a service."""
        return self._workers.get(service, ())

    def lets_in(self, unit: Unit, guarantees: Guarantees, now: float) -> bool:
        """Return whether a unit has waited for so long that any worker will do."""
        waited_s = now - unit.waiting_since
        if unit.step.step.long_running:
            return waited_s > MAX_QUARANTINE_WAIT_S
        queue = unit.step.job.queue
        urgent = queue.priority == 0 and waited_s > GUARANTEED_WAIT_S
        if urgent and guarantees.covers(unit):
            return True
        underused_s = now - self._underused_since.get(queue.service, now)
        return waited_s > MAX_QUARANTINE_WAIT_S and underused_s > MIN_UNDERUSED_S
