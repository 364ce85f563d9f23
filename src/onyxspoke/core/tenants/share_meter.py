"""Fair shares: each tenant is entitled to as many jobs per second as its weight.

In a full cell, a tenant that submits far more jobs than usual would otherwise delay the jobs of
all other tenants.  Jobs over a tenant's share wait behind all entitled jobs; in an idle cell they
run at once, because no entitled jobs wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.tenants.policy import TenantName, TenantPolicy

#: Size of the token bucket, in seconds of the tenant's weight. Jobs arrive in bursts; with this
#: size, a tenant that keeps to its weight over one second is entitled to all its jobs.
BURST_SECONDS = 1.0


@dataclass(slots=True)
class _Bucket:
    jobs: float
    refilled_at: float
    entitled: int = 0
    over_share: int = 0


class ShareMeter:
    """Classifies each submitted job as entitled or over its tenant's share by token buckets."""

    def __init__(self) -> None:
        self._buckets: dict[TenantName, _Bucket] = {}

    def consume(self, policy: TenantPolicy | None, shards: int, now: float) -> bool:
        """Return whether a tenant is entitled to a job that is submitted now.

        Parameters
        ----------
        policy : TenantPolicy or None
            The job's tenant; ``None`` in a cell without tenants, where all jobs are entitled.
        shards : int
            Number of shards of the cell; each shard receives an equal part of every tenant's jobs.
        """
        if policy is None:
            return True
        capacity_jobs = max(1.0, policy.weight * BURST_SECONDS)
        bucket = self._buckets.get(policy.name)
        if bucket is None:
            bucket = self._buckets[policy.name] = _Bucket(capacity_jobs, now)
        refilled_jobs = max(0.0, now - bucket.refilled_at) * policy.weight / shards
        bucket.jobs = min(capacity_jobs, bucket.jobs + refilled_jobs)
        bucket.refilled_at = now
        if bucket.jobs < 1.0:
            bucket.over_share += 1
            return False
        bucket.jobs -= 1.0
        bucket.entitled += 1
        return True

    def entitled_count(self, name: TenantName) -> int:
        """Return how many of a tenant's jobs were entitled."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None else bucket.entitled

    def over_share_count(self, name: TenantName) -> int:
        """Return how many of a tenant's jobs were over its share."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None else bucket.over_share

    def keep_only(self, names: set[TenantName]) -> None:
        """Drop tenants that are no longer configured."""
        for name in self._buckets.keys() - names:
            del self._buckets[name]
