"""Something that work passes through in order, and when a job comes to its turn there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.core.admission.arrivals import (
    BEST_CASE_SHARE,
    MOST_FILLED,
    RankClass,
    class_of,
    slowed,
)
from onyxspoke.core.admission.free_capacity_curve import FreeCapacityCurve
from onyxspoke.core.admission.late_job_margins import LateWork, Promises
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.admission.waiting_work import (
    HORIZONS,
    WaitingWork,
    WaitingWorkQueue,
    WorkAhead,
    horizon_of,
)
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR, Lateness, StepRank
from onyxspoke.core.placement.reservations import MAX_HELD_CAPACITY_SHARE

#: Of the room, what waiting gangs may hold does no work; so much does in the worst case.
USED_SHARE = 1.0 - MAX_HELD_CAPACITY_SHARE


def share_of(needs: ResourceVector, total: ResourceVector) -> float:
    """Return the largest share that an amount has of what there is of a resource."""
    share = needs[0] / total[0] if total[0] > 0 else 0.0
    if needs[1] > 0 and total[1] > 0:
        share = max(share, needs[1] / total[1])
    if needs[2] > 0 and total[2] > 0:
        share = max(share, needs[2] / total[2])
    return share


class RoomHeld(NamedTuple):
    """A share of the room that a run holds.

    Attributes
    ----------
    seconds : float
        Until it is free; infinity where that is not known.
    may_give_way : bool
        Work of an earlier queue may take its place.
    """

    seconds: float
    share: float
    priority: int
    may_give_way: bool


class Ahead(NamedTuple):
    """Seconds until a job could begin, or that it takes, at best and at worst."""

    best_seconds: float
    worst_seconds: float


@dataclass(slots=True)
class ResourcePool:
    """Something that work passes through in order: the room of a service, or a tenant's quota.

    Attributes
    ----------
    total : ResourceVector
        All that there is; what shares are of.
    works : list of WaitingWork
        What waits, in order.
    held : list of RoomHeld
        By what runs there.
    spare_factor : float
        How much there would be, as a multiple, were everything in order.
    held_of_spare : list of RoomHeld
        Of what would be there then, by runs that are known.
    stop_seconds : float
        How long a run takes to give way.
    coming : dict of RankClass to float
        Work that comes in, in share-seconds a second.
    late : dict of RankClass to list of LateWork
        Work that waits, comes late, and is still of use.
    """

    total: ResourceVector
    works: list[WaitingWork]
    held: list[RoomHeld]
    spare_factor: float = 1.0
    held_of_spare: list[RoomHeld] = field(default_factory=list)
    stop_seconds: float = 0.0
    coming: dict[RankClass, float] = field(default_factory=dict)
    late: dict[RankClass, list[LateWork]] = field(default_factory=dict)
    #: Taken in since.
    _added: list[WaitingWork] = field(default_factory=list)
    _lines: dict[float, WaitingWorkQueue] = field(default_factory=dict)
    _promises: dict[RankClass, Promises] = field(default_factory=dict)
    #: The job whose work was worked out last.
    _worked_out: tuple[SubmittedJob, WorkAhead] | None = None
    _curves: dict[tuple[int, bool], FreeCapacityCurve] = field(default_factory=dict)

    def ahead_of(self, job: SubmittedJob) -> Ahead:
        """Return when a job could begin."""
        rank = job.rank
        patience = EXPIRY_FACTOR * job.objective_seconds
        ahead = self._line(horizon_of(patience)).ahead_of(rank)
        in_order = self._curve(rank.priority, is_in_order=True)
        curve = self._curve(rank.priority)
        narrowest = self._narrowest(job)
        coming = self._coming_before(class_of(rank))
        # When the last of what goes first begins, tasks are at work that are half through.
        best = in_order.seconds_until(ahead.low) - ahead.task_seconds / 2.0
        least = in_order.seconds_until_free(min(narrowest, self.spare_factor))
        best = slowed(max(least, best), BEST_CASE_SHARE * coming)
        worst = curve.seconds_until(ahead.high / USED_SHARE)
        least = curve.seconds_until_free(min(narrowest, 1.0))
        worst = slowed(max(least, worst), coming)
        return Ahead(best, max(best, worst))

    def _narrowest(self, job: SubmittedJob) -> float:
        """Return the share that one task of what a job begins with takes."""
        shares = [share_of(step.needs, self.total) for step in job.steps if step.is_first]
        return min(shares, default=0.0)

    def share_left_for(self, rank: StepRank) -> float:
        """Return which share of the room is left by what comes in and goes first."""
        return 1.0 - min(MOST_FILLED, self._coming_before(class_of(rank)))

    def _coming_before(self, own: RankClass) -> float:
        return sum(rate for other, rate in self.coming.items() if other < own)

    def pushes_promised(self, job: SubmittedJob) -> bool:
        """Return whether a late job that was taken would come too late for this one.

        A forecast is no finer than a task is long, and so is what is left between them.
        """
        promises = self._promises_of(class_of(job.rank))
        if promises is None:
            return False
        work = self.work_estimate(job)
        return promises.are_pushed_by(work.low + work.task_seconds)

    def _line(self, horizon: float) -> WaitingWorkQueue:
        line = self._lines.get(horizon)
        if line is None:
            line = self._lines[horizon] = WaitingWorkQueue(self.works, horizon)
            for work in self._added:
                line.add(work)
        return line

    def add(self, job: SubmittedJob) -> None:
        """Count a job that was taken in since."""
        promises = self._promises_of(class_of(job.rank))
        if promises is not None:
            promises.add(self.work_estimate(job).low)
        for step in job.steps:
            share = share_of(step.needs, self.total) * step.tasks
            work = WaitingWork(job.rank, share, step.low_seconds, step.upper_seconds)
            self._added.append(work)
            for line in self._lines.values():
                line.add(work)

    def _promises_of(self, own: RankClass) -> Promises | None:
        late = self.late.get(own)
        if late is None:
            return None
        promises = self._promises.get(own)
        if promises is None:
            promises = self._promises[own] = self._make_promises(own, late)
        return promises

    def _make_promises(self, own: RankClass, late: list[LateWork]) -> Promises:
        last = StepRank(False, own.is_over_share, own.priority, Lateness.EXPIRED, 0.0, 0)
        waiting = sum(item.work for item in late if not item.begins_in_seconds)
        on_time = self._line(HORIZONS[-1]).ahead_of(last).low - waiting
        curve = self._curve(own.priority, is_in_order=True)
        coming = self._coming_before(own)

        def seconds_until(work: float) -> float:
            return slowed(curve.seconds_until(work), coming)

        return Promises(late, on_time, seconds_until)

    def work_estimate(self, job: SubmittedJob) -> WorkAhead:
        """Return the work of a job, and the length of its longest task."""
        if self._worked_out is None or self._worked_out[0] is not job:
            self._worked_out = (job, self.work_estimate_within(job, HORIZONS[-1]))
        return self._worked_out[1]

    def work_estimate_within(self, job: SubmittedJob, horizon: float) -> WorkAhead:
        """Return the same, with no task counted for longer than so many seconds."""
        low = high = longest = 0.0
        for step in job.steps:
            share = share_of(step.needs, self.total) * step.tasks
            low += share * min(step.low_seconds, horizon)
            high += share * min(step.upper_seconds, horizon)
            longest = max(longest, min(step.median_seconds, horizon))
        return WorkAhead(low, high, longest)

    def _curve(self, priority: int, *, is_in_order: bool = False) -> FreeCapacityCurve:
        """Return how room comes free for a queue; of all that would be there in the best case.

        A worker that was not heard yet may stand free, and be heard the next moment.
        """
        is_in_order = is_in_order and self.spare_factor > 1.0
        curve = self._curves.get((priority, is_in_order))
        if curve is None:
            total = self.spare_factor if is_in_order else 1.0
            held = self.held + self.held_of_spare if is_in_order else self.held
            curve = self._curves[priority, is_in_order] = self._make_curve(priority, total, held)
        return curve

    def _make_curve(self, priority: int, total: float, held: list[RoomHeld]) -> FreeCapacityCurve:
        """Return how room comes free for a queue: later ones' runs give way where they can."""
        ends = []
        free = total
        for run in held:
            free -= run.share
            seconds = run.seconds
            if run.may_give_way and run.priority > priority:
                seconds = min(seconds, self.stop_seconds)
            if seconds < math.inf:
                ends.append((seconds, run.share))
        return FreeCapacityCurve(free, ends)
