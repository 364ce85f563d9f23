"""Something that work passes through in order, and when a job comes to its turn there."""

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
from onyxspoke.core.admission.hand_in import HandIn
from onyxspoke.core.admission.promises import LateJobMargins, LateWork
from onyxspoke.core.admission.room_curve import RoomCurve
from onyxspoke.core.admission.waiting_line import (
    HORIZONS_SECONDS,
    WaitingLine,
    WaitingWork,
    WorkEstimate,
    horizon_for,
)
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR, Lateness, StepRank
from onyxspoke.core.placement.reservations import HELD_SHARE

#: Of the room, what waiting gangs may hold does no work; so much does in the worst case.
WORST_CASE_USED_SHARE = 1.0 - HELD_SHARE


def dominant_share(needs: Needs, total: Needs) -> float:
    """Return the largest share that an amount has of what there is of a resource."""
    share = needs[0] / total[0] if total[0] > 0 else 0.0
    if needs[1] > 0 and total[1] > 0:
        share = max(share, needs[1] / total[1])
    if needs[2] > 0 and total[2] > 0:
        share = max(share, needs[2] / total[2])
    return share


class HeldCapacity(NamedTuple):
    """A share of the room that a run holds.

    Attributes
    ----------
    seconds : float
        Until it is free; infinity where that is not known.
    is_preemptible : bool
        Work of an earlier queue may take its place.
    """

    seconds: float
    share: float
    priority: int
    is_preemptible: bool


class DurationBounds(NamedTuple):
    """Seconds until a job could begin, or that it takes, at best and at worst."""

    best_seconds: float
    worst_seconds: float


