"""Rates of recently admitted work by rank class.

Work that arrives later but ranks first delays the work that already waits.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.placement.queue_order import StepRank

#: Time constant of the exponential decay, in seconds.
DECAY_SECONDS = 4.0
#: Minimum observation time, in seconds, so that a few simultaneous jobs don't give a high rate.
MIN_OBSERVED_SECONDS = 1.0
#: Upper bound of the share of the capacity that arrivals take, so that every delay stays finite.
MAX_ARRIVAL_SHARE = 0.95
#: Share of the recent arrival rate that is assumed to continue in the best case.
BEST_CASE_ARRIVAL_SHARE = 0.5


class RankClass(NamedTuple):
    """The parts of a rank that are compared first, apart from expiry.

    A job within its tenant's share ranks before one over it; then the queue's priority counts.
    """

    is_over_share: bool
    priority: int


def rank_class_of(rank: StepRank) -> RankClass:
    """Return the class of a rank."""
    return RankClass(rank.is_over_share, rank.priority)


@dataclass(slots=True)
class _DecayedSum:
    """A sum of admitted work in which each amount decays exponentially with its age."""

    started_at: float
    updated_at: float
    work_share_seconds: float = 0.0

    def add(self, work_share_seconds: float, now: float) -> None:
        self.work_share_seconds = (
            self.work_share_seconds * _decay_factor(now - self.updated_at) + work_share_seconds
        )
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the arrival rate in share-seconds per second.

        The sum is corrected for the time before ``started_at``, in which nothing was observed.
        """
        observed_seconds = max(MIN_OBSERVED_SECONDS, now - self.started_at)
        return (
            self.work_share_seconds
            * _decay_factor(now - self.updated_at)
            / (DECAY_SECONDS * (1.0 - _decay_factor(observed_seconds)))
        )


class ArrivalMeter:
    """Measures the rate at which work is admitted at each service, by rank class.

    Rates are in share-seconds per second: 1.0 uses the whole capacity of the service.
    """

    def __init__(self) -> None:
        self._work_by_service: dict[str, dict[RankClass, _DecayedSum]] = {}

    def record_arrival(
        self, service: str, rank: StepRank, work_share_seconds: float, now: float
    ) -> None:
        """Record the work of an admitted job, in share-seconds."""
        work_by_class = self._work_by_service.setdefault(service, {})
        work_by_class.setdefault(rank_class_of(rank), _DecayedSum(now, now)).add(
            work_share_seconds, now
        )

    def rates(self, service: str, now: float) -> dict[RankClass, float]:
        """Return the current arrival rate of each rank class, in share-seconds per second."""
        return {
            rank: total.rate(now) for rank, total in self._work_by_service.get(service, {}).items()
        }


def delayed_by_arrivals(seconds: float, arrival_rate: float) -> float:
    """Return a delay in seconds, extended by arrivals that rank first and take capacity."""
    return seconds / (1.0 - min(MAX_ARRIVAL_SHARE, arrival_rate))


def _decay_factor(seconds: float) -> float:
    return math.exp(-seconds / DECAY_SECONDS)
