import asyncio
import json

import aiohttp
import pytest
from bilberryhitch_api.callers import caller_routes
from bilberryhitch_api.server import ApiServer
from bilberryhitch_model import Address, JobRecord, Outcome, Shape
from bilberryhitch_model.errors import NotFound, NotRun, Unauthenticated
from bilberryhitch_settings import Caller
from expression import Error, Ok

JOB = JobRecord(
    job_id="ruwi.p.1",
    client_account="acme",
    caller="desk",
    route="render",
    kind="render",
    pool="p",
    data_centre="ruwi",
    shape=Shape(),
    urgency="normal",
    idempotent=True,
    checkpoint=False,
    declared_s=1.0,
    accepted_at=0.0,
)


class Requests:
    outcome = Outcome("completed", b"answer", "text/plain")

    async def submit(self, call):
        self.call = call
        return self.outcome

    async def status(self, handle, client_account):
        return Error(NotFound("request", handle))


class Jobs:
    async def accept(self, call):
        if call.route != "render":
            return Error(NotRun("no store", 3.0))
        return Ok(JOB)

    async def get(self, job_id):
        return Ok(JOB) if job_id == JOB.job_id else Error(NotFound("job", job_id))

    async def wait(self, job_id, timeout_s):
        return Ok(JOB)

    async def cancel(self, job_id):
        return Ok(JOB._replace(state="finished", status="cancelled"))


def authenticate(request):
    callers = {"Bearer a": Caller("acme", "desk"), "Bearer b": Caller("rival", "x")}
    caller = callers.get(request.headers.get("Authorization", ""))
    return Error(Unauthenticated()) if caller is None else Ok(caller)


def call(method, path, token="a", requests=None, **options):
    """Send one call to a server with fakes; returns status, headers and body."""

    async def main():
        routes = caller_routes(
            requests or Requests(), Jobs(), authenticate, max_body_bytes=1000
        )
        server = ApiServer(
            Address("127.0.0.1", 0), routes, max_body_bytes=1000, max_calls=10
        )
        await server.start()
        url = f"http://127.0.0.1:{server.address.port}{path}"
        headers = {"Authorization": f"Bearer {token}", **options.pop("headers", {})}
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(method, url, headers=headers, **options) as response,
            ):
                return response.status, response.headers, await response.read()
        finally:
            await server.close()

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (Outcome("completed", b"answer"), 200),
        (Outcome("failed", detail="broke"), 502),
        (Outcome("not_run", retry_after_s=2.0), 503),
        (Outcome("cancelled"), 409),
        (Outcome("unknown", handle="ruwi.h.1"), 504),
    ],
)
def test_each_outcome_has_its_status_and_header(outcome, status):
    requests = Requests()
    requests.outcome = outcome
    found, headers, body = call("POST", "/v1/requests/fit", requests=requests)
    assert found == status
    assert headers["Bilberryhitch-Outcome"] == outcome.status
    assert headers.get("Bilberryhitch-Handle", "") == outcome.handle
    assert ("Retry-After" in headers) == (outcome.status == "not_run")
    if outcome.status == "completed":
        assert body == b"answer"


def test_missing_token_is_refused():
    assert call("POST", "/v1/requests/fit", token="nobody")[0] == 401


def test_job_of_another_account_is_not_found():
    # Guards against reading, cancelling or probing another account's jobs.
    for method in ("GET", "DELETE"):
        assert call(method, f"/v1/jobs/{JOB.job_id}", token="b")[0] == 404
        assert call(method, f"/v1/jobs/{JOB.job_id}", token="a")[0] == 200


@pytest.mark.parametrize(
    ("data", "status", "field"),
    [
        (b'{"route": "render", "route": "x"}', 400, "route"),
        (b'{"route": ', 400, ""),
        (b'{"rout": "render"}', 400, ""),
        (b'{"route": "render", "shape": {"tasks": "many"}}', 400, "tasks"),
        (b"x" * 2000, 413, "body"),
    ],
)
def test_bad_job_bodies_are_refused_with_the_field(data, status, field):
    # Guards against tracebacks and against ignoring a misspelt field.
    found, _, body = call("POST", "/v1/jobs", data=data)
    assert found == status
    assert field in json.loads(body)["field"]


def test_refused_job_says_that_it_was_not_run():
    found, headers, _ = call("POST", "/v1/jobs", json={"route": "other"})
    assert found == 503
    assert headers["Bilberryhitch-Outcome"] == "not_run"
    assert headers["Retry-After"] == "3"


def test_key_with_a_slash_is_refused():
    # A slash would let one account's key name another row of the store.
    headers = {"Idempotency-Key": "a/b"}
    assert call("POST", "/v1/requests/fit", headers=headers)[0] == 400
