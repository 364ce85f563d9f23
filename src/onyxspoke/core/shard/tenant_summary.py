"""Summary of each tenant in one shard: jobs, capacity in use, quota and fair share."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.tenants.policy import TenantName


class TenantSummary(msgspec.Struct, kw_only=True):
    """Summary of one tenant in one shard.

    Attributes
    ----------
    running_jobs, waiting_jobs : int
        Numbers of unfinished jobs that have started, and of those that have not.
    used : ResourceVector
        Capacity held by its runs, including runs in doubt and runs that are being stopped.
    quota : ResourceVector
        The part of its quota that this shard may use; 0 means no limit.
    over_quota_steps : int
        Steps that wait because the quota is used up.
    owed, beyond : int
        Numbers of jobs within (``owed``) and over (``beyond``) the tenant's fair share that were
        submitted since this holder took over the shard.
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
        """The highest ratio of use to quota over all resources; 0 if there is no limit."""
        shares = [
            amount / limit for amount, limit in zip(self.used, self.quota, strict=True) if limit
        ]
        return max(shares, default=0.0)


def summarise_tenants(
    context: ShardContext, allocation_of: Callable[[TenantName], ResourceVector]
) -> list[TenantSummary]:
    """Return the summaries of all configured tenants, sorted by name."""
    policies = context.policy.tenants
    summaries = {
        name: TenantSummary(
            tenant=name,
            weight=policy.weight,
            used=context.quota_usage.used(name),
            quota=_limited_amounts(allocation_of(name), policy.quota),
            owed=context.share_meter.entitled_count(name),
            beyond=context.share_meter.over_share_count(name),
        )
        for name, policy in policies.items()
    }
    for job in context.job_registry.jobs.values():
        summary = summaries.get(job.spec.tenant)
        if summary is None or job.state.is_final:
            continue
        if job.has_started:
            summary.running_jobs += 1
        else:
            summary.waiting_jobs += 1
        summary.over_quota_steps += sum(step.over_quota_since is not None for step in job.steps())
    return [summaries[name] for name in sorted(summaries)]


def _limited_amounts(allocation: ResourceVector, quota: ResourceVector) -> ResourceVector:
    """Return a shard's part of a quota, with 0 for resources that the quota does not limit."""
    return ResourceVector(
        *(
            allocated if quota_limit else 0
            for allocated, quota_limit in zip(allocation, quota, strict=True)
        )
    )
