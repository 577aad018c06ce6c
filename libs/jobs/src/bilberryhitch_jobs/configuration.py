"""The operator's configuration: queues, services and client accounts."""

from typing import NamedTuple


class AdvicePolicy(NamedTuple):
    """Timing of the advice service, which grants the workers for a step.

    :param base_latency_s: time to decide, whatever the number of workers
    :param latency_per_worker_s: added for each worker of a call
    :param valid_s: period of validity of a grant
    """

    base_latency_s: float
    latency_per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A queue that jobs are submitted to, found by host name and path prefix.

    The completion time objective of a job is ``stretch`` times the length of its
    critical path, plus ``target_s``.

    :param service: name of the worker pool that runs the tasks
    :param priority: 0 is the highest and may preempt others
    :param max_attempts: failed runs after which a task is not retried
    :param stretch: factor of the critical path's length in the objective
    :param target_s: constant part of the objective
    :param public: callers need no API key
    :param advice: None if workers need no grant of the advice service
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_s: float
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    public: bool
    advice: AdvicePolicy | None


class Service(NamedTuple):
    """A worker pool.

    :param enforces_capacity: workers refuse runs that exceed their capacity
    :param spare: the machines of the pool are powered off
    """

    name: str
    enforces_capacity: bool
    spare: bool


class Account(NamedTuple):
    """A client account.

    :param keys: API keys
    :param guaranteed_gpu: number of accelerators guaranteed to its urgent jobs
    """

    name: str
    keys: frozenset[str]
    guaranteed_gpu: int


class Limits(NamedTuple):
    """Limits of callers' HTTP requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration.

    :param services: worker pools by name
    :param accounts: client accounts by name
    :param accounts_by_key: account names by API key
    """

    version: int
    queues: tuple[Queue, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    accounts_by_key: dict[str, str]
    limits: Limits

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest matching path prefix."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)

    def get_queue(self, name: str) -> Queue | None:
        """Return a queue by name, or None."""
        return next((queue for queue in self.queues if queue.name == name), None)
