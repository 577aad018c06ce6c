"""Entry host processes of which the store turns one away."""

import random

from bilberryhitch_adapter_standins import Listener

from tests.path.platform_deployment import Deployment, job_body, job_id
from tests.path.test_platform_path import run_scenario


class PartlyRefusingDeployment(Deployment):
    """A deployment whose store has an address of its own for each host."""

    async def start(self, hosts=2, workers=2):
        self.listeners = {}
        for number in range(hosts):
            listener = Listener(self.store._handle, random.Random(number))
            await listener.start()
            self.listeners[f"host-{number}"] = listener
        await super().start(hosts, workers)

    def get_store_address(self, name):
        return self.listeners[name].address

    async def close(self):
        await super().close()
        for listener in self.listeners.values():
            await listener.close()


def run_partly_refused(folder, fault):
    async def scenario(deployment):
        other = {"host-0": "host-1", "host-1": "host-0"}[deployment.leader()]
        setattr(deployment.listeners[other], fault, True)
        for number in range(3):
            path = f"/fast/{job_id(number)}"
            status, _ = await deployment.call("POST", path, other, job_body())
            assert status == 200
            await deployment.wait_until_state(job_id(number), "completed", other)

    run_scenario(folder, scenario, deployment_type=PartlyRefusingDeployment)


def test_a_host_that_the_store_refuses_accepts_jobs_through_the_planner(tmp_path):
    """Guards against callers who are refused while the store serves other hosts."""
    run_partly_refused(tmp_path, "refusing")


def test_a_host_without_answers_of_the_store_accepts_jobs_through_the_planner(
    tmp_path,
):
    run_partly_refused(tmp_path, "silent")
