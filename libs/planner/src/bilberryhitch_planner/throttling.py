"""Throttles tasks that use idle CPU time where they slow down serving tasks."""

from .reports import ThrottleOrder
from .runs import Run, RunState
from .workers import Worker

# Tail latency as a share of its target: tasks are throttled above the first value and
# sped up below the second. The rest is headroom for a sudden rise.
SLOW_DOWN_SHARE = 0.85
SPEED_UP_SHARE = 0.65
# Halving ends a violation within the allowed seconds; slow increases avoid
# oscillation.
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_PERCENT = 10
MIN_PERCENT = 5
FULL_PERCENT = 100
# A change takes effect after about 0.1 s, and the latency is measured over 0.5 s.
THROTTLE_DELAY_S = 0.7
# Orders are repeated: one may have been lost, or an earlier planner set the limit.
REPEAT_INTERVAL_S = 3.0


def shares_cpu(worker: Worker) -> bool:
    """Return whether a worker runs both serving and idle-CPU tasks."""
    kinds = {_workload_kind(run) for run in worker.runs.values()}
    return {"serving", "idle_cpu"} <= kinds


def throttle_orders(worker: Worker, now: float) -> list[ThrottleOrder]:
    """Return the orders that adjust the CPU share of a worker's idle-CPU tasks."""
    runs = [run for run in worker.runs.values() if run.state is RunState.RUNNING]
    idle_cpu_runs = [run for run in runs if _workload_kind(run) == "idle_cpu"]
    serving = [run for run in runs if _workload_kind(run) == "serving"]
    if not idle_cpu_runs:
        return []
    latency_ratio = max((_latency_ratio(run) for run in serving), default=0.0)
    orders = []
    for run in idle_cpu_runs:
        if now - run.throttled_at < THROTTLE_DELAY_S:
            continue
        cpu_percent = (
            _next_cpu_percent(run.cpu_percent, latency_ratio)
            if serving
            else FULL_PERCENT
        )
        if (
            cpu_percent == run.cpu_percent
            and now - run.throttled_at < REPEAT_INTERVAL_S
        ):
            continue
        if cpu_percent == run.cpu_percent == FULL_PERCENT and run.cpu_percent_known:
            continue
        run.cpu_percent, run.throttled_at, run.cpu_percent_known = (
            cpu_percent,
            now,
            True,
        )
        orders.append(ThrottleOrder(run.worker, run.task, run.number, cpu_percent))
    return orders


def _next_cpu_percent(cpu_percent: int, latency_ratio: float) -> int:
    if latency_ratio > SLOW_DOWN_SHARE:
        slower = int(cpu_percent * SLOW_DOWN_FACTOR)
        return slower if slower >= MIN_PERCENT else 0
    if latency_ratio < SPEED_UP_SHARE:
        return min(FULL_PERCENT, cpu_percent + SPEED_UP_PERCENT)
    return cpu_percent


def _latency_ratio(run: Run) -> float:
    """Return the tail latency of a serving task as a share of its target."""
    return run.load / 1000 / run.unit.step.step.latency_target_s if run.unit else 0.0


def _workload_kind(run: Run) -> str:
    if run.unit is None:
        return ""
    step = run.unit.step.step
    if step.uses_idle_cpu:
        return "idle_cpu"
    return "serving" if step.long_running and step.latency_target_s else ""
