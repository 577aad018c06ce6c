import asyncio

import pytest
from bilberryhitch_gangs import HttpWorkerClient, Reservation
from bilberryhitch_model import Host
from bilberryhitch_model.errors import StaleToken, WorkerRefused, WorkerUnreachable
from bilberryhitch_standins import WorkerStandin

HOST = Host("w0", "worker", "ruwi", "", accelerators=4, cores=8, memory_gb=8)


def with_worker(test):
    """Run ``test`` with a client, a host row and a simulated worker on a real port."""

    async def main():
        standin = WorkerStandin(HOST, lag_s=0.0)
        address = await standin.start()
        client = HttpWorkerClient()
        await client.start()
        host = HOST._replace(address=f"{address.ip}:{address.port}")
        try:
            await test(client, host, standin)
        finally:
            await client.close()
            await standin.close()

    asyncio.run(main())


async def set_faults(client, host, **switches):
    await client._call(host, "/faults", switches)


def test_lease_lifecycle_over_http():
    # Guards against different protocols of the client and the simulated worker.
    async def test(client, host, standin):
        wanted = Reservation("j/1/1", (0, 1), 1, 1, 5.0)
        reserved = await client.reserve(host, 3, wanted)
        assert (reserved.state, reserved.started) == ("reserved", False)
        run = '{"seconds": 60}'
        started = await client.start_task(host, 3, "j/1/1", run, "")
        assert started.state == "running"
        view = await client.renew(host, 3, ["j/1/1"], 10.0)
        assert view.boot_id == reserved.boot_id and view.highest == 3
        assert (await client.throttle(host, 3, "j/1/1", 0.5)).state == "running"
        assert (await client.checkpoint(host, 3, "j/1/1", "key")).state == "held"
        stopped = await client.stop(host, 3, "j/1/1")
        assert (stopped.state, stopped.started) == ("stopped", True)
        await client.release(host, 3, "j/1/1")
        assert (await client.state(host)).leases == ()
        usage = await client._call(host, "/v1/usage", None)
        assert usage["accelerators"] == 0

    with_worker(test)


def test_refusals_raise_typed_errors():
    # Guards against a refusal that is reported as an unknown outcome.
    async def test(client, host, standin):
        await client.renew(host, 5, [], 1.0)
        with pytest.raises(StaleToken) as stale:
            await client.stop(host, 4, "j/1/1")
        assert stale.value.highest == 5
        with pytest.raises(WorkerRefused):
            await client.start_task(host, 5, "j/1/1", "", "")
        await client.reserve(host, 5, Reservation("j/1/1", (0,), 1, 1, 5.0))
        await set_faults(client, host, refuse_starts=True)
        with pytest.raises(WorkerRefused):
            await client.start_task(host, 5, "j/1/1", "", "")

    with_worker(test)


def test_lost_answer_raises_unreachable():
    # Guards against a lost answer that is reported as a refusal.
    async def test(client, host, standin):
        await set_faults(client, host, lose_answers=1)
        with pytest.raises(WorkerUnreachable):
            await client.reserve(host, 1, Reservation("j/1/1", (0,), 1, 1, 5.0))
        assert [lease.state for lease in (await client.state(host)).leases] == [
            "reserved"
        ]
        await set_faults(client, host, paused=True)
        with pytest.raises(WorkerUnreachable):
            await client.state(host)
        await set_faults(client, host, paused=False)
        boot = (await client.state(host)).boot_id
        await client._call(host, "/faults/restart", {})
        assert (await client.state(host)).boot_id != boot

    with_worker(test)


def test_closed_client_raises_unreachable():
    # Guards against an untyped error from a call on a closed connection pool.
    async def test(client, host, standin):
        await client.close()
        with pytest.raises(WorkerUnreachable):
            await client.state(host)

    with_worker(test)
