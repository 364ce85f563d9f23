"""How much work is taken in lately, by class: what comes later and goes first delays what waits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: What came in longer ago than some of these, in seconds, counts for little.
DECAY_SECONDS = 4.0
#: A rate is of so many seconds at least, so that a few jobs at once make none.
SHORTEST_SECONDS = 1.0
#: Work that goes first is never taken to fill more of the room, so that what waits moves on.
MOST_FILLED = 0.95
#: In the best case, so much of what came in lately goes on coming.
BEST_CASE_SHARE = 0.5


class RankClass(NamedTuple):
    """What decides first who goes first."""

    is_over_share: bool
    priority: int


def class_of(rank: StepRank) -> RankClass:
    """Return the class of a place in the line."""
    return RankClass(rank.is_over_share, rank.priority)


@dataclass(slots=True)
class _Sum:
    """Work whose share of what counts falls with its age."""

    since: float
    at: float
    work: float = 0.0

    def add(self, work: float, now: float) -> None:
        self.work = self.work * _left(now - self.at) + work
        self.at = now

    def rate(self, now: float) -> float:
        """Return the rate over the span, or since the first work where that is less."""
        watched = max(SHORTEST_SECONDS, now - self.since)
        return self.work * _left(now - self.at) / (DECAY_SECONDS * (1.0 - _left(watched)))


class ArrivalMeter:
    """Work taken in lately at each service, by class, in share-seconds a second."""

    def __init__(self) -> None:
        self._sums: dict[str, dict[RankClass, _Sum]] = {}

    def record_arrival(self, service: str, rank: StepRank, work: float, now: float) -> None:
        """A job was taken in."""
        sums = self._sums.setdefault(service, {})
        sums.setdefault(class_of(rank), _Sum(now, now)).add(work, now)

    def rates(self, service: str, now: float) -> dict[RankClass, float]:
        """Return the present rates."""
        return {rank: item.rate(now) for rank, item in self._sums.get(service, {}).items()}


def slowed(seconds: float, rate_before: float) -> float:
    """Return how long a wait takes while work that goes first keeps coming at a rate."""
    return seconds / (1.0 - min(MOST_FILLED, rate_before))


def _left(seconds: float) -> float:
    return math.exp(-seconds / DECAY_SECONDS)
