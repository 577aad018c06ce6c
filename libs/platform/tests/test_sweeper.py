import asyncio
from itertools import count

from bilberryhitch_platform import MemoryTables, OperationsSweeper, Put, commit
from bilberryhitch_testing import FaultyTables, run_virtual

HOUR_S = 3600.0


def make_sweeper(tables, name):
    numbers = count()
    return OperationsSweeper(tables, new_id=lambda: f"{name}-{next(numbers)}")


def test_rows_are_deleted_soon_after_an_hour():
    # Guards against an early deletion, which lets a retried transaction be applied
    # twice, and against rows that are never deleted.
    async def main():
        tables = MemoryTables()
        sweepers = [make_sweeper(tables, name) for name in "ab"]
        for sweeper in sweepers:
            await sweeper.start()
        await asyncio.sleep(1000.0)
        await commit(tables, [], [Put("a", b"1")], "op")
        await asyncio.sleep(HOUR_S - 1.0)
        assert await tables.get("operations/op") is not None
        await asyncio.sleep(1500.0)
        assert await tables.get("operations/op") is None
        assert await tables.get("a") is not None
        for sweeper in sweepers:
            await sweeper.close()

    run_virtual(main())


def test_short_lived_processes_do_not_shorten_the_retention():
    # Guards against marks of processes that have not seen the row long enough.
    async def main():
        tables = MemoryTables()
        await commit(tables, [], [Put("a", b"1")], "op")
        for number in range(100):
            await make_sweeper(tables, f"s{number}").sweep()
        assert await tables.get("operations/op") is not None

    run_virtual(main())


def test_sweeping_resumes_after_an_outage():
    async def main():
        tables = FaultyTables(MemoryTables())
        sweeper = make_sweeper(tables, "s")
        await commit(tables, [], [Put("a", b"1")], "op")
        await sweeper.start()
        tables.down = True
        await asyncio.sleep(600.0)
        tables.down = False
        await asyncio.sleep(1.5 * HOUR_S)
        assert await tables.get("operations/op") is None
        assert sweeper.deleted > 0
        await sweeper.close()

    run_virtual(main())
