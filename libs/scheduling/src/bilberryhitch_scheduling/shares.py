"""Shares of client accounts in a pool and what they use outside guarantees."""

from collections.abc import Sequence

from bilberryhitch_model import Share

from .jobs import Job


class Shares:
    """Use by account, in accelerators; an account is active while it has jobs.

    :ivar guaranteed_use: accelerators used inside guaranteed cells
    :ivar urgent_use: accelerators that urgent jobs use outside guaranteed cells
    :ivar in_use: accelerators used in all
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
        """Return the weight of an account."""
        return max(1e-6, self._weights.get(client_account, 1.0))

    def count_job(self, client_account: str, step: int) -> None:
        """Count a job that arrives or leaves the scheduler."""
        count = self._jobs.get(client_account, 0)
        if count == 0:
            self._active_weight += self.weight(client_account)
        if count + step:
            self._jobs[client_account] = count + step
            return
        self._jobs.pop(client_account, None)
        self._active_weight -= self.weight(client_account)

    def count_use(self, job: Job, step: int) -> None:
        """Count what a placed job uses; to be called while it has its members."""
        account = job.queued.client_account
        _add(self.in_use, account, step * job.occupied)
        if job.cell is not None:
            _add(self.guaranteed_use, account, step * job.occupied)
        elif job.urgent:
            _add(self.urgent_use, account, step * job.occupied)

    def count_entry(self, job: Job) -> None:
        """Move the use of a counted job into its account's guarantee."""
        account = job.queued.client_account
        _add(self.guaranteed_use, account, job.occupied)
        if job.urgent:
            _add(self.urgent_use, account, -job.occupied)

    def allows_urgent(self, client_account: str, size: float, total: int) -> bool:
        """Return whether urgent work of a size is within the account's share.

        One urgent job is allowed however small the share is.
        """
        used = self.urgent_use.get(client_account, 0)
        whole = max(self._active_weight, self.weight(client_account))
        share = total * self.weight(client_account) / whole
        return used == 0 or used + size <= share


def _add(counts: dict[str, int], name: str, step: int) -> None:
    counts[name] = counts.get(name, 0) + step
    if not counts[name]:
        del counts[name]
