import pytest
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import Expect, MemoryTables, Put, abandon, commit
from bilberryhitch_testing import FaultyTables, run_virtual


def test_transaction_with_a_lost_response_is_applied_once():
    # Guards against applying a transaction twice if its first response is lost.
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        tables.lose_answers = 1
        result = await commit(tables, [Expect("a", 0)], [Put("a", b"1")], "op")
        assert result.ok == 1
        assert inner.revision == 1

    run_virtual(main())


def test_conflict_with_another_writer_after_a_lost_response_is_reported():
    # Guards against taking the row of another writer for that of the lost attempt.
    async def main():
        inner = MemoryTables()
        await inner.transact([], [Put("a", b"theirs")])
        tables = FaultyTables(inner)
        tables.lose_answers = 1
        result = await commit(tables, [Expect("a", 0)], [Put("a", b"1")], "op")
        assert result.is_error()
        assert (await inner.get("a")).value == b"theirs"

    run_virtual(main())


def test_unavailable_store_after_a_lost_response_is_not_reported_as_no_effect():
    # Guards against reporting "not applied" after an attempt of unknown outcome.
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        tables.lose_answers = 1

        class UnavailableAfterFirstCall:
            def __init__(self):
                self.calls = 0

            async def transact(self, expects, writes):
                self.calls += 1
                if self.calls > 1:
                    raise StoreUnavailable("transact")
                return await tables.transact(expects, writes)

        with pytest.raises(StoreAnswerLost):
            await commit(UnavailableAfterFirstCall(), [], [Put("a", b"1")], "op")

    run_virtual(main())


def test_abandoned_transaction_is_not_applied_later():
    async def main():
        inner = MemoryTables()
        assert (await abandon(inner, "op")).is_ok()
        result = await commit(inner, [], [Put("a", b"1")], "op")
        assert result.is_error()
        assert await inner.get("a") is None

    run_virtual(main())


def test_abandon_reports_that_the_transaction_applied():
    async def main():
        inner = MemoryTables()
        await commit(inner, [], [Put("a", b"1")], "op")
        assert (await abandon(inner, "op")).is_error()

    run_virtual(main())
