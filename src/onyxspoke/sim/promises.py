"""Checks of a simulated run: what must always hold, and what must hold in the end."""

from __future__ import annotations

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.schema import EntryId, Offset, WorkerId
from onyxspoke.kit.journal import JournalKind
from onyxspoke.load.audit import AuditReport, audit
from onyxspoke.load.records import SubmissionRecord
from onyxspoke.sim.cell import SimulatedCell
from onyxspoke.sim.operators import RacingOperators

CHECK_INTERVAL_SECONDS = 0.25


class PromiseChecker:
    """Watches a cell while it runs and judges it afterwards.

    Workers check their capacity at every command; this checks the rest: settings never go
    back while the run lasts, and the audit of answers against journals when it ends.
    """

    def __init__(self, cell: SimulatedCell, operators: RacingOperators) -> None:
        self._cell = cell
        self._operators = operators
        self._revisions: dict[EntryId, Offset] = {}
        self.checks = 0
        self.violations: list[str] = []

    def watch(self) -> None:
        """Check now and again and again."""
        self._check_revisions()
        self._cell.time.schedule(CHECK_INTERVAL_SECONDS, self.watch)

    def judge(self, records: list[SubmissionRecord]) -> AuditReport:
        """Check what must hold in the end, when all faults are mended."""
        report = audit(records, self._cell.journal.events)
        self.checks += len(records) + len(self._cell.journal.events)
        if not report.holds:
            self.violations.extend(report.examples)
        self._check_settings()
        self._check_ownership()
        return report

    def _check_revisions(self) -> None:
        for entry in self._cell.entries.values():
            revision = entry.shell.scheduler.context.settings.revision
            before = self._revisions.get(entry.node.name, 0)
            self.checks += 1
            if revision < before:
                self.violations.append(f"settings went back at {entry.node.name}")
            self._revisions[entry.node.name] = revision

    def _check_settings(self) -> None:
        """Every entry holds the same tree, and each accepted change is in its history."""
        trees = {
            entry.node.name: entry.shell.scheduler.context.settings
            for entry in self._cell.up_entries()
        }
        contents = {name: tree.items() for name, tree in trees.items()}
        if len({repr(items) for items in contents.values()}) > 1:
            self.violations.append(f"entries differ in settings: {sorted(contents)}")
        for change_id, code in self._operators.refusals.items():
            # "Not run" is said only of a change that no one will ever fold.
            for name, tree in trees.items():
                self.checks += 1
                if code is ResultCode.LOG_UNAVAILABLE and tree.verdict(change_id) is not None:
                    self.violations.append(f"{change_id}: refused but folded at {name}")
        for change_id, verdict in self._operators.verdicts.items():
            for name, tree in trees.items():
                self.checks += 1
                if tree.verdict(change_id) != verdict:
                    self.violations.append(f"{change_id}: told otherwise at {name}")

    def _check_ownership(self) -> None:
        """Every live worker has one owner, who has attached it."""
        owners: dict[WorkerId, list[EntryId]] = {}
        for entry in self._cell.up_entries():
            for worker in entry.shell.scheduler.context.workers.usable():
                owners.setdefault(worker.worker_id, []).append(entry.node.name)
        for worker_id, simulated in self._cell.workers.items():
            found = owners.get(worker_id, [])
            self.checks += 1
            if simulated.node.alive and len(found) != 1:
                self.violations.append(f"{worker_id} is owned by {found or 'nobody'} in the end")


def find_late_starts(cell: SimulatedCell, worker_id: WorkerId, after: float) -> int:
    """Return how many tasks a worker was given after a moment."""
    return sum(
        event.kind is JournalKind.STARTED and event.worker_id == worker_id and event.at > after
        for event in cell.journal.events
    )
