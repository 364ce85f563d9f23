"""What a holder knows of each tenant: what runs, what waits, its quota, and what it was owed."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.tenants.policy import TenantName


class TenantSummary(msgspec.Struct, kw_only=True):
    """One tenant in one shard.

    Attributes
    ----------
    running_jobs, waiting_jobs : int
        Open jobs of which something has begun, and of which nothing has.
    used : ResourceVector
        What its runs take, those in doubt and being stopped among them.
    quota : ResourceVector
        This shard's part of its quota; 0 sets no limit.
    over_quota_steps : int
        Steps that wait because its quota is used up.
    owed, beyond : int
        Jobs handed in within its weight, and beyond, since this holder began.
    """

    tenant: TenantName
    weight: float
    running_jobs: int = 0
    waiting_jobs: int = 0
    used: ResourceVector = ResourceVector()
    quota: ResourceVector = ResourceVector()
    over_quota_steps: int = 0
    owed: int = 0
    beyond: int = 0

    @property
    def share_of_quota(self) -> float:
        """The largest share that it uses of any amount of its quota; 0 where there is no limit."""
        shares = [have / most for have, most in zip(self.used, self.quota, strict=True) if most]
        return max(shares, default=0.0)


def summarise_tenants(
    context: ShardContext, allocation_of: Callable[[TenantName], ResourceVector]
) -> list[TenantSummary]:
    """Return what is known of every tenant of the configuration, in order of their names."""
    policies = context.policy.tenants
    summaries = {
        name: TenantSummary(
            tenant=name,
            weight=policy.weight,
            used=context.quota_usage.used(name),
            quota=_limits(allocation_of(name), policy.quota),
            owed=context.share_meter.entitled_count(name),
            beyond=context.share_meter.over_share_count(name),
        )
        for name, policy in policies.items()
    }
    for job in context.job_registry.jobs.values():
        found = summaries.get(job.spec.tenant)
        if found is None or job.state.is_final:
            continue
        if job.has_started:
            found.running_jobs += 1
        else:
            found.waiting_jobs += 1
        found.over_quota_steps += sum(step.over_quota_since is not None for step in job.steps())
    return [summaries[name] for name in sorted(summaries)]


def _limits(part: ResourceVector, quota: ResourceVector) -> ResourceVector:
    """Return a shard's part of a quota, with 0 where the quota sets no limit."""
    return ResourceVector(*(own if whole else 0 for own, whole in zip(part, quota, strict=True)))
