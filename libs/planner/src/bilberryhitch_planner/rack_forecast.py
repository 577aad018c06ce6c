"""When the workers of a rack have room for the tasks of a gang, in order of time.

Waiting gangs are compared with all racks in every round. What a rack offers for a
demand is kept until the runs on one of its workers change or an expected end passes.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from bilberryhitch_jobs import Step

from .forecast import DemandKey, Forecast, demand_key, forecast
from .placement import total_slots
from .workers import Worker

# Expected time of the room, minus infinity if it is there; free accelerators, negated;
# identifier of the worker; number of tasks.
Offer = tuple[float, int, str, int]


class _Known(NamedTuple):
    """Offers of a rack for one demand.

    :param forecasts: forecasts from which they were made
    :param until: monotonic time at which the next offer is due, or at which they were
        made if a forecast does not last
    """

    forecasts: list[Forecast]
    until: float
    offers: list[Offer]


class RackForecast:
    """Offers of the workers of one rack.

    :param workers: workers of the rack, always the same ones
    """

    def __init__(self, workers: Sequence[Worker]) -> None:
        self._workers = workers
        self._known: dict[tuple[DemandKey, bool], _Known] = {}

    def offers(self, step: Step, now: float, *, isolated: bool) -> list[Offer]:
        """Return the workers on which tasks of a step will fit, the soonest first.

        :param isolated: only idle workers will do
        """
        key = demand_key(step), isolated
        known = self._known.get(key)
        if (
            known is not None
            and now < known.until
            and known.forecasts == [worker.forecast for worker in self._workers]
        ):
            return known.offers
        known = self._known[key] = self._compute(step, key[0], now, isolated)
        return known.offers

    def _compute(
        self, step: Step, key: DemandKey, now: float, isolated: bool
    ) -> _Known:
        forecasts: list[Forecast] = []
        offers: list[Offer] = []
        until = math.inf
        for worker in self._workers:
            expected = forecast(worker, now)
            forecasts.append(expected)
            if not expected.lasts:
                until = now
            if isolated:
                at, count = expected.idle_at, total_slots(worker, step)
            else:
                at, count = expected.available_at(step, key)
            if count <= 0 or at == math.inf:
                continue
            if at <= now:
                at = -math.inf
            else:
                until = min(until, at)
            offers.append((at, -worker.free.gpu, worker.entry.worker, count))
        offers.sort()
        return _Known(forecasts, until, offers)
