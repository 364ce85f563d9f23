"""What a shard may have running of each tenant, where the quota is lent by another shard."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors, elementwise_minimum
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.core.tenants.quota_lender import QuotaRequest

#: Between two requests for more, in seconds: what comes close together shares one, and one that was
#: lent less than it asked for asks again.
REQUEST_SECONDS = 0.05
AGAIN_SECONDS = 0.25
#: What is not needed is returned after so long, in seconds: the next jobs may need it soon, and an
#: urgent one would wait 0.03 s for it.
KEEP_SECONDS = 1.0
#: A request without an answer is given up after so long, in seconds.
PATIENCE_SECONDS = 1.0


@dataclass(slots=True)
class _Credit:
    """What one tenant may have running here."""

    quota: ResourceVector
    amount: ResourceVector = field(default_factory=ResourceVector)
    number: int = 0
    sent_at: float = 0.0
    is_waiting: bool = False
    #: The latest answer was less than what was asked for.
    is_short: bool = False
    next_at: float = 0.0
    #: Since when more is held than is needed.
    surplus_since: float | None = None


class QuotaBorrower:
    """Asks for, uses and returns parts of tenants' quotas.

    Parameters
    ----------
    shard : int
        The shard that borrows.
    token : int
        Of its holder's claim.
    """

    def __init__(self, shard: ShardId, token: int) -> None:
        self._shard = shard
        self._token = token
        self._credits: dict[TenantName, _Credit] = {}

    def amount(self, tenant: TenantName) -> ResourceVector:
        """Return what a tenant may have running here."""
        credit = self._credits.get(tenant)
        return ResourceVector() if credit is None else credit.amount

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
            What may be running of it here.
        wanted : ResourceVector
            What waits beside, and could start.
        """
        credit = self._credits.get(tenant)
        if credit is None:
            credit = self._credits[tenant] = _Credit(quota=quota)
        if _is_lowered(credit.quota, quota):
            # Others may count on what was lent under the former quota: nothing more starts here
            # before the lender has said how much may.
            credit.amount = elementwise_minimum(credit.amount, used)
        credit.quota = quota
        if credit.is_waiting and now - credit.sent_at < PATIENCE_SECONDS:
            return None
        credit.is_waiting = False
        target = _within(add_vectors(used, wanted), quota)
        target = ResourceVector(*map(max, target, used))
        if credit.number == 0:
            # A former holder of the shard may have borrowed what nobody returned.
            return self._ask(tenant, credit, target, used, now)
        needs_more = any(have < want for have, want in zip(credit.amount, target, strict=True))
        if needs_more:
            credit.surplus_since = None
            if now < credit.next_at:
                return None
            return self._ask(tenant, credit, target, used, now)
        return self._return_surplus(tenant, credit, target, used, now)

    def handle_granted(self, request: QuotaRequest, amount: ResourceVector, now: float) -> bool:
        """Take the answer to a request; return whether there is more to start with."""
        credit = self._credits.get(request.tenant)
        if credit is None or request.number != credit.number:
            return False
        credit.is_waiting = False
        has_grown = any(new > old for new, old in zip(amount, credit.amount, strict=True))
        is_whole = amount == request.amount
        credit.is_short = not is_whole
        credit.amount = amount
        credit.next_at = now + (REQUEST_SECONDS if is_whole else AGAIN_SECONDS)
        return has_grown

    def handle_unanswered(self, request: QuotaRequest, now: float) -> None:
        """The lender was not reached, or not heard: ask again."""
        credit = self._credits.get(request.tenant)
        if credit is not None and request.number == credit.number:
            credit.is_waiting = False
            credit.next_at = now + AGAIN_SECONDS

    def _return_surplus(
        self,
        tenant: TenantName,
        credit: _Credit,
        target: ResourceVector,
        used: ResourceVector,
        now: float,
    ) -> QuotaRequest | None:
        if credit.amount == target:
            credit.surplus_since = None
            return None
        if credit.surplus_since is None:
            credit.surplus_since = now
        if now - credit.surplus_since < KEEP_SECONDS:
            return None
        credit.surplus_since = None
        return self._ask(tenant, credit, target, used, now)

    def _ask(
        self,
        tenant: TenantName,
        credit: _Credit,
        target: ResourceVector,
        used: ResourceVector,
        now: float,
    ) -> QuotaRequest:
        credit.number += 1
        credit.sent_at = now
        credit.is_waiting = True
        # What is returned with this is not used any more, whatever becomes of the request.  One
        # that was lent too little offers what it does not use: another may have waited for longer.
        credit.amount = elementwise_minimum(credit.amount, used if credit.is_short else target)
        return QuotaRequest(
            tenant=tenant,
            shard=self._shard,
            token=self._token,
            number=credit.number,
            amount=target,
            retained=ResourceVector(*map(max, used, credit.amount)),
        )


def _within(amount: ResourceVector, quota: ResourceVector) -> ResourceVector:
    """Return an amount that is at most the quota, where that sets a limit."""
    return ResourceVector(
        *(min(have, most) if most else have for have, most in zip(amount, quota, strict=True))
    )


def _is_lowered(former: ResourceVector, quota: ResourceVector) -> bool:
    """Return whether a quota sets a lower limit than another one, on any amount."""
    return any(
        most and (not before or most < before) for before, most in zip(former, quota, strict=True)
    )
