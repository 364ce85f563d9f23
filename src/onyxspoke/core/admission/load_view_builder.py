"""Makes the view of the load from what a holder knows."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from operator import itemgetter
from typing import NamedTuple

from onyxspoke.core.admission.arrivals import ArrivalMeter, RankClass, class_of
from onyxspoke.core.admission.late_job_margins import LateWork
from onyxspoke.core.admission.load_view import FreeRoom, LoadView
from onyxspoke.core.admission.resource_pool import ResourcePool, RoomHeld, share_of
from onyxspoke.core.admission.submitted_job import low_seconds
from onyxspoke.core.admission.waiting_work import HORIZONS, WaitingWork
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import RELIABLE_PROGRESS_PERCENT, remaining_seconds
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

Expect = Callable[[str, str, int], DurationEstimate]


class AwaitedWork(NamedTuple):
    """Work of a refused job that was told when to come back.

    ``due_at`` is then, and ``last_start_at`` until when it may wait, in the holder's seconds.
    """

    service: str
    rank: StepRank
    share_seconds: float
    due_at: float
    last_start_at: float


class LoadInputs(NamedTuple):
    """What a view is made from.

    Attributes
    ----------
    stop_seconds : float
        How long a run takes to give way.
    arrivals : ArrivalMeter
        What is taken in lately.
    expected_retries : iterable of AwaitedWork
        Of refused jobs that are to come back.
    """

    steps: list[StepProgress]
    table: WorkerTable
    policy: PolicySet
    durations: DurationEstimator
    stop_seconds: float
    arrivals: ArrivalMeter
    expected_retries: Iterable[AwaitedWork] = ()


class _Waiting(NamedTuple):
    """A step that waits: seconds of work of each task, and of waiting that it can bear."""

    rank: StepRank
    needs: ResourceVector
    tasks: int
    low_seconds: float
    high_seconds: float
    slack_seconds: float


def build_load_view(load: LoadInputs, now: float) -> LoadView:
    """Return the load as it is now."""
    builder = _Builder(load, now)
    return builder.build()


class _Builder:
    def __init__(self, load: LoadInputs, now: float) -> None:
        self._load = load
        self._now = now
        self._expect = _remember(load.durations)
        self._by_service: dict[str, list[_Waiting]] = {}
        self._by_tenant: dict[TenantName, list[_Waiting]] = {}
        self._quotas = {
            name: tenant.quota for name, tenant in load.policy.tenants.items() if any(tenant.quota)
        }

    def build(self) -> LoadView:
        for step in self._load.steps:
            self._take_step(step)
        held = [run for worker in self._load.table.workers.values() for run in worker.runs.values()]
        tenant_lanes = self._make_tenant_lanes(held)
        pools, free = self._make_lanes()
        return LoadView(self._now, pools, self._quotas, tenant_lanes, free)

    # What waits

    def _take_step(self, step: StepProgress) -> None:
        if step.spec.long_running:
            return
        spec = step.job.spec
        queue = self._load.policy.queue_of(spec)
        expected = self._expect(spec.queue.name, spec.tenant, step.spec.estimated_ms)
        placed_rank = step_rank_in_queue(step, queue, self._now)
        rank = promised_rank(placed_rank)
        needs = step.needs
        slack = math.inf
        if placed_rank.lateness is Lateness.LATE:
            expires_at = step.due_at + EXPIRY_FACTOR * step.job.expected_objective_seconds
            slack = expires_at - step.expected_remaining_path_seconds - self._now
        low, high = low_seconds(expected), max(0.0, expected.upper_seconds)
        waiting = _Waiting(rank, needs, len(step.waiting), low, high, slack)
        if spec.tenant in self._quotas:
            self._by_tenant.setdefault(spec.tenant, []).append(waiting)
        if step.over_quota_since is not None:
            # It takes none of the workers' room before its tenant has some of its quota free.
            waiting = waiting._replace(low_seconds=0.0)
        self._by_service.setdefault(queue.service, []).append(waiting)

    # Lanes

    def _make_lanes(self) -> tuple[dict[str, ResourcePool], dict[str, list[FreeRoom]]]:
        by_service: dict[str, list[Worker]] = {}
        for worker in self._load.table.workers.values():
            if worker.contact is not WorkerContact.ENDED and worker.listing is WorkerListing.READY:
                by_service.setdefault(worker.record.service, []).append(worker)
        pools = {}
        free = {}
        for service, workers in by_service.items():
            pool = self._make_lane(service, workers)
            if pool is not None:
                pools[service] = pool
                free[service] = self._free_room(service)
        return pools, free

    def _make_lane(self, service: str, workers: list[Worker]) -> ResourcePool | None:
        in_use = [worker for worker in workers if worker.contact is WorkerContact.RECONCILED]
        total = _sum_capacity(in_use)
        if not any(total):
            return None
        works, late = _line_work(self._by_service.get(service, []), total)
        for expected_retries in self._load.expected_retries:
            if expected_retries.service == service:
                works.append(_awaited_work(expected_retries))
                late.setdefault(class_of(expected_retries.rank), []).append(
                    self._late(expected_retries)
                )
        others = [worker for worker in workers if worker.contact is not WorkerContact.RECONCILED]
        return ResourcePool(
            total=total,
            works=sorted(works, key=itemgetter(0)),
            held=self._held_on(in_use, total),
            spare_factor=max(1.0, share_of(_sum_capacity(workers), total)),
            held_of_spare=self._held_on(others, total),
            stop_seconds=self._load.stop_seconds,
            late=late,
            coming=self._load.arrivals.rates(service, self._now),
        )

    def _late(self, expected_retries: AwaitedWork) -> LateWork:
        return LateWork(
            slack_seconds=expected_retries.last_start_at - self._now,
            work=expected_retries.share_seconds,
            begins_in_seconds=expected_retries.due_at - self._now,
        )

    def _free_room(self, service: str) -> list[FreeRoom]:
        free = []
        for worker in self._load.table.offered(service):
            room = ResourceVector(
                worker.free_processors, worker.free_memory, worker.free_accelerators
            )
            if room.processors_milli > 0 or not worker.record.capacity.processors_milli:
                free.append(FreeRoom(room, worker.record.labels))
        free.sort(key=lambda worker: -worker.room.processors_milli)
        return free

    def _make_tenant_lanes(self, runs: list[Run]) -> dict[TenantName, ResourcePool]:
        held: dict[TenantName, list[RoomHeld]] = {}
        for run in runs:
            tenant = run.task.step.job.spec.tenant
            if tenant in self._quotas:
                held.setdefault(tenant, []).append(self._held(run, self._quotas[tenant]))
        pools = {}
        for tenant, quota in self._quotas.items():
            works, _late = _line_work(self._by_tenant.get(tenant, []), quota)
            pools[tenant] = ResourcePool(
                quota, sorted(works, key=itemgetter(0)), held.get(tenant, [])
            )
        return pools

    def _held_on(self, workers: list[Worker], total: ResourceVector) -> list[RoomHeld]:
        return [self._held(run, total) for worker in workers for run in worker.runs.values()]

    def _held(self, run: Run, total: ResourceVector) -> RoomHeld:
        spec = run.task.step.spec
        queue = self._load.policy.queue_of(run.task.step.job.spec)
        seconds = self._seconds_left(run)
        may_give_way = (
            spec.checkpointing and run.gang is None and not spec.long_running and not spec.fills
        )
        return RoomHeld(seconds, share_of(run.needs, total), queue.priority, may_give_way)

    def _seconds_left(self, run: Run) -> float:
        """Return how long a run holds its room.

        Between two reports its progress is out of date; it counts as of when it was told.
        """
        spec = run.task.step.spec
        if run.state is RunState.STOPPING:
            return max(0.0, run.stop_sent_at + self._load.stop_seconds - self._now)
        if run.is_resumed or spec.long_running:
            return remaining_seconds(run, self._now)
        job = run.task.step.job.spec
        whole = self._expect(job.queue.name, job.tenant, spec.estimated_ms).median_seconds
        if not run.confirmed_at:
            return whole
        if run.percent >= RELIABLE_PROGRESS_PERCENT:
            whole = (run.progressed_at - run.confirmed_at) / run.percent * _FULL_PERCENT
        return max(0.0, whole - (self._now - run.confirmed_at))


def promised_rank(rank: StepRank) -> StepRank:
    """Return the place of what was promised: what is late, and still of use, does not fall back.

    In the order of placement it does; then every job that is taken would push it further, until
    it is of no use.
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


