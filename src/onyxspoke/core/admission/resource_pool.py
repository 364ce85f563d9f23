"""A pool of resources with a queue of waiting work, and the delay until a job could start in it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.core.admission.arrivals import (
    BEST_CASE_ARRIVAL_SHARE,
    MAX_ARRIVAL_SHARE,
    RankClass,
    delayed_by_arrivals,
    rank_class_of,
)
from onyxspoke.core.admission.free_capacity_curve import FreeCapacityCurve
from onyxspoke.core.admission.late_job_margins import LateJobMargins, LateWork
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.admission.waiting_work import (
    HORIZONS_SECONDS,
    WaitingWork,
    WaitingWorkQueue,
    WorkEstimate,
    horizon_for,
)
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR, Lateness, StepRank
from onyxspoke.core.placement.reservations import MAX_HELD_CAPACITY_SHARE

#: Share of the capacity that does work in the worst case; waiting gangs may hold the rest idle.
WORST_CASE_USED_SHARE = 1.0 - MAX_HELD_CAPACITY_SHARE


def dominant_share(needs: ResourceVector, total: ResourceVector) -> float:
    """Return an amount as a share of a total, for the resource of which it takes most."""
    share = needs[0] / total[0] if total[0] > 0 else 0.0
    if needs[1] > 0 and total[1] > 0:
        share = max(share, needs[1] / total[1])
    if needs[2] > 0 and total[2] > 0:
        share = max(share, needs[2] / total[2])
    return share


class HeldCapacity(NamedTuple):
    """The share of a pool's capacity that a run holds.

    Attributes
    ----------
    seconds_left : float
        Time until the run releases its share; infinity if unknown.
    is_preemptible : bool
        The run may be preempted by work of a queue with higher priority.
    """

    seconds_left: float
    share: float
    priority: int
    is_preemptible: bool

    def gives_way_to(self, rank_class: RankClass) -> bool:
        """Return whether placement may preempt the run for a job of this class."""
        is_less_urgent = self.priority > rank_class.priority
        return self.is_preemptible and is_less_urgent and not rank_class.is_over_share


class DurationBounds(NamedTuple):
    """The best-case and worst-case length in seconds of a job's start delay or execution."""

    best_seconds: float
    worst_seconds: float


