"""All lives of workers that may run something for a shard, and those to which runs may go."""

from __future__ import annotations

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.unresolved_starts import UnresolvedStarts
from onyxspoke.core.placement.workers import Worker, WorkerContact


class WorkerTable:
    """All lives of workers that may run something for this shard."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, Worker] = {}
        self.unresolved_starts = UnresolvedStarts()
        #: Those to which runs may go, by service, as they were last looked at.
        self._offered: dict[str, list[Worker]] = {}
        #: Rises whenever some worker gains room or comes into use.
        self.change_number = 0

    def note_capacity_gain(self, worker: Worker) -> None:
        """A worker has gained room, or come into use."""
        self.change_number += 1
        worker.gained_at = self.change_number

    def note_availability(self, now: float) -> None:
        """Take note of the workers that are in use, and of those that have come into use."""
        self._offered.clear()
        for worker in self.workers.values():
            is_offered = worker.is_offered(now)
            if is_offered:
                self._offered.setdefault(worker.record.service, []).append(worker)
                if not worker.was_offered:
                    self.note_capacity_gain(worker)
            worker.was_offered = is_offered

    def changed_since(self, number: int) -> list[Worker]:
        """Return the workers that have gained room, or come into use, since a change."""
        if number == self.change_number:
            return []
        return [worker for worker in self.workers.values() if worker.gained_at > number]

    def offered(self, service: str) -> list[Worker]:
        """Return the workers of a service to which runs may go; see ``note_availability``."""
        return self._offered.get(service, [])

    def run_count(self) -> int:
        """Return how many runs hold room."""
        return sum(len(worker.runs) for worker in self.workers.values())

    def unreconciled(self) -> list[Worker]:
        """Return workers that may run what a former holder started there."""
        return [
            worker
            for worker in self.workers.values()
            if worker.contact is WorkerContact.UNRECONCILED and worker.was_used_by_previous_holder
        ]
