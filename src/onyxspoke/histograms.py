"""Histograms of durations, kept in microseconds."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MILLISECOND = 1_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds up to an hour."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, clamped to the histogram's range."""
    microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
    clamped = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
    histogram.record_value(clamped)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds; 0 for an empty histogram."""
    if histogram.get_total_count() == 0:
        return 0.0
    microseconds = histogram.get_value_at_percentile(percentile)
    return float(microseconds) / _MICROSECONDS_PER_MILLISECOND
