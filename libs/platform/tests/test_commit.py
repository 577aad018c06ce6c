import pytest
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import Expect, MemoryTables, Put, abandon, commit
from bilberryhitch_testing import FaultyTables, run_virtual


def test_lost_answer_applies_once():
    # Guards against a second application when the first answer is lost.
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        tables.lose_answers = 1
        result = await commit(tables, [Expect("a", 0)], [Put("a", b"1")], "op")
        assert result.ok == 1
        assert inner.revision == 1

    run_virtual(main())


def test_conflict_after_a_lost_answer_of_others_is_a_conflict():
    # Guards against taking another writer's row for our own write.
    async def main():
        inner = MemoryTables()
        await inner.transact([], [Put("a", b"theirs")])
        tables = FaultyTables(inner)
        tables.lose_answers = 1
        result = await commit(tables, [Expect("a", 0)], [Put("a", b"1")], "op")
        assert result.is_error()
        assert (await inner.get("a")).value == b"theirs"

    run_virtual(main())


def test_unavailable_after_a_lost_answer_is_not_reported_as_no_effect():
    # Guards against "not applied" being claimed after an uncertain send.
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        tables.lose_answers = 1

        class DownAfterFirst:
            def __init__(self):
                self.calls = 0

            async def transact(self, expects, writes):
                self.calls += 1
                if self.calls > 1:
                    raise StoreUnavailable("transact")
                return await tables.transact(expects, writes)

        with pytest.raises(StoreAnswerLost):
            await commit(DownAfterFirst(), [], [Put("a", b"1")], "op")

    run_virtual(main())


def test_abandon_prevents_a_later_application():
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
