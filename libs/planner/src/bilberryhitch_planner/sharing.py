"""Slows tasks that use spare processor time where they disturb tasks that serve."""

from .reports import PaceOrder
from .runs import Run, RunState
from .workers import Worker

# Serving tasks should stay below their bound with room for a sudden rise.
SLOW_DOWN_SHARE = 0.85
SPEED_UP_SHARE = 0.65
# Going down quickly ends a violation within its allowed seconds; going up slowly
# keeps the load from swinging.
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_PERCENT = 10
LEAST_PERCENT = 5
FULL_PERCENT = 100
# A change takes effect after about 0.1 s and shows in a figure over half a second.
SETTLE_S = 0.7
# An order may have been lost, or given by an earlier planner.
REPEAT_S = 3.0


def shares_processor(worker: Worker) -> bool:
    """Return whether a worker has both tasks that serve and tasks that fill."""
    kinds = {_kind(run) for run in worker.runs.values()}
    return {"serves", "fills"} <= kinds


def pace_orders(worker: Worker, now: float) -> list[PaceOrder]:
    """Return orders that bring a worker's filling tasks to the pace they may have."""
    runs = [run for run in worker.runs.values() if run.state is RunState.RUNNING]
    filling = [run for run in runs if _kind(run) == "fills"]
    serving = [run for run in runs if _kind(run) == "serves"]
    if not filling:
        return []
    strain = max((_strain(run) for run in serving), default=0.0)
    orders = []
    for run in filling:
        if now - run.paced_at < SETTLE_S:
            continue
        pace = _next_pace(run.pace, strain) if serving else FULL_PERCENT
        if pace == run.pace and now - run.paced_at < REPEAT_S:
            continue
        if pace == run.pace == FULL_PERCENT and run.pace_known:
            continue
        run.pace, run.paced_at, run.pace_known = pace, now, True
        orders.append(PaceOrder(run.worker, run.task, run.number, pace))
    return orders


def _next_pace(pace: int, strain: float) -> int:
    if strain > SLOW_DOWN_SHARE:
        slower = int(pace * SLOW_DOWN_FACTOR)
        return slower if slower >= LEAST_PERCENT else 0
    if strain < SPEED_UP_SHARE:
        return min(FULL_PERCENT, pace + SPEED_UP_PERCENT)
    return pace


def _strain(run: Run) -> float:
    """Return a serving task's tail latency as a share of its bound."""
    return run.load / 1000 / run.unit.step.step.latency_target_s if run.unit else 0.0


def _kind(run: Run) -> str:
    if run.unit is None:
        return ""
    step = run.unit.step.step
    if step.uses_idle_cpu:
        return "fills"
    return "serves" if step.long_running and step.latency_target_s else ""
