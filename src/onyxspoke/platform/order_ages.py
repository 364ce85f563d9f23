"""Tells of orders that leave long after they were decided."""

from __future__ import annotations

import math
from collections.abc import Callable

from absl import logging

#: An order that leaves so long after its decision, in seconds, is told of.
LATE_SECONDS = 0.25
#: Between two lines, in seconds; each tells how many orders were late since the last one.
PAUSE_SECONDS = 1.0


class OrderAges:
    """Logs the age of orders that leave late, at most one line a second.

    A late order is no fault by itself: the times in it are those of its decision.

    Parameters
    ----------
    read_clock : callable
        Returns the seconds on the clock by which orders are decided.
    """

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._late_count = 0
        self._logged_at = -math.inf

    def note_written(self, name: str, worker_id: str, decided_at: float) -> None:
        """Take note that an order leaves now."""
        now = self._read_clock()
        if not decided_at or now - decided_at <= LATE_SECONDS:
            return
        self._late_count += 1
        if now - self._logged_at < PAUSE_SECONDS:
            return
        logging.info(
            "event=order_late order=%s worker=%s age_ms=%d late=%d",
            name,
            worker_id,
            round((now - decided_at) * 1_000),
            self._late_count,
        )
        self._late_count = 0
        self._logged_at = now
