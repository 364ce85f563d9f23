"""A view of waiting work, running work and free capacity at one moment, for admission decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.admission.arrivals import RankClass, rank_class_of
from onyxspoke.core.admission.available_capacity import AvailableCapacity, WorkerCapacity
from onyxspoke.core.admission.resource_pool import DurationBounds, ResourcePool, dominant_share
from onyxspoke.core.admission.submitted_job import StepWork, SubmittedJob
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors, count_fitting_tasks, scale_vector
from onyxspoke.core.placement.queue_order import StepRank
from onyxspoke.core.tenants.policy import TenantName


class _AdmittedNeeds:
    """What the first steps of admitted jobs need, by rank class and by whether they give way."""

    def __init__(self) -> None:
        self._needs: dict[tuple[RankClass, bool], ResourceVector] = {}

    def add(self, job: SubmittedJob) -> None:
        rank_class = rank_class_of(job.rank)
        for step in job.steps:
            if step.is_first:
                key = (rank_class, step.is_preemptible)
                needs = scale_vector(step.needs, step.task_count)
                self._needs[key] = add_vectors(self._needs.get(key, ResourceVector()), needs)

    def displacing(self, rank: StepRank) -> ResourceVector:
        """Return the needs that keep capacity from a job of a rank."""
        total = ResourceVector()
        for (rank_class, is_preemptible), needs in self._needs.items():
            gives_way = is_preemptible and rank.priority < rank_class.priority
            if rank.is_over_share or not gives_way:
                total = add_vectors(total, needs)
        return total


@dataclass(slots=True)
class LoadView:
    """A view of the load at one moment.

    Attributes
    ----------
    made_at : float
        Time on the holder's clock at which the view was made.
    pools : dict of str to ResourcePool
        Pool of each service that has workers.
    quotas : dict of TenantName to ResourceVector
        Quota of each tenant that has one.
    quota_pools : dict of TenantName to ResourcePool
        Pool of each tenant that has a quota.
    available_capacity : dict of str to AvailableCapacity
        For each service, the capacity in which new tasks could start now.
    """

    made_at: float
    pools: dict[str, ResourcePool]
    quotas: dict[TenantName, ResourceVector] = field(default_factory=dict)
    quota_pools: dict[TenantName, ResourcePool] = field(default_factory=dict)
    available_capacity: dict[str, AvailableCapacity] = field(default_factory=dict)
    #: Needs of jobs that were admitted after the view was made, by service.
    _admitted_needs: dict[str, _AdmittedNeeds] = field(default_factory=dict)

    def start_delay(self, job: SubmittedJob) -> DurationBounds | None:
        """Return the bounds of the delay until a job could start, or None if it is unknown."""
        pool = self.pools.get(job.service)
        if pool is None:
            return None
        delay = pool.start_delay(job)
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is None:
            return delay
        quota_delay = quota_pool.start_delay(job)
        best_seconds = max(delay.best_seconds, quota_delay.best_seconds)
        return DurationBounds(best_seconds, max(delay.worst_seconds, quota_delay.worst_seconds))

    def is_limited_by_quota(self, job: SubmittedJob) -> bool:
        """Return whether a job waits for its tenant's quota rather than for workers."""
        quota_pool = self.quota_pools.get(job.tenant)
        pool = self.pools.get(job.service)
        if quota_pool is None or pool is None:
            return False
        return quota_pool.start_delay(job).best_seconds > pool.start_delay(job).best_seconds

    def execution_seconds(self, job: SubmittedJob) -> DurationBounds:
        """Return the bounds of a job's duration once it has started.

        The duration is that of the job's longest chain of steps, or longer if the job needs more
        capacity than the pool has.
        """
        best_seconds, worst_seconds = job.chain_median_seconds, job.chain_upper_seconds
        for pool in (self.pools.get(job.service), self.quota_pools.get(job.tenant)):
            if pool is not None:
                work = pool.work_estimate(job)
                best_seconds = max(best_seconds, work.low / pool.best_case_capacity_factor)
                worst_seconds = max(worst_seconds, work.high)
        return DurationBounds(best_seconds, worst_seconds)

    def add(self, job: SubmittedJob) -> None:
        """Count a job that was admitted after the view was made."""
        pool = self.pools.get(job.service)
        if pool is None:
            return
        pool.add(job)
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is not None:
            quota_pool.add(job)
        self._admitted_needs.setdefault(job.service, _AdmittedNeeds()).add(job)

    def would_expire_late_job(self, job: SubmittedJob) -> bool:
        """Return whether admitting a job would make an admitted late job expire."""
        pool = self.pools.get(job.service)
        return pool is not None and pool.would_expire_late_job(job)

    def has_capacity_for(self, job: SubmittedJob) -> bool:
        """Return whether all tasks of the job's first steps could start now.

        Capacity counts if it is free, or if preemption can free it for the job.
        """
        capacity = self.available_capacity.get(job.service)
        workers = [] if capacity is None else capacity.workers_for(job.rank)
        admitted = self._admitted_needs.get(job.service)
        admitted_needs = ResourceVector() if admitted is None else admitted.displacing(job.rank)
        return all(
            _fits(step, workers, admitted_needs) for step in job.steps if step.is_first
        ) and self._is_within_quota(job)

    def _is_within_quota(self, job: SubmittedJob) -> bool:
        quota_pool = self.quota_pools.get(job.tenant)
        if quota_pool is None:
            return True
        free_share = 1.0 - sum(
            held.share for held in quota_pool.held if not held.gives_way_to(rank_class_of(job.rank))
        )
        needed_share = sum(
            dominant_share(step.needs, quota_pool.total) * step.task_count
            for step in job.steps
            if step.is_first
        )
        return needed_share <= free_share


def _fits(step: StepWork, workers: list[WorkerCapacity], admitted_needs: ResourceVector) -> bool:
    """Return whether a step's tasks fit on the workers, beside the tasks of other admitted jobs."""
    unplaced_tasks = step.task_count
    if any(admitted_needs):
        unplaced_tasks += _displaced_task_count(step.needs, admitted_needs)
    for worker in workers:
        if worker.free.processors_milli < step.needs.processors_milli:
            return False
        if step.label and step.label not in worker.labels:
            continue
        unplaced_tasks -= count_fitting_tasks(worker.free, step.needs)
        if unplaced_tasks <= 0:
            return True
    return False


def _displaced_task_count(needs: ResourceVector, admitted_needs: ResourceVector) -> int:
    """Return how many tasks of this size the admitted needs may displace."""
    displaced_tasks = 0
    for need, admitted_amount in zip(needs, admitted_needs, strict=True):
        if need > 0:
            displaced_tasks = max(displaced_tasks, -(-admitted_amount // need))
    return displaced_tasks
