"""Spreads the retries of refused jobs over future seconds, up to a limit of work in each second."""

from __future__ import annotations

import math
from typing import NamedTuple

#: Work that a service can do in one second, in share-seconds.
WORK_PER_SECOND = 1.0
#: Work of each second, in share-seconds, that may be reserved for jobs that are not urgent; the
#: rest is left for urgent jobs and for jobs that are refused again.
NON_URGENT_WORK_PER_SECOND = 0.75
#: Maximum retry time, in seconds.
MAX_WAIT_SECONDS = 120


class RetrySlot(NamedTuple):
    """The second at which a job is to be retried, and the work reserved for it in each second.

    ``retry_seconds`` is the retry time in whole seconds, from when the slot was reserved.
    """

    service: str
    retry_seconds: int
    second: int
    reservations: tuple[tuple[int, float], ...]


class RetrySchedule:
    """The work that is reserved in each future second for retries, by service."""

    def __init__(self) -> None:
        self._reserved: dict[str, dict[int, float]] = {}

    def reserve_slot(
        self,
        service: str,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        max_wait_seconds: float = MAX_WAIT_SECONDS,
    ) -> RetrySlot | None:
        """Reserve work from the first second that is not full; return None if all are full.

        Parameters
        ----------
        work : float
            Work of the job, in share-seconds.
        wait_seconds : float
            Minimum retry time.
        max_reserved_work : float
            Upper bound of the work reserved in each second, in share-seconds.
        max_wait_seconds : float
            Maximum retry time.
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
        """Release the work that is reserved for a slot."""
        reserved = self._reserved.get(slot.service, {})
        for second, work in slot.reservations:
            remaining_work = reserved.get(second, 0.0) - work
            if remaining_work > 0.0:
                reserved[second] = remaining_work
            else:
                reserved.pop(second, None)

    def reserved_work(self, service: str, now: float) -> float:
        """Return the work that is reserved in all future seconds, in share-seconds."""
        reserved = self._reserved.get(service, {})
        return sum(work for second, work in reserved.items() if second > now)

    def reserved_work_in(self, service: str, second: int) -> float:
        """Return the work that is reserved in one second, in share-seconds."""
        return self._reserved.get(service, {}).get(second, 0.0)

    def forget_before(self, now: float) -> None:
        """Drop seconds that have passed."""
        for reserved in self._reserved.values():
            for second in [second for second in reserved if second < int(now)]:
                del reserved[second]


def _reserve(
    reserved: dict[int, float], second: int, work: float, max_reserved_work: float
) -> tuple[tuple[int, float], ...]:
    """Reserve work from a second on, up to the limit of each; return the amount in each."""
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
