import asyncio
import io
import random

import pytest
from bilberryhitch_model import Host, encode
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import Delete, Expect, PlatformClient, Put
from bilberryhitch_standins import PlatformStandin

WORKER = Host("w1", "worker", "ruwi", "127.0.0.1:1", boot_id="b1")


def run_with_platform(scenario):
    async def main():
        standin = PlatformStandin()
        address = await standin.start()
        client = PlatformClient(
            f"http://{address.ip}:{address.port}", timeout_s=1.0, rng=random.Random(1)
        )
        await client.start()
        try:
            await scenario(standin, client)
        finally:
            await client.close()
            await standin.close()

    asyncio.run(main())


def test_rows_are_transferred_unchanged():
    # Guards against values or keys that the encoding as JSON or in a URL alters.
    async def scenario(standin, client):
        value = bytes(range(256))
        assert (await client.transact([], [Put("a/ü +&", value)])).ok == 1
        row = await client.get("a/ü +&")
        assert (row.value, row.revision) == (value, 1)
        page = await client.scan("a/", limit=1)
        assert page.rows == (row,) and not page.more
        conflict = await client.transact([Expect("a/ü +&", 9)], [Put("b", b"")])
        assert conflict.error.found_revision == 1
        await client.transact([], [Delete("a/ü +&")])
        assert await client.get("a/ü +&") is None

    run_with_platform(scenario)


def test_object_key_with_slash_and_missing_object():
    async def scenario(standin, client):
        body = bytes(2 * 2**20)
        await client.put_object("saved/job 1", body)
        assert await client.get_object("saved/job 1") == body
        assert await client.get_object("saved/none") is None

    run_with_platform(scenario)


def test_store_that_is_down_is_unavailable_and_unchanged():
    # Guards against an explicit refusal that is reported as an uncertain write.
    async def scenario(standin, client):
        standin.faults.down = True
        with pytest.raises(StoreUnavailable):
            await client.transact([], [Put("a", b"1")])
        with pytest.raises(StoreUnavailable):
            await client.get("a")
        assert standin.tables.revision == 0

    run_with_platform(scenario)


def test_write_with_lost_answer_is_uncertain_and_sent_once():
    # Guards against a retry of an uncertain write by the client or its connection
    # pool.
    async def scenario(standin, client):
        await client.transact([], [Put("warm", b"")])
        standin.faults.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await client.transact([], [Put("a", b"1")])
        assert standin.writes == 2
        assert standin.tables.revision == 2

    run_with_platform(scenario)


def test_timeout_is_uncertain_for_writes_only():
    async def scenario(standin, client):
        standin.faults.slow_s = 3.0
        with pytest.raises(StoreAnswerLost):
            await client.transact([], [Put("a", b"1")])
        with pytest.raises(StoreUnavailable):
            await client.get("a")

    run_with_platform(scenario)


def test_refused_connection_is_reported_as_unavailable():
    async def scenario(standin, client):
        await standin.close()
        with pytest.raises(StoreUnavailable):
            await client.transact([], [Put("a", b"1")])

    run_with_platform(scenario)


def test_host_list_is_served_with_its_lag():
    # Guards against a delayed host list that shows newer entries or loses older ones.
    async def scenario(standin, client):
        url = f"{client._base_url}/v1/hosts/w1"
        async with client._session.put(url, data=encode(WORKER)) as answer:
            assert answer.status == 200
        assert await client.list_hosts() == [WORKER]
        leaving = WORKER._replace(state="leaving")
        standin.faults.host_list_lag_s = 3600.0
        async with client._session.put(url, data=encode(leaving)):
            pass
        assert await client.list_hosts() == []
        standin.faults.host_list_lag_s = 0.0
        assert await client.list_hosts() == [leaving]
        async with client._session.put(url + "x", data=encode(WORKER)) as answer:
            assert answer.status == 400
        async with client._session.delete(url):
            pass
        assert await client.list_hosts() == []

    run_with_platform(scenario)


def test_oversized_body_is_refused_without_effect():
    async def scenario(standin, client):
        url = f"{client._base_url}/v1/tables/transactions"
        async with client._session.post(
            url, data=io.BytesIO(b"x" * (5 * 2**20))
        ) as answer:
            assert answer.status == 413
            assert answer.headers["Platform-Effect"] == "none"
        async with client._session.put(
            f"{client._base_url}/faults", data=b'{"no_such": 1}'
        ) as answer:
            assert answer.status == 400

    run_with_platform(scenario)
