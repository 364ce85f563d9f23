"""What waits, in the order of placement, so that what goes before a place costs a bisection."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: How far decisions look ahead, in seconds: each by the first that covers what its caller waits.  A
#: task that works for longer holds its room for so long before what comes after it.
HORIZONS = (2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)


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


class WorkAhead(NamedTuple):
    """Work that goes before a place, in share-seconds, and the mean length of its tasks."""

    low: float
    high: float
    task_seconds: float


def horizon_of(seconds: float) -> float:
    """Return how far a decision looks ahead whose caller waits for so long."""
    return HORIZONS[min(bisect_left(HORIZONS, seconds), len(HORIZONS) - 1)]


class WaitingWorkQueue:
    """Work in the order of placement, and what was added since it was sorted.

    Parameters
    ----------
    works : list of WaitingWork
        In order.
    horizon : float
        How far it looks ahead, in seconds.
    """

    def __init__(self, works: list[WaitingWork], horizon: float) -> None:
        self._sorted = _Sums(works, horizon)
        self._added = _Sums([], horizon)

    def add(self, work: WaitingWork) -> None:
        """Count work that was taken in since."""
        self._added.insert(work)

    def ahead_of(self, rank: StepRank) -> WorkAhead:
        """Return what goes before a place."""
        low, high, weighted = self._sorted.before(rank)
        more_low, more_high, more_weighted = self._added.before(rank)
        low += more_low
        mean = (weighted + more_weighted) / low if low > 0.0 else 0.0
        return WorkAhead(low, high + more_high, mean)


class _Sums:
    """Work in order, with sums from its beginning: at least, at most, and weighted by length."""

    def __init__(self, works: list[WaitingWork], horizon: float) -> None:
        self._horizon = horizon
        self._works = list(works)
        self._ranks = [work.rank for work in works]
        self._sums = [(0.0, 0.0, 0.0)]
        self._sum_from(0)

    def insert(self, work: WaitingWork) -> None:
        """Take in more work; most goes to the end."""
        at = bisect_right(self._ranks, work.rank)
        self._ranks.insert(at, work.rank)
        self._works.insert(at, work)
        del self._sums[at + 1 :]
        self._sum_from(at)

    def before(self, rank: StepRank) -> tuple[float, float, float]:
        """Return the sums of what goes before a place."""
        return self._sums[bisect_left(self._ranks, rank)]

    def _sum_from(self, at: int) -> None:
        low, high, weighted = self._sums[at]
        horizon = self._horizon
        for _rank, share, low_seconds, high_seconds in self._works[at:]:
            least = min(low_seconds, horizon)
            low += share * least
            high += share * min(high_seconds, horizon)
            weighted += share * least * least
            self._sums.append((low, high, weighted))
