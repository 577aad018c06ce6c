import asyncio

import pytest
from bilberryhitch_model import RequestCall
from bilberryhitch_model.errors import BadInput, NotFound

from tests.machines.request_world import SLOTS, World, answer_to


@pytest.fixture
def world():
    made = World()
    yield made
    made.close()


def run(world, work):
    return world.loop.run_until_complete(work)


def call(route="once", body=b"b", key="", account="acme"):
    return RequestCall(account, "c", route, body, key)


def test_every_request_completes_without_faults(world):
    # Guards against fault tests that pass because no request ever runs.
    for host in ("e1", "e2", "e3", "s1"):
        world.submit(host, "once")
        world.submit(host, "twice", key=f"k-{host}")
    world.advance(1.9)
    assert {outcome.status for outcome in world.calls.values()} == {"completed"}
    assert len(world.calls) == 8


def test_request_is_forwarded_to_the_host_that_owns_the_executor(world):
    owner = max(
        ("e1", "e2", "e3"),
        key=lambda host: world.hosts[host].service.free_slots()["p"],
    )
    other = next(host for host in ("e1", "e2", "e3") if host != owner)
    outcome = run(world, world.hosts[other].service.submit(call()))
    assert outcome.body == answer_to(b"b")
    assert world.hosts[owner].service.usage()["p/acme"] > 0.0
    assert not world.hosts[other].service.usage()


def test_unknown_route_other_account_and_long_body_are_rejected(world):
    service = world.hosts["e1"].service
    for wrong in (call(route="none"), call(account="else")):
        with pytest.raises(NotFound):
            run(world, service.submit(wrong))
    with pytest.raises(BadInput):
        run(world, service.submit(call(body=b"x" * 1000)))


def test_reused_key_with_another_body_is_rejected_and_runs_nothing(world):
    service = world.hosts["e1"].service
    run(world, service.submit(call(key="k")))
    with pytest.raises(BadInput):
        run(world, world.hosts["e2"].service.submit(call(body=b"c", key="k")))
    assert [e["body"] for e in world.history if e["event"] == "ran"] == [b"b"]


def test_key_is_released_after_not_run(world):
    # Guards against a key whose calls are answered with "not run" forever.
    for executor in world.executors.values():
        executor.faults = ["refuse"] * 1000
    number = world.submit("e1", "once", "k")
    world.advance(4.0)
    assert world.calls[number].status == "not_run"
    world.heal()
    world.advance(3.0)
    retry = world.submit("e3", "once", "k")
    world.advance(2.0)
    assert world.calls[retry].status == "completed"


def test_only_idempotent_requests_are_retried(world):
    for route, status in (("twice", "completed"), ("once", "unknown")):
        world.executors["x1"].faults = ["drop_after"]
        number = world.submit("e2", route)
        world.advance(2.1)
        assert world.calls[number].status == status


def test_only_the_account_of_a_handle_can_read_its_outcome(world):
    world.executors["x1"].faults = ["drop_before"]
    outcome = run(world, world.hosts["e2"].service.submit(call()))
    assert outcome.status == "unknown"
    for host in ("e2", "e1"):
        status = world.hosts[host].service.status
        found = run(world, status(outcome.handle, "else"))
        assert found.is_error() or found.ok.detail == "no longer known"
        assert run(world, status(outcome.handle, "acme")).ok.status == "unknown"
        run_id = f"{outcome.handle}~1~n"
        assert run(world, status(run_id, "acme")).is_error()


def test_close_finishes_requests_in_flight_and_rejects_new_ones(world):
    # Guards against a graceful shutdown that aborts a request.
    service = world.hosts["e2"].service
    for _ in range(SLOTS + 2):
        world.submit("e2", "once")
    world.advance(0.01)
    closing = world.loop.create_task(service.close())
    world.advance(0.01)
    assert run(world, service.submit(call())).status == "not_run"
    run(world, asyncio.wait_for(closing, 10.0))
    assert {outcome.status for outcome in world.calls.values()} == {"completed"}
    assert len(world.calls) == SLOTS + 2


def test_disconnected_caller_withdraws_its_queued_request(world):
    for _ in range(SLOTS):
        world.submit("e2", "once")
    world.advance(0.01)
    task = world.loop.create_task(world.hosts["e2"].service.submit(call()))
    world.advance(0.01)
    task.cancel()
    world.advance(3.0)
    assert b"b" not in [e["body"] for e in world.history if e["event"] == "ran"]


def test_outcome_of_a_lost_peer_reply_is_found_by_the_handle(world):
    # Guards against a handle that stays "unknown" although the owner knows the outcome.
    world.link_faults = ["lose_reply"]
    number = world.submit("e1", "once", body=b"b")
    world.advance(2.1)
    unknown = world.calls[number]
    assert unknown.status == "unknown"
    world.advance(4.0)
    for host in ("e1", "e3", "s1"):
        found = run(world, world.hosts[host].service.status(unknown.handle, "acme"))
        assert found.ok.body == answer_to(b"b")


def test_usage_omitted_from_a_heartbeat_is_not_charged_again(world):
    # Guards against charging an account's total again after a heartbeat that
    # reported only other accounts.
    service = world.hosts["e1"].service
    charged = []
    queue = service._queue_for(service._config.tables_view.pools["p"])
    queue.charge_remote = lambda account, cost_s: charged.append((account, cost_s))
    service.receive_usage("e2", {"p/acme": 10.0})
    service.receive_usage("e2", {"p/else": 1.0})
    service.receive_usage("e2", {"p/acme": 12.0})
    assert charged == [("acme", 10.0), ("else", 1.0), ("acme", 2.0)]


def test_queue_limit_of_the_process_bounds_every_pool(world):
    # Guards against a pool row that allows an unlimited queue in a process.
    service = world.hosts["e1"].service
    service._queue_limit = 3
    pool = service._config.tables_view.pools["p"]
    assert service._with_queue_limit(pool).max_queued == 3
    assert service._with_queue_limit(pool._replace(max_queued=2)).max_queued == 2
