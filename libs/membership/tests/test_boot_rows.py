import asyncio
from itertools import count

from bilberryhitch_membership.boot_rows import BootRows
from bilberryhitch_peers import DrainNotice
from bilberryhitch_platform import MemoryTables
from bilberryhitch_testing import FaultyTables, run_virtual


def rows_of(tables):
    numbers = count()
    return BootRows(tables, lambda: f"op-{next(numbers)}")


def test_concurrent_deletions_of_the_same_rows():
    # Guards against a KeyError that ended the later of two concurrent calls without
    # any report.
    async def main():
        tables = FaultyTables(MemoryTables())
        rows = rows_of(tables)
        for host in ("w1", "w2"):
            rows.mark_unsaved(host)
        await rows.save(lambda host: ("b1",))
        tables.slow_s = 1.5
        first = asyncio.create_task(rows.delete(["w1", "w2"]))
        await asyncio.sleep(0.1)
        tables.slow_s = 4.0
        second = asyncio.create_task(rows.delete(["w1", "w2"]))
        await asyncio.sleep(0.1)
        tables.slow_s = 0.0
        await asyncio.gather(first, second)
        assert rows.hosts == []
        assert (await tables.scan("drains/")).rows == ()

    run_virtual(main())


def test_failed_writes_are_retried_by_the_next_save():
    async def main():
        tables = FaultyTables(MemoryTables())
        rows = rows_of(tables)
        rows.mark_unsaved("w1")
        tables.down = True
        await rows.save(lambda host: ("b1",))
        tables.down = False
        await rows.save(lambda host: ("b1",))
        row = await tables.get("drains/w1/boots")
        assert rows.load(row) == [DrainNotice("w1", True, 0, boot_id="b1")]

    run_virtual(main())
