"""``onyxspokectl account``: reports from the logs of all nodes how jobs spent their time."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from onyxspoke.account.job_history import LogHistory, read_history
from onyxspoke.account.jobs import JobReport, Outcome, build_job_reports
from onyxspoke.account.phases import Phase
from onyxspoke.cli.account_tables import (
    WINDOW_SECONDS,
    print_causes,
    print_queues,
    print_resource_use,
    print_tenants,
    print_time_windows,
    print_worst,
)
from onyxspoke.cli.api_client import ApiClient
from onyxspoke.core.codes import ExitCode

#: Number of log lines after which a line of progress is printed to standard error.
PROGRESS_LINES = 200_000
WORST_JOBS = 15


def add_account_command(commands: Any) -> None:
    """Add the ``account`` command to a parser."""
    parser = commands.add_parser("account", help="report from node logs how jobs spent time")
    parser.add_argument("files", nargs="+", type=Path, metavar="LOG")
    parser.add_argument(
        "--worst", type=int, default=WORST_JOBS, help="number of jobs to list individually"
    )
    parser.add_argument(
        "--plot",
        type=Path,
        metavar="FILE.png",
        help="write a plot to this file (requires the plot extra)",
    )
    parser.set_defaults(run=_account)


def _account(_client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    try:
        history = read_history(_read_lines(arguments.files))
    except OSError as error:
        print(f"account: {error}", file=sys.stderr)
        return ExitCode.USAGE
    reports = build_job_reports(history)
    _warn_of_missing_lines(history)
    if not reports:
        print("account: no job in these logs", file=sys.stderr)
        return ExitCode.FAILED
    print_queues(reports)
    print_tenants(reports)
    print_causes(reports)
    print_resource_use(reports)
    print_time_windows(reports)
    print_worst(reports, arguments.worst)
    if arguments.plot is not None:
        plot_reports(reports, arguments.plot)
    return ExitCode.OK


def _warn_of_missing_lines(history: LogHistory) -> None:
    if history.unreadable_lines:
        print(
            f"account: {history.unreadable_lines} lines are truncated or malformed", file=sys.stderr
        )
    if history.dropped_lines:
        print(
            f"account: {history.dropped_lines} lines were dropped by the nodes that logged them",
            file=sys.stderr,
        )


def _read_lines(files: Iterable[Path]) -> Iterator[str]:
    count = 0
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                count += 1
                if count % PROGRESS_LINES == 0:
                    print(f"account: {count} lines read", file=sys.stderr)
                yield line


def plot_reports(reports: list[JobReport], path: Path) -> None:
    """Plot the jobs by outcome over time, and the time of late jobs by phase, to a PNG file."""
    import matplotlib  # noqa: PLC0415  (an optional extra)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    first_submitted_at = min(report.submitted_at for report in reports)
    figure, (outcome_axes, phase_axes) = pyplot.subplots(2, 1, figsize=(11, 7))
    submission_times_by_outcome = [
        [
            report.submitted_at - first_submitted_at
            for report in reports
            if report.outcome is outcome
        ]
        for outcome in Outcome
    ]
    span_seconds = max(report.submitted_at for report in reports) - first_submitted_at
    outcome_axes.hist(
        submission_times_by_outcome,
        bins=max(1, int(span_seconds / WINDOW_SECONDS) + 1),
        stacked=True,
    )
    outcome_axes.legend([outcome.value for outcome in Outcome])
    outcome_axes.set_xlabel("submission time, s")
    outcome_axes.set_ylabel("jobs")
    late_reports = [report for report in reports if report.outcome is Outcome.LATE]
    phase_seconds = [
        sum(report.seconds_by_phase.get(phase, 0.0) for report in late_reports) for phase in Phase
    ]
    phase_axes.bar([phase.value for phase in Phase], phase_seconds)
    phase_axes.set_ylabel("seconds of late jobs")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
