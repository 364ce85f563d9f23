"""What each tenant may have running: counted from the order to the certain end of every run.

A run counts from before its start is ordered until its worker lists the end, or it is certain
that it cannot be at work: also while it is stopped, in doubt, or on a worker that is silent.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import (
    add_vectors,
    count_fitting_tasks,
    scale_vector,
    subtract_vectors,
)
from onyxspoke.core.tenants.policy import TenantName

#: Stands for an amount without a limit.
UNLIMITED = 1 << 60


class QuotaUsage:
    """What the runs of each tenant take, over all workers of a shard."""

    def __init__(self) -> None:
        self._used: dict[TenantName, ResourceVector] = {}

    def used(self, tenant: TenantName) -> ResourceVector:
        """Return what a tenant's runs take."""
        return self._used.get(tenant, ResourceVector())

    def add(self, tenant: TenantName, needs: ResourceVector) -> None:
        """A run may be at work from now on."""
        self._used[tenant] = add_vectors(self.used(tenant), needs)

    def remove(self, tenant: TenantName, needs: ResourceVector) -> None:
        """A run is certainly over."""
        left = subtract_vectors(self.used(tenant), needs)
        if any(left):
            self._used[tenant] = left
        else:
            self._used.pop(tenant, None)


class QuotaBudget:
    """What tenants may still start, as one pass of placement sees it.

    Parameters
    ----------
    part_of : callable
        Returns what a tenant may have running in this shard; ``UNLIMITED`` sets no limit.
    ledger : QuotaUsage
        What may be running.
    doubts : dict of TenantName to ResourceVector
        What may be running beside, on workers that have not told yet.
    """

    def __init__(
        self,
        part_of: Callable[[TenantName], ResourceVector],
        ledger: QuotaUsage,
        doubts: dict[TenantName, ResourceVector],
    ) -> None:
        self._part_of = part_of
        self._ledger = ledger
        self._doubts = doubts
        self._left: dict[TenantName, ResourceVector] = {}

    def slots(self, tenant: TenantName, needs: ResourceVector) -> int:
        """Return how many more tasks with these needs a tenant may start."""
        return count_fitting_tasks(self._left_of(tenant), needs)

    def take(self, tenant: TenantName, needs: ResourceVector, count: int) -> None:
        """So many more tasks start."""
        self._left[tenant] = subtract_vectors(self._left_of(tenant), scale_vector(needs, count))

    def _left_of(self, tenant: TenantName) -> ResourceVector:
        left = self._left.get(tenant)
        if left is None:
            left = subtract_vectors(self._part_of(tenant), self._ledger.used(tenant))
            left = subtract_vectors(left, self._doubts.get(tenant, ResourceVector()))
            self._left[tenant] = left
        return left


def unlimited_quotas() -> QuotaBudget:
    """Return the quotas of a cell without tenants."""
    return QuotaBudget(lambda _tenant: _NO_LIMIT, QuotaUsage(), {})


_NO_LIMIT = ResourceVector(UNLIMITED, UNLIMITED, UNLIMITED)
