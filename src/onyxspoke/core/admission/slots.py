"""Seconds at which refused jobs come back: in each, no more than is served in it."""

from __future__ import annotations

import math
from typing import NamedTuple

#: Work that every second has room for, in share-seconds: all that a service does in it.
WHOLE_SECOND = 1.0
#: What is not urgent is given so much of it, so that the urgent, and who is refused once more, find
#: some of each second.
PATIENT_SHARE = 0.75
#: Nobody is told to come back later than this, in seconds.
MAX_WAIT_SECONDS = 120


class RetrySlot(NamedTuple):
    """A second at which a job is awaited, and the work that is kept for it by second.

    ``retry_seconds`` is after how many whole seconds that was, when it was kept.
    """

    service: str
    retry_seconds: int
    second: int
    reservations: tuple[tuple[int, float], ...]


class ServedSeconds:
    """Work for which each second ahead is kept, by service."""

    def __init__(self) -> None:
        self._reserved: dict[str, dict[int, float]] = {}

    def keep_slot(
        self,
        service: str,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        max_wait_seconds: float = MAX_WAIT_SECONDS,
    ) -> RetrySlot | None:
        """Keep the first second with work left for a job; nothing if all up to the last are full.

        Parameters
        ----------
        work : float
            Of the job, in share-seconds.
        wait_seconds : float
            How long it waits at least.
        most : float
            Of each second, what may be kept in all once its part is, in share-seconds.
        max_wait_seconds : float
            How long it waits at most.
        """
        reserved = self._reserved.setdefault(service, {})
        first_wait = max(1, math.ceil(wait_seconds))
        last_wait = int(min(max_wait_seconds, MAX_WAIT_SECONDS))
        for retry_seconds in range(first_wait, last_wait + 1):
            second = int(now + retry_seconds)
            if reserved.get(second, 0.0) < max_reserved_work:
                return RetrySlot(
                    service,
                    retry_seconds,
                    second,
                    _reserve(reserved, second, work, max_reserved_work),
                )
        return None

    def release(self, slot: RetrySlot) -> None:
        """Free what was kept."""
        reserved = self._reserved.get(slot.service, {})
        for second, work in slot.reservations:
            remaining_work = reserved.get(second, 0.0) - work
            if remaining_work > 0.0:
                reserved[second] = remaining_work
            else:
                reserved.pop(second, None)

    def kept_work(self, service: str, now: float) -> float:
        """Return the work for which seconds ahead are kept, in share-seconds."""
        reserved = self._reserved.get(service, {})
        return sum(work for second, work in reserved.items() if second > now)

    def kept_in(self, service: str, second: int) -> float:
        """Return the work for which a second is kept, in share-seconds."""
        return self._reserved.get(service, {}).get(second, 0.0)

    def forget_before(self, now: float) -> None:
        """Drop seconds that are over."""
        for reserved in self._reserved.values():
            for second in [second for second in reserved if second < int(now)]:
                del reserved[second]


def _reserve(
    reserved: dict[int, float], second: int, work: float, max_reserved_work: float
) -> tuple[tuple[int, float], ...]:
    """Keep seconds from one on for so much work, as much of each as is left."""
    reservations = []
    last_second = second + MAX_WAIT_SECONDS
    while work > 0.0 and second <= last_second:
        amount = min(work, max_reserved_work - reserved.get(second, 0.0))
        if amount > 0.0:
            reserved[second] = reserved.get(second, 0.0) + amount
            reservations.append((second, amount))
            work -= amount
        second += 1
    return tuple(reservations)
