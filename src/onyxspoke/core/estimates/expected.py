"""How long a task is expected to take."""

from __future__ import annotations

from typing import NamedTuple


class DurationEstimate(NamedTuple):
    """Seconds that a task takes: the median, an upper quantile, and how many runs told them.

    Without evidence both are the caller's estimate.
    """

    median_seconds: float
    upper_seconds: float
    evidence: float = 0.0
