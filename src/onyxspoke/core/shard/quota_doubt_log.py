"""Logs how much of each tenant's quota a new holder holds back for runs of earlier holders."""

from __future__ import annotations

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.tenants.policy import TenantName

#: Usage in doubt is logged only this long after the first pass, in seconds, because workers that
#: can be reached have reported their runs by then.
FIRST_LINE_SECONDS = 0.5
#: Shortest time between two passes whose changes are logged, in seconds.
LINE_INTERVAL_SECONDS = 0.5
_NOTHING = ResourceVector()
_MILLISECONDS = 1_000.0


class QuotaDoubtLog:
    """Logs changes of the usage in doubt that counts towards the tenants' quotas.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._logged: dict[TenantName, ResourceVector] = {}
        self._next_at: float | None = None

    def note(self, usage_in_doubt: dict[TenantName, ResourceVector], now: float) -> None:
        """Log the tenants whose usage in doubt has changed since their last line."""
        if self._next_at is None:
            self._next_at = now + FIRST_LINE_SECONDS
        if now < self._next_at or usage_in_doubt == self._logged:
            return
        self._next_at = now + LINE_INTERVAL_SECONDS
        for tenant in sorted(usage_in_doubt.keys() | self._logged.keys()):
            amount = usage_in_doubt.get(tenant, _NOTHING)
            if amount != self._logged.get(tenant, _NOTHING):
                self._log_tenant(tenant, amount, now)
        self._logged = dict(usage_in_doubt)

    def _log_tenant(self, tenant: TenantName, amount: ResourceVector, now: float) -> None:
        context = self._context
        policy = context.policy.tenants.get(tenant)
        quota = policy.quota if policy is not None else _NOTHING
        if not any(quota):
            return
        unreconciled = context.table.unreconciled()
        leases_over_at = [worker.previous_lease_expires_at for worker in unreconciled]
        context.log(
            "quota_in_doubt",
            tenant=tenant,
            cpu=amount.processors_milli,
            mb=amount.memory_mb,
            gpu=amount.accelerators,
            quota_cpu=quota.processors_milli,
            quota_mb=quota.memory_mb,
            left_ms=int((max(leases_over_at, default=now) - now) * _MILLISECONDS),
        )
