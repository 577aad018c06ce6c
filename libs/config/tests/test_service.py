import asyncio
from itertools import count

import pytest
from bilberryhitch_config import ConfigService, read_audit
from bilberryhitch_model import Pool, Route, TableChange, encode
from bilberryhitch_model.errors import (
    ConfigConflict,
    StoreAnswerLost,
    StoreUnavailable,
    TableInvalid,
)
from bilberryhitch_peers import ConfigAsk, ConfigOffer
from bilberryhitch_platform import MemoryTables, Put
from bilberryhitch_testing import FaultyTables, run_virtual

POOLS = TableChange(put_pools=(Pool("p", "job"),))


def route(name="r", **fields):
    return Route(name, "job", "render", "acme", "p")._replace(**fields)


class World:
    def __init__(self):
        self.inner = MemoryTables()
        self.ids = count(1)
        self.sent = []

    def service(self, **options):
        tables = FaultyTables(self.inner)
        service = ConfigService(
            tables,
            now=lambda: 5.0,
            new_id=lambda: f"op-{next(self.ids)}",
            broadcast=self.sent.append,
            hosts=list,
            **options,
        )
        return service, tables


def scenario(main):
    return lambda: run_virtual(main(World()))


@scenario
async def test_commit_writes_head_change_and_rows_in_one_transaction(world):
    service, _ = world.service()
    change = POOLS._replace(put_routes=(route(),))
    assert (await service.commit(change, 0, "ada")).ok == (1, "ada", 5.0)
    revisions = {row.revision for row in (await world.inner.scan("config/")).rows}
    keys = [row.key for row in (await world.inner.scan("config/")).rows]
    assert revisions == {1}
    assert keys == [
        "config/change/000000000001",
        "config/head",
        "config/pool/p",
        "config/route/r",
    ]
    assert service.tables_view.routes == {"r": route()}
    assert world.sent[-1].revision == 1


@scenario
async def test_loser_of_a_race_learns_the_winner(world):
    # Guards against the later of two operators overwriting the earlier one.
    (first, _), (second, _) = world.service(), world.service()
    change = TableChange(put_pools=(Pool("q", "job"),))
    results = await asyncio.gather(
        first.commit(POOLS, 0, "ada"), second.commit(change, 0, "bob")
    )
    assert [result.is_ok() for result in results] == [True, False]
    assert results[1].error == ConfigConflict(1, "ada")
    assert (await second.commit(change, 7, "bob")).error == ConfigConflict(1, "ada")


INVALID = [
    TableChange(),
    TableChange(put_routes=(route(),)),
    TableChange(delete_pools=("p",)),
    TableChange(put_pools=(Pool("p", "job"),), delete_pools=("p",)),
]


@pytest.mark.parametrize("change", INVALID)
def test_invalid_change_changes_nothing(change):
    async def main(world):
        service, _ = world.service()
        assert isinstance((await service.commit(change, 0, "a")).error, TableInvalid)
        assert world.inner.revision == 0

    run_virtual(main(World()))


@scenario
async def test_lost_answers_are_resolved(world):
    service, tables = world.service()
    tables.lose_answers = 1
    assert (await service.commit(POOLS, 0, "ada")).ok.revision == 1


@scenario
async def test_unresolved_answer_is_not_called_refused(world):
    # Guards against "not accepted" when the tombstone could not be written.
    service, tables = world.service()
    applied = tables.transact

    async def lost(expects, writes):
        tables.down = True
        await world.inner.transact(expects, writes)
        tables.transact = applied
        raise StoreAnswerLost("transact")

    tables.transact = lost
    error = (await service.commit(POOLS, 0, "ada")).error
    assert error == StoreAnswerLost("op-1")
    tables.down = False
    assert [change.operation_id for change in await service.history(5)] == ["op-1"]


