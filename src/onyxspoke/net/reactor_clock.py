"""The clock of the operating system."""

from __future__ import annotations

import time


class MonotonicClock:
    """Adapter of :class:`onyxspoke.ports.clock.Clock` to the system's monotonic clock."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.monotonic()
