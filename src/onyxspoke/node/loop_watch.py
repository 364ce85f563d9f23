"""Watches how late the event loop turns to the node's ticks."""

from __future__ import annotations

from absl import logging

from onyxspoke.node.metrics import NodeMetrics

#: A tick that comes later than this, in seconds, is logged; peers and workers wait meanwhile.
LATE_SECONDS = 0.2
#: At most one line in so many seconds; it tells of the latest tick since the one before.
LOG_INTERVAL_SECONDS = 1.0


class LoopWatch:
    """Measures by how much each tick is later than it was due: the longest turn of the loop.

    Parameters
    ----------
    metrics : NodeMetrics
        Takes the delays.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._due_at: float | None = None
        self._longest_seconds = 0.0
        self._log_at = 0.0

    def expect_tick(self, due_at: float) -> None:
        """Take note of when the next tick is due."""
        self._due_at = due_at

    def note_tick(self, now: float) -> None:
        """A tick has come; one that nobody expected is not counted."""
        due_at, self._due_at = self._due_at, None
        if due_at is None:
            return
        delay = max(0.0, now - due_at)
        self._metrics.loop_delay_seconds.observe(delay)
        self._longest_seconds = max(self._longest_seconds, delay)
        if self._longest_seconds > LATE_SECONDS and now >= self._log_at:
            logging.warning("event=loop_late seconds=%.3f", self._longest_seconds)
            self._log_at = now + LOG_INTERVAL_SECONDS
            self._longest_seconds = 0.0
