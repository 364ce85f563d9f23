"""Tracks the resources that each tenant's runs use, and limits new runs to the quotas.

A run counts from before its start is ordered until its worker lists the end or the run certainly
cannot execute.  A run also counts while it is stopped, in doubt, or on an unresponsive worker.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.jobs.amounts import minus, plus, slots_within, times
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.tenants.policy import TenantName

#: An amount that stands for no limit.
UNLIMITED = 1 << 60


class QuotaLedger:
    """The resources that each tenant's runs use on all workers of a shard."""

    def __init__(self) -> None:
        self._used: dict[TenantName, Needs] = {}

    def used(self, tenant: TenantName) -> Needs:
        """Return the resources that a tenant's runs use."""
        return self._used.get(tenant, Needs())

    def add(self, tenant: TenantName, needs: Needs) -> None:
        """Add the resources of a run that may execute from now on."""
        self._used[tenant] = plus(self.used(tenant), needs)

    def remove(self, tenant: TenantName, needs: Needs) -> None:
        """Subtract the resources of a run that has certainly ended."""
        remaining = minus(self.used(tenant), needs)
        if any(remaining):
            self._used[tenant] = remaining
        else:
            self._used.pop(tenant, None)


class QuotaPass:
    """The resources that tenants may still use for new tasks in one placement pass.

    Parameters
    ----------
    allocation_of : callable
        Returns the resources that a tenant's runs may use in this shard; ``UNLIMITED`` sets no
        limit.
    ledger : QuotaLedger
        The resources in use.
    usage_in_doubt : dict of TenantName to Needs
        Further resources that may be in use on workers that have not reported their runs yet.
    """

    def __init__(
        self,
        allocation_of: Callable[[TenantName], Needs],
        ledger: QuotaLedger,
        usage_in_doubt: dict[TenantName, Needs],
    ) -> None:
        self._allocation_of = allocation_of
        self._ledger = ledger
        self._usage_in_doubt = usage_in_doubt
        self._remaining: dict[TenantName, Needs] = {}

    def slots(self, tenant: TenantName, needs: Needs) -> int:
        """Return how many more tasks with these needs a tenant may start."""
        return slots_within(self._remaining_for(tenant), needs)

    def take(self, tenant: TenantName, needs: Needs, count: int) -> None:
        """Subtract the resources of ``count`` tasks that start."""
        self._remaining[tenant] = minus(self._remaining_for(tenant), times(needs, count))

    def _remaining_for(self, tenant: TenantName) -> Needs:
        remaining = self._remaining.get(tenant)
        if remaining is None:
            remaining = minus(self._allocation_of(tenant), self._ledger.used(tenant))
            remaining = minus(remaining, self._usage_in_doubt.get(tenant, Needs()))
            self._remaining[tenant] = remaining
        return remaining


def no_quotas() -> QuotaPass:
    """Return the budget of a cell without tenants, which has no limits."""
    return QuotaPass(lambda _tenant: _NO_LIMIT, QuotaLedger(), {})


_NO_LIMIT = Needs(UNLIMITED, UNLIMITED, UNLIMITED)