@scenario
async def test_store_down_refuses_operators_and_keeps_the_view(world):
    service, tables = world.service()
    await service.commit(POOLS, 0, "ada")
    tables.down = True
    result = await service.commit(TableChange(delete_pools=("p",)), 1, "ada")
    assert isinstance(result.error, StoreUnavailable)
    assert service.tables_view.revision == 1


@scenario
async def test_poll_adopts_changes_and_after_many_a_snapshot(world):
    writer, _ = world.service()
    reader, _ = world.service()
    late, _ = world.service()
    await reader.start()
    await asyncio.sleep(0.1)
    assert reader.ready  # the store holds no revision
    await writer.commit(POOLS, 0, "ada")
    for revision in range(1, 104):
        change = TableChange(put_routes=(route(estimate_s=revision),))
        await writer.commit(change, revision, "ada")
        if revision == 50:
            await asyncio.sleep(1.1)
            assert reader.tables_view.revision == 51
    await late.start()
    await asyncio.sleep(1.1)
    assert reader.tables_view == late.tables_view == writer.tables_view
    for service in (reader, late):
        await service.close()


@scenario
async def test_new_process_without_store_takes_a_peers_revision(world):
    up, _ = world.service()
    await up.commit(POOLS, 0, "ada")
    new, tables = world.service()
    tables.down = True
    world.sent.clear()
    await new.start()
    assert world.sent == [ConfigAsk(0)]
    await asyncio.sleep(0.1)
    assert not new.ready
    await new.receive(up.answer(ConfigAsk(0)))
    assert new.ready
    assert new.tables_view == up.tables_view
    assert up.answer(ConfigAsk(1)) is None
    await new.close()


@scenario
async def test_gap_is_asked_for_and_old_offers_are_ignored(world):
    up, _ = world.service()
    behind, _ = world.service()
    await up.commit(POOLS, 0, "ada")
    old = up.answer(ConfigAsk(0))
    for revision in (1, 2):
        change = TableChange(put_routes=(route(estimate_s=revision),))
        await up.commit(change, revision, "ada")
    world.sent.clear()
    await behind.receive(up.answer(ConfigAsk(2)))
    assert behind.tables_view.revision == 0
    assert world.sent == [ConfigAsk(0)]
    await behind.receive(up.answer(ConfigAsk(0)))
    await behind.receive(old)
    await behind.receive(ConfigOffer(9, [b"{"]))
    assert behind.tables_view == up.tables_view


@scenario
async def test_heartbeat_of_a_higher_revision_is_asked_for(world):
    asked = []
    service, _ = world.service(send=lambda host, message: asked.append(host))
    service.receive_revision("peer-1", 4)
    service.receive_revision("peer-1", 4)
    assert asked == ["peer-1"]
    await asyncio.sleep(3)
    assert [(row.host, row.silent) for row in service.host_revisions()] == [
        ("peer-1", True)
    ]


@scenario
async def test_view_cannot_be_changed_and_subscribers_cannot_stop_adoption(world):
    service, _ = world.service()
    seen = []
    service.subscribe(lambda tables: 1 / 0)
    service.subscribe(lambda tables: seen.append(tables.revision))
    await service.commit(POOLS, 0, "ada")
    assert seen == [1]
    with pytest.raises(TypeError):
        service.tables_view.pools["x"] = Pool("x", "job")


@scenario
async def test_audit_is_read_newest_first(world):
    for at in (1.0, 90_000.0, 90_001.0):
        row = {"at": at, "operation_id": "o", "operator": "ada"}
        row |= {"action": "drain", "host": "h"}
        await world.inner.transact([], [Put(f"audit/{at:017.6f}-o", encode(row))])
    await world.inner.transact([], [Put("audit/0000000002.000000-x", b"?")])
    for limit, expected in ((1, [90_001.0]), (9, [90_001.0, 90_000.0, 1.0])):
        entries = await read_audit(world.inner, limit, 90_002.0)
        assert [entry.at for entry in entries] == expected
