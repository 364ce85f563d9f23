"""Waiting work in queue order, with sums of the work before each rank.

A lookup costs one bisection.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: Limits to which task durations are counted, in seconds.  A decision uses the first limit that
#: covers the time its caller waits, so that one very long task doesn't delay all work behind it.
HORIZONS_SECONDS = (2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)


class WaitingWork(NamedTuple):
    """Work that waits at a rank of the queue.

    Attributes
    ----------
    share : float
        Share of the capacity that all of its tasks take together.
    low_seconds, high_seconds : float
        Lower and upper bound of the duration of one task.
    """

    rank: StepRank
    share: float
    low_seconds: float
    high_seconds: float


class WorkEstimate(NamedTuple):
    """The lower and upper bound of an amount of work in share-seconds, and a task duration."""

    low: float
    high: float
    task_seconds: float


def horizon_for(seconds: float) -> float:
    """Return the first horizon that covers a waiting time in seconds, or the last if none does."""
    return HORIZONS_SECONDS[min(bisect_left(HORIZONS_SECONDS, seconds), len(HORIZONS_SECONDS) - 1)]


class WaitingWorkQueue:
    """Waiting work in queue order, and work that was added after it was sorted.

    Parameters
    ----------
    waiting_work : list of WaitingWork
        Work in queue order.
    horizon_seconds : float
        Limit to which the duration of each task is counted.
    """

    def __init__(self, waiting_work: list[WaitingWork], horizon_seconds: float) -> None:
        self._initial = _PrefixSums(waiting_work, horizon_seconds)
        self._added = _PrefixSums([], horizon_seconds)

    def add(self, work: WaitingWork) -> None:
        """Add the work of a job that was admitted later."""
        self._added.insert(work)

    def work_before(self, rank: StepRank) -> WorkEstimate:
        """Return the work that goes before a rank, and the mean duration of its tasks."""
        low, high, weighted_work = self._initial.sums_before(rank)
        added_low, added_high, added_weighted = self._added.sums_before(rank)
        low += added_low
        mean_task_seconds = (weighted_work + added_weighted) / low if low > 0.0 else 0.0
        return WorkEstimate(low, high + added_high, mean_task_seconds)


class _PrefixSums:
    """Work in queue order, with prefix sums of its bounds and of its weighted duration."""

    def __init__(self, waiting_work: list[WaitingWork], horizon_seconds: float) -> None:
        self._horizon_seconds = horizon_seconds
        self._waiting_work = list(waiting_work)
        self._ranks = [work.rank for work in waiting_work]
        self._sums = [(0.0, 0.0, 0.0)]
        self._extend_sums(0)

    def insert(self, work: WaitingWork) -> None:
        """Insert work at its rank, which is usually close to the end."""
        index = bisect_right(self._ranks, work.rank)
        self._ranks.insert(index, work.rank)
        self._waiting_work.insert(index, work)
        del self._sums[index + 1 :]
        self._extend_sums(index)

    def sums_before(self, rank: StepRank) -> tuple[float, float, float]:
        """Return the sums of the work that goes before a rank."""
        return self._sums[bisect_left(self._ranks, rank)]

    def _extend_sums(self, index: int) -> None:
        low, high, weighted_work = self._sums[index]
        horizon_seconds = self._horizon_seconds
        for _rank, share, low_seconds, high_seconds in self._waiting_work[index:]:
            least_seconds = min(low_seconds, horizon_seconds)
            low += share * least_seconds
            high += share * min(high_seconds, horizon_seconds)
            weighted_work += share * least_seconds * least_seconds
            self._sums.append((low, high, weighted_work))
