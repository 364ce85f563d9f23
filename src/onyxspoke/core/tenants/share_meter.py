"""Which jobs a tenant is owed: so many a second as its weight says, before what others send beyond.

When the cell is full, a tenant that sends many times its usual would otherwise push everybody
else's jobs back.  Its jobs beyond its weight wait behind all that is owed; in an idle cell they
run at once, because nothing is owed before them.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.tenants.policy import TenantName, TenantPolicy

#: Jobs saved up while a tenant sends less, in seconds of its weight: arrivals come in clusters,
#: and a tenant that keeps to its weight over a second is to be owed every job.
SAVED_SECONDS = 1.0


@dataclass(slots=True)
class _Bucket:
    jobs: float
    filled_at: float
    owed: int = 0
    beyond: int = 0


class ShareMeter:
    """Marks each job that is handed in as owed, or as beyond its tenant's weight."""

    def __init__(self) -> None:
        self._buckets: dict[TenantName, _Bucket] = {}

    def consume(self, policy: TenantPolicy | None, shards: int, now: float) -> bool:
        """Return whether a job that is handed in now is owed to its tenant.

        Parameters
        ----------
        policy : TenantPolicy or None
            The job's tenant; ``None`` where there are no tenants, and all is owed.
        shards : int
            Shards of the cell, each of which takes an equal part of every tenant's jobs.
        """
        if policy is None:
            return True
        most = max(1.0, policy.weight * SAVED_SECONDS)
        bucket = self._buckets.get(policy.name)
        if bucket is None:
            bucket = self._buckets[policy.name] = _Bucket(most, now)
        gained = max(0.0, now - bucket.filled_at) * policy.weight / shards
        bucket.jobs = min(most, bucket.jobs + gained)
        bucket.filled_at = now
        if bucket.jobs < 1.0:
            bucket.beyond += 1
            return False
        bucket.jobs -= 1.0
        bucket.owed += 1
        return True

    def entitled_count(self, name: TenantName) -> int:
        """Return how many jobs of a tenant were owed to it."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None else bucket.owed

    def over_share_count(self, name: TenantName) -> int:
        """Return how many jobs a tenant handed in beyond its weight."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None else bucket.beyond

    def keep_only(self, names: set[TenantName]) -> None:
        """Forget tenants that left the configuration."""
        for name in self._buckets.keys() - names:
            del self._buckets[name]
