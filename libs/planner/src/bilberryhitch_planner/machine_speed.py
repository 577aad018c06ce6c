"""Estimates speeds of machines and lengths of steps from rates of progress.

The logarithm of a run's rate is that of its machine's speed less that of its step's
length, give or take the unevenness of tasks. Neither is known, so both are estimated
together by Gaussian belief propagation over the pairs of a machine and a step: a pair
tells its machine the speed that follows from the length as all other machines show
it, and its step the length that follows from all other evidence of the machine's
speed. A pair's message replaces its former one, so that evidence counts once.
"""

import math
from collections.abc import Callable

# Standard deviations of logarithms: of the speed of an unknown machine, of a stated
# estimate, and of the work of the tasks of one step, which differs by up to 30 %.
UNKNOWN_SPEED_ERROR = 0.35
ESTIMATE_ERROR = 0.4
UNEVENNESS = 0.17
# Evidence of ended steps counts up to this certainty, so that old evidence gives way.
MIN_SPEED_ERROR = 0.06
# Errors of one run's measured progress in percent and of its time in seconds.
PERCENT_ERROR = 0.5
TIME_ERROR_S = 0.04
# Less progress shows nothing.
MIN_PERCENT = 2.0
# Evidence that contradicts all other by more, in squared standard deviations, counts
# less: the estimate may be far off, or the run hampered.
MAX_SURPRISE = 6.0
# Speeds of machines are between this one and its inverse.
MIN_LASTING_SPEED = 1 / 3

UNKNOWN_PRECISION = UNKNOWN_SPEED_ERROR**-2
MAX_BASE_PRECISION = MIN_SPEED_ERROR**-2


class StepLength:
    """Belief about the logarithm of a step's run time on an average machine.

    :param estimate_s: stated run time in seconds
    :param over: returns whether no task of the step remains
    :ivar over: that function
    :ivar precision: inverse of the variance
    :ivar weighted: mean times precision
    """

    __slots__ = ("over", "precision", "weighted")

    def __init__(self, estimate_s: float, over: Callable[[], bool]) -> None:
        self.over = over
        self.precision = ESTIMATE_ERROR**-2
        self.weighted = self.precision * math.log(max(estimate_s, TIME_ERROR_S))

    @property
    def mean(self) -> float:
        """Logarithm of the expected run time in seconds."""
        return self.weighted / self.precision

    @property
    def variance(self) -> float:
        """Variance of that logarithm."""
        return 1 / self.precision


class Pair:
    """Evidence of the runs of one step on one machine.

    :ivar length: of the step
    :ivar precision: of the mean logarithm of the runs' rates
    :ivar weighted: that mean times its precision
    """

    __slots__ = (
        "length",
        "precision",
        "to_length_precision",
        "to_length_weighted",
        "to_machine_precision",
        "to_machine_weighted",
        "weighted",
    )

    def __init__(self, length: StepLength) -> None:
        self.length = length
        self.precision = 0.0
        self.weighted = 0.0
        self.to_machine_precision = 0.0
        self.to_machine_weighted = 0.0
        self.to_length_precision = 0.0
        self.to_length_weighted = 0.0

    def withdraw(self) -> None:
        """Take its message back from the step."""
        self.length.precision -= self.to_length_precision
        self.length.weighted -= self.to_length_weighted
        self.to_length_precision = self.to_length_weighted = 0.0


class RunPace:
    """Undisturbed progress of one run.

    :ivar pair: of its machine and its step
    :ivar seen_percent: progress when it was last looked at
    :ivar seen_s: that time on the worker's clock; None before it is known to work
    :ivar percent: progress in undisturbed time
    :ivar time_s: undisturbed time in seconds
    """

    __slots__ = (
        "_precision",
        "_weighted",
        "pair",
        "percent",
        "seen_percent",
        "seen_s",
        "time_s",
    )

    def __init__(self, pair: Pair, seen_percent: float, seen_s: float | None) -> None:
        self.pair = pair
        self.seen_percent = seen_percent
        self.seen_s = seen_s
        self.percent = 0.0
        self.time_s = 0.0
        self._precision = 0.0
        self._weighted = 0.0

    @property
    def variance(self) -> float:
        """Variance of the logarithm of its measured rate."""
        return (PERCENT_ERROR / self.percent) ** 2 + (TIME_ERROR_S / self.time_s) ** 2

    @property
    def rate(self) -> float:
        """Measured progress in percent per second."""
        return self.percent / self.time_s

    def add(self, percent: float, time_s: float) -> None:
        """Add progress that was made in undisturbed time."""
        self.percent += percent
        self.time_s += time_s
        if self.percent < MIN_PERCENT:
            return
        precision = 1 / (UNEVENNESS**2 + self.variance)
        weighted = precision * math.log(self.rate / 100)
        self.pair.precision += precision - self._precision
        self.pair.weighted += weighted - self._weighted
        self._precision, self._weighted = precision, weighted

    def restart(self, pair: Pair) -> None:
        """Drop what it has shown; its later progress counts for a new pair."""
        self.pair = pair
        self.percent = self.time_s = 0.0
        self._precision = self._weighted = 0.0


