"""What each tenant may have running: counted from the order to the certain end of every run.

A run counts from before its start is ordered until its worker lists the end, or it is certain
that it cannot be at work: also while it is stopped, in doubt, or on a worker that is silent.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.jobs.amounts import minus, plus, slots_within, times
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.tenants.policy import TenantName

#: Stands for an amount without a limit.
UNLIMITED = 1 << 60


class QuotaLedger:
    """What the runs of each tenant take, over all workers of a shard."""

    def __init__(self) -> None:
        self._used: dict[TenantName, Needs] = {}

    def used(self, tenant: TenantName) -> Needs:
        """Return what a tenant's runs take."""
        return self._used.get(tenant, Needs())

    def add(self, tenant: TenantName, needs: Needs) -> None:
        """A run may be at work from now on."""
        self._used[tenant] = plus(self.used(tenant), needs)

    def remove(self, tenant: TenantName, needs: Needs) -> None:
        """A run is certainly over."""
        left = minus(self.used(tenant), needs)
        if any(left):
            self._used[tenant] = left
        else:
            self._used.pop(tenant, None)


class QuotaPass:
    """What tenants may still start, as one pass of placement sees it.

    Parameters
    ----------
    part_of : callable
        Returns what a tenant may have running in this shard; ``UNLIMITED`` sets no limit.
    ledger : QuotaLedger
        What may be running.
    doubts : dict of TenantName to Needs
        What may be running beside, on workers that have not told yet.
    """

    def __init__(
        self,
        part_of: Callable[[TenantName], Needs],
        ledger: QuotaLedger,
        doubts: dict[TenantName, Needs],
    ) -> None:
        self._part_of = part_of
        self._ledger = ledger
        self._doubts = doubts
        self._left: dict[TenantName, Needs] = {}

    def slots(self, tenant: TenantName, needs: Needs) -> int:
        """Return how many more tasks with these needs a tenant may start."""
        return slots_within(self._left_of(tenant), needs)

    def take(self, tenant: TenantName, needs: Needs, count: int) -> None:
        """So many more tasks start."""
        self._left[tenant] = minus(self._left_of(tenant), times(needs, count))

    def _left_of(self, tenant: TenantName) -> Needs:
        left = self._left.get(tenant)
        if left is None:
            left = minus(self._part_of(tenant), self._ledger.used(tenant))
            left = minus(left, self._doubts.get(tenant, Needs()))
            self._left[tenant] = left
        return left


def no_quotas() -> QuotaPass:
    """Return the quotas of a cell without tenants."""
    return QuotaPass(lambda _tenant: _NO_LIMIT, QuotaLedger(), {})


_NO_LIMIT = Needs(UNLIMITED, UNLIMITED, UNLIMITED)
