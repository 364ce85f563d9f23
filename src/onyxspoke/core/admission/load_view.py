"""What waits, what runs and what is free, as decisions about hand-ins see it for a moment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.core.admission.resource_pool import Ahead, ResourcePool, share_of
from onyxspoke.core.admission.submitted_job import StepWork, SubmittedJob
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import count_fitting_tasks, scale_vector, subtract_vectors
from onyxspoke.core.tenants.policy import TenantName


class FreeRoom(NamedTuple):
    """Room of one worker that nothing holds."""

    room: ResourceVector
    labels: tuple[str, ...]


@dataclass(slots=True)
class LoadView:
    """A moment's look at the load.

    Attributes
    ----------
    made_at : float
        When what waits was looked at, in the holder's seconds.
    pools : dict of str to ResourcePool
        By service; one without workers is not there.
    quotas : dict of TenantName to ResourceVector
        Of tenants that have one.
    tenant_lanes : dict of TenantName to ResourcePool
        Of those.
    free : dict of str to list of FreeRoom
        By service, the workers that have room, with the most processors first.
    """

    made_at: float
    pools: dict[str, ResourcePool]
    quotas: dict[TenantName, ResourceVector] = field(default_factory=dict)
    tenant_lanes: dict[TenantName, ResourcePool] = field(default_factory=dict)
    free: dict[str, list[FreeRoom]] = field(default_factory=dict)
    #: What was taken in since and has no room yet, by service.
    _added: dict[str, ResourceVector] = field(default_factory=dict)

    def ahead_of(self, job: SubmittedJob) -> Ahead | None:
        """Return when a job could begin, or nothing where that is not known."""
        pool = self.pools.get(job.service)
        if pool is None:
            return None
        ahead = pool.ahead_of(job)
        own = self.tenant_lanes.get(job.tenant)
        if own is None:
            return ahead
        of_own = own.ahead_of(job)
        best = max(ahead.best_seconds, of_own.best_seconds)
        return Ahead(best, max(ahead.worst_seconds, of_own.worst_seconds))

    def is_limited_by_quota(self, job: SubmittedJob) -> bool:
        """Return whether a job waits for its tenant's quota rather than for workers."""
        own = self.tenant_lanes.get(job.tenant)
        pool = self.pools.get(job.service)
        if own is None or pool is None:
            return False
        return own.ahead_of(job).best_seconds > pool.ahead_of(job).best_seconds

    def work_seconds(self, job: SubmittedJob) -> Ahead:
        """Return how long a job itself takes: its longest chain, or more where it is wide."""
        best, worst = job.chain_median_seconds, job.chain_upper_seconds
        for pool in (self.pools.get(job.service), self.tenant_lanes.get(job.tenant)):
            if pool is not None:
                work = pool.work_estimate(job)
                best = max(best, work.low / pool.spare_factor)
                worst = max(worst, work.high)
        return Ahead(best, worst)

    def add(self, job: SubmittedJob) -> None:
        """Count a job that was taken in since."""
        pool = self.pools.get(job.service)
        if pool is None:
            return
        pool.add(job)
        own = self.tenant_lanes.get(job.tenant)
        if own is not None:
            own.add(job)
        added = self._added.get(job.service, ResourceVector())
        for step in job.steps:
            if step.is_first:
                added = subtract_vectors(added, scale_vector(step.needs, -step.tasks))
        self._added[job.service] = added

    def pushes_promised(self, job: SubmittedJob) -> bool:
        """Return whether a late job that was taken would come too late for this one."""
        pool = self.pools.get(job.service)
        return pool is not None and pool.pushes_promised(job)

    def has_room_for(self, job: SubmittedJob) -> bool:
        """Return whether every task that a job begins with has room now."""
        workers = self.free.get(job.service, [])
        taken = self._added.get(job.service, ResourceVector())
        return all(
            _fits(step, workers, taken) for step in job.steps if step.is_first
        ) and self._is_within_quota(job)

    def _is_within_quota(self, job: SubmittedJob) -> bool:
        own = self.tenant_lanes.get(job.tenant)
        if own is None:
            return True
        free = 1.0 - sum(held.share for held in own.held)
        wanted = sum(
            share_of(step.needs, own.total) * step.tasks for step in job.steps if step.is_first
        )
        return wanted <= free


def _fits(step: StepWork, workers: list[FreeRoom], taken: ResourceVector) -> bool:
    """Return whether a step's tasks have room beside what others will take of it."""
    missing = step.tasks
    if any(taken):
        missing += _tasks_displaced(step.needs, taken)
    for worker in workers:
        if worker.room.processors_milli < step.needs.processors_milli:
            return False
        if step.label and step.label not in worker.labels:
            continue
        missing -= count_fitting_tasks(worker.room, step.needs)
        if missing <= 0:
            return True
    return False


def _tasks_displaced(needs: ResourceVector, taken: ResourceVector) -> int:
    """Return for how many tasks there is less room, with so much of it taken."""
    displaced = 0
    for need, amount in zip(needs, taken, strict=True):
        if need > 0:
            displaced = max(displaced, -(-amount // need))
    return displaced
