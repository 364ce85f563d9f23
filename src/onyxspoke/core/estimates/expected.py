"""The expected duration of a task."""

from __future__ import annotations

from typing import NamedTuple


class DurationEstimate(NamedTuple):
    """Median and upper quantile of a task's duration, and the number of jobs behind them.

    With an evidence of 0, both durations are the caller's estimate.
    """

    median_seconds: float
    upper_seconds: float
    evidence: float = 0.0
