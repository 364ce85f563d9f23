"""Time to answer by class and tenant, as a table, as JSON and as a plot."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from onyxspoke.core.codes import OutcomeKind
from onyxspoke.histograms import make_histogram, percentile_ms, record_seconds
from onyxspoke.load.records import SubmissionRecord

PLOTTED_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100)


class LatencyRow(msgspec.Struct, frozen=True):
    """Time to answer of one group, in milliseconds."""

    group: str
    count: int
    completed: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """All rows of a run."""

    by_class: list[LatencyRow]
    by_tenant: list[LatencyRow]


def class_of(record: SubmissionRecord) -> str:
    """Return the group of a record by task class."""
    return f"{record.service}/{record.task_class}"


def tenant_of(record: SubmissionRecord) -> str:
    """Return the group of a record by tenant."""
    return record.tenant


def histograms_by(
    records: Iterable[SubmissionRecord], group_of: Callable[[SubmissionRecord], str]
) -> dict[str, HdrHistogram]:
    """Return a histogram of the time to answer for each group."""
    histograms: dict[str, HdrHistogram] = defaultdict(make_histogram)
    for record in records:
        if record.is_answered:
            record_seconds(histograms[group_of(record)], record.answered_at - record.submitted_at)
    return dict(sorted(histograms.items()))


def make_report(records: list[SubmissionRecord]) -> LoadReport:
    """Return the rows of a run."""
    return LoadReport(_rows(records, class_of), _rows(records, tenant_of))


def format_table(rows: list[LatencyRow]) -> str:
    """Return rows as a table for a terminal."""
    header = ("group", "count", "completed", "p50 ms", "p90 ms", "p99 ms", "max ms")
    lines = [f"{header[0]:<36}" + "".join(f"{name:>11}" for name in header[1:])]
    for row in rows:
        figures = (row.p50_ms, row.p90_ms, row.p99_ms, row.max_ms)
        lines.append(
            f"{row.group:<36}{row.count:>11}{row.completed:>11}"
            + "".join(f"{figure:>11.2f}" for figure in figures)
        )
    return "\n".join(lines)


def plot(records: list[SubmissionRecord], path: Path) -> None:
    """Write percentile curves by class as PNG; needs the ``plot`` extra."""
    import matplotlib  # noqa: PLC0415  (an optional extra)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for group, histogram in histograms_by(records, class_of).items():
        values = [percentile_ms(histogram, percentile) for percentile in PLOTTED_PERCENTILES]
        positions = range(len(PLOTTED_PERCENTILES))
        axes.plot(positions, values, marker="o", label=group)
    axes.set_xticks(range(len(PLOTTED_PERCENTILES)))
    axes.set_xticklabels([str(percentile) for percentile in PLOTTED_PERCENTILES])
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("time to answer, ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def _rows(
    records: list[SubmissionRecord], group_of: Callable[[SubmissionRecord], str]
) -> list[LatencyRow]:
    completed: dict[str, int] = defaultdict(int)
    for record in records:
        completed[group_of(record)] += record.outcome == OutcomeKind.COMPLETED.value
    return [
        LatencyRow(
            group=group,
            count=int(histogram.get_total_count()),
            completed=completed[group],
            p50_ms=percentile_ms(histogram, 50),
            p90_ms=percentile_ms(histogram, 90),
            p99_ms=percentile_ms(histogram, 99),
            max_ms=percentile_ms(histogram, 100),
        )
        for group, histogram in histograms_by(records, group_of).items()
    ]
