"""The monotonic clocks of workers, as the holder of a shard estimates them."""

from __future__ import annotations

#: The holder's clock may run faster than a worker's monotonic clock by up to this factor.
SLOWEST_CLOCK_FACTOR = 1.02
_MILLISECONDS = 1_000.0


class WorkerClock:
    """A worker's monotonic clock, read from its answers and estimated between them."""

    __slots__ = ("_read_at", "_read_ms", "is_known")

    def __init__(self) -> None:
        self._read_ms = 0
        self._read_at = 0.0
        self.is_known = False

    @property
    def last_ms(self) -> int:
        """The latest reading, in milliseconds."""
        return self._read_ms

    def read(self, clock_ms: int, now: float) -> None:
        """Record a reading.  Answers may arrive out of order, so an earlier reading is ignored."""
        if clock_ms >= self._read_ms:
            self._read_ms = clock_ms
            self._read_at = now
            self.is_known = True

    def estimate_ms(self, now: float) -> int:
        """Return a reading that the clock has certainly reached by this moment.

        A lease that is counted from it ends in time, however late its order arrives.
        """
        elapsed_seconds = (now - self._read_at) / SLOWEST_CLOCK_FACTOR
        return self._read_ms + int(elapsed_seconds * _MILLISECONDS)

    def passes_at(self, clock_ms: int) -> float:
        """Return the holder's time by which the worker's clock has certainly passed a reading."""
        ahead_seconds = (clock_ms - self._read_ms) / _MILLISECONDS
        return self._read_at + ahead_seconds * SLOWEST_CLOCK_FACTOR
