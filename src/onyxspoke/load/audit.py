"""Joins what callers were told with what workers did, and counts broken promises."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

import msgspec

from onyxspoke.core.codes import OutcomeKind
from onyxspoke.kit.journal import JournalEvent, JournalKind
from onyxspoke.load.records import SubmissionRecord


class AuditReport(msgspec.Struct, kw_only=True):
    """Counts of submissions by outcome, and of broken promises.

    ``lost``: no final answer, or an accepted job without an end.  ``doubled``: an
    unrepeatable request that ran twice, or any task that ran in two places at once.
    ``wrong``: an answer that is not the request's own, or "not run" for a request that
    had run by then.  ``over_capacity``: a worker was asked for more than it had free.
    """

    submitted: int = 0
    completed: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    wrong: int = 0
    over_capacity: int = 0
    examples: list[str] = []

    @property
    def holds(self) -> bool:
        """Whether no promise was broken."""
        return not (self.lost or self.doubled or self.wrong or self.over_capacity)

    def summary(self) -> str:
        """Return the counts as one line."""
        return (
            f"{self.submitted} submitted, {self.completed} completed, {self.not_run} not run, "
            f"{self.unknown} unknown, {self.lost} lost, {self.doubled} doubled, "
            f"{self.wrong} wrong, {self.over_capacity} over capacity"
        )


@dataclass(slots=True)
class TaskRun:
    """One run of a task on a worker; ``ended_at`` is infinite while it runs."""

    worker_id: str
    attempt_id: str
    started_at: float
    ended_at: float = field(default=float("inf"))


_MAXIMUM_EXAMPLES = 20


def audit(records: Iterable[SubmissionRecord], events: Iterable[JournalEvent]) -> AuditReport:
    """Return the counts for a run.

    Parameters
    ----------
    records : iterable of SubmissionRecord
        What callers submitted and were told.
    events : iterable of JournalEvent
        What workers did.
    """
    report = AuditReport(examples=[])
    runs = collect_runs(events, report)
    copies: dict[str, list[SubmissionRecord]] = defaultdict(list)
    for record in records:
        copies[record.nonce].append(record)
        _audit_submission(record, runs.get(record.nonce, []), report)
    for nonce, submissions in copies.items():
        _audit_runs(nonce, submissions[0], runs.get(nonce, []), report)
    return report


def add_counts(totals: AuditReport, report: AuditReport) -> None:
    """Add the counts of one report to a total."""
    for name in AuditReport.__struct_fields__:
        if name != "examples":
            setattr(totals, name, getattr(totals, name) + getattr(report, name))


def collect_runs(events: Iterable[JournalEvent], report: AuditReport) -> dict[str, list[TaskRun]]:
    """Return the runs of each nonce; counts refusals for lack of room in ``report``."""
    runs: dict[str, list[TaskRun]] = defaultdict(list)
    by_attempt: dict[str, TaskRun] = {}
    for event in events:
        if event.kind is JournalKind.STARTED:
            run = TaskRun(event.worker_id, event.attempt_id, event.at)
            runs[event.nonce].append(run)
            by_attempt[event.attempt_id] = run
        elif event.kind is JournalKind.ENDED:
            by_attempt[event.attempt_id].ended_at = event.at
        elif event.kind is JournalKind.OVER_CAPACITY:
            report.over_capacity += 1
            _note(report, f"over capacity: {event.worker_id} attempt {event.attempt_id}")
    return runs


def _audit_submission(record: SubmissionRecord, runs: list[TaskRun], report: AuditReport) -> None:
    report.submitted += 1
    if record.outcome == OutcomeKind.COMPLETED.value:
        report.completed += 1
        if not _is_own_answer(record) or not runs:
            report.wrong += 1
            _note(report, f"wrong answer: {record.nonce} at {record.entry}")
    elif record.outcome == OutcomeKind.NOT_RUN.value:
        report.not_run += 1
        if any(run.started_at < record.answered_at for run in runs):
            report.wrong += 1
            _note(report, f"not run but ran: {record.nonce} at {record.entry}")
    elif record.outcome == OutcomeKind.UNKNOWN.value:
        report.unknown += 1
    else:
        report.lost += 1
        _note(report, f"lost: {record.nonce} at {record.entry}")


def _audit_runs(
    nonce: str, submission: SubmissionRecord, runs: list[TaskRun], report: AuditReport
) -> None:
    too_many = not submission.repeatable and len(runs) > 1
    if too_many or _overlap(runs):
        report.doubled += 1
        places = ", ".join(run.worker_id for run in runs)
        _note(report, f"doubled: {nonce} on {places}")


def _is_own_answer(record: SubmissionRecord) -> bool:
    return record.digest == record.expected_digest and record.result_nonce == record.nonce


def _overlap(runs: list[TaskRun]) -> bool:
    ordered = sorted(runs, key=lambda run: run.started_at)
    return any(later.started_at < earlier.ended_at for earlier, later in pairwise(ordered))


def _note(report: AuditReport, text: str) -> None:
    if len(report.examples) < _MAXIMUM_EXAMPLES:
        report.examples.append(text)
