"""Tracks the resources that each tenant's runs use, and limits new runs to the quotas.

A run counts from just before the order to start it until its worker lists its end, or until it
certainly cannot execute.  A run also counts while it is stopped, in doubt, or on an unresponsive
worker.
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

#: An amount that stands for no limit.
UNLIMITED = 1 << 60


class QuotaUsage:
    """The resources that each tenant's runs use on all workers of a shard."""

    def __init__(self) -> None:
        self._used: dict[TenantName, ResourceVector] = {}

    def used(self, tenant: TenantName) -> ResourceVector:
        """Return the resources that a tenant's runs use."""
        return self._used.get(tenant, ResourceVector())

    def add(self, tenant: TenantName, needs: ResourceVector) -> None:
        """Add the resources of a run that may execute from now on."""
        self._used[tenant] = add_vectors(self.used(tenant), needs)

    def remove(self, tenant: TenantName, needs: ResourceVector) -> None:
        """Subtract the resources of a run that has certainly ended."""
        remaining = subtract_vectors(self.used(tenant), needs)
        if any(remaining):
            self._used[tenant] = remaining
        else:
            self._used.pop(tenant, None)


class QuotaBudget:
    """The resources that tenants may still use for new tasks in one placement pass.

    Parameters
    ----------
    allocation_of : callable
        Returns the resources that a tenant's runs may use in this shard; ``UNLIMITED`` sets no
        limit.
    ledger : QuotaUsage
        The resources in use.
    usage_in_doubt : dict of TenantName to ResourceVector
        Further resources that may be in use on workers that have not reported their runs yet.
    """

    def __init__(
        self,
        allocation_of: Callable[[TenantName], ResourceVector],
        ledger: QuotaUsage,
        usage_in_doubt: dict[TenantName, ResourceVector],
    ) -> None:
        self._allocation_of = allocation_of
        self._ledger = ledger
        self._usage_in_doubt = usage_in_doubt
        self._remaining: dict[TenantName, ResourceVector] = {}

    def slots(self, tenant: TenantName, needs: ResourceVector) -> int:
        """Return how many more tasks with these needs a tenant may start."""
        return count_fitting_tasks(self.remaining(tenant), needs)

    def take(self, tenant: TenantName, needs: ResourceVector, count: int) -> None:
        """Subtract the resources of ``count`` tasks that start."""
        self._remaining[tenant] = subtract_vectors(
            self.remaining(tenant), scale_vector(needs, count)
        )

    def remaining(self, tenant: TenantName) -> ResourceVector:
        """Return what a tenant may still use; negative if it uses more than its allocation."""
        remaining = self._remaining.get(tenant)
        if remaining is None:
            remaining = subtract_vectors(self._allocation_of(tenant), self._ledger.used(tenant))
            remaining = subtract_vectors(
                remaining, self._usage_in_doubt.get(tenant, ResourceVector())
            )
            self._remaining[tenant] = remaining
        return remaining


def unlimited_quotas() -> QuotaBudget:
    """Return the budget of a cell without tenants, which has no limits."""
    return QuotaBudget(lambda _tenant: _NO_LIMIT, QuotaUsage(), {})


_NO_LIMIT = ResourceVector(UNLIMITED, UNLIMITED, UNLIMITED)
