import asyncio

from bilberryhitch_testing import VirtualTimeLoop, run_virtual


def test_sleep_advances_virtual_time_only():
    async def main():
        loop = asyncio.get_running_loop()
        before = loop.time()
        await asyncio.sleep(3600)
        return loop.time() - before

    assert run_virtual(main()) >= 3600


def test_advance_runs_due_callbacks():
    loop = VirtualTimeLoop()
    fired = []
    loop.call_later(5, fired.append, "first")
    loop.call_later(50, fired.append, "second")
    loop.advance(10)
    assert fired == ["first"]
    loop.close()
