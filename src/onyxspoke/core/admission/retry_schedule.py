"""Spreads the retries of refused jobs over future seconds, up to a limit of work in each second.

Reservations of later ranks don't delay the retry of a job: it goes first when it is admitted.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from onyxspoke.core.admission.arrivals import RankClass

#: Work that a service can do in one second, in share-seconds.
WORK_PER_SECOND = 1.0
#: Work of each second, in share-seconds, that may be reserved for jobs that are not urgent; the
#: rest is left for urgent jobs and for jobs that are refused again.
NON_URGENT_WORK_PER_SECOND = 0.75
#: Maximum retry time, in seconds.
MAX_WAIT_SECONDS = 120

#: The class that goes before all others.
FIRST_RANK_CLASS = RankClass(is_over_share=False, priority=0)


class RetrySlot(NamedTuple):
    """The second at which a job is to be retried, and the work reserved for it in each second.

    ``retry_seconds`` is the retry time in whole seconds, from when the slot was reserved.
    """

    service: str
    retry_seconds: int
    second: int
    reservations: tuple[tuple[int, float], ...]
    rank_class: RankClass = FIRST_RANK_CLASS


class RetrySchedule:
    """The work that is reserved in each future second for retries, by service."""

    def __init__(self) -> None:
        #: Share-seconds by service, second and rank class.
        self._reserved: dict[str, dict[int, dict[RankClass, float]]] = {}

    def reserve_slot(
        self,
        service: str,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        max_wait_seconds: float = MAX_WAIT_SECONDS,
        rank_class: RankClass = FIRST_RANK_CLASS,
    ) -> RetrySlot | None:
        """Reserve work from the first second that is not full; return None if all are full.

        A second is full once jobs of this rank class and earlier ones have reserved its work.

        Parameters
        ----------
        work : float
            Work of the job, in share-seconds.
        wait_seconds : float
            Minimum retry time.
        max_reserved_work : float
            Upper bound of the work reserved in each second by these classes, in share-seconds.
        max_wait_seconds : float
            Maximum retry time.
        """
        reserved = self._reserved.setdefault(service, {})
        first_wait = max(1, math.ceil(wait_seconds))
        last_wait = int(min(max_wait_seconds, MAX_WAIT_SECONDS))
        for retry_seconds in range(first_wait, last_wait + 1):
            second = int(now + retry_seconds)
            if _work_before(reserved, second, rank_class) < max_reserved_work:
                reservations = _reserve(reserved, second, work, max_reserved_work, rank_class)
                return RetrySlot(service, retry_seconds, second, reservations, rank_class)
        return None

    def release(self, slot: RetrySlot) -> None:
        """Release the work that is reserved for a slot."""
        reserved = self._reserved.get(slot.service, {})
        for second, work in slot.reservations:
            by_class = reserved.get(second, {})
            remaining_work = by_class.get(slot.rank_class, 0.0) - work
            if remaining_work > 0.0:
                by_class[slot.rank_class] = remaining_work
            else:
                by_class.pop(slot.rank_class, None)
                if not by_class:
                    reserved.pop(second, None)

    def reserved_work(self, service: str, now: float) -> float:
        """Return the work that is reserved in all future seconds, in share-seconds."""
        reserved = self._reserved.get(service, {})
        return sum(sum(by_class.values()) for second, by_class in reserved.items() if second > now)

    def reserved_work_in(self, service: str, second: int) -> float:
        """Return the work that is reserved in one second, in share-seconds."""
        return sum(self._reserved.get(service, {}).get(second, {}).values())

    def forget_before(self, now: float) -> None:
        """Drop seconds that have passed."""
        for reserved in self._reserved.values():
            for second in [second for second in reserved if second < int(now)]:
                del reserved[second]


def _work_before(
    reserved: dict[int, dict[RankClass, float]], second: int, rank_class: RankClass
) -> float:
    """Return the work reserved in a second by jobs of a rank class and of earlier ones."""
    by_class = reserved.get(second, {})
    return sum(work for other_class, work in by_class.items() if other_class <= rank_class)


def _reserve(
    reserved: dict[int, dict[RankClass, float]],
    second: int,
    work: float,
    max_reserved_work: float,
    rank_class: RankClass,
) -> tuple[tuple[int, float], ...]:
    """Reserve work from a second on, up to the limit of each; return the amount in each."""
    reservations = []
    last_second = second + MAX_WAIT_SECONDS
    while work > 0.0 and second <= last_second:
        amount = min(work, max_reserved_work - _work_before(reserved, second, rank_class))
        if amount > 0.0:
            by_class = reserved.setdefault(second, {})
            by_class[rank_class] = by_class.get(rank_class, 0.0) + amount
            reservations.append((second, amount))
            work -= amount
        second += 1
    return tuple(reservations)
