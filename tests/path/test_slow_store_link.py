"""Entry host processes on slow links to the store."""

import asyncio

import pytest

from tests.path.platform_deployment import (
    CALLER_HEADERS,
    CONFIGURATION,
    Deployment,
)
from tests.path.test_platform_path import run_scenario
from tests.soak.proxy import Proxy

# The row with these routes takes about three seconds on the slow link.
ROUTES = 3_000
BYTES_PER_S = 300_000
ROUTE = CONFIGURATION["routes"][0]


class SlowLinkDeployment(Deployment):
    """A deployment whose ``host-1`` reaches the store through a slow link."""

    async def start_platform(self, workers):
        await super().start_platform(workers)
        self.proxy = Proxy(self.store.listener.address)
        self.proxy.bytes_per_s = BYTES_PER_S
        await self.proxy.start()

    def get_store_address(self, name):
        return (
            self.proxy.address if name == "host-1" else super().get_store_address(name)
        )

    async def close(self):
        await super().close()
        await self.proxy.close()


def large_configuration():
    routes = [
        ROUTE | {"name": f"route-{number}", "path-prefix": f"/added-{number}/"}
        for number in range(ROUTES)
    ]
    return CONFIGURATION | {"version": 2, "routes": [ROUTE, *routes]}


async def wait_until_served(deployment, path, name):
    for _ in range(400):
        status, _ = await deployment.call("GET", path, name, headers=CALLER_HEADERS)
        if status == 200:
            return
        await asyncio.sleep(0.05)
    pytest.fail(f"{path} is not served: {deployment.log(name)[-2000:]}")


def test_a_large_configuration_is_adopted_on_a_slow_link(tmp_path):
    """Guards against hosts that serve an old configuration for good, whether they are
    running or start when it has grown.
    """

    async def scenario(deployment):
        await deployment.store.put("op", "config", large_configuration())
        added = f"/added-{ROUTES - 1}/"
        await wait_until_served(deployment, added, "host-0")
        await wait_until_served(deployment, added, "host-1")
        deployment.hosts["host-1"].kill()
        deployment.hosts["host-1"].wait()
        deployment.launch("host-1")
        await deployment.wait_until_ready("host-1")
        await wait_until_served(deployment, added, "host-1")

    run_scenario(tmp_path, scenario, deployment_type=SlowLinkDeployment)