class MachineSpeed:
    """Belief about a machine's lasting speed, and its passing disturbance.

    :param mean: logarithm of its expected speed
    :param error: standard deviation of that logarithm
    :ivar mean: logarithm of its lasting speed
    :ivar variance: variance of that logarithm
    :ivar disturbance: logarithm of the factor by which its speed now differs; 0 or less
    :ivar disturbed_since: monotonic time at which the disturbance was noticed
    :ivar disturbed_at: monotonic time of its last evidence
    """

    __slots__ = (
        "_base_precision",
        "_base_weighted",
        "_pairs",
        "disturbance",
        "disturbed_at",
        "disturbed_since",
        "mean",
        "variance",
    )

    def __init__(self, mean: float = 0.0, error: float = UNKNOWN_SPEED_ERROR) -> None:
        self._base_precision = error**-2
        self._base_weighted = mean * self._base_precision
        self._pairs: dict[StepLength, Pair] = {}
        self.mean = mean
        self.variance = error**2
        self.disturbance = 0.0
        self.disturbed_since = 0.0
        self.disturbed_at = 0.0

    @property
    def error(self) -> float:
        """Standard deviation of the logarithm of its lasting speed."""
        return math.sqrt(self.variance)

    def pair(self, length: StepLength) -> Pair:
        """Return the evidence of a step's runs on this machine."""
        return self._pairs.setdefault(length, Pair(length))

    def lengths(self) -> list[StepLength]:
        """Return the lengths of the steps that it has evidence of."""
        return list(self._pairs)

    def settle(self, length: StepLength) -> None:
        """Keep what a step has shown for good; the step is over."""
        pair = self._pairs.pop(length)
        self._base_precision += pair.to_machine_precision
        self._base_weighted += pair.to_machine_weighted
        if self._base_precision > MAX_BASE_PRECISION:
            self._base_weighted *= MAX_BASE_PRECISION / self._base_precision
            self._base_precision = MAX_BASE_PRECISION

    def doubt(self) -> None:
        """Drop the evidence of the present runs and count what was known as little."""
        for pair in self._pairs.values():
            pair.withdraw()
        self._pairs = {}
        if self._base_precision > UNKNOWN_PRECISION:
            self._base_weighted *= UNKNOWN_PRECISION / self._base_precision
            self._base_precision = UNKNOWN_PRECISION

    def update(self) -> None:
        """Exchange messages with the steps and update the estimate."""
        precision, weighted = self._base_precision, self._base_weighted
        for pair in self._pairs.values():
            precision += pair.to_machine_precision
            weighted += pair.to_machine_weighted
        for pair in self._pairs.values():
            if not pair.precision:
                continue
            length, rate = pair.length, pair.weighted / pair.precision
            others_precision = precision - pair.to_machine_precision
            others_mean = (weighted - pair.to_machine_weighted) / others_precision
            steps_precision = length.precision - pair.to_length_precision
            steps_mean = (length.weighted - pair.to_length_weighted) / steps_precision

            surprise = (rate + steps_mean - others_mean) ** 2 / (
                1 / pair.precision + 1 / steps_precision + 1 / others_precision
            )
            weight = MAX_SURPRISE / max(surprise, MAX_SURPRISE)

            told = weight / (1 / pair.precision + 1 / steps_precision)
            precision += told - pair.to_machine_precision
            weighted += told * (rate + steps_mean) - pair.to_machine_weighted
            pair.to_machine_precision = told
            pair.to_machine_weighted = told * (rate + steps_mean)

            told = weight / (1 / pair.precision + 1 / others_precision)
            length.precision += told - pair.to_length_precision
            length.weighted += told * (others_mean - rate) - pair.to_length_weighted
            pair.to_length_precision = told
            pair.to_length_weighted = told * (others_mean - rate)
        limit = -math.log(MIN_LASTING_SPEED)
        self.mean = min(max(weighted / precision, -limit), limit)
        self.variance = max(1 / precision, MIN_SPEED_ERROR**2)
