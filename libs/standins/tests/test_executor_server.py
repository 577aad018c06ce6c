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


def with_standin(check):
    async def main():
        standin = ExecutorStandin(HOST)
        address = await standin.start()
        try:
            async with aiohttp.ClientSession() as session:
                await check(standin, session, f"http://{address.ip}:{address.port}")
        finally:
            await standin.close()

    asyncio.run(main())


def test_answers_with_the_attempt_id_and_lists_what_ran():
    async def check(standin, session, url):
        assert await post(session, url, "a", {"answer": "hi"}) == (200, "a", "hi")
        async with session.get(f"{url}/v1/ran") as response:
            assert (await response.json())[0]["attempt_id"] == "a"

    with_standin(check)


def test_the_ninth_request_is_refused_before_it_runs():
    # Guards against a stand-in that hides slot over-commit.
    async def check(standin, session, url):
        calls = [post(session, url, f"a{n}", {"sleep_s": 0.2}) for n in range(9)]
        statuses = sorted([status for status, _, _ in await asyncio.gather(*calls)])
        assert statuses == [200] * SLOTS + [503]
        assert len(standin.ran) == standin.most_running == SLOTS

    with_standin(check)


@pytest.mark.parametrize("kind", ["drop_before", "drop_after", "truncate"])
def test_fault_breaks_the_answer_once(kind):
    # Guards against faults that do nothing or never end.
    async def check(standin, session, url):
        async with session.post(f"{url}/faults", json={"kind": kind, "times": 1}) as r:
            assert await r.json() == [kind]
        with pytest.raises(aiohttp.ClientError):
            await post(session, url, "a", {"answer": "hi"})
        assert len(standin.ran) == (0 if kind == "drop_before" else 1)
        assert (await post(session, url, "b", {"answer": "hi"}))[0] == 200

    with_standin(check)


def test_unknown_fault_is_refused():
    async def check(standin, session, url):
        async with session.post(f"{url}/faults", json={"kind": "nope"}) as response:
            assert response.status == 400

    with_standin(check)
