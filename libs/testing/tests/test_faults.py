import asyncio

import pytest
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import MemoryTables, Put
from bilberryhitch_testing import FaultyTables, run_virtual


def test_refused_write_has_no_effect_and_lost_answer_has_one():
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        tables.down = True
        with pytest.raises(StoreUnavailable):
            await tables.transact([], [Put("a", b"1")])
        assert inner.revision == 0
        tables.down = False
        tables.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await tables.transact([], [Put("a", b"1")])
        assert inner.revision == 1

    run_virtual(main())


def test_paused_call_waits_until_resumed():
    async def main():
        tables = FaultyTables(MemoryTables())
        tables.pause()
        call = asyncio.ensure_future(tables.get("a"))
        await asyncio.sleep(5)
        assert not call.done()
        tables.resume()
        assert await call is None

    run_virtual(main())
