import asyncio
from itertools import count

import pytest
from bilberryhitch_membership import Membership, owner
from bilberryhitch_membership.entry_hosts import EntryHosts
from bilberryhitch_model import Address, Host, Identity, PeerAddress
from bilberryhitch_model.errors import BadInput, StoreUnavailable
from bilberryhitch_peers import DrainNotice, Heartbeat
from bilberryhitch_platform import MemoryHostList, MemoryTables
from bilberryhitch_testing import FaultyTables, run_virtual

NAMES = ("e1", "e2", "e3")
W1 = Host("w1", "worker", "ruwi", "127.0.0.1:1", boot_id="b1")
ENTRIES = [Host(name, "entry", "ruwi", "", boot_id="p1") for name in NAMES]


class Cluster:
    """Memberships that deliver messages to each other immediately."""

    def __init__(self, names=NAMES):
        self.inner = MemoryTables()
        self.hosts = MemoryHostList([W1, *ENTRIES])
        self.tables = {name: FaultyTables(self.inner) for name in names}
        self.members = {name: self.member(name) for name in names}
        self.messages = []

    def member(self, name, incarnation="i1"):
        numbers = count()
        return Membership(
            Identity(name, "ruwi", f"{name}-{incarnation}"),
            self.tables[name],
            self.hosts,
            now=lambda: 1.0,
            new_id=lambda: f"{name}-{incarnation}-{next(numbers)}",
            broadcast=lambda message: [
                self.deliver(other, message) for other in self.members if other != name
            ],
            send=self.deliver,
        )

    def deliver(self, host, message):
        self.messages.append(message)
        if isinstance(message, Heartbeat):
            self.members[host].receive_heartbeat(message)
        else:
            self.members[host].receive_drain_notice(message)
        return True

    async def __aenter__(self):
        for member in self.members.values():
            await member.start()
        await asyncio.sleep(3.0)
        return self

    async def __aexit__(self, *_):
        for member in self.members.values():
            await member.close()


def in_virtual_time(scenario):
    def test():
        run_virtual(scenario())

    test.__name__ = scenario.__name__
    return test


@in_virtual_time
async def test_a_host_without_heartbeats_for_two_seconds_is_not_live():
    async with Cluster() as cluster:
        assert cluster.members["e1"].entry_hosts("ruwi") == list(NAMES)
        await cluster.members["e3"].close()
        await asyncio.sleep(1.4)
        assert "e3" in cluster.members["e1"].entry_hosts("ruwi")
        await asyncio.sleep(0.7)
        assert cluster.members["e1"].entry_hosts("ruwi") == ["e1", "e2"]


@in_virtual_time
async def test_listed_hosts_count_as_live_for_two_seconds_after_the_start():
    cluster = Cluster(["e1"])
    await cluster.members["e1"].start()
    await asyncio.sleep(1.9)
    assert cluster.members["e1"].entry_hosts("ruwi") == list(NAMES)
    await asyncio.sleep(0.2)
    assert cluster.members["e1"].entry_hosts("ruwi") == ["e1"]
    await cluster.members["e1"].close()


@in_virtual_time
async def test_a_drain_is_committed_with_an_audit_row_and_undone():
    async with Cluster() as cluster:
        record = (await cluster.members["e1"].drain("w1", "ann")).ok
        row = await cluster.inner.get("drains/w1")
        assert row.revision == record.revision
        assert b'"operator":"ann"' in row.value
        page = await cluster.inner.scan("audit/")
        assert b'"action":"drain"' in page.rows[0].value
        assert all(
            member.endpoints("worker", "ruwi") == []
            for member in cluster.members.values()
        )
        await cluster.members["e2"].undrain("w1", "bob")
        assert all(
            member.endpoints("worker", "ruwi") == [W1]
            for member in cluster.members.values()
        )


@in_virtual_time
async def test_a_drain_fails_while_the_store_is_down():
    async with Cluster() as cluster:
        cluster.tables["e1"].down = True
        result = await cluster.members["e1"].drain("w1", "ann")
        assert isinstance(result.error, StoreUnavailable)
        assert cluster.members["e1"].endpoints("worker", "ruwi") == [W1]
        with pytest.raises(BadInput):
            await cluster.members["e1"].drain("w1/boots", "ann")


@in_virtual_time
async def test_older_notices_and_duplicates_change_nothing():
    # Guards against a delayed drain notice that overrides a later undrain.
    async with Cluster() as cluster:
        member = cluster.members["e1"]
        member.receive_drain_notice(DrainNotice("w1", False, 9))
        member.receive_drain_notice(DrainNotice("w1", True, 8))
        assert not member.is_leaving("w1")
        before = len(cluster.messages)
        member.receive_drain_notice(DrainNotice("w1", True, 8))
        assert len(cluster.messages) == before


