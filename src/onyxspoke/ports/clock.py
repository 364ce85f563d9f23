"""Port to the passage of time."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock; its zero is arbitrary and differs between processes."""

    def now(self) -> float:
        """Return the current time in seconds."""
