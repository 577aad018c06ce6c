"""Workers with room for a task, found once for each demand in a scheduling round."""

from collections.abc import Sequence

from bilberryhitch_jobs import Resources, Step

from .placement import workers_with_room
from .workers import Worker


class RoomyWorkers:
    """Workers of one scheduling round that have room, by demand.

    Within a round room only shrinks, so who had none for a demand has none later.
    """

    def __init__(self) -> None:
        # With the workers that were searched, which keeps their identity from reuse.
        self._found: dict[
            tuple[int, Resources, bool], tuple[Sequence[Worker], list[Worker]]
        ] = {}

    def workers(self, workers: Sequence[Worker], step: Step) -> list[Worker]:
        """Return the workers on which at least one task of a step fits."""
        key = id(workers), step.demand, step.uses_idle_cpu
        searched, left = self._found.get(key, (workers, workers))
        found = workers_with_room(left, step)
        self._found[key] = searched, found
        return found