@dataclass(slots=True)
class ResourcePool:
    """A pool of resources: the workers of a service, or the quota of a tenant.

    Work is measured in share-seconds: one share-second uses the whole pool for one second.

    Attributes
    ----------
    total : ResourceVector
        Capacity of the pool; shares are relative to it.
    waiting_work : list of WaitingWork
        Work that waits for the pool, in queue order.
    held : list of HeldCapacity
        Shares held by runs.
    best_case_capacity_factor : float
        Capacity including workers that are not reconciled yet, as a multiple of ``total``.
    held_on_unreconciled : list of HeldCapacity
        Shares held by known runs on workers that are not reconciled yet.
    max_stop_seconds : float
        The longest time that a run takes to stop when it is preempted.
    arrival_rates : dict of RankClass to float
        Rate of newly admitted work, in share-seconds per second.
    late_work : dict of RankClass to list of LateWork
        Waiting work of late jobs that have not expired.
    """

    total: ResourceVector
    waiting_work: list[WaitingWork]
    held: list[HeldCapacity]
    best_case_capacity_factor: float = 1.0
    held_on_unreconciled: list[HeldCapacity] = field(default_factory=list)
    max_stop_seconds: float = 0.0
    arrival_rates: dict[RankClass, float] = field(default_factory=dict)
    late_work: dict[RankClass, list[LateWork]] = field(default_factory=dict)
    #: Work of jobs that were admitted after the view was made.
    _admitted: list[WaitingWork] = field(default_factory=list)
    _queues: dict[float, WaitingWorkQueue] = field(default_factory=dict)
    _margins: dict[RankClass, LateJobMargins] = field(default_factory=dict)
    #: The job for which work was last estimated, and the estimate.
    _last_estimate: tuple[SubmittedJob, WorkEstimate] | None = None
    _capacity_curves: dict[tuple[RankClass, bool], FreeCapacityCurve] = field(default_factory=dict)

    def start_delay(self, job: SubmittedJob) -> DurationBounds:
        """Return the bounds of the delay until a job could start."""
        rank = job.rank
        expiry_seconds = EXPIRY_FACTOR * job.objective_seconds
        work_ahead = self._queue(horizon_for(expiry_seconds)).work_before(rank)
        rank_class = rank_class_of(rank)
        best_case_curve = self._capacity_curve(rank_class, is_best_case=True)
        worst_case_curve = self._capacity_curve(rank_class)
        smallest_task_share = self._smallest_task_share(job)
        arrival_rate = self._arrival_rate_before(rank_class)
        # When the last task before the job starts, running tasks are half finished on average.
        best_seconds = best_case_curve.seconds_until(work_ahead.low) - work_ahead.task_seconds / 2.0
        earliest_seconds = best_case_curve.seconds_until_free(
            min(smallest_task_share, self.best_case_capacity_factor)
        )
        best_seconds = delayed_by_arrivals(
            max(earliest_seconds, best_seconds), BEST_CASE_ARRIVAL_SHARE * arrival_rate
        )
        worst_seconds = worst_case_curve.seconds_until(work_ahead.high / WORST_CASE_USED_SHARE)
        earliest_seconds = worst_case_curve.seconds_until_free(min(smallest_task_share, 1.0))
        worst_seconds = delayed_by_arrivals(max(earliest_seconds, worst_seconds), arrival_rate)
        return DurationBounds(best_seconds, max(best_seconds, worst_seconds))

    def _smallest_task_share(self, job: SubmittedJob) -> float:
        """Return the smallest share that one task of the job's first steps takes."""
        shares = [dominant_share(step.needs, self.total) for step in job.steps if step.is_first]
        return min(shares, default=0.0)

    def share_left_for(self, rank: StepRank) -> float:
        """Return the share of the capacity that arrivals of earlier ranks leave for a rank."""
        return 1.0 - min(MAX_ARRIVAL_SHARE, self._arrival_rate_before(rank_class_of(rank)))

    def _arrival_rate_before(self, rank_class: RankClass) -> float:
        return sum(
            class_rate
            for other_class, class_rate in self.arrival_rates.items()
            if other_class < rank_class
        )

    def would_expire_late_job(self, job: SubmittedJob) -> bool:
        """Return whether admitting a job would make an admitted late job expire.

        The duration of the job's longest task is added to its work, because a forecast is no more
        precise than that.
        """
        margins = self._margins_of(rank_class_of(job.rank))
        if margins is None:
            return False
        work = self.work_estimate(job)
        return margins.any_expires_after(work.low + work.task_seconds)

    def _queue(self, horizon_seconds: float) -> WaitingWorkQueue:
        queue = self._queues.get(horizon_seconds)
        if queue is None:
            queue = self._queues[horizon_seconds] = WaitingWorkQueue(
                self.waiting_work, horizon_seconds
            )
            for work in self._admitted:
                queue.add(work)
        return queue

    def add(self, job: SubmittedJob) -> None:
        """Count a job that was admitted after the view was made."""
        margins = self._margins_of(rank_class_of(job.rank))
        if margins is not None:
            margins.add(self.work_estimate(job).low)
        for step in job.steps:
            share = dominant_share(step.needs, self.total) * step.task_count
            work = WaitingWork(job.rank, share, step.low_seconds, step.upper_seconds)
            self._admitted.append(work)
            for queue in self._queues.values():
                queue.add(work)

    def _margins_of(self, rank_class: RankClass) -> LateJobMargins | None:
        late_work = self.late_work.get(rank_class)
        if late_work is None:
            return None
        margins = self._margins.get(rank_class)
        if margins is None:
            margins = self._margins[rank_class] = self._make_margins(rank_class, late_work)
        return margins

    def _make_margins(self, rank_class: RankClass, late_work: list[LateWork]) -> LateJobMargins:
        last_rank = StepRank(
            False, rank_class.is_over_share, rank_class.priority, Lateness.EXPIRED, 0.0, 0
        )
        waiting_late_work = sum(
            item.work_share_seconds for item in late_work if not item.earliest_start_seconds
        )
        on_time_work = (
            self._queue(HORIZONS_SECONDS[-1]).work_before(last_rank).low - waiting_late_work
        )
        curve = self._capacity_curve(rank_class, is_best_case=True)
        arrival_rate = self._arrival_rate_before(rank_class)

        def seconds_until(work: float) -> float:
            return delayed_by_arrivals(curve.seconds_until(work), arrival_rate)

        return LateJobMargins(late_work, on_time_work, seconds_until)

    def work_estimate(self, job: SubmittedJob) -> WorkEstimate:
        """Return the work of a job, and the duration of its longest task."""
        if self._last_estimate is None or self._last_estimate[0] is not job:
            self._last_estimate = (job, self.work_estimate_within(job, HORIZONS_SECONDS[-1]))
        return self._last_estimate[1]

    def work_estimate_within(self, job: SubmittedJob, horizon_seconds: float) -> WorkEstimate:
        """Return the work of a job, with the duration of each task capped at a horizon."""
        low = high = longest_task_seconds = 0.0
        for step in job.steps:
            share = dominant_share(step.needs, self.total) * step.task_count
            low += share * min(step.low_seconds, horizon_seconds)
            high += share * min(step.upper_seconds, horizon_seconds)
            longest_task_seconds = max(
                longest_task_seconds, min(step.median_seconds, horizon_seconds)
            )
        return WorkEstimate(low, high, longest_task_seconds)

    def _capacity_curve(
        self, rank_class: RankClass, *, is_best_case: bool = False
    ) -> FreeCapacityCurve:
        """Return the capacity that becomes free for the jobs of one rank class.

        Preemptible runs of queues with lower priority release their share once they have stopped:
        at once in the best case.  Placement preempts none for a job over its tenant's share, so
        these runs go on.  In the best case, workers that are not reconciled yet are counted
        too, because they may be idle and answer at any moment.
        """
        curve = self._capacity_curves.get((rank_class, is_best_case))
        if curve is None:
            curve = self._capacity_curves[rank_class, is_best_case] = self._make_capacity_curve(
                rank_class, is_best_case
            )
        return curve

    def _make_capacity_curve(self, rank_class: RankClass, is_best_case: bool) -> FreeCapacityCurve:
        total = self.best_case_capacity_factor if is_best_case else 1.0
        held = self.held + self.held_on_unreconciled if is_best_case else self.held
        stop_seconds = 0.0 if is_best_case else self.max_stop_seconds
        releases = []
        free_share = total
        for run in held:
            free_share -= run.share
            seconds = run.seconds_left
            if run.gives_way_to(rank_class):
                seconds = min(seconds, stop_seconds)
            if seconds < math.inf:
                releases.append((seconds, run.share))
        return FreeCapacityCurve(free_share, releases)
