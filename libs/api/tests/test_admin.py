import asyncio
import hashlib
from itertools import count

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from bilberryhitch_api.admin import admin_routes
from bilberryhitch_api.errors import error_middleware
from bilberryhitch_config import ConfigService, read_audit
from bilberryhitch_model import Host, TableChange
from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_platform import MemoryTables
from bilberryhitch_testing import FaultyTables
from expression import Error, Ok

TOKENS = {"ada": "token-a", "bob": "token-b"}
OPERATORS = {name: hashlib.sha256(t.encode()).hexdigest() for name, t in TOKENS.items()}
POOL = {"name": "p", "work": "job"}
ROUTE = {
    "name": "r",
    "work": "job",
    "kind": "render",
    "client_account": "acme",
    "pool": "p",
}


class FakeMembership:
    def __init__(self):
        self.drained = []
        self.fail = False

    def hosts(self):
        return [Host("muscat-ruwi-1", "entry", "ruwi", "10.0.0.1:1")]

    async def drain(self, host, operator):
        if self.fail:
            return Error(StoreUnavailable("transact"))
        self.drained.append((host, operator))
        return Ok({"host": host, "leaving": True})

    async def undrain(self, host, operator):
        self.drained.clear()
        return Ok({"host": host, "leaving": False})


class AdminApi:
    """The operator routes on a test server, with their configuration service.

    :ivar other: a second configuration service on the same store
    """

    def __init__(self):
        self.inner = MemoryTables()
        self.tables = FaultyTables(self.inner)
        ids = count(1)
        self.config = self.service(ids)
        self.other = self.service(ids)
        self.membership = FakeMembership()

    def service(self, ids):
        return ConfigService(
            self.tables,
            now=lambda: 1.0,
            new_id=lambda: f"op-{next(ids)}",
            broadcast=lambda message: None,
            hosts=list,
        )

    async def __aenter__(self):
        app = web.Application(middlewares=[error_middleware])
        routes = admin_routes(
            self.config,
            self.membership,
            lambda limit: read_audit(self.tables, limit, 2.0),
            OPERATORS,
            max_body_bytes=10_000,
            max_rows={"routes": 5_000, "pools": 2},
        )
        app.add_routes(routes)
        self.client = TestClient(TestServer(app))
        await self.client.start_server()
        return self

    async def __aexit__(self, *details):
        await self.client.close()

    async def call(self, method, path, body=None, token="token-a"):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        options = {"data": body} if isinstance(body, bytes) else {"json": body}
        response = await self.client.request(
            method, f"/v1/admin/{path}", headers=headers, **options
        )
        return response.status, await response.json()


def scenario(main):
    async def run():
        async with AdminApi() as api:
            await main(api)

    return lambda: asyncio.run(run())


@scenario
async def test_put_returns_the_difference_and_accepts_the_body_of_get(api):
    assert (await api.call("PUT", "pools?base_revision=0", [POOL]))[0] == 200
    status, body = await api.call("PUT", "routes?base_revision=1", [ROUTE])
    assert (status, body["revision"]) == (200, 2)
    assert body["difference"]["added"] == ["r"]
    _, table = await api.call("GET", "routes")
    table["rows"][0]["estimate_s"] = 9.0
    _, dry = await api.call("PUT", "routes?base_revision=2&dry_run=1", table)
    changed = {"field": "estimate_s", "before": 60.0, "after": 9.0}
    assert dry["difference"]["changed"] == {"r": [changed]}
    assert api.config.tables_view.revision == 2
    _, body = await api.call("PUT", "routes?base_revision=2", table)
    assert body["difference"] == dry["difference"]
    _, history = await api.call("GET", "history?limit=1")
    assert [change["operator"] for change in history["changes"]] == ["ada"]


