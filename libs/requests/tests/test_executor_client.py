import asyncio

import pytest
from bilberryhitch_model import Host
from bilberryhitch_model.errors import ExecutorLost, ExecutorNotAccepted
from bilberryhitch_requests.executor_client import HttpExecutorClient
from bilberryhitch_standins.executor_faults import ExecutorFault
from bilberryhitch_standins.executor_server import ExecutorStandin

LIMIT = 1000


def with_executor(check):
    async def main():
        standin = ExecutorStandin(Host("x1", "executor", "ruwi", ""))
        address = await standin.start()
        host = standin.host._replace(address=f"{address.ip}:{address.port}")
        client = HttpExecutorClient()
        await client.start()

        async def call(attempt, body=b'{"answer": "hi"}', timeout_s=5.0):
            return await client.call(
                host, attempt, "r", body, "application/json", timeout_s, LIMIT
            )

        try:
            await check(standin, call)
        finally:
            await client.close()
            await standin.close()

    asyncio.run(main())


def test_complete_answer_is_returned():
    async def check(standin, call):
        answer = await call("a")
        assert (answer.attempt_id, answer.status, answer.body) == ("a", 200, b"hi")

    with_executor(check)


@pytest.mark.parametrize(
    "kind", ["drop_before", "drop_after", "truncate", "over_long", "wrong_attempt"]
)
def test_invalid_answer_is_rejected_and_the_next_call_succeeds(kind):
    # Guards against accepting a truncated answer or one of another attempt, and
    # against reuse of its connection.
    async def check(standin, call):
        standin.faults.put(ExecutorFault(kind, times=1))
        with pytest.raises(ExecutorLost):
            await call("a")
        assert (await call("b")).attempt_id == "b"

    with_executor(check)


def test_duplicated_answer_never_reaches_another_call():
    # Guards against reading the duplicate as the answer to the next call on the
    # connection.
    async def check(standin, call):
        standin.faults.put(ExecutorFault("duplicate", times=1))
        await call("a", b'{"answer": "first"}')
        for attempt in ("b", "c", "d"):
            try:
                answer = await call(attempt, b'{"answer": "second"}')
            except ExecutorLost:
                continue
            assert (answer.attempt_id, answer.body) == (attempt, b"second")

    with_executor(check)


def test_connection_of_a_timed_out_call_is_not_reused():
    async def check(standin, call):
        with pytest.raises(ExecutorLost):
            await call("a", b'{"sleep_s": 0.2, "answer": "late"}', timeout_s=0.05)
        await asyncio.sleep(0.3)
        assert (await call("b")).body == b"hi"

    with_executor(check)


def test_full_executor_and_refused_connection_are_not_accepted():
    async def check(standin, call):
        busy = [
            asyncio.ensure_future(call(f"a{n}", b'{"sleep_s": 0.3}')) for n in range(8)
        ]
        await asyncio.sleep(0.1)
        with pytest.raises(ExecutorNotAccepted):
            await call("b")
        await asyncio.gather(*busy)
        await standin.close()
        await asyncio.sleep(0.1)  # the client notices its closed connections
        with pytest.raises(ExecutorNotAccepted):
            await call("c")
        assert len(standin.ran) == 8

    with_executor(check)
