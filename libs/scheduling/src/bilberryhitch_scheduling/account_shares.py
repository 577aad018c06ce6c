"""Fair shares of client accounts in a pool, and the accelerators they use."""

from collections.abc import Sequence

from bilberryhitch_model import Share

from .jobs import Job


class AccountShares:
    """Weights and usage by account; an account is active while it has jobs.

    :ivar guaranteed_use: accelerators used inside guaranteed cells
    :ivar urgent_use: accelerators that urgent jobs use outside guaranteed cells
    :ivar in_use: all accelerators used
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._jobs: dict[str, int] = {}
        self._active_weight = 0.0
        self.guaranteed_use: dict[str, int] = {}
        self.urgent_use: dict[str, int] = {}
        self.in_use: dict[str, int] = {}

    def set_rows(self, rows: Sequence[Share]) -> None:
        """Replace the weights; an account without a row has weight 1."""
        self._weights = {row.client_account: row.weight for row in rows}
        self._active_weight = sum(map(self.weight, self._jobs))

    def weight(self, client_account: str) -> float:
        """Return the weight of an account, always above 0."""
        return max(1e-6, self._weights.get(client_account, 1.0))

    def count_job(self, client_account: str, step: int) -> None:
        """Count a job that was submitted (``step`` 1) or removed (-1)."""
        count = self._jobs.get(client_account, 0)
        if count == 0:
            self._active_weight += self.weight(client_account)
        if count + step:
            self._jobs[client_account] = count + step
            return
        self._jobs.pop(client_account, None)
        self._active_weight -= self.weight(client_account)

    def count_usage(self, job: Job, step: int) -> None:
        """Add (``step`` 1) or subtract (-1) what an allocated job uses.

        Must be called while the job's members are set, as they are what is counted.
        """
        account = job.spec.client_account
        _add(self.in_use, account, step * job.allocated_accelerators)
        if job.bound_cell is not None:
            _add(self.guaranteed_use, account, step * job.allocated_accelerators)
        elif job.urgent:
            _add(self.urgent_use, account, step * job.allocated_accelerators)

    def move_to_guarantee(self, job: Job) -> None:
        """Count the usage of an allocated job as guaranteed from now on."""
        account = job.spec.client_account
        _add(self.guaranteed_use, account, job.allocated_accelerators)
        if job.urgent:
            _add(self.urgent_use, account, -job.allocated_accelerators)

    def allows_urgent(self, client_account: str, size: float, total: int) -> bool:
        """Return whether urgent work of a size is within the account's fair share.

        One urgent job is allowed however small the share is.

        :param size: accelerators of the work
        :param total: accelerators of the pool
        """
        used = self.urgent_use.get(client_account, 0)
        active_weight = max(self._active_weight, self.weight(client_account))
        share = total * self.weight(client_account) / active_weight
        return used == 0 or used + size <= share


def _add(counts: dict[str, int], name: str, step: int) -> None:
    counts[name] = counts.get(name, 0) + step
    if not counts[name]:
        del counts[name]
