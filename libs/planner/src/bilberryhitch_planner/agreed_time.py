"""Unix time on which the hosts agree, although the clocks of some of them are wrong.

When it starts, each host stores how far its Unix time is ahead of the store's clock,
which is steady. A planner takes the median of all hosts, which a minority of wrong
clocks does not change, so timed work starts at the same time across takeovers.
"""

import asyncio
from collections.abc import Callable
from statistics import median_low

import msgspec
from bilberryhitch_jobs import RowWrite, Store, StoreRow, read_json_row
from bilberryhitch_jobs.errors import STORE_ERRORS
from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .leader_election import CALL_TIMEOUT_S

CLOCKS_TABLE = "clocks"
RETRY_PAUSE_S = 0.5
# Larger numbers are no Unix time in milliseconds.
MAX_VIEW_MS = 2**53
# A smaller difference is within the accuracy of the hosts' clocks.
MIN_LOGGED_CORRECTION_S = 0.5

StoreTime = Callable[[], float | None]


async def publish_time(store: Store, host: str, store_time_s: StoreTime) -> None:
    """Store this host's view of the time; retry until that succeeds.

    :param store_time_s: returns the time of the store's clock, None before it is known
    """
    while True:
        store_now_s = store_time_s()
        if store_now_s is not None:
            ahead_ms = round((clock.unix.now_s() - store_now_s) * 1000)
            row = RowWrite(CLOCKS_TABLE, host, msgspec.json.encode(ahead_ms))
            try:
                await store.commit((), (row,), timeout_s=CALL_TIMEOUT_S)
                return
            except STORE_ERRORS as error:
                log(events.DEPENDENCY_LOST, dependency="store", error=error)
        await asyncio.sleep(RETRY_PAUSE_S)


async def adopt_agreed_time(store: Store, store_time_s: StoreTime) -> None:
    """Set this process's Unix time to the one on which the hosts agree.

    It is left unchanged if no host has stored its view.
    """
    snapshot = await store.read(CLOCKS_TABLE, timeout_s=CALL_TIMEOUT_S)
    store_now_s = store_time_s()
    views = [view for row in snapshot.rows if (view := _decode_view(row)) is not None]
    if not views or store_now_s is None:
        return
    agreed_s = store_now_s + median_low(views) / 1000
    difference_s = agreed_s - clock.unix.now_s()
    if abs(difference_s) >= MIN_LOGGED_CORRECTION_S:
        log(events.CLOCK_CORRECTED, by_s=round(difference_s, 3), hosts=len(views))
    clock.unix.correct(agreed_s)


def _decode_view(row: StoreRow) -> int | None:
    view = read_json_row(row, int)
    if view is not None and abs(view) > MAX_VIEW_MS:
        log(events.ROW_UNREADABLE, key=row.key, error="no time in milliseconds")
        return None
    return view
