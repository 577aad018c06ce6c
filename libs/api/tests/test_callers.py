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


class FakeRequests:
    outcome = Outcome("completed", b"answer", "text/plain")

    async def submit(self, call):
        self.call = call
        return self.outcome

    async def status(self, handle, client_account):
        return Error(NotFound("request", handle))


class FakeJobs:
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
    """Send one HTTP request to a server with fake services.

    :returns: status, headers and body
    """

    async def main():
        routes = caller_routes(
            requests or FakeRequests(), FakeJobs(), authenticate, max_body_bytes=1000
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
def test_outcome_is_mapped_to_status_and_headers(outcome, status):
    requests = FakeRequests()
    requests.outcome = outcome
    found, headers, body = call("POST", "/v1/requests/fit", requests=requests)
    assert found == status
    assert headers["Bilberryhitch-Outcome"] == outcome.status
    assert headers.get("Bilberryhitch-Handle", "") == outcome.handle
    assert ("Retry-After" in headers) == (outcome.status == "not_run")
    if outcome.status == "completed":
        assert body == b"answer"


def test_unknown_token_is_rejected():
    assert call("POST", "/v1/requests/fit", token="nobody")[0] == 401


def test_job_of_another_account_is_not_found():
    """Guards against callers who read, cancel or probe for jobs of other accounts."""
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
def test_invalid_job_body_is_rejected_with_the_field(data, status, field):
    """Guards against tracebacks and against misspelt fields that are ignored."""
    found, _, body = call("POST", "/v1/jobs", data=data)
    assert found == status
    assert field in json.loads(body)["field"]


def test_rejected_job_is_reported_as_not_run():
    found, headers, _ = call("POST", "/v1/jobs", json={"route": "other"})
    assert found == 503
    assert headers["Bilberryhitch-Outcome"] == "not_run"
    assert headers["Retry-After"] == "3"


def test_idempotency_key_with_a_slash_is_rejected():
    """Guards against a key with which one account addresses rows of another.

    Keys of callers are parts of row keys, which are separated by slashes.
    """
    headers = {"Idempotency-Key": "a/b"}
    assert call("POST", "/v1/requests/fit", headers=headers)[0] == 400