@scenario
async def test_conflict_response_names_the_other_operator(api):
    await api.call("PUT", "pools?base_revision=0", [POOL], token="token-b")
    status, body = await api.call("PUT", "pools?base_revision=0", [POOL])
    assert status == 409
    assert body == {"error": "config_conflict", "revision": 1, "operator": "bob"}


@scenario
async def test_change_is_computed_from_the_tables_of_the_base_revision(api):
    """Guards against a row that keeps the value of a commit made elsewhere.

    The entry host has not yet adopted that commit when it computes the change.
    """
    await api.call("PUT", "pools?base_revision=0", [POOL])
    pool = api.config.tables_view.pools["p"]._replace(max_queued=7)
    change = TableChange(put_pools=(pool,))
    assert (await api.other.commit(change, 1, "bob")).is_ok()
    status, _ = await api.call("PUT", "pools?base_revision=2", [POOL])
    assert status == 200
    assert api.config.tables_view.pools["p"].max_queued == 10_000


INVALID_CALLS = [
    ("PUT", "pools", [POOL], 400, "base_revision"),
    ("PUT", "pools?base_revision=x", [POOL], 400, "base_revision"),
    ("PUT", "pools?base_revision=0&dry_run=yes", [POOL], 400, "dry_run"),
    ("PUT", "pools?base_revision=0", {"pols": []}, 422, "pools"),
    ("PUT", "pools?base_revision=0", [POOL] * 3, 422, "pools"),
    ("PUT", "pools?base_revision=0", [POOL, POOL], 422, "name"),
    ("PUT", "pools?base_revision=0", [], 422, "$"),
    ("PUT", "pools?base_revision=0", b'[{"name": "p", "name": "q"}]', 400, "name"),
    ("PUT", "pools?base_revision=0", b"[" * 9_000, 400, "$"),
    ("PUT", "pools?base_revision=0", b" " * 10_001, 413, "body"),
    ("PUT", "routes?base_revision=0", [ROUTE], 422, "pool"),
    ("GET", "history?limit=0", None, 400, "limit"),
    ("PUT", "drains/none", None, 404, None),
]


@pytest.mark.parametrize(("method", "path", "body", "status", "field"), INVALID_CALLS)
def test_invalid_calls_report_field_and_rule_and_change_nothing(
    method, path, body, status, field
):
    async def main(api):
        found, answer = await api.call(method, path, body)
        assert found == status
        if field is not None:
            assert answer["field"] == field
            assert answer["rule"]
        assert api.inner.revision == 0

    scenario(main)()


@pytest.mark.parametrize("token", [None, "", "token-c", "töken", "x" * 5_000])
def test_unauthenticated_calls_change_nothing(token):
    async def main(api):
        for path in ("pools?base_revision=0", "drains/muscat-ruwi-1"):
            status, body = await api.call("PUT", path, [POOL], token=token)
            assert (status, body) == (401, {"error": "unauthenticated"})
        assert api.inner.revision == 0
        assert api.membership.drained == []

    scenario(main)()


@scenario
async def test_drain_and_undrain(api):
    status, _ = await api.call("PUT", "drains/muscat-ruwi-1")
    assert (status, api.membership.drained) == (200, [("muscat-ruwi-1", "ada")])
    assert (await api.call("DELETE", "drains/muscat-ruwi-1"))[0] == 200
    api.membership.fail = True
    assert (await api.call("PUT", "drains/muscat-ruwi-1"))[0] == 503


@scenario
async def test_config_status_and_unavailable_store(api):
    api.config.receive_revision("muscat-ruwi-1", 4)
    _, body = await api.call("GET", "config")
    assert body["hosts"][0]["revision"] == 4
    assert body["hosts"][0]["silent"] is False
    assert (await api.call("GET", "audit"))[1] == {"entries": []}
    api.tables.down = True
    for path in ("history", "audit"):
        assert (await api.call("GET", path))[0] == 503
    status, _ = await api.call("PUT", "pools?base_revision=0", [POOL])
    assert status == 503
