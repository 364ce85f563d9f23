"""The steady clocks of workers, as a shard's holder reads them."""

from __future__ import annotations

#: A worker's steady clock may run this much slower than ours.
SLOWEST_CLOCK_FACTOR = 1.02
_MILLISECONDS = 1_000.0


class WorkerClock:
    """A worker's steady clock, read from its answers and estimated in between."""

    __slots__ = ("_read_at", "_read_ms", "is_known")

    def __init__(self) -> None:
        self._read_ms = 0
        self._read_at = 0.0
        self.is_known = False

    @property
    def last_ms(self) -> int:
        """The latest reading."""
        return self._read_ms

    def read(self, clock_ms: int, now: float) -> None:
        """Take a reading; answers may pass each other, so only a later one counts."""
        if clock_ms >= self._read_ms:
            self._read_ms = clock_ms
            self._read_at = now
            self.is_known = True

    def estimate_ms(self, now: float) -> int:
        """Return what the clock shows now, or a little more."""
        return self._read_ms + int((now - self._read_at) * _MILLISECONDS)

    def moment_past(self, clock_ms: int) -> float:
        """Return the holder's second by which the clock has certainly passed a reading."""
        ahead = (clock_ms - self._read_ms) / _MILLISECONDS
        return self._read_at + ahead * SLOWEST_CLOCK_FACTOR
