"""How much work is taken in lately, by class: what comes later and goes first delays what waits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: What came in longer ago than some of these, in seconds, counts for little.
SPAN_SECONDS = 4.0
#: A rate is of so many seconds at least, so that a few jobs at once make none.
MIN_OBSERVED_SECONDS = 1.0
#: Work that goes first is never taken to fill more of the room, so that what waits moves on.
MAX_ARRIVAL_SHARE = 0.95
#: In the best case, so much of what came in lately goes on coming.
BEST_CASE_ARRIVAL_SHARE = 0.5


class RankClass(NamedTuple):
    """What decides first who goes first."""

    is_over_share: bool
    priority: int


def rank_class_of(rank: StepRank) -> RankClass:
    """Return the class of a place in the line."""
    return RankClass(rank.is_beyond_share, rank.priority)


@dataclass(slots=True)
class _DecayedSum:
    """Work whose share of what counts falls with its age."""

    started_at: float
    updated_at: float
    work_share_seconds: float = 0.0

    def add(self, work_share_seconds: float, now: float) -> None:
        self.work_share_seconds = (
            self.work_share_seconds * _decay_factor(now - self.updated_at) + work_share_seconds
        )
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the rate over the span, or since the first work where that is less."""
        observed_seconds = max(MIN_OBSERVED_SECONDS, now - self.started_at)
        return (
            self.work_share_seconds
            * _decay_factor(now - self.updated_at)
            / (SPAN_SECONDS * (1.0 - _decay_factor(observed_seconds)))
        )


class ArrivalMeter:
    """Work taken in lately at each service, by class, in share-seconds a second."""

    def __init__(self) -> None:
        self._work_by_service: dict[str, dict[RankClass, _DecayedSum]] = {}

    def note(self, service: str, rank: StepRank, work_share_seconds: float, now: float) -> None:
        """A job was taken in."""
        work_by_class = self._work_by_service.setdefault(service, {})
        work_by_class.setdefault(rank_class_of(rank), _DecayedSum(now, now)).add(
            work_share_seconds, now
        )

    def rates(self, service: str, now: float) -> dict[RankClass, float]:
        """Return the present rates."""
        return {
            rank: total.rate(now) for rank, total in self._work_by_service.get(service, {}).items()
        }


def delayed_by_arrivals(seconds: float, arrival_rate: float) -> float:
    """Return how long a wait takes while work that goes first keeps coming at a rate."""
    return seconds / (1.0 - min(MAX_ARRIVAL_SHARE, arrival_rate))


def _decay_factor(seconds: float) -> float:
    return math.exp(-seconds / SPAN_SECONDS)