@in_virtual_time
async def test_boot_rows_are_written_and_deleted_after_the_next_boot():
    async with Cluster() as cluster:
        cluster.hosts.set_host(W1._replace(state="leaving"))
        await asyncio.sleep(4.0)
        assert (await cluster.inner.get("drains/w1/boots")).value == b'["b1"]'
        cluster.hosts.set_host(W1)
        await asyncio.sleep(4.0)
        assert cluster.members["e1"].endpoints("worker", "ruwi") == []
        await asyncio.sleep(120.0)
        cluster.hosts.set_host(W1._replace(boot_id="b2"))
        await asyncio.sleep(4.0)
        assert await cluster.inner.get("drains/w1/boots") is None
        assert len(cluster.members["e1"].endpoints("worker", "ruwi")) == 1


@in_virtual_time
async def test_the_boots_of_listed_hosts_are_kept_and_those_of_others_expire():
    # Guards against a leaving boot that is offered for new work again after an hour.
    async with Cluster(["e1"]) as cluster:
        cluster.hosts.set_host(W1._replace(state="leaving"))
        cluster.hosts.set_host(W1._replace(name="w2"))
        await asyncio.sleep(4.0)
        cluster.hosts.set_host(W1)
        cluster.hosts.remove_host("w2")
        await asyncio.sleep(8000.0)
        assert cluster.members["e1"].is_leaving("w1")
        assert "w2" not in cluster.members["e1"]._leaving._boots


@in_virtual_time
async def test_an_older_boot_does_not_become_the_newest_after_an_unchanged_list():
    # Guards against counting the silence of the newest boot from the last change of
    # the host list instead of the last poll, which lets an older boot replace it.
    async with Cluster(["e1"]) as cluster:
        await asyncio.sleep(200.0)
        cluster.hosts.set_host(W1._replace(boot_id="b2"))
        await asyncio.sleep(200.0)
        cluster.hosts.set_host(W1._replace(boot_id="b2", state="leaving"))
        await asyncio.sleep(3.0)
        cluster.hosts.set_host(W1)
        await asyncio.sleep(3.0)
        assert cluster.members["e1"].endpoints("worker", "ruwi") == []


@in_virtual_time
async def test_the_heartbeat_of_an_earlier_incarnation_is_ignored():
    async with Cluster() as cluster:
        old = Heartbeat("e2", "ruwi", "e2-i1", False, 0)
        cluster.members["e2"].leave()
        assert cluster.members["e1"].entry_hosts("ruwi") == ["e1", "e3"]
        cluster.members["e1"].receive_heartbeat(old)
        assert cluster.members["e1"].is_leaving("e2")
        cluster.members["e1"].receive_heartbeat(
            Heartbeat("e2", "ruwi", "e2-i2", False, 0)
        )
        assert not cluster.members["e1"].is_leaving("e2")
        cluster.members["e1"].receive_heartbeat(old)
        assert not cluster.members["e1"].is_leaving("e2")


@in_virtual_time
async def test_no_notices_are_sent_without_changes():
    # Guards against digests that never match, which would resend notices forever.
    async with Cluster() as cluster:
        await cluster.members["e1"].drain("w1", "ann")
        cluster.hosts.set_host(W1._replace(state="leaving"))
        await asyncio.sleep(5.0)
        before = [
            message for message in cluster.messages if isinstance(message, DrainNotice)
        ]
        await asyncio.sleep(20.0)
        after = [
            message for message in cluster.messages if isinstance(message, DrainNotice)
        ]
        assert len(after) == len(before)


def test_the_senders_together_cover_a_remote_data_centre():
    local = [f"a{number}" for number in range(4)]
    remote_hosts = [f"b{number}" for number in range(7)]
    peers = [
        PeerAddress(name, "ab"[name[0] == "b"], Address("127.0.0.1", 1))
        for name in local + remote_hosts
    ]
    picked = []
    for name in local:
        entry = EntryHosts(Identity(name, "a", "i"), peers, 0.0)
        for other in local:
            entry.record_heartbeat(Heartbeat(other, "a", "i", False, 0), 5.0)
        targets = entry.heartbeat_targets(5.0)
        assert set(local) - {name} < set(targets)
        remote = [target for target in targets if target in remote_hosts]
        assert len(remote) == 2
        picked += remote
    assert set(picked) == set(remote_hosts)


def test_owner_rejects_an_empty_list_of_hosts():
    with pytest.raises(ValueError):
        owner("k", [])
