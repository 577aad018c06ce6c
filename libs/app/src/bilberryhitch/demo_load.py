"""Sends the work of a short day to the entry hosts."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import NamedTuple

import aiohttp

from .demo_cluster import caller_token
from .demo_deployments import Deployment, Kind

JOB_WAIT_S = 10.0
GIVE_UP_S = 45.0


class Ending(NamedTuple):
    """How one piece of work ended; ``seconds`` from arrival to outcome."""

    route: str
    outcome: str
    seconds: float


class DayLoad:
    """The arrivals of one day.

    :param seconds: length of the day
    :param on_ending: called with every outcome
    """

    def __init__(
        self,
        deployment: Deployment,
        apis: Sequence[str],
        *,
        seconds: float,
        seed: int,
        on_ending: Callable[[Ending], None],
    ) -> None:
        self._deployment = deployment
        self._apis = itertools.cycle(apis)
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._on_ending = on_ending
        self._session: aiohttp.ClientSession | None = None
        self.sent = 0

    async def run(self) -> None:
        """Send everything and wait for every outcome."""
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as self._session,
            asyncio.TaskGroup() as group,
        ):
            for kind in self._deployment.kinds:
                group.create_task(self._arrivals(kind, group))

    async def _arrivals(self, kind: Kind, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(kind.rate))
            if loop.time() > until:
                return
            self.sent += 1
            group.create_task(self._one(kind, number))

    async def _one(self, kind: Kind, number: int) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        run_s = self._rng.uniform(*kind.seconds)
        try:
            if kind.work == "request":
                outcome = await self._request(kind, number, run_s)
            else:
                outcome = await self._job(kind, number, run_s)
        except aiohttp.ClientError:
            outcome = "no answer"
        self._on_ending(Ending(kind.route, outcome, loop.time() - began))

    async def _request(self, kind: Kind, number: int, run_s: float) -> str:
        answer = f"{kind.route} {number}"
        body = json.dumps({"sleep_s": run_s, "answer": answer})
        headers = _headers(kind)
        if not kind.idempotent:
            headers["Idempotency-Key"] = f"{kind.route}-{number}"
        url = f"{next(self._apis)}/v1/requests/{kind.route}"
        async with self._open.post(url, data=body, headers=headers) as response:
            text = await response.text()
            outcome = response.headers.get("Bilberryhitch-Outcome", "refused")
        if outcome == "completed" and answer not in text:
            return "wrong answer"
        return outcome

    async def _job(self, kind: Kind, number: int, run_s: float) -> str:
        call = {
            "route": kind.route,
            "shape": kind.shapes[number % len(kind.shapes)]._asdict(),
            "run": json.dumps({"seconds": run_s}),
        }
        headers = _headers(kind)
        headers["Idempotency-Key"] = f"{kind.route}-{number}"
        url = f"{next(self._apis)}/v1/jobs"
        async with self._open.post(url, json=call, headers=headers) as response:
            body = await response.json()
            if response.status >= HTTPStatus.BAD_REQUEST:
                return response.headers.get("Bilberryhitch-Outcome", "refused")
        return await self._job_outcome(kind, body["job_id"])

    async def _job_outcome(self, kind: Kind, job_id: str) -> str:
        loop = asyncio.get_running_loop()
        until = loop.time() + GIVE_UP_S
        while loop.time() < until:
            url = f"{next(self._apis)}/v1/jobs/{job_id}/wait?timeout_s={JOB_WAIT_S}"
            async with self._open.get(url, headers=_headers(kind)) as response:
                body = await response.json()
            if body.get("state") == "finished":
                return str(body["status"])
        return "still queued"

    @property
    def _open(self) -> aiohttp.ClientSession:
        assert self._session is not None
        return self._session


def _headers(kind: Kind) -> dict[str, str]:
    return {"Authorization": f"Bearer {caller_token(kind.client_account)}"}
