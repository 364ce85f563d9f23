"""Tenants' quotas at a shard's holder: what may run here, lent to other shards, and borrowed."""

from __future__ import annotations

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors, scale_vector, subtract_vectors
from onyxspoke.core.placement.unconfirmed_usage import find_doubts
from onyxspoke.core.shard.actions import ReplyToCall, RequestQuota
from onyxspoke.core.shard.calls import CallReply, QuotaCall, ReplyCode
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.core.tenants.quota_borrower import QuotaBorrower
from onyxspoke.core.tenants.quota_lender import QuotaRequest, home_shard
from onyxspoke.core.tenants.quota_usage import UNLIMITED, QuotaBudget


class QuotaCoordinator:
    """Keeps quotas over all shards of the cell.

    A tenant's quota is one for the whole cell.  Its home shard has all of it but what it lent to
    the others, who ask for what they have waiting as soon as it waits.  With an equal part for
    each shard, gangs found theirs too small for ever: played days were worth 0.69 at 3 shards and
    0.39 at 8, and are worth 0.86 at both with loans.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._borrower = QuotaBorrower(context.shard, context.token)

    def begin_pass(self, now: float) -> QuotaBudget:
        """Return what tenants may start, for one pass of placement, and see to loans."""
        doubts = self._doubts()
        self._keep_loans(doubts, now)
        return QuotaBudget(self.allocation_of, self._context.quota_usage, doubts)

    def allocation_of(self, tenant: TenantName) -> ResourceVector:
        """Return what a tenant may have running in this shard."""
        quota = self._quota_of(tenant)
        part = quota
        if self._context.shard_count > 1:
            part = self._borrower.amount(tenant)
            if self._home_of(tenant) == self._context.shard:
                quota_lender = self._context.quota_lender
                part = subtract_vectors(
                    subtract_vectors(quota, quota_lender.lent(tenant)),
                    quota_lender.reserved_for_other_shards(tenant),
                )
        return ResourceVector(
            *(own if most else UNLIMITED for own, most in zip(part, quota, strict=True))
        )

    def _keep_loans(self, doubts: dict[TenantName, ResourceVector], now: float) -> None:
        """Ask the home shards for what is missing here, and return what is not needed."""
        context = self._context
        if context.shard_count <= 1:
            return
        wanted = self._wanted()
        for tenant in context.policy.tenants:
            home = self._home_of(tenant)
            quota = self._quota_of(tenant)
            if not any(quota):
                continue
            used = add_vectors(
                context.quota_usage.used(tenant), doubts.get(tenant, ResourceVector())
            )
            want = wanted.get(tenant, ResourceVector())
            if home == context.shard:
                context.quota_lender.update_home_demand(tenant, want, used, now)
                continue
            request = self._borrower.next_request(tenant, quota, used, want, now)
            if request is not None:
                self._log("quota_asked", request, request.amount)
                context.emit(RequestQuota(home, request))

    def handle_call(self, call_id: int, call: QuotaCall, now: float) -> None:
        """Lend a part of a quota to another shard, once that is on record."""
        context = self._context
        request = call.request
        policy = context.policy.tenants.get(request.tenant)
        if policy is None or self._home_of(request.tenant) != context.shard:
            reply = CallReply(code=ReplyCode.UNKNOWN, reason="no_quota_here")
            context.emit(ReplyToCall(call_id, reply))
            return
        doubt = self._doubts().get(request.tenant, ResourceVector())
        used = add_vectors(context.quota_usage.used(request.tenant), doubt)
        amount = context.quota_lender.request(request, policy.quota, used, now)
        self._log("quota_lent", request, amount)
        reply = CallReply(code=ReplyCode.OK, granted=amount)
        context.commit.after_commit(lambda _now: context.emit(ReplyToCall(call_id, reply)))

    def handle_reply(self, request: QuotaRequest, reply: CallReply, now: float) -> None:
        """The home shard answered, or was not reached."""
        if request.token != self._context.token:
            return
        if reply.code is not ReplyCode.OK or reply.granted is None:
            self._borrower.handle_unanswered(request, now)
        elif self._borrower.handle_granted(request, reply.granted, now):
            self._context.needs_placement = True

    def _quota_of(self, tenant: TenantName) -> ResourceVector:
        policy = self._context.policy.tenants.get(tenant)
        return policy.quota if policy is not None else ResourceVector()

    def _home_of(self, tenant: TenantName) -> int:
        return home_shard(tenant, self._context.shard_count)

    def _doubts(self) -> dict[TenantName, ResourceVector]:
        context = self._context
        if not context.policy.tenants or not context.job_registry.is_recovering:
            return {}
        return find_doubts(context.job_registry.tasks_in_doubt(), context.table.unreconciled())

    def _wanted(self) -> dict[TenantName, ResourceVector]:
        """Return what each tenant's waiting tasks need."""
        wanted: dict[TenantName, ResourceVector] = {}
        for step in self._context.job_registry.startable_steps():
            tenant = step.job.spec.tenant
            needs = scale_vector(step.needs, len(step.waiting))
            wanted[tenant] = add_vectors(wanted.get(tenant, ResourceVector()), needs)
        return wanted

    def _log(self, event: str, request: QuotaRequest, amount: ResourceVector) -> None:
        self._context.log(
            event,
            tenant=request.tenant,
            by=request.shard,
            number=request.number,
            asked_cpu=request.amount.processors_milli,
            cpu=amount.processors_milli,
            mb=amount.memory_mb,
        )