@dataclass(slots=True)
class Lane:
    """Something that work passes through in order: the room of a service, or a tenant's quota.

    Attributes
    ----------
    total : Needs
        All that there is; what shares are of.
    works : list of WaitingWork
        What waits, in order.
    held : list of HeldCapacity
        By what runs there.
    best_case_capacity_factor : float
        How much there would be, as a multiple, were everything in order.
    held_on_unsettled : list of HeldCapacity
        Of what would be there then, by runs that are known.
    stop_seconds : float
        How long a run takes to give way.
    coming : dict of RankClass to float
        Work that comes in, in share-seconds a second.
    late : dict of RankClass to list of LateWork
        Work that waits, comes late, and is still of use.
    """

    total: Needs
    works: list[WaitingWork]
    held: list[HeldCapacity]
    best_case_capacity_factor: float = 1.0
    held_on_unsettled: list[HeldCapacity] = field(default_factory=list)
    stop_seconds: float = 0.0
    arrival_rates: dict[RankClass, float] = field(default_factory=dict)
    late_work: dict[RankClass, list[LateWork]] = field(default_factory=dict)
    #: Taken in since.
    _admitted: list[WaitingWork] = field(default_factory=list)
    _queues: dict[float, WaitingLine] = field(default_factory=dict)
    _margins: dict[RankClass, LateJobMargins] = field(default_factory=dict)
    #: The job whose work was worked out last.
    _last_estimate: tuple[HandIn, WorkEstimate] | None = None
    _curves: dict[tuple[int, bool], RoomCurve] = field(default_factory=dict)

    def start_delay(self, job: HandIn) -> DurationBounds:
        """Return when a job could begin."""
        rank = job.rank
        expiry_seconds = EXPIRY_FACTOR * job.objective_seconds
        ahead = self._queue(horizon_for(expiry_seconds)).work_before(rank)
        best_case_curve = self._curve(rank.priority, is_best_case=True)
        worst_case_curve = self._curve(rank.priority)
        smallest_task_share = self._smallest_task_share(job)
        arrival_rate = self._arrival_rate_before(rank_class_of(rank))
        # When the last of what goes first begins, tasks are at work that are half through.
        best = best_case_curve.seconds_until(ahead.low) - ahead.task_seconds / 2.0
        least = best_case_curve.seconds_until_free(
            min(smallest_task_share, self.best_case_capacity_factor)
        )
        best = delayed_by_arrivals(max(least, best), BEST_CASE_ARRIVAL_SHARE * arrival_rate)
        worst = worst_case_curve.seconds_until(ahead.high / WORST_CASE_USED_SHARE)
        least = worst_case_curve.seconds_until_free(min(smallest_task_share, 1.0))
        worst = delayed_by_arrivals(max(least, worst), arrival_rate)
        return DurationBounds(best, max(best, worst))

    def _smallest_task_share(self, job: HandIn) -> float:
        """Return the share that one task of what a job begins with takes."""
        shares = [dominant_share(step.needs, self.total) for step in job.steps if step.is_first]
        return min(shares, default=0.0)

    def left_for(self, rank: StepRank) -> float:
        """Return which share of the room is left by what comes in and goes first."""
        return 1.0 - min(MAX_ARRIVAL_SHARE, self._arrival_rate_before(rank_class_of(rank)))

    def _arrival_rate_before(self, rank_class: RankClass) -> float:
        return sum(rate for other, rate in self.arrival_rates.items() if other < rank_class)

    def would_expire_late_job(self, job: HandIn) -> bool:
        """Return whether a late job that was taken would come too late for this one.

        A forecast is no finer than a task is long, and so is what is left between them.
        """
        margins = self._margins_of(rank_class_of(job.rank))
        if margins is None:
            return False
        work = self.work_of(job)
        return margins.any_expires_after(work.low + work.task_seconds)

    def _queue(self, horizon: float) -> WaitingLine:
        queue = self._queues.get(horizon)
        if queue is None:
            queue = self._queues[horizon] = WaitingLine(self.works, horizon)
            for work in self._admitted:
                queue.add(work)
        return queue

    def add(self, job: HandIn) -> None:
        """Count a job that was taken in since."""
        margins = self._margins_of(rank_class_of(job.rank))
        if margins is not None:
            margins.add(self.work_of(job).low)
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
        waiting = sum(item.work for item in late_work if not item.earliest_start_seconds)
        on_time = self._queue(HORIZONS_SECONDS[-1]).work_before(last_rank).low - waiting
        curve = self._curve(rank_class.priority, is_best_case=True)
        arrival_rate = self._arrival_rate_before(rank_class)

        def seconds_until(work: float) -> float:
            return delayed_by_arrivals(curve.seconds_until(work), arrival_rate)

        return LateJobMargins(late_work, on_time, seconds_until)

    def work_of(self, job: HandIn) -> WorkEstimate:
        """Return the work of a job, and the length of its longest task."""
        if self._last_estimate is None or self._last_estimate[0] is not job:
            self._last_estimate = (job, self.work_within(job, HORIZONS_SECONDS[-1]))
        return self._last_estimate[1]

    def work_within(self, job: HandIn, horizon: float) -> WorkEstimate:
        """Return the same, with no task counted for longer than so many seconds."""
        low = high = longest_task_seconds = 0.0
        for step in job.steps:
            share = dominant_share(step.needs, self.total) * step.task_count
            low += share * min(step.low_seconds, horizon)
            high += share * min(step.upper_seconds, horizon)
            longest_task_seconds = max(longest_task_seconds, min(step.median_seconds, horizon))
        return WorkEstimate(low, high, longest_task_seconds)

    def _curve(self, priority: int, *, is_best_case: bool = False) -> RoomCurve:
        """Return how room comes free for a queue; of all that would be there in the best case.

        A worker that was not heard yet may stand free, and be heard the next moment.
        """
        is_best_case = is_best_case and self.best_case_capacity_factor > 1.0
        curve = self._curves.get((priority, is_best_case))
        if curve is None:
            total = self.best_case_capacity_factor if is_best_case else 1.0
            held = self.held + self.held_on_unsettled if is_best_case else self.held
            curve = self._curves[priority, is_best_case] = self._make_curve(priority, total, held)
        return curve

    def _make_curve(self, priority: int, total: float, held: list[HeldCapacity]) -> RoomCurve:
        """Return how room comes free for a queue: later ones' runs give way where they can."""
        ends = []
        free = total
        for run in held:
            free -= run.share
            seconds = run.seconds
            if run.is_preemptible and run.priority > priority:
                seconds = min(seconds, self.stop_seconds)
            if seconds < math.inf:
                ends.append((seconds, run.share))
        return RoomCurve(free, ends)
