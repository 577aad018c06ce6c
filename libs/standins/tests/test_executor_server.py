import asyncio

import aiohttp
import pytest
from bilberryhitch_model import Host
from bilberryhitch_standins.executor_server import SLOTS, ExecutorStandin

HOST = Host("x1", "executor", "ruwi", "")


async def post(session, url, attempt, body):
    headers = {"Attempt-Id": attempt, "Route": "r"}
    async with session.post(f"{url}/v1/run", json=body, headers=headers) as response:
        return (
            response.status,
            response.headers.get("Attempt-Id"),
            await response.text(),
        )


def run_with_standin(scenario):
    async def main():
        standin = ExecutorStandin(HOST)
        address = await standin.start()
        try:
            async with aiohttp.ClientSession() as session:
                await scenario(standin, session, f"http://{address.ip}:{address.port}")
        finally:
            await standin.close()

    asyncio.run(main())


def test_answer_has_the_attempt_id_and_the_run_is_listed():
    async def scenario(standin, session, url):
        assert await post(session, url, "a", {"answer": "hi"}) == (200, "a", "hi")
        async with session.get(f"{url}/v1/ran") as response:
            assert (await response.json())[0]["attempt_id"] == "a"

    run_with_standin(scenario)


def test_request_beyond_the_slots_is_refused_before_it_runs():
    # Guards against a stand-in that runs more requests than it has slots, so that
    # tests would not see overcommitted executors.
    async def scenario(standin, session, url):
        calls = [post(session, url, f"a{n}", {"sleep_s": 0.2}) for n in range(9)]
        statuses = sorted([status for status, _, _ in await asyncio.gather(*calls)])
        assert statuses == [200] * SLOTS + [503]
        assert len(standin.ran) == standin.peak_running == SLOTS

    run_with_standin(scenario)


@pytest.mark.parametrize("kind", ["drop_before", "drop_after", "truncate"])
def test_fault_affects_one_answer(kind):
    # Guards against a fault that has no effect or outlasts its count of requests.
    async def scenario(standin, session, url):
        async with session.post(f"{url}/faults", json={"kind": kind, "times": 1}) as r:
            assert await r.json() == [kind]
        with pytest.raises(aiohttp.ClientError):
            await post(session, url, "a", {"answer": "hi"})
        assert len(standin.ran) == (0 if kind == "drop_before" else 1)
        assert (await post(session, url, "b", {"answer": "hi"}))[0] == 200

    run_with_standin(scenario)


def test_unknown_fault_is_refused():
    async def scenario(standin, session, url):
        async with session.post(f"{url}/faults", json={"kind": "nope"}) as response:
            assert response.status == 400

    run_with_standin(scenario)
