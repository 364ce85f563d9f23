"""Prints the tables of ``onyxspokectl account``."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from onyxspoke.account.jobs import JobReport, Outcome
from onyxspoke.account.phases import Phase
from onyxspoke.cli.tables import print_table

#: Length of the submission window that one row of the table by time covers.
WINDOW_SECONDS = 2.0
_MISSED_OUTCOMES = (Outcome.LATE, Outcome.FAILED, Outcome.REFUSED, Outcome.UNFINISHED)


def print_queues(reports: list[JobReport]) -> None:
    """Print the number of jobs by queue and outcome, and the time of late jobs by phase."""
    rows = []
    for queue in sorted({report.queue for report in reports}):
        group = [report for report in reports if report.queue == queue]
        rows.append(_summary_row({"queue": queue}, group))
    rows.append(_summary_row({"queue": "all"}, reports))
    columns = ["queue", "jobs", *(item.value for item in Outcome)]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


def print_tenants(reports: list[JobReport]) -> None:
    """Print outcomes and times by tenant, most late jobs first, if the logs name any tenant."""
    tenants = {report.tenant for report in reports if report.tenant}
    if not tenants:
        return
    rows = [
        _summary_row({"tenant": name}, [report for report in reports if report.tenant == name])
        for name in sorted(tenants)
    ]
    rows.sort(key=lambda row: -row[Outcome.LATE.value])
    print()
    columns = ["tenant", "jobs", *(item.value for item in Outcome)]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


def print_causes(reports: list[JobReport]) -> None:
    """Print late jobs by the phase that exceeded its expected time most, by queue and tenant."""
    late_reports = [report for report in reports if report.outcome is Outcome.LATE]
    if not late_reports:
        return
    print("\nlate jobs by the phase that exceeded its expected time most: jobs/excess seconds")
    _print_causes_by("queue", late_reports, _queue_label)
    if any(report.tenant for report in late_reports):
        print()
        _print_causes_by("tenant", late_reports, lambda report: report.tenant or "?")


def _print_causes_by(
    column: str, late_reports: list[JobReport], group_key: Callable[[JobReport], str]
) -> None:
    groups: dict[str, list[JobReport]] = defaultdict(list)
    for report in late_reports:
        groups[group_key(report)].append(report)
    rows = []
    for name, group in sorted(groups.items(), key=lambda item: -len(item[1])):
        seconds_over = sum(report.seconds_over_objective for report in group)
        row = {column: name, "late": len(group), "over_s": seconds_over}
        rows.append({**row, **_cause_cells(group)})
    causes = [phase.value for phase in Phase if any(phase.value in row for row in rows)]
    print_table([column, "late", "over_s", *causes], rows)


def _cause_cells(late_reports: list[JobReport]) -> dict[str, str]:
    job_counts: Counter[Phase] = Counter()
    excess_seconds: dict[Phase, float] = defaultdict(float)
    for report in late_reports:
        cause = report.largest_excess_phase
        if cause is not None:
            job_counts[cause] += 1
            excess_seconds[cause] += report.excess_seconds[cause]
    return {cause.value: f"{job_counts[cause]}/{excess_seconds[cause]:.1f}" for cause in job_counts}


def _queue_label(report: JobReport) -> str:
    return f"{report.queue}{' (beyond share)' if report.is_over_share else ''}"


def print_resource_use(reports: list[JobReport]) -> None:
    """Print the resource use of jobs, by queue and by whether their tenant is over its share."""
    groups: dict[str, list[JobReport]] = defaultdict(list)
    for report in reports:
        groups[_queue_label(report)].append(report)
    rows = [
        {
            "queue": name,
            "jobs": len(group),
            "done": sum(
                report.outcome in (Outcome.MET_OBJECTIVE, Outcome.LATE) for report in group
            ),
            "starts": sum(report.starts for report in group),
            "advice_answers": sum(report.advice_answers for report in group),
            "run_s": sum(report.run_seconds for report in group),
            "refusals": sum(report.refusals for report in group),
            "refused_twice": sum(report.refusals > 1 for report in group),
        }
        for name, group in sorted(groups.items())
    ]
    print("\nresource use by queue")
    print_table(list(rows[0]), rows)


def _summary_row(leading_cells: dict[str, Any], reports: list[JobReport]) -> dict[str, Any]:
    """Return the number of jobs by outcome, and the time of the late jobs by phase."""
    outcomes = Counter(report.outcome for report in reports)
    row = {**leading_cells, "jobs": len(reports)}
    row.update({outcome.value: outcomes[outcome] for outcome in Outcome})
    late_reports = [report for report in reports if report.outcome is Outcome.LATE]
    for phase in Phase:
        row[f"{phase.value}_s"] = sum(
            report.seconds_by_phase.get(phase, 0.0) for report in late_reports
        )
    return row


def print_time_windows(reports: list[JobReport]) -> None:
    """Print by submission time how many jobs missed their objective, and the phases at fault."""
    print("\njobs that missed their objective, by the second of their submission")
    first_submitted_at = min(report.submitted_at for report in reports)
    windows: dict[int, list[JobReport]] = defaultdict(list)
    for report in reports:
        windows[int((report.submitted_at - first_submitted_at) / WINDOW_SECONDS)].append(report)
    rows = []
    for window_number, group in sorted(windows.items()):
        if any(report.outcome in _MISSED_OUTCOMES for report in group):
            phase_counts = Counter(
                report.largest_excess_phase.value
                for report in group
                if report.outcome is Outcome.LATE and report.largest_excess_phase is not None
            )
            row = _summary_row({"second": f"{window_number * WINDOW_SECONDS:.0f}"}, group)
            rows.append({**row, "late by": dict(phase_counts.most_common())})
    columns = ["second", "jobs", "late", "failed", "refused", "open", "cut_off", "late by"]
    print_table(columns, rows)


def print_worst(reports: list[JobReport], count: int) -> None:
    """Print the jobs that exceeded their objective most."""
    print("\njobs that exceeded their objective most")
    first_submitted_at = min(report.submitted_at for report in reports)
    late_reports = [report for report in reports if report.outcome is Outcome.LATE]
    late_reports.sort(key=lambda report: report.objective_seconds - report.seconds)
    rows = [
        {
            "job": report.job_id,
            "queue": report.queue,
            "second": report.submitted_at - first_submitted_at,
            "took_s": report.seconds,
            "objective_s": report.objective_seconds,
            "late_by": report.largest_excess_phase.value
            if report.largest_excess_phase is not None
            else None,
            **{f"{phase.value}_s": report.seconds_by_phase.get(phase, 0.0) for phase in Phase},
        }
        for report in late_reports[:count]
    ]
    columns = ["job", "queue", "second", "took_s", "objective_s", "late_by"]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)
