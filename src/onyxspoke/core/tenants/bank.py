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

from onyxspoke.core.jobs.amounts import minus, plus
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.tenants.policy import TenantName

QUOTA_PREFIX = "quota/"
#: A borrower that waits for more than there is asks again sooner than this, in seconds; one that
#: does not is taken to wait no longer.
WAITING_SECONDS = 1.5

ShardNumber = int


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """What one shard may have running of a tenant, and the request that it answers.

    A request counts only if it comes after the one before it: by a later holder of the shard, whose
    token is higher, or by the same one with a higher number.
    """

    token: int
    number: int
    amount: Needs


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A shard's holder asks to have so much of a tenant running, instead of what it has."""

    tenant: TenantName
    shard: ShardNumber
    token: int
    number: int
    amount: Needs


@dataclass(slots=True)
class _Waiting:
    since: float
    asked_at: float


@dataclass(slots=True)
class _Account:
    loans: dict[ShardNumber, Loan] = field(default_factory=dict)
    #: Shards that were lent less than they asked for, the first one first.
    waiting: dict[ShardNumber, _Waiting] = field(default_factory=dict)

    def lent(self, but: ShardNumber | None = None) -> Needs:
        total = Needs()
        for shard, loan in self.loans.items():
            if shard != but:
                total = plus(total, loan.amount)
        return total


class QuotaBank:
    """What a shard has lent of the quotas whose home it is."""

    def __init__(self) -> None:
        self._accounts: dict[TenantName, _Account] = {}
        #: Tenants whose loans are to be recorded anew.
        self.dirty: dict[TenantName, None] = {}

    def lent(self, tenant: TenantName) -> Needs:
        """Return what is lent of a tenant's quota."""
        account = self._accounts.get(tenant)
        return Needs() if account is None else account.lent()

    def request(self, request: QuotaRequest, quota: Needs, used: Needs, now: float) -> Needs:
        """Return what the shard that asks may have running, once that is on record.

        Parameters
        ----------
        quota : Needs
            The tenant's quota; an amount of 0 sets no limit.
        used : Needs
            What the home shard may have running of it.
        """
        account = self._accounts.setdefault(request.tenant, _Account())
        former = account.loans.get(request.shard)
        place = (request.token, request.number)
        if former is not None and place <= (former.token, former.number):
            # A repeat gets its answer again; one that was overtaken is not waited for any more.
            return former.amount if place == (former.token, former.number) else Needs()
        if former is None and not any(request.amount):
            return Needs()
        held = former.amount if former is not None else Needs()
        granted = self._grant(account, request, quota, used, held, now)
        account.loans[request.shard] = Loan(request.token, request.number, granted)
        self.dirty[request.tenant] = None
        return granted

    def _grant(
        self,
        account: _Account,
        request: QuotaRequest,
        quota: Needs,
        used: Needs,
        held: Needs,
        now: float,
    ) -> Needs:
        """Return as much of what is asked for as there is, and as others wait for no longer."""
        self._forget_gone(account, now)
        free = minus(minus(quota, used), account.lent(but=request.shard))
        if self._is_behind_others(account, request.shard):
            # What is free goes to who asked first, or none would ever have all that a gang needs.
            free = held
        granted = Needs(
            *(
                wanted if not most else max(0, min(wanted, left))
                for wanted, most, left in zip(request.amount, quota, free, strict=True)
            )
        )
        if granted == request.amount:
            account.waiting.pop(request.shard, None)
        else:
            waiting = account.waiting.setdefault(request.shard, _Waiting(now, now))
            waiting.asked_at = now
        return granted

    def _is_behind_others(self, account: _Account, shard: ShardNumber) -> bool:
        """Return whether another shard has waited for longer than this one."""
        own = account.waiting.get(shard)
        return any(
            own is None or waiting.since < own.since
            for other, waiting in account.waiting.items()
            if other != shard
        )

    def _forget_gone(self, account: _Account, now: float) -> None:
        for shard, waiting in list(account.waiting.items()):
            if now - waiting.asked_at > WAITING_SECONDS:
                del account.waiting[shard]

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
_decoder = msgspec.msgpack.Decoder(dict[ShardNumber, Loan])


def home_shard(tenant: TenantName, shard_count: int) -> ShardNumber:
    """Return the shard that lends a tenant's quota to the others."""
    return zlib.crc32(tenant.encode()) % shard_count
