"""How long tasks take, by queue and tenant."""

from __future__ import annotations

from onyxspoke.core.estimates.expected import Expected

_MILLISECONDS = 1_000.0


class Durations:
    """Expects how long tasks take; nothing is learned yet."""

    def expected(
        self, queue: str, tenant: str, estimated_ms: float, worker_id: str = ""
    ) -> Expected:
        """Return how long a task takes on a worker; on one of usual speed where none is named."""
        seconds = estimated_ms / _MILLISECONDS
        return Expected(seconds, seconds)