def _awaited_work(expected_retries: AwaitedWork) -> WaitingWork:
    """Return the work of a job that may not come: at least none, at most all of it."""
    return WaitingWork(expected_retries.rank, expected_retries.share_seconds, 0.0, 1.0)


def _line_work(
    steps: list[_Waiting], total: ResourceVector
) -> tuple[list[WaitingWork], dict[RankClass, list[LateWork]]]:
    """Return what waits as shares of what there is, and what of it is late."""
    works = []
    late: dict[RankClass, list[LateWork]] = {}
    shares: dict[ResourceVector, float] = {}
    for rank, needs, tasks, low, high, slack in steps:
        share = shares.get(needs)
        if share is None:
            share = shares[needs] = share_of(needs, total)
        works.append(WaitingWork(rank, share * tasks, low, high))
        if slack < math.inf:
            work = share * tasks * min(low, HORIZONS[-1])
            late.setdefault(class_of(rank), []).append(LateWork(slack, work))
    return works, late


def _remember(durations: DurationEstimator) -> Expect:
    """Return what expects how long tasks take, and asks once about those that are alike."""
    known: dict[tuple[str, str, int], DurationEstimate] = {}

    def expect(queue: str, tenant: str, estimated_ms: int) -> DurationEstimate:
        key = (queue, tenant, estimated_ms)
        expected = known.get(key)
        if expected is None:
            expected = known[key] = durations.expected(queue, tenant, estimated_ms)
        return expected

    return expect


def _sum_capacity(workers: list[Worker]) -> ResourceVector:
    total = ResourceVector()
    for worker in workers:
        total = add_vectors(total, worker.record.capacity)
    return total
