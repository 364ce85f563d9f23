"""Histograms for each tenant and class, and metrics to statsd."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from onyxspoke.core.codes import ResultCode
from onyxspoke.histograms import make_histogram, percentile_ms, record_seconds
from onyxspoke.settings_file import StatsdSettings


class HistogramSummary(msgspec.Struct, frozen=True):
    """Figures of one histogram, in milliseconds."""

    tenant: str
    task_class: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    codes: dict[str, int]


class MetricsSink(Protocol):
    """Where metrics go."""

    def incr(self, name: str, count: int) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullMetricsSink:
    """Drops all metrics."""

    def incr(self, name: str, count: int) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


def make_metrics_sink(settings: StatsdSettings | None, entry_name: str) -> MetricsSink:
    """Return the sink that the settings ask for."""
    if settings is None:
        return NullMetricsSink()
    prefix = f"{settings.prefix}.{entry_name}"
    client: MetricsSink = StatsClient(str(settings.host), settings.port, prefix=prefix)
    return client


class Telemetry:
    """Time to answer by tenant and class, and counts by code."""

    def __init__(self, sink: MetricsSink) -> None:
        self._sink = sink
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._codes: dict[tuple[str, str], Counter[ResultCode]] = {}
        self._unsent: Counter[ResultCode] = Counter()

    def record_answer(self, tenant: str, task_class: str, code: ResultCode, seconds: float) -> None:
        """Record one answer to a caller."""
        key = (tenant, task_class)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = make_histogram()
            self._codes[key] = Counter()
        record_seconds(histogram, seconds)
        self._codes[key][code] += 1
        self._unsent[code] += 1

    def summaries(self) -> list[HistogramSummary]:
        """Return the figures of every histogram."""
        return [
            HistogramSummary(
                tenant=tenant,
                task_class=task_class,
                count=int(histogram.get_total_count()),
                p50_ms=percentile_ms(histogram, 50),
                p99_ms=percentile_ms(histogram, 99),
                max_ms=percentile_ms(histogram, 100),
                codes={code.name: n for code, n in self._codes[(tenant, task_class)].items()},
            )
            for (tenant, task_class), histogram in sorted(self._histograms.items())
        ]

    def flush(self, gauges: dict[str, float]) -> None:
        """Send counters since the last flush, and gauges, to statsd."""
        for code, count in self._unsent.items():
            self._sink.incr(f"answers.{code.name.lower()}", count)
        self._unsent.clear()
        for name, value in gauges.items():
            self._sink.gauge(name, value)
