"""Seconds at which refused jobs come back: in each, no more than is served in it."""

from __future__ import annotations

import math
from typing import NamedTuple

#: Work that every second has room for, in share-seconds: all that a service does in it.
WORK_PER_SECOND = 1.0
#: What is not urgent is given so much of it, so that the urgent, and who is refused once more, find
#: some of each second.
NON_URGENT_WORK_PER_SECOND = 0.75
#: Nobody is told to come back later than this, in seconds.
LONGEST_WAIT_SECONDS = 120


class Slot(NamedTuple):
    """A second at which a job is awaited, and the work that is kept for it by second.

    ``wait`` is after how many whole seconds that was, when it was kept.
    """

    service: str
    wait: int
    second: int
    parts: tuple[tuple[int, float], ...]


class RetrySchedule:
    """Work for which each second ahead is kept, by service."""

    def __init__(self) -> None:
        self._kept: dict[str, dict[int, float]] = {}

    def reserve_slot(
        self,
        service: str,
        work: float,
        wait_seconds: float,
        most: float,
        now: float,
        last_seconds: float = LONGEST_WAIT_SECONDS,
    ) -> Slot | None:
        """Keep the first second with work left for a job; nothing if all up to the last are full.

        Parameters
        ----------
        work : float
            Of the job, in share-seconds.
        wait_seconds : float
            How long it waits at least.
        most : float
            Of each second, what may be kept in all once its part is, in share-seconds.
        last_seconds : float
            How long it waits at most.
        """
        kept = self._kept.setdefault(service, {})
        first = max(1, math.ceil(wait_seconds))
        last = int(min(last_seconds, LONGEST_WAIT_SECONDS))
        for wait in range(first, last + 1):
            second = int(now + wait)
            if kept.get(second, 0.0) < most:
                return Slot(service, wait, second, _take(kept, second, work, most))
        return None

    def give_back(self, slot: Slot) -> None:
        """Free what was kept."""
        kept = self._kept.get(slot.service, {})
        for second, work in slot.parts:
            left = kept.get(second, 0.0) - work
            if left > 0.0:
                kept[second] = left
            else:
                kept.pop(second, None)

    def reserved_work(self, service: str, now: float) -> float:
        """Return the work for which seconds ahead are kept, in share-seconds."""
        kept = self._kept.get(service, {})
        return sum(work for second, work in kept.items() if second > now)

    def reserved_work_in(self, service: str, second: int) -> float:
        """Return the work for which a second is kept, in share-seconds."""
        return self._kept.get(service, {}).get(second, 0.0)

    def forget_before(self, now: float) -> None:
        """Drop seconds that are over."""
        for kept in self._kept.values():
            for second in [second for second in kept if second < int(now)]:
                del kept[second]


def _take(
    kept: dict[int, float], second: int, work: float, most: float
) -> tuple[tuple[int, float], ...]:
    """Keep seconds from one on for so much work, as much of each as is left."""
    parts = []
    last = second + LONGEST_WAIT_SECONDS
    while work > 0.0 and second <= last:
        amount = min(work, most - kept.get(second, 0.0))
        if amount > 0.0:
            kept[second] = kept.get(second, 0.0) + amount
            parts.append((second, amount))
            work -= amount
        second += 1
    return tuple(parts)
