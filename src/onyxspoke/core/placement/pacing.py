"""How fast tasks that fill unused processors may work beside tasks that serve users.

What fills disturbs what serves, by amounts that differ by image and change within seconds.
So each worker has one pace for all that fills on it, lowered at once when the tail of a
serving task comes near its target, and raised again in small steps.
"""

from __future__ import annotations

FULL_PERCENT = 100
#: Share of the target over which the pace is cut by half, and over which to nothing.
CAUTION_SHARE = 0.8
LIMIT_SHARE = 1.0
#: Share of the target under which the pace is raised.
CALM_SHARE = 0.6
RAISE_PERCENT = 10
#: A pace shows in the worker's figures after so long.
REACTION_SECONDS = 0.7
#: Pauses between raises.
RAISE_SECONDS = 0.8


class WorkerPace:
    """The pace of what fills on one worker."""

    __slots__ = ("_changed_at", "percent")

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._changed_at = 0.0

    def adapt(self, pressure: float, now: float) -> None:
        """Change the pace by the worst tail of a serving task, as a share of its target."""
        elapsed = now - self._changed_at
        if pressure > CAUTION_SHARE and self.percent > 0 and elapsed >= REACTION_SECONDS:
            self.percent = 0 if pressure > LIMIT_SHARE else self.percent // 2
            self._changed_at = now
        elif pressure < CALM_SHARE and self.percent < FULL_PERCENT and elapsed >= RAISE_SECONDS:
            self.percent = min(FULL_PERCENT, self.percent + RAISE_PERCENT)
            self._changed_at = now
