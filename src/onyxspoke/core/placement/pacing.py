"""Throttle filler tasks, which use spare processors, where they run beside serving tasks.

Filler tasks slow down serving tasks by an amount that depends on the images of both and changes
within seconds.  Each worker therefore has one pace, in percent of full speed, for all its filler
tasks.  The pace is cut at once when the tail latency of a serving task approaches its target, and
is raised again in small steps.
"""

from __future__ import annotations

FULL_PERCENT = 100
#: The pace is halved when the tail latency exceeds the first share of its target, and set to zero
#: when it exceeds the second.
HALVE_ABOVE_SHARE = 0.8
PAUSE_ABOVE_SHARE = 1.0
#: The pace is raised when the tail latency is below this share of its target.
RAISE_BELOW_SHARE = 0.6
RAISE_STEP_PERCENT = 10
#: A change of the pace shows in the latencies that the worker reports after this many seconds, so
#: the pace is not cut again before then.
CUT_INTERVAL_SECONDS = 0.7
#: The shortest time between a change of the pace and a raise, in seconds.
RAISE_INTERVAL_SECONDS = 0.8


class WorkerPace:
    """The pace of the filler tasks on one worker, in percent of full speed."""

    __slots__ = ("_changed_at", "percent")

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._changed_at = 0.0

    def adapt(self, latency_ratio: float, now: float) -> None:
        """Adapt the pace to the highest ratio of a serving task's tail latency to its target."""
        elapsed = now - self._changed_at
        if (
            latency_ratio > HALVE_ABOVE_SHARE
            and self.percent > 0
            and elapsed >= CUT_INTERVAL_SECONDS
        ):
            self.percent = 0 if latency_ratio > PAUSE_ABOVE_SHARE else self.percent // 2
            self._changed_at = now
        elif (
            latency_ratio < RAISE_BELOW_SHARE
            and self.percent < FULL_PERCENT
            and elapsed >= RAISE_INTERVAL_SECONDS
        ):
            self.percent = min(FULL_PERCENT, self.percent + RAISE_STEP_PERCENT)
            self._changed_at = now
