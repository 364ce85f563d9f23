"""One quota for a tenant over several shards: its home shard lends parts of it to the others.

The holder of a tenant's home shard keeps what each other shard may have running of it.  A loan is
on record in the home shard's partition before the borrower is told, so that a successor knows every
loan that may be in use; what is not lent is the home shard's own.  A borrower that has asked for
less uses no more than that from then on, so that what it returned can be lent to another.
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
#: A borrower that waits for more than there is asks again sooner than this, in seconds; one that
#: does not is taken to wait no longer.
WAITING_SECONDS = 1.5


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """What one shard may have running of a tenant, and the request that it answers.

    A request counts only if it comes after the one before it: by a later holder of the shard, whose
    token is higher, or by the same one with a higher number.
    """

    token: int
    number: int
    amount: ResourceVector


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A shard's holder asks to have so much of a tenant running, instead of what it has.

    ``retained`` is what it goes on using until the answer, and is not lent to another meanwhile.
    """

    tenant: TenantName
    shard: ShardId
    token: int
    number: int
    amount: ResourceVector
    retained: ResourceVector = ResourceVector()


@dataclass(slots=True)
class _Waiting:
    """A shard that wants more than it may have."""

    since: float
    asked_at: float
    wanted: ResourceVector
    used: ResourceVector


@dataclass(slots=True)
class _Account:
    loans: dict[ShardId, Loan] = field(default_factory=dict)
    waiting: dict[ShardId, _Waiting] = field(default_factory=dict)

    def lent(self, but: ShardId | None = None) -> ResourceVector:
        total = ResourceVector()
        for shard, loan in self.loans.items():
            if shard != but:
                total = add_vectors(total, loan.amount)
        return total

    def note_waiting(
        self, shard: ShardId, wanted: ResourceVector, used: ResourceVector, now: float
    ) -> None:
        """A shard wants more than it may have; one that has started something waits anew."""
        waiting = self.waiting.get(shard)
        if waiting is None:
            self.waiting[shard] = _Waiting(now, now, wanted, used)
            return
        if any(new > old for new, old in zip(used, waiting.used, strict=True)):
            waiting.since = now
        waiting.asked_at, waiting.wanted, waiting.used = now, wanted, used

    def kept_for_older(self, shard: ShardId) -> ResourceVector:
        """Return what is missing to the shards that have waited for longer than one."""
        own = self.waiting.get(shard)
        retained = ResourceVector()
        for other, waiting in self.waiting.items():
            if other == shard or (own is not None and own.since <= waiting.since):
                continue
            loan = self.loans.get(other)
            had = loan.amount if loan is not None else waiting.used
            retained = add_vectors(retained, ResourceVector(*map(_missing, waiting.wanted, had)))
        return retained

    def forget_gone(self, now: float) -> None:
        """Forget shards that ask no more."""
        for shard, waiting in list(self.waiting.items()):
            if now - waiting.asked_at > WAITING_SECONDS:
                del self.waiting[shard]


class QuotaLender:
    """What a shard has lent of the quotas whose home it is.

    What is free goes to who has waited for longest, until that one has all that it wants: else each
    of several shards would hold a part that none of them can start anything with.  The others, who
    ask again, offer what they do not use.  One that has started something waits anew.
    """

    def __init__(self, home: ShardId) -> None:
        self._home = home
        self._accounts: dict[TenantName, _Account] = {}
        #: Tenants whose loans are to be recorded anew.
        self.dirty: dict[TenantName, None] = {}

    def lent(self, tenant: TenantName) -> ResourceVector:
        """Return what is lent of a tenant's quota."""
        account = self._accounts.get(tenant)
        return ResourceVector() if account is None else account.lent()

    def reserved_for_other_shards(self, tenant: TenantName) -> ResourceVector:
        """Return what the home shard leaves to others that have waited for longer."""
        account = self._accounts.get(tenant)
        return ResourceVector() if account is None else account.kept_for_older(self._home)

    def update_home_demand(
        self, tenant: TenantName, wanted: ResourceVector, used: ResourceVector, now: float
    ) -> None:
        """Take note of what the home shard itself wants of a quota, beside what it has running."""
        account = self._accounts.get(tenant)
        if account is None:
            return
        account.forget_gone(now)
        if any(wanted):
            account.note_waiting(self._home, add_vectors(used, wanted), used, now)
        else:
            account.waiting.pop(self._home, None)

    def request(
        self, request: QuotaRequest, quota: ResourceVector, used: ResourceVector, now: float
    ) -> ResourceVector:
        """Return what the shard that asks may have running, once that is on record.

        Parameters
        ----------
        quota : ResourceVector
            The tenant's quota; an amount of 0 sets no limit.
        used : ResourceVector
            What the home shard may have running of it.
        """
        account = self._accounts.setdefault(request.tenant, _Account())
        former = account.loans.get(request.shard)
        place = (request.token, request.number)
        if former is not None and place <= (former.token, former.number):
            # A repeat gets its answer again; one that was overtaken is not waited for any more.
            return former.amount if place == (former.token, former.number) else ResourceVector()
        if former is None and not any(request.amount):
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
        """Return as much of what is asked for as there is, and as no other waits for longer."""
        account.forget_gone(now)
        free = subtract_vectors(subtract_vectors(quota, used), account.lent(but=request.shard))
        free = subtract_vectors(free, account.kept_for_older(request.shard))
        granted = ResourceVector(
            *(
                wanted if not most else max(retained, min(wanted, left))
                for wanted, most, left, retained in zip(
                    request.amount, quota, free, request.retained, strict=True
                )
            )
        )
        if granted == request.amount:
            account.waiting.pop(request.shard, None)
        else:
            account.note_waiting(request.shard, request.amount, request.retained, now)
        return granted

    # Records

    def encode(self, tenant: TenantName) -> bytes:
        """Return the record of a tenant's loans."""
        loans = self._accounts[tenant].loans
        return _encoder.encode(loans)

    def restore(self, tenant: TenantName, data: bytes) -> None:
        """Take in what a former holder had lent; raise ``msgspec.MsgspecError``."""
        if data:
            self._accounts[tenant] = _Account(loans=_decoder.decode(data))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[ShardId, Loan])


def _missing(wanted: int, had: int) -> int:
    return max(0, wanted - had)


def home_shard(tenant: TenantName, shard_count: int) -> ShardId:
    """Return the shard that lends a tenant's quota to the others."""
    return zlib.crc32(tenant.encode()) % shard_count
