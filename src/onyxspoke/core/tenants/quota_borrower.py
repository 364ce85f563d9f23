"""Borrows parts of tenants' quotas from the tenants' home shards."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors, elementwise_minimum
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.core.tenants.quota_lender import QuotaRequest

#: Interval between two requests for more quota, in seconds; jobs that arrive together share one.
REQUEST_INTERVAL_SECONDS = 0.05
#: Time after which a request that was not granted in full is repeated, in seconds.
RETRY_SECONDS = 0.25
#: Unneeded quota is returned after this time, in seconds, because the next jobs may need it soon
#: and an urgent job would wait 0.03 s for a new loan.
SURPLUS_RETENTION_SECONDS = 1.0
#: A request without an answer is given up after this time, in seconds.
REPLY_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class _Allocation:
    """The part of a tenant's quota that this shard may use."""

    quota: ResourceVector
    amount: ResourceVector = field(default_factory=ResourceVector)
    number: int = 0
    sent_at: float = 0.0
    is_waiting: bool = False
    #: Whether the latest answer granted less than was requested.
    is_short: bool = False
    next_at: float = 0.0
    #: Time since which more is borrowed than is needed.
    surplus_since: float | None = None


class QuotaBorrower:
    """Requests, tracks and returns parts of tenants' quotas for one shard.

    Parameters
    ----------
    shard : int
        The shard that borrows.
    token : int
        The fencing token of the claim of the shard's holder.
    """

    def __init__(self, shard: ShardId, token: int) -> None:
        self._shard = shard
        self._token = token
        self._credits: dict[TenantName, _Allocation] = {}

    def amount(self, tenant: TenantName) -> ResourceVector:
        """Return the resources that a tenant's runs may use in this shard."""
        allocation = self._credits.get(tenant)
        return ResourceVector() if allocation is None else allocation.amount

    def next_request(
        self,
        tenant: TenantName,
        quota: ResourceVector,
        used: ResourceVector,
        wanted: ResourceVector,
        now: float,
    ) -> QuotaRequest | None:
        """Return a request that is due for a tenant, if any.

        Parameters
        ----------
        quota : ResourceVector
            The tenant's quota in force.
        used : ResourceVector
            The resources that the tenant's runs in this shard use or may be using.
        wanted : ResourceVector
            The further resources needed by waiting tasks that could start.
        """
        allocation = self._credits.get(tenant)
        if allocation is None:
            allocation = self._credits[tenant] = _Allocation(quota=quota)
        if _lowers_limit(allocation.quota, quota):
            # Other shards may still use loans of the previous quota, so nothing more starts here
            # until the lender has granted an amount under the new quota.
            allocation.amount = elementwise_minimum(allocation.amount, used)
        allocation.quota = quota
        if allocation.is_waiting and now - allocation.sent_at < REPLY_TIMEOUT_SECONDS:
            return None
        allocation.is_waiting = False
        target = _limit_to_quota(add_vectors(used, wanted), quota)
        target = ResourceVector(*map(max, target, used))
        if allocation.number == 0:
            # A previous holder of this shard may have borrowed quota that nobody returned.
            return self._ask(tenant, allocation, target, used, now)
        needs_more = any(
            current < required for current, required in zip(allocation.amount, target, strict=True)
        )
        if needs_more:
            allocation.surplus_since = None
            if now < allocation.next_at:
                return None
            return self._ask(tenant, allocation, target, used, now)
        return self._return_surplus(tenant, allocation, target, used, now)

    def handle_granted(self, request: QuotaRequest, amount: ResourceVector, now: float) -> bool:
        """Store the granted amount; return whether it grew for any resource."""
        allocation = self._credits.get(request.tenant)
        if allocation is None or request.number != allocation.number:
            return False
        allocation.is_waiting = False
        has_grown = any(new > old for new, old in zip(amount, allocation.amount, strict=True))
        is_granted_in_full = amount == request.amount
        allocation.is_short = not is_granted_in_full
        allocation.amount = amount
        allocation.next_at = now + (
            REQUEST_INTERVAL_SECONDS if is_granted_in_full else RETRY_SECONDS
        )
        return has_grown

    def handle_unanswered(self, request: QuotaRequest, now: float) -> None:
        """Schedule a new request, because the lender did not answer this one."""
        allocation = self._credits.get(request.tenant)
        if allocation is not None and request.number == allocation.number:
            allocation.is_waiting = False
            allocation.next_at = now + RETRY_SECONDS

    def _return_surplus(
        self,
        tenant: TenantName,
        allocation: _Allocation,
        target: ResourceVector,
        used: ResourceVector,
        now: float,
    ) -> QuotaRequest | None:
        if allocation.amount == target:
            allocation.surplus_since = None
            return None
        if allocation.surplus_since is None:
            allocation.surplus_since = now
        if now - allocation.surplus_since < SURPLUS_RETENTION_SECONDS:
            return None
        allocation.surplus_since = None
        return self._ask(tenant, allocation, target, used, now)

    def _ask(
        self,
        tenant: TenantName,
        allocation: _Allocation,
        target: ResourceVector,
        used: ResourceVector,
        now: float,
    ) -> QuotaRequest:
        allocation.number += 1
        allocation.sent_at = now
        allocation.is_waiting = True
        # Quota that this request returns is not used any more, even if the request is lost.  After
        # a partial grant all unused quota is offered, because another shard may wait longer.
        allocation.amount = elementwise_minimum(
            allocation.amount, used if allocation.is_short else target
        )
        return QuotaRequest(
            tenant=tenant,
            shard=self._shard,
            token=self._token,
            number=allocation.number,
            amount=target,
            retained=ResourceVector(*map(max, used, allocation.amount)),
        )


def _limit_to_quota(amount: ResourceVector, quota: ResourceVector) -> ResourceVector:
    """Return an amount capped at the quota, where the quota sets a limit."""
    return ResourceVector(
        *(
            min(current, limit) if limit else current
            for current, limit in zip(amount, quota, strict=True)
        )
    )


def _lowers_limit(previous_quota: ResourceVector, quota: ResourceVector) -> bool:
    """Return whether a quota has a lower limit than the previous one for any resource."""
    return any(
        limit and (not previous_limit or limit < previous_limit)
        for previous_limit, limit in zip(previous_quota, quota, strict=True)
    )
