"""Tenants' quotas at a shard's holder: own use, loans to other shards, and borrowing."""

from __future__ import annotations

from onyxspoke.core.jobs.amounts import minus, plus, times
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.placement.unconfirmed_usage import find_doubts
from onyxspoke.core.shard.actions import ReplyToCall, RequestQuota
from onyxspoke.core.shard.calls import CallReply, QuotaCall, ReplyCode
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.tenants.bank import QuotaRequest, home_shard
from onyxspoke.core.tenants.borrower import QuotaBorrower
from onyxspoke.core.tenants.ledger import UNLIMITED, QuotaPass
from onyxspoke.core.tenants.policy import TenantName


class QuotaCoordinator:
    """Coordinates tenants' quotas over all shards of the cell.

    A tenant has one quota for the whole cell.  The tenant's home shard may use all of the quota
    except the amounts that it has lent to other shards.  Other shards request quota for their
    waiting tasks.  The quota is not divided equally between the shards, because large gangs would
    never fit into their shard's part.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._borrower = QuotaBorrower(context.shard, context.token)

    def begin_pass(self, now: float) -> QuotaPass:
        """Return the quotas for one pass of placement, and update the loans."""
        unconfirmed_usage = self._unconfirmed_usage()
        self._update_loans(unconfirmed_usage, now)
        return QuotaPass(self.allocation_of, self._context.ledger, unconfirmed_usage)

    def allocation_of(self, tenant: TenantName) -> Needs:
        """Return the part of a tenant's quota that this shard may use."""
        quota = self._quota_of(tenant)
        allocation = quota
        if self._context.shard_count > 1:
            allocation = self._borrower.amount(tenant)
            if self._home_shard_of(tenant) == self._context.shard:
                bank = self._context.bank
                allocation = minus(minus(quota, bank.lent(tenant)), bank.kept_back(tenant))
        return Needs(
            *(
                amount if limit else UNLIMITED
                for amount, limit in zip(allocation, quota, strict=True)
            )
        )

    def _update_loans(self, unconfirmed_usage: dict[TenantName, Needs], now: float) -> None:
        """Request missing quota from the home shards, and return quota that is not needed."""
        context = self._context
        if context.shard_count <= 1:
            return
        waiting_needs = self._waiting_needs()
        for tenant in context.policy.tenants:
            tenant_home_shard = self._home_shard_of(tenant)
            quota = self._quota_of(tenant)
            if not any(quota):
                continue
            used = plus(context.ledger.used(tenant), unconfirmed_usage.get(tenant, Needs()))
            tenant_waiting_needs = waiting_needs.get(tenant, Needs())
            if tenant_home_shard == context.shard:
                context.bank.note_home(tenant, tenant_waiting_needs, used, now)
                continue
            request = self._borrower.keep(tenant, quota, used, tenant_waiting_needs, now)
            if request is not None:
                self._log_request("quota_asked", request, request.amount)
                context.emit(RequestQuota(tenant_home_shard, request))

    def handle_call(self, call_id: int, call: QuotaCall, now: float) -> None:
        """Lend a part of a quota to another shard; reply once the loan is committed."""
        context = self._context
        request = call.request
        policy = context.policy.tenants.get(request.tenant)
        if policy is None or self._home_shard_of(request.tenant) != context.shard:
            reply = CallReply(code=ReplyCode.UNKNOWN, reason="no_quota_here")
            context.emit(ReplyToCall(call_id, reply))
            return
        unconfirmed = self._unconfirmed_usage().get(request.tenant, Needs())
        used = plus(context.ledger.used(request.tenant), unconfirmed)
        amount = context.bank.request(request, policy.quota, used, now)
        self._log_request("quota_lent", request, amount)
        reply = CallReply(code=ReplyCode.OK, granted=amount)
        context.commit.after_commit(lambda _now: context.emit(ReplyToCall(call_id, reply)))

    def handle_reply(self, request: QuotaRequest, reply: CallReply, now: float) -> None:
        """Handle the home shard's reply, or its failure to reply."""
        if request.token != self._context.token:
            return
        if reply.code is not ReplyCode.OK or reply.granted is None:
            self._borrower.handle_unanswered(request, now)
        elif self._borrower.handle_granted(request, reply.granted, now):
            self._context.needs_placement = True

    def _quota_of(self, tenant: TenantName) -> Needs:
        policy = self._context.policy.tenants.get(tenant)
        return policy.quota if policy is not None else Needs()

    def _home_shard_of(self, tenant: TenantName) -> int:
        return home_shard(tenant, self._context.shard_count)

    def _unconfirmed_usage(self) -> dict[TenantName, Needs]:
        context = self._context
        if not context.policy.tenants or not context.job_registry.is_recovering:
            return {}
        return find_doubts(context.job_registry.tasks_in_doubt(), context.table.unreconciled())

    def _waiting_needs(self) -> dict[TenantName, Needs]:
        """Return the total needs of each tenant's waiting tasks."""
        waiting_needs: dict[TenantName, Needs] = {}
        for step in self._context.job_registry.startable_steps():
            tenant = step.job.spec.tenant
            needs = times(step.needs, len(step.waiting))
            waiting_needs[tenant] = plus(waiting_needs.get(tenant, Needs()), needs)
        return waiting_needs

    def _log_request(self, event: str, request: QuotaRequest, amount: Needs) -> None:
        self._context.log(
            event,
            tenant=request.tenant,
            by=request.shard,
            number=request.number,
            asked_cpu=request.amount.processors_milli,
            cpu=amount.processors_milli,
            mb=amount.memory_mb,
        )
