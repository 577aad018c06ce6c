"""Generates the workload of the demo and sends it to the entry hosts."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import NamedTuple

import aiohttp

from .demo_cluster import caller_token
from .demo_deployments import Deployment, WorkloadKind

JOB_WAIT_S = 10.0
JOB_TIMEOUT_S = 45.0


class WorkResult(NamedTuple):
    """The result of one request or job.

    :param latency_s: seconds from arrival to outcome
    """

    route: str
    outcome: str
    latency_s: float


class WorkloadGenerator:
    """Sends requests and jobs with random arrival times.

    :param apis: base URLs of the entry hosts, used in turn
    :param seconds: time during which work arrives
    :param seed: seed of arrival times and run times
    :param on_result: called with the result of each request and job
    :ivar sent: number of requests and jobs sent
    """

    def __init__(
        self,
        deployment: Deployment,
        apis: Sequence[str],
        *,
        seconds: float,
        seed: int,
        on_result: Callable[[WorkResult], None],
    ) -> None:
        self._deployment = deployment
        self._apis = itertools.cycle(apis)
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._on_result = on_result
        self._session: aiohttp.ClientSession | None = None
        self.sent = 0

    async def run(self) -> None:
        """Send all work and wait for all results."""
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as self._session,
            asyncio.TaskGroup() as group,
        ):
            for kind in self._deployment.kinds:
                group.create_task(self._generate_arrivals(kind, group))

    async def _generate_arrivals(
        self, kind: WorkloadKind, group: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._seconds
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(kind.arrivals_per_s))
            if loop.time() > deadline_s:
                return
            self.sent += 1
            group.create_task(self._submit_one(kind, number))

    async def _submit_one(self, kind: WorkloadKind, number: int) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        run_s = self._rng.uniform(*kind.run_time_range_s)
        try:
            if kind.work == "request":
                outcome = await self._send_request(kind, number, run_s)
            else:
                outcome = await self._run_job(kind, number, run_s)
        except aiohttp.ClientError:
            outcome = "no response"
        self._on_result(WorkResult(kind.route, outcome, loop.time() - started_s))

    async def _send_request(self, kind: WorkloadKind, number: int, run_s: float) -> str:
        answer = f"{kind.route} {number}"
        body = json.dumps({"sleep_s": run_s, "answer": answer})
        headers = _headers(kind)
        if not kind.idempotent:
            headers["Idempotency-Key"] = f"{kind.route}-{number}"
        url = f"{next(self._apis)}/v1/requests/{kind.route}"
        async with self._active_session.post(
            url, data=body, headers=headers
        ) as response:
            text = await response.text()
            outcome = response.headers.get("Bilberryhitch-Outcome", "refused")
        if outcome == "completed" and answer not in text:
            return "wrong content"
        return outcome

    async def _run_job(self, kind: WorkloadKind, number: int, run_s: float) -> str:
        call = {
            "route": kind.route,
            "shape": kind.shapes[number % len(kind.shapes)]._asdict(),
            "run": json.dumps({"seconds": run_s}),
        }
        headers = _headers(kind)
        headers["Idempotency-Key"] = f"{kind.route}-{number}"
        url = f"{next(self._apis)}/v1/jobs"
        async with self._active_session.post(
            url, json=call, headers=headers
        ) as response:
            body = await response.json()
            if response.status >= HTTPStatus.BAD_REQUEST:
                return response.headers.get("Bilberryhitch-Outcome", "refused")
        return await self._poll_job(kind, body["job_id"])

    async def _poll_job(self, kind: WorkloadKind, job_id: str) -> str:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + JOB_TIMEOUT_S
        while loop.time() < deadline_s:
            url = f"{next(self._apis)}/v1/jobs/{job_id}/wait?timeout_s={JOB_WAIT_S}"
            async with self._active_session.get(
                url, headers=_headers(kind)
            ) as response:
                body = await response.json()
            if body.get("state") == "finished":
                return str(body["status"])
        return "timed out"

    @property
    def _active_session(self) -> aiohttp.ClientSession:
        assert self._session is not None
        return self._session


def _headers(kind: WorkloadKind) -> dict[str, str]:
    return {"Authorization": f"Bearer {caller_token(kind.client_account)}"}
