"""The incarnations of workers that may run something for a shard, and those open to new runs."""

from __future__ import annotations

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.unresolved_starts import UnresolvedStarts
from onyxspoke.core.placement.workers import Worker, WorkerContact


class WorkerTable:
    """All incarnations of workers that may run something for this shard."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, Worker] = {}
        self.unresolved_starts = UnresolvedStarts()
        #: The workers on which runs may be started, by service, at the last availability check.
        self._offered: dict[str, list[Worker]] = {}
        #: Increases whenever a worker gains free capacity or becomes available.
        self.change_number = 0

    def note_capacity_gain(self, worker: Worker) -> None:
        """Record that a worker gained free capacity or became available."""
        self.change_number += 1
        worker.gained_at_change = self.change_number

    def note_availability(self, now: float) -> None:
        """Update which workers are available, and record those that became available."""
        self._offered.clear()
        for worker in self.workers.values():
            is_offered = worker.is_offered(now)
            if is_offered:
                self._offered.setdefault(worker.record.service, []).append(worker)
                if not worker.was_offered:
                    self.note_capacity_gain(worker)
            worker.was_offered = is_offered

    def changed_since(self, change_number: int) -> list[Worker]:
        """Return the workers that gained capacity, or became available, since a change number."""
        if change_number == self.change_number:
            return []
        return [
            worker for worker in self.workers.values() if worker.gained_at_change > change_number
        ]

    def offered(self, service: str) -> list[Worker]:
        """Return the available workers of a service, as of the last ``note_availability``."""
        return self._offered.get(service, [])

    def run_count(self) -> int:
        """Return how many runs hold capacity."""
        return sum(len(worker.runs) for worker in self.workers.values())

    def unreconciled(self) -> list[Worker]:
        """Return the workers that may still run something that a previous holder started."""
        return [
            worker
            for worker in self.workers.values()
            if worker.contact is WorkerContact.UNRECONCILED and worker.was_used_by_previous_holder
        ]
