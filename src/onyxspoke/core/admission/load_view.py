"""What waits, what runs and what is free, as decisions about hand-ins see it for a moment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.core.admission.hand_in import HandIn, StepWork
from onyxspoke.core.admission.lane import DurationBounds, Lane, dominant_share
from onyxspoke.core.jobs.amounts import minus, slots_within, times
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.tenants.policy import TenantName


class FreeCapacity(NamedTuple):
    """Room of one worker that nothing holds."""

    resources: Needs
    labels: tuple[str, ...]


@dataclass(slots=True)
class LoadView:
    """A moment's look at the load.

    Attributes
    ----------
    made_at : float
        When what waits was looked at, in the holder's seconds.
    lanes : dict of str to Lane
        By service; one without workers is not there.
    quotas : dict of TenantName to Needs
        Of tenants that have one.
    quota_pools : dict of TenantName to Lane
        Of those.
    free : dict of str to list of FreeCapacity
        By service, the workers that have room, with the most processors first.
    """

    made_at: float
    lanes: dict[str, Lane]
    quotas: dict[TenantName, Needs] = field(default_factory=dict)
    quota_pools: dict[TenantName, Lane] = field(default_factory=dict)
    free_capacity: dict[str, list[FreeCapacity]] = field(default_factory=dict)
    #: What was taken in since and has no room yet, by service.
    _admitted_needs: dict[str, Needs] = field(default_factory=dict)

    def start_delay(self, job: HandIn) -> DurationBounds | None:
        """Return when a job could begin, or nothing where that is not known."""
        lane = self.lanes.get(job.service)
        if lane is None:
            return None
        delay = lane.start_delay(job)
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is None:
            return delay
        quota_delay = quota_pool.start_delay(job)
        best = max(delay.best_seconds, quota_delay.best_seconds)
        return DurationBounds(best, max(delay.worst_seconds, quota_delay.worst_seconds))

    def is_held_by_quota(self, job: HandIn) -> bool:
        """Return whether a job waits for its tenant's quota rather than for workers."""
        quota_pool = self.quota_pools.get(job.tenant)
        lane = self.lanes.get(job.service)
        if quota_pool is None or lane is None:
            return False
        return quota_pool.start_delay(job).best_seconds > lane.start_delay(job).best_seconds

    def execution_seconds(self, job: HandIn) -> DurationBounds:
        """Return how long a job itself takes: its longest chain, or more where it is wide."""
        best, worst = job.chain_median_seconds, job.chain_upper_seconds
        for lane in (self.lanes.get(job.service), self.quota_pools.get(job.tenant)):
            if lane is not None:
                work = lane.work_of(job)
                best = max(best, work.low / lane.best_case_capacity_factor)
                worst = max(worst, work.high)
        return DurationBounds(best, worst)

    def add(self, job: HandIn) -> None:
        """Count a job that was taken in since."""
        lane = self.lanes.get(job.service)
        if lane is None:
            return
        lane.add(job)
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is not None:
            quota_pool.add(job)
        admitted_needs = self._admitted_needs.get(job.service, Needs())
        for step in job.steps:
            if step.is_first:
                admitted_needs = minus(admitted_needs, times(step.needs, -step.task_count))
        self._admitted_needs[job.service] = admitted_needs

    def would_expire_late_job(self, job: HandIn) -> bool:
        """Return whether a late job that was taken would come too late for this one."""
        lane = self.lanes.get(job.service)
        return lane is not None and lane.would_expire_late_job(job)

    def has_capacity_for(self, job: HandIn) -> bool:
        """Return whether every task that a job begins with has room now."""
        workers = self.free_capacity.get(job.service, [])
        admitted_needs = self._admitted_needs.get(job.service, Needs())
        return all(
            _fits(step, workers, admitted_needs) for step in job.steps if step.is_first
        ) and self._is_within_quota(job)

    def _is_within_quota(self, job: HandIn) -> bool:
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is None:
            return True
        free_share = 1.0 - sum(held.share for held in quota_pool.held)
        needed_share = sum(
            dominant_share(step.needs, quota_pool.total) * step.task_count
            for step in job.steps
            if step.is_first
        )
        return needed_share <= free_share


def _fits(step: StepWork, workers: list[FreeCapacity], admitted_needs: Needs) -> bool:
    """Return whether a step's tasks have room beside what others will take of it."""
    missing_tasks = step.task_count
    if any(admitted_needs):
        missing_tasks += _tasks_displaced(step.needs, admitted_needs)
    for worker in workers:
        if worker.resources.processors_milli < step.needs.processors_milli:
            return False
        if step.label and step.label not in worker.labels:
            continue
        missing_tasks -= slots_within(worker.resources, step.needs)
        if missing_tasks <= 0:
            return True
    return False


def _tasks_displaced(needs: Needs, admitted_needs: Needs) -> int:
    """Return for how many tasks there is less room, with so much of it taken."""
    displaced = 0
    for need, amount in zip(needs, admitted_needs, strict=True):
        if need > 0:
            displaced = max(displaced, -(-amount // need))
    return displaced
