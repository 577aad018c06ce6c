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

ADD_POOL = TableChange(put_pools=(Pool("p", "job"),))


def route(name="r", **fields):
    return Route(name, "job", "render", "acme", "p")._replace(**fields)


class ConfigCluster:
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
    return lambda: run_virtual(main(ConfigCluster()))


@scenario
async def test_commit_writes_head_change_and_rows_in_one_transaction(cluster):
    service, _ = cluster.service()
    change = ADD_POOL._replace(put_routes=(route(),))
    assert (await service.commit(change, 0, "ada")).ok == (1, "ada", 5.0)
    revisions = {row.revision for row in (await cluster.inner.scan("config/")).rows}
    keys = [row.key for row in (await cluster.inner.scan("config/")).rows]
    assert revisions == {1}
    assert keys == [
        "config/change/000000000001",
        "config/head",
        "config/pool/p",
        "config/route/r",
    ]
    assert service.tables_view.routes == {"r": route()}
    assert cluster.sent[-1].revision == 1


@scenario
async def test_conflict_names_the_operator_who_committed_first(cluster):
    """Guards against the later of two concurrent commits overwriting the earlier."""
    (first, _), (second, _) = cluster.service(), cluster.service()
    change = TableChange(put_pools=(Pool("q", "job"),))
    results = await asyncio.gather(
        first.commit(ADD_POOL, 0, "ada"), second.commit(change, 0, "bob")
    )
    assert [result.is_ok() for result in results] == [True, False]
    assert results[1].error == ConfigConflict(1, "ada")
    assert (await second.commit(change, 7, "bob")).error == ConfigConflict(1, "ada")


INVALID_CHANGES = [
    TableChange(),
    TableChange(put_routes=(route(),)),
    TableChange(delete_pools=("p",)),
    TableChange(put_pools=(Pool("p", "job"),), delete_pools=("p",)),
]


@pytest.mark.parametrize("change", INVALID_CHANGES)
def test_invalid_change_is_rejected_without_effect(change):
    async def main(cluster):
        service, _ = cluster.service()
        assert isinstance((await service.commit(change, 0, "a")).error, TableInvalid)
        assert cluster.inner.revision == 0

    run_virtual(main(ConfigCluster()))


@scenario
async def test_lost_store_response_is_resolved(cluster):
    service, tables = cluster.service()
    tables.lose_answers = 1
    assert (await service.commit(ADD_POOL, 0, "ada")).ok.revision == 1


@scenario
async def test_unresolved_commit_is_not_reported_as_rejected(cluster):
    """Guards against a rejection being reported for a commit that was applied.

    The store's response is lost, and the tombstone cannot be written either.
    """
    service, tables = cluster.service()
    transact = tables.transact

    async def lose_response(expects, writes):
        tables.down = True
        await cluster.inner.transact(expects, writes)
        tables.transact = transact
        raise StoreAnswerLost("transact")

    tables.transact = lose_response
    error = (await service.commit(ADD_POOL, 0, "ada")).error
    assert error == StoreAnswerLost("op-1")
    tables.down = False
    assert [change.operation_id for change in await service.history(5)] == ["op-1"]


@scenario
async def test_commit_fails_and_tables_stay_while_the_store_is_down(cluster):
    service, tables = cluster.service()
    await service.commit(ADD_POOL, 0, "ada")
    tables.down = True
    result = await service.commit(TableChange(delete_pools=("p",)), 1, "ada")
    assert isinstance(result.error, StoreUnavailable)
    assert service.tables_view.revision == 1


@scenario
async def test_poll_adopts_changes_or_a_snapshot_if_many_are_missing(cluster):
    writer, _ = cluster.service()
    reader, _ = cluster.service()
    fresh, _ = cluster.service()
    await reader.start()
    await asyncio.sleep(0.1)
    assert reader.ready  # the store holds no revision yet
    await writer.commit(ADD_POOL, 0, "ada")
    for revision in range(1, 104):
        change = TableChange(put_routes=(route(estimate_s=revision),))
        await writer.commit(change, revision, "ada")
        if revision == 50:
            await asyncio.sleep(1.1)
            assert reader.tables_view.revision == 51
    await fresh.start()
    await asyncio.sleep(1.1)
    assert reader.tables_view == fresh.tables_view == writer.tables_view
    for service in (reader, fresh):
        await service.close()


@scenario
async def test_new_process_without_store_adopts_a_peers_revision(cluster):
    current, _ = cluster.service()
    await current.commit(ADD_POOL, 0, "ada")
    new, tables = cluster.service()
    tables.down = True
    cluster.sent.clear()
    await new.start()
    assert cluster.sent == [ConfigAsk(0)]
    await asyncio.sleep(0.1)
    assert not new.ready
    await new.receive(current.answer(ConfigAsk(0)))
    assert new.ready
    assert new.tables_view == current.tables_view
    assert current.answer(ConfigAsk(1)) is None
    await new.close()


@scenario
async def test_missing_changes_are_requested_and_old_offers_ignored(cluster):
    current, _ = cluster.service()
    lagging, _ = cluster.service()
    await current.commit(ADD_POOL, 0, "ada")
    old = current.answer(ConfigAsk(0))
    for revision in (1, 2):
        change = TableChange(put_routes=(route(estimate_s=revision),))
        await current.commit(change, revision, "ada")
    cluster.sent.clear()
    await lagging.receive(current.answer(ConfigAsk(2)))
    assert lagging.tables_view.revision == 0
    assert cluster.sent == [ConfigAsk(0)]
    await lagging.receive(current.answer(ConfigAsk(0)))
    await lagging.receive(old)
    await lagging.receive(ConfigOffer(9, [b"{"]))
    assert lagging.tables_view == current.tables_view


@scenario
async def test_higher_revision_in_a_heartbeat_is_requested(cluster):
    recipients = []
    service, _ = cluster.service(send=lambda host, message: recipients.append(host))
    service.receive_revision("peer-1", 4)
    service.receive_revision("peer-1", 4)
    assert recipients == ["peer-1"]
    await asyncio.sleep(3)
    assert [(row.host, row.silent) for row in service.host_revisions()] == [
        ("peer-1", True)
    ]


@scenario
async def test_tables_are_read_only_and_failing_subscribers_do_not_stop_adoption(
    cluster,
):
    service, _ = cluster.service()
    adopted = []
    service.subscribe(lambda tables: 1 / 0)
    service.subscribe(lambda tables: adopted.append(tables.revision))
    await service.commit(ADD_POOL, 0, "ada")
    assert adopted == [1]
    with pytest.raises(TypeError):
        service.tables_view.pools["x"] = Pool("x", "job")


@scenario
async def test_audit_is_read_newest_first(cluster):
    for at in (1.0, 90_000.0, 90_001.0):
        row = {"at": at, "operation_id": "o", "operator": "ada"}
        row |= {"action": "drain", "host": "h"}
        await cluster.inner.transact([], [Put(f"audit/{at:017.6f}-o", encode(row))])
    await cluster.inner.transact([], [Put("audit/0000000002.000000-x", b"?")])
    for limit, expected in ((1, [90_001.0]), (9, [90_001.0, 90_000.0, 1.0])):
        entries = await read_audit(cluster.inner, limit, 90_002.0)
        assert [entry.at for entry in entries] == expected
