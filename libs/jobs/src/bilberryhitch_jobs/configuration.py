"""The operator's configuration: queues, services and client accounts."""

from typing import NamedTuple


class AdvicePolicy(NamedTuple):
    """A queue whose steps need permission for each worker.

    :param valid_s: how long a permission holds
    """

    base_latency_s: float
    latency_per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A route by which jobs arrive.

    :param service: pool of workers that runs its tasks
    :param priority: 0 comes first and may evict others
    :param max_attempts: failed runs after which a task is given up
    :param stretch: objective as a multiple of the longest chain of work
    :param target_s: added to the objective
    :param public: callers need no key
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
    """A pool of workers.

    :param enforces_capacity: workers refuse what does not fit
    :param spare: its machines are switched off
    """

    name: str
    enforces_capacity: bool
    spare: bool


class Account(NamedTuple):
    """A client account.

    :param guaranteed_gpu: accelerators that its urgent jobs can always have
    """

    name: str
    keys: frozenset[str]
    guaranteed_gpu: int


class Limits(NamedTuple):
    """Bounds of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration.

    :param accounts_by_key: account name by API key
    """

    version: int
    queues: tuple[Queue, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    accounts_by_key: dict[str, str]
    limits: Limits

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` on ``host``."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of that name."""
        return next((queue for queue in self.queues if queue.name == name), None)
