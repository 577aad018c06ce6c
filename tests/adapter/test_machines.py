"""Clients of the machine API and of workers, tested against an HTTP listener."""

import asyncio
import random

import msgspec
import pytest
from aiohttp import web
from bilberryhitch_adapter.decoding import decode_wave, encode_wave
from bilberryhitch_adapter.machines import MachineClient
from bilberryhitch_adapter.workers import WorkerClient
from bilberryhitch_adapter_standins import Listener
from bilberryhitch_jobs import Resources, TaskName
from bilberryhitch_model.errors import BadInput
from bilberryhitch_planner import (
    Machine,
    MachinesUnknown,
    ThrottleOrder,
    UpkeepOutcome,
    Wave,
    WorkerEntry,
)


def scripted_handler(*answers):
    """Return a handler and the list of the requests that it received.

    :param answers: status and body of each answer; the last one repeats
    """
    requests = []

    async def handle(request):
        requests.append((request.path_qs, dict(request.headers), await request.read()))
        status, body = answers[min(len(requests), len(answers)) - 1]
        return web.Response(status=status, body=msgspec.json.encode(body))

    return handle, requests


def run_with_machine_client(scenario, *answers):
    """Run a scenario with a client; return its result and the received requests."""

    async def run():
        handle, requests = scripted_handler(*answers)
        listener = Listener(handle, random.Random(1))
        await listener.start()
        client = MachineClient(lambda: listener.address, "host-1")
        await client.start()
        try:
            return await scenario(client), requests
        finally:
            await client.close()
            await listener.close()

    return asyncio.run(run())


def test_all_pages_of_the_machine_list_are_read():
    machine = {"machine": "m-1", "pool": "p", "state": "up", "id": "i-1"}
    pages = (
        (200, {"machines": [machine], "next-token": "t 2"}),
        (200, {"machines": [{**machine, "state": "upkeep"}], "next-token": None}),
    )
    machines, requests = run_with_machine_client(
        lambda client: client.list_machines(), *pages
    )
    assert machines == (Machine("m-1", "i-1", True), Machine("m-1", "i-1", False))
    assert requests[1][0].endswith("?page-token=t+2")


def test_incomplete_machine_list_is_an_error():
    """Guards against workers treated as gone because a page of the list is missing."""
    pages = ((200, {"machines": [], "next-token": "2"}), (429, {}))
    with pytest.raises(MachinesUnknown):
        run_with_machine_client(lambda client: client.list_machines(), *pages)


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, {}, UpkeepOutcome.BEGUN),
        (400, {}, UpkeepOutcome.NOT_OF_WAVE),
        (409, {"reason": "busy"}, UpkeepOutcome.BUSY),
        (409, {"reason": "wave"}, UpkeepOutcome.NOT_OF_WAVE),
        (409, {"reason": "fence"}, UpkeepOutcome.FENCED),
        (409, ["?"], UpkeepOutcome.UNKNOWN),
        (429, {}, UpkeepOutcome.UNKNOWN),
        (503, {}, UpkeepOutcome.UNKNOWN),
    ],
)
def test_upkeep_outcome_follows_the_answer(status, body, outcome):
    actual, requests = run_with_machine_client(
        lambda client: client.begin_upkeep("m-1", 3, token=12), (status, body)
    )
    assert actual is outcome
    _, headers, sent = requests[0]
    assert (headers["Lease-Holder"], headers["Fencing-Token"]) == ("host-1", "12")
    assert msgspec.json.decode(sent) == {"machine": "m-1", "wave": 3}


def test_wave_is_decoded_and_its_state_encoded():
    plain = {"wave": 2, "machines": ["m-1"], "duration-s": 20, "max-count": 1}
    assert decode_wave(msgspec.json.encode(plain)) == Wave(
        2, frozenset({"m-1"}), 20.0, 1
    )
    assert encode_wave(2, False).key == "wave/2"
    assert msgspec.json.decode(encode_wave(2, True).value) == {"state": "completed"}
    with pytest.raises(BadInput):
        decode_wave(b'{"wave": "two"}')


@pytest.mark.parametrize(("status", "accepted"), [(200, True), (409, False)])
def test_throttle_call_has_the_expected_content(status, accepted):
    async def run():
        handle, requests = scripted_handler((status, {"clock-ms": 1}))
        listener = Listener(handle, random.Random(1))
        await listener.start()
        client = WorkerClient()
        await client.start()
        worker = WorkerEntry(
            "i-1", "p", listener.address, "dc", Resources(), set(), "r"
        )
        order = ThrottleOrder("i-1", TaskName("0" * 16, 0, 1, 2), 3, 40)
        try:
            assert await client.throttle_run(worker, order, token=7) is accepted
        finally:
            await client.close()
            await listener.close()
        path, headers, body = requests[0]
        assert path == "/bilberryhitch/pace"
        assert headers["Target-Instance"] == "i-1"
        assert msgspec.json.decode(body) == {
            "task": "0" * 16 + ".0.1.2",
            "run": 3,
            "percent": 40,
            "fencing-token": 7,
        }

    asyncio.run(run())
