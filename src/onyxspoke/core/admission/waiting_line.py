"""What waits, in the order of placement, so that what goes before a place costs a bisection."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: How far decisions look ahead, in seconds: each by the first that covers what its caller waits.  A
#: task that works for longer holds its room for so long before what comes after it.
HORIZONS_SECONDS = (2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)


class WaitingWork(NamedTuple):
    """Work that waits at a place in the line.

    Attributes
    ----------
    share : float
        Of the room, for all of its tasks.
    low_seconds, high_seconds : float
        For how long at least, and at most.
    """

    rank: StepRank
    share: float
    low_seconds: float
    high_seconds: float


class WorkEstimate(NamedTuple):
    """Work that goes before a place, in share-seconds, and the mean length of its tasks."""

    low: float
    high: float
    task_seconds: float


def horizon_for(seconds: float) -> float:
    """Return how far a decision looks ahead whose caller waits for so long."""
    return HORIZONS_SECONDS[min(bisect_left(HORIZONS_SECONDS, seconds), len(HORIZONS_SECONDS) - 1)]


class WaitingLine:
    """Work in the order of placement, and what was added since it was sorted.

    Parameters
    ----------
    works : list of WaitingWork
        In order.
    horizon : float
        How far it looks ahead, in seconds.
    """

    def __init__(self, works: list[WaitingWork], horizon: float) -> None:
        self._sorted = _PrefixSums(works, horizon)
        self._added = _PrefixSums([], horizon)

    def add(self, work: WaitingWork) -> None:
        """Count work that was taken in since."""
        self._added.insert(work)

    def work_before(self, rank: StepRank) -> WorkEstimate:
        """Return what goes before a place."""
        low, high, weighted = self._sorted.sums_before(rank)
        more_low, more_high, more_weighted = self._added.sums_before(rank)
        low += more_low
        mean = (weighted + more_weighted) / low if low > 0.0 else 0.0
        return WorkEstimate(low, high + more_high, mean)


class _PrefixSums:
    """Work in order, with sums from its beginning: at least, at most, and weighted by length."""

    def __init__(self, works: list[WaitingWork], horizon: float) -> None:
        self._horizon = horizon
        self._works = list(works)
        self._ranks = [work.rank for work in works]
        self._sums = [(0.0, 0.0, 0.0)]
        self._sum_from(0)

    def insert(self, work: WaitingWork) -> None:
        """Take in more work; most goes to the end."""
        index = bisect_right(self._ranks, work.rank)
        self._ranks.insert(index, work.rank)
        self._works.insert(index, work)
        del self._sums[index + 1 :]
        self._sum_from(index)

    def sums_before(self, rank: StepRank) -> tuple[float, float, float]:
        """Return the sums of what goes before a place."""
        return self._sums[bisect_left(self._ranks, rank)]

    def _sum_from(self, index: int) -> None:
        low, high, weighted = self._sums[index]
        horizon = self._horizon
        for _rank, share, low_seconds, high_seconds in self._works[index:]:
            least_seconds = min(low_seconds, horizon)
            low += share * least_seconds
            high += share * min(high_seconds, horizon)
            weighted += share * least_seconds * least_seconds
            self._sums.append((low, high, weighted))
