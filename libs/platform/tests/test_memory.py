from bilberryhitch_platform import Delete, Expect, MemoryTables, Put
from bilberryhitch_testing import run_virtual


def test_transaction_is_atomic():
    async def main():
        tables = MemoryTables()
        result = await tables.transact([Expect("b", 3)], [Put("a", b"1")])
        assert result.is_error()
        assert await tables.get("a") is None

    run_virtual(main())


def test_scan_pages_in_key_order_and_filters_by_revision():
    async def main():
        tables = MemoryTables()
        for name in ("x/2", "x/1", "y/1"):
            await tables.transact([], [Put(name, b"")])
        page = await tables.scan("x/", limit=1)
        assert [row.key for row in page.rows] == ["x/1"]
        assert page.more
        page = await tables.scan("x/", after="x/1")
        assert [row.key for row in page.rows] == ["x/2"]
        page = await tables.scan("x/", since=1)
        assert [row.key for row in page.rows] == ["x/1"]

    run_virtual(main())


def test_deleted_row_can_be_created_again():
    async def main():
        tables = MemoryTables()
        await tables.transact([], [Put("a", b"1")])
        await tables.transact([], [Delete("a")])
        result = await tables.transact([Expect("a", 0)], [Put("a", b"2")])
        assert result.is_ok()

    run_virtual(main())
