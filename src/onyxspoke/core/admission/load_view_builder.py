"""Builds the view of the load from a holder's state."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from operator import itemgetter
from typing import NamedTuple

from onyxspoke.core.admission.arrivals import ArrivalMeter, RankClass, rank_class_of
from onyxspoke.core.admission.available_capacity import (
    AvailableCapacity,
    PreemptibleCapacity,
    WorkerCapacity,
)
from onyxspoke.core.admission.late_job_margins import LateWork
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.resource_pool import HeldCapacity, ResourcePool, dominant_share
from onyxspoke.core.admission.submitted_job import min_task_seconds
from onyxspoke.core.admission.waiting_work import HORIZONS_SECONDS, WaitingWork
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import RELIABLE_PROGRESS_PERCENT, remaining_seconds
from onyxspoke.core.placement.preemption import has_preemptible_work
from onyxspoke.core.placement.queue_order import (
    EXPIRY_FACTOR,
    Lateness,
    StepRank,
    step_rank_in_queue,
)
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.tenants.policy import TenantName

_FULL_PERCENT = 100
#: A run in these states can be preempted, at the latest once its worker has confirmed the start.
_PREEMPTIBLE_STATES = (RunState.STARTING, RunState.RUNNING)

ExpectedDuration = Callable[[str, str, int], DurationEstimate]


class ExpectedRetry(NamedTuple):
    """The work of a refused job that is expected to be retried.

    ``retry_at`` is the time at which the caller should retry, and ``latest_start_at`` the latest
    time at which the work can start before the job expires, both on the holder's clock.
    """

    service: str
    rank: StepRank
    share_seconds: float
    retry_at: float
    latest_start_at: float


class LoadInputs(NamedTuple):
    """The state from which a view is built.

    Attributes
    ----------
    stop_seconds : float
        The longest time that a run takes to stop when it is preempted.
    arrivals : ArrivalMeter
        Rates of recently admitted work.
    expected_retries : iterable of ExpectedRetry
        Work of refused jobs that are expected to be retried.
    """

    steps: list[StepProgress]
    table: WorkerTable
    policy: PolicySet
    durations: DurationEstimator
    stop_seconds: float
    arrivals: ArrivalMeter
    expected_retries: Iterable[ExpectedRetry] = ()


class _WaitingStep(NamedTuple):
    """A waiting step, with the duration of one task and the time that the step may still wait."""

    rank: StepRank
    needs: ResourceVector
    task_count: int
    low_seconds: float
    high_seconds: float
    slack_seconds: float


def build_load_view(inputs: LoadInputs, now: float) -> LoadView:
    """Return a view of the current load."""
    builder = _LoadViewBuilder(inputs, now)
    return builder.build()


class _LoadViewBuilder:
    def __init__(self, inputs: LoadInputs, now: float) -> None:
        self._inputs = inputs
        self._now = now
        self._expected_duration = _cache_expected(inputs.durations)
        self._steps_by_service: dict[str, list[_WaitingStep]] = {}
        self._steps_by_tenant: dict[TenantName, list[_WaitingStep]] = {}
        self._quotas = {
            name: tenant.quota
            for name, tenant in inputs.policy.tenants.items()
            if any(tenant.quota)
        }

    def build(self) -> LoadView:
        for step in self._inputs.steps:
            self._add_step(step)
        held = [
            run for worker in self._inputs.table.workers.values() for run in worker.runs.values()
        ]
        quota_pools = self._make_quota_pools(held)
        pools, available_capacity = self._make_pools()
        return LoadView(self._now, pools, self._quotas, quota_pools, available_capacity)

    # Waiting work

    def _add_step(self, step: StepProgress) -> None:
        if step.spec.long_running:
            return
        spec = step.job.spec
        queue = self._inputs.policy.queue_of(spec)
        expected = self._expected_duration(spec.queue.name, spec.tenant, step.spec.estimated_ms)
        placement_rank = step_rank_in_queue(step, queue, self._now)
        rank = rank_ignoring_lateness(placement_rank)
        needs = step.needs
        slack_seconds = math.inf
        if placement_rank.lateness is Lateness.LATE:
            expires_at = step.due_at + EXPIRY_FACTOR * step.job.expected_objective_seconds
            slack_seconds = expires_at - step.expected_remaining_path_seconds - self._now
        low_seconds, high_seconds = min_task_seconds(expected), max(0.0, expected.upper_seconds)
        waiting_step = _WaitingStep(
            rank, needs, len(step.waiting), low_seconds, high_seconds, slack_seconds
        )
        if spec.tenant in self._quotas:
            self._steps_by_tenant.setdefault(spec.tenant, []).append(waiting_step)
        if step.over_quota_since is not None:
            # The step holds no worker capacity until its tenant has free quota.
            waiting_step = waiting_step._replace(low_seconds=0.0)
        self._steps_by_service.setdefault(queue.service, []).append(waiting_step)

    # Resource pools

    def _make_pools(self) -> tuple[dict[str, ResourcePool], dict[str, AvailableCapacity]]:
        workers_by_service: dict[str, list[Worker]] = {}
        for worker in self._inputs.table.workers.values():
            if worker.contact is not WorkerContact.ENDED and worker.listing is WorkerListing.READY:
                workers_by_service.setdefault(worker.record.service, []).append(worker)
        pools = {}
        available_capacity = {}
        for service, workers in workers_by_service.items():
            pool = self._make_pool(service, workers)
            if pool is not None:
                pools[service] = pool
                available_capacity[service] = self._available_capacity_of(service)
        return pools, available_capacity

    def _make_pool(self, service: str, workers: list[Worker]) -> ResourcePool | None:
        reconciled = [worker for worker in workers if worker.contact is WorkerContact.RECONCILED]
        total = _sum_capacity(reconciled)
        if not any(total):
            return None
        waiting_work, late_work = _waiting_work(self._steps_by_service.get(service, []), total)
        for expected_retry in self._inputs.expected_retries:
            if expected_retry.service == service:
                waiting_work.append(_retry_work(expected_retry))
                late_work.setdefault(rank_class_of(expected_retry.rank), []).append(
                    self._late_work_of(expected_retry)
                )
        unreconciled = [
            worker for worker in workers if worker.contact is not WorkerContact.RECONCILED
        ]
        return ResourcePool(
            total=total,
            waiting_work=sorted(waiting_work, key=itemgetter(0)),
            held=self._held_on(reconciled, total),
            best_case_capacity_factor=max(1.0, dominant_share(_sum_capacity(workers), total)),
            held_on_unreconciled=self._held_on(unreconciled, total),
            max_stop_seconds=self._inputs.stop_seconds,
            late_work=late_work,
            arrival_rates=self._inputs.arrivals.rates(service, self._now),
        )

    def _late_work_of(self, expected_retry: ExpectedRetry) -> LateWork:
        return LateWork(
            slack_seconds=expected_retry.latest_start_at - self._now,
            work_share_seconds=expected_retry.share_seconds,
            earliest_start_seconds=expected_retry.retry_at - self._now,
        )

    def _available_capacity_of(self, service: str) -> AvailableCapacity:
        workers = []
        for worker in self._inputs.table.offered(service):
            free = ResourceVector(
                worker.free_processors, worker.free_memory, worker.free_accelerators
            )
            preemptible = tuple(
                PreemptibleCapacity(self._priority_of(run), run.needs)
                for run in worker.runs.values()
                if run.state in _PREEMPTIBLE_STATES and has_preemptible_work(run)
            )
            workers.append(WorkerCapacity(free, worker.record.labels, preemptible))
        return AvailableCapacity(workers)

    def _make_quota_pools(self, runs: list[Run]) -> dict[TenantName, ResourcePool]:
        held: dict[TenantName, list[HeldCapacity]] = {}
        for run in runs:
            tenant = run.task.step.job.spec.tenant
            if tenant in self._quotas:
                held.setdefault(tenant, []).append(self._held_capacity(run, self._quotas[tenant]))
        pools = {}
        for tenant, quota in self._quotas.items():
            waiting_work, _unused = _waiting_work(self._steps_by_tenant.get(tenant, []), quota)
            pools[tenant] = ResourcePool(
                total=quota,
                waiting_work=sorted(waiting_work, key=itemgetter(0)),
                held=held.get(tenant, []),
                max_stop_seconds=self._inputs.stop_seconds,
            )
        return pools

    def _held_on(self, workers: list[Worker], total: ResourceVector) -> list[HeldCapacity]:
        return [
            self._held_capacity(run, total) for worker in workers for run in worker.runs.values()
        ]

    def _held_capacity(self, run: Run, total: ResourceVector) -> HeldCapacity:
        return HeldCapacity(
            seconds_left=self._seconds_left(run),
            share=dominant_share(run.needs, total),
            priority=self._priority_of(run),
            is_preemptible=has_preemptible_work(run),
        )

    def _priority_of(self, run: Run) -> int:
        return self._inputs.policy.queue_of(run.task.step.job.spec).priority

    def _seconds_left(self, run: Run) -> float:
        """Return the time in seconds until a run releases its resources.

        Progress is not known between two reports, so it is extrapolated from the last report.
        """
        spec = run.task.step.spec
        if run.state is RunState.STOPPING:
            return max(0.0, run.stop_sent_at + self._inputs.stop_seconds - self._now)
        if run.is_resumed or spec.long_running:
            return remaining_seconds(run, self._now)
        job = run.task.step.job.spec
        duration_seconds = self._expected_duration(
            job.queue.name, job.tenant, spec.estimated_ms
        ).median_seconds
        if not run.confirmed_at:
            return duration_seconds
        if run.percent >= RELIABLE_PROGRESS_PERCENT:
            duration_seconds = (run.progressed_at - run.confirmed_at) / run.percent * _FULL_PERCENT
        return max(0.0, duration_seconds - (self._now - run.confirmed_at))


def rank_ignoring_lateness(rank: StepRank) -> StepRank:
    """Return the rank that a late step would have if it were on time; other ranks stay as they are.

    The placement order moves late steps behind those on time.  With that order in the view, every
    admitted job would delay the late steps further, until they expire.
    """
    if rank.lateness is Lateness.LATE:
        return StepRank(
            False,
            rank.is_over_share,
            rank.priority,
            Lateness.ON_TIME,
            rank.latest_start,
            rank.step,
        )
    return rank


def _retry_work(expected_retry: ExpectedRetry) -> WaitingWork:
    """Return the work of an expected retry; the lower bound is 0, as it may never come."""
    return WaitingWork(expected_retry.rank, expected_retry.share_seconds, 0.0, 1.0)


def _waiting_work(
    steps: list[_WaitingStep], total: ResourceVector
) -> tuple[list[WaitingWork], dict[RankClass, list[LateWork]]]:
    """Return the work of waiting steps as shares of a total, and the part that is late."""
    waiting_work = []
    late_work: dict[RankClass, list[LateWork]] = {}
    shares: dict[ResourceVector, float] = {}
    for rank, needs, task_count, low_seconds, high_seconds, slack_seconds in steps:
        share = shares.get(needs)
        if share is None:
            share = shares[needs] = dominant_share(needs, total)
        waiting_work.append(WaitingWork(rank, share * task_count, low_seconds, high_seconds))
        if slack_seconds < math.inf:
            work = share * task_count * min(low_seconds, HORIZONS_SECONDS[-1])
            late_work.setdefault(rank_class_of(rank), []).append(LateWork(slack_seconds, work))
    return waiting_work, late_work


def _cache_expected(durations: DurationEstimator) -> ExpectedDuration:
    """Return a function that caches the expected duration of similar tasks."""
    cache: dict[tuple[str, str, int], DurationEstimate] = {}

    def expected_duration(queue: str, tenant: str, estimated_ms: int) -> DurationEstimate:
        key = (queue, tenant, estimated_ms)
        expected = cache.get(key)
        if expected is None:
            expected = cache[key] = durations.expected(queue, tenant, estimated_ms)
        return expected

    return expected_duration


def _sum_capacity(workers: list[Worker]) -> ResourceVector:
    total = ResourceVector()
    for worker in workers:
        total = add_vectors(total, worker.record.capacity)
    return total
