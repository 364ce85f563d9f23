"""What waits, in the order of placement, so that what goes before a place costs a bisection."""

from __future__ import annotations

from bisect import bisect_left, insort
from itertools import accumulate
from operator import itemgetter
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank


class WaitingWork(NamedTuple):
    """Work that waits at a place in the line, in share-seconds.

    Attributes
    ----------
    low, high : float
        The least and the most that it takes of the room.
    task_seconds : float
        How long one of its tasks takes.
    """

    rank: StepRank
    low: float
    high: float
    task_seconds: float = 0.0


class WorkAhead(NamedTuple):
    """Work that goes before a place, in share-seconds, and the mean length of its tasks."""

    low: float
    high: float
    task_seconds: float


class WaitingLine:
    """Work in the order of placement, and what was added since it was sorted.

    Parameters
    ----------
    works : list of WaitingWork
        In any order.
    """

    def __init__(self, works: list[WaitingWork]) -> None:
        works = sorted(works, key=itemgetter(0))
        self._ranks = [work.rank for work in works]
        self._low = [0.0, *accumulate(work.low for work in works)]
        self._high = [0.0, *accumulate(work.high for work in works)]
        self._weighted = [0.0, *accumulate(work.low * work.task_seconds for work in works)]
        self._added: list[WaitingWork] = []

    def add(self, work: WaitingWork) -> None:
        """Count work that was taken in since."""
        insort(self._added, work, key=itemgetter(0))

    def ahead_of(self, rank: StepRank) -> WorkAhead:
        """Return what goes before a place."""
        at = bisect_left(self._ranks, rank)
        low, high, weighted = self._low[at], self._high[at], self._weighted[at]
        for work in self._added:
            if work.rank >= rank:
                break
            low += work.low
            high += work.high
            weighted += work.low * work.task_seconds
        return WorkAhead(low, high, weighted / low if low > 0.0 else 0.0)
