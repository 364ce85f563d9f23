"""Shares one tenant's quota among several shards: its home shard lends parts to the others.

The holder of a tenant's home shard tracks the part that each other shard may use.  A loan is
recorded in the home shard's partition before the borrower is notified, so that the next holder
knows every loan that may be in use.  The home shard uses the part that is not lent.  A borrower
that requests less stops using the rest at once, so that the rest can be lent to another shard.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors, subtract_vectors
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.tenants.policy import TenantName

QUOTA_PREFIX = "quota/"
#: A request that was not granted in full is dropped if its borrower does not repeat it within this
#: time, in seconds.  A borrower that still waits repeats its request sooner than this.
UNMET_REQUEST_SECONDS = 1.5


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """The part of a tenant's quota that is lent to one shard, and the request that it answers.

    A request is accepted only if it is newer than the previous one: from a later holder of the
    shard, which has a higher token, or from the same holder with a higher number.
    """

    token: int
    number: int
    amount: ResourceVector


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request of a shard's holder to change the amount of its loan of a tenant's quota.

    The shard keeps using ``retained`` until the answer, so the lender lends that part to nobody
    else in the meantime.
    """

    tenant: TenantName
    shard: ShardId
    token: int
    number: int
    amount: ResourceVector
    retained: ResourceVector = ResourceVector()


@dataclass(slots=True)
class _UnmetRequest:
    """A shard's request that was not granted in full."""

    since: float
    asked_at: float
    wanted: ResourceVector
    used: ResourceVector


@dataclass(slots=True)
class _Account:
    loans: dict[ShardId, Loan] = field(default_factory=dict)
    unmet_requests: dict[ShardId, _UnmetRequest] = field(default_factory=dict)

    def lent(self, excluded_shard: ShardId | None = None) -> ResourceVector:
        total = ResourceVector()
        for shard, loan in self.loans.items():
            if shard != excluded_shard:
                total = add_vectors(total, loan.amount)
        return total

    def record_unmet(
        self, shard: ShardId, wanted: ResourceVector, used: ResourceVector, now: float
    ) -> None:
        """Record an unmet request; its waiting time restarts if the shard has started more work."""
        unmet = self.unmet_requests.get(shard)
        if unmet is None:
            self.unmet_requests[shard] = _UnmetRequest(now, now, wanted, used)
            return
        if any(new > old for new, old in zip(used, unmet.used, strict=True)):
            unmet.since = now
        unmet.asked_at, unmet.wanted, unmet.used = now, wanted, used

    def reserved_for_older_requests(self, shard: ShardId) -> ResourceVector:
        """Return the resources that shards with older unmet requests still lack."""
        own_request = self.unmet_requests.get(shard)
        reserved = ResourceVector()
        for other, unmet in self.unmet_requests.items():
            if other == shard or (own_request is not None and own_request.since <= unmet.since):
                continue
            loan = self.loans.get(other)
            allocated = loan.amount if loan is not None else unmet.used
            reserved = add_vectors(
                reserved, ResourceVector(*map(_missing, unmet.wanted, allocated))
            )
        return reserved

    def drop_expired(self, now: float) -> None:
        """Drop unmet requests that were not repeated in time."""
        for shard, unmet in list(self.unmet_requests.items()):
            if now - unmet.asked_at > UNMET_REQUEST_SECONDS:
                del self.unmet_requests[shard]


class QuotaLender:
    """Lends the quotas of one home shard's tenants to the other shards.

    Free quota goes to the oldest unmet request until that request is granted in full.  Otherwise
    several shards could each hold a part that is too small to start any task.  The other shards
    repeat their requests and return the quota that they do not use.  The waiting time of a shard
    restarts when the shard starts more work.
    """

    def __init__(self, home: ShardId) -> None:
        self._home = home
        self._accounts: dict[TenantName, _Account] = {}
        #: Tenants whose loans have changed since they were last recorded.
        self.dirty: dict[TenantName, None] = {}

    def lent(self, tenant: TenantName) -> ResourceVector:
        """Return the total of a tenant's quota that is lent."""
        account = self._accounts.get(tenant)
        return ResourceVector() if account is None else account.lent()

    def reserved_for_other_shards(self, tenant: TenantName) -> ResourceVector:
        """Return the quota that the home shard leaves to older requests of other shards."""
        account = self._accounts.get(tenant)
        return (
            ResourceVector() if account is None else account.reserved_for_older_requests(self._home)
        )

    def update_home_demand(
        self, tenant: TenantName, wanted: ResourceVector, used: ResourceVector, now: float
    ) -> None:
        """Record the resources that the home shard wants in addition to those in use."""
        account = self._accounts.get(tenant)
        if account is None:
            return
        account.drop_expired(now)
        if any(wanted):
            account.record_unmet(self._home, add_vectors(used, wanted), used, now)
        else:
            account.unmet_requests.pop(self._home, None)

    def request(
        self, request: QuotaRequest, quota: ResourceVector, used: ResourceVector, now: float
    ) -> ResourceVector:
        """Return the amount that the requesting shard may use after the loan is recorded.

        Parameters
        ----------
        quota : ResourceVector
            The tenant's quota; an amount of 0 sets no limit.
        used : ResourceVector
            The resources that the home shard's runs use or may be using.
        """
        account = self._accounts.setdefault(request.tenant, _Account())
        previous_loan = account.loans.get(request.shard)
        request_order = (request.token, request.number)
        if previous_loan is not None and request_order <= (
            previous_loan.token,
            previous_loan.number,
        ):
            # A repeated request gets the same answer; nobody waits for the answer to an older one.
            return (
                previous_loan.amount
                if request_order == (previous_loan.token, previous_loan.number)
                else ResourceVector()
            )
        if previous_loan is None and not any(request.amount):
            return ResourceVector()
        granted = self._grant(account, request, quota, used, now)
        account.loans[request.shard] = Loan(request.token, request.number, granted)
        self.dirty[request.tenant] = None
        return granted

    def _grant(
        self,
        account: _Account,
        request: QuotaRequest,
        quota: ResourceVector,
        used: ResourceVector,
        now: float,
    ) -> ResourceVector:
        """Return the part of the request that is free and not reserved for older requests."""
        account.drop_expired(now)
        free = subtract_vectors(
            subtract_vectors(quota, used), account.lent(excluded_shard=request.shard)
        )
        free = subtract_vectors(free, account.reserved_for_older_requests(request.shard))
        granted = ResourceVector(
            *(
                wanted if not limit else max(retained, min(wanted, free_amount))
                for wanted, limit, free_amount, retained in zip(
                    request.amount, quota, free, request.retained, strict=True
                )
            )
        )
        if granted == request.amount:
            account.unmet_requests.pop(request.shard, None)
        else:
            account.record_unmet(request.shard, request.amount, request.retained, now)
        return granted

    # Records

    def encode(self, tenant: TenantName) -> bytes:
        """Return the encoded loans of a tenant."""
        loans = self._accounts[tenant].loans
        return _encoder.encode(loans)

    def restore(self, tenant: TenantName, data: bytes) -> None:
        """Restore the previous holder's loans; raise ``msgspec.MsgspecError`` if unreadable."""
        if data:
            self._accounts[tenant] = _Account(loans=_decoder.decode(data))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[ShardId, Loan])


def _missing(wanted: int, allocated: int) -> int:
    return max(0, wanted - allocated)


def home_shard(tenant: TenantName, shard_count: int) -> ShardId:
    """Return the shard that lends a tenant's quota to the others."""
    return zlib.crc32(tenant.encode()) % shard_count
