"""Room as one pass of placement sees it: what workers have free, less what the pass has taken."""

from __future__ import annotations

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import (
    add_vectors,
    count_fitting_tasks,
    scale_vector,
    subtract_vectors,
)
from onyxspoke.core.placement.workers import Worker


class ScratchCapacity:
    """Room that a pass has taken so far, by worker; nothing of the workers is changed."""

    def __init__(self) -> None:
        self._taken: dict[str, ResourceVector] = {}

    def has_taken_from(self, worker: Worker) -> bool:
        """Return whether the pass has taken room of a worker."""
        return worker.worker_id in self._taken

    def take_all(self, worker: Worker) -> None:
        """Take whatever a worker has left, so that nothing more of the pass goes there."""
        self._taken[worker.worker_id] = worker.record.capacity

    def fits(self, worker: Worker, needs: ResourceVector) -> bool:
        """Return whether a worker has room left for one more task."""
        taken = self._taken.get(worker.worker_id)
        if taken is None:
            return worker.fits(needs)
        return (
            taken.processors_milli + needs.processors_milli <= worker.free_processors
            and taken.memory_mb + needs.memory_mb <= worker.free_memory
            and taken.accelerators + needs.accelerators <= worker.free_accelerators
        )

    def free(self, worker: Worker) -> ResourceVector:
        """Return what a worker has left; below zero where more is held than there is."""
        taken = self._taken.get(worker.worker_id)
        if taken is None:
            return ResourceVector(
                worker.free_processors, worker.free_memory, worker.free_accelerators
            )
        have = ResourceVector(worker.free_processors, worker.free_memory, worker.free_accelerators)
        return subtract_vectors(have, taken)

    def slots(
        self, worker: Worker, needs: ResourceVector, more: ResourceVector | None = None
    ) -> int:
        """Return for how many more tasks a worker has room left, with ``more`` room than now."""
        free = self.free(worker)
        if more is not None:
            free = add_vectors(free, more)
        return count_fitting_tasks(free, needs)

    def free_processors(self, worker: Worker) -> int:
        """Return a worker's processors that are left, in thousandths."""
        taken = self._taken.get(worker.worker_id)
        return worker.free_processors - (taken.processors_milli if taken else 0)

    def take(self, worker: Worker, needs: ResourceVector, count: int = 1) -> None:
        """Take room for so many tasks."""
        taken = self._taken.get(worker.worker_id, ResourceVector())
        self._taken[worker.worker_id] = add_vectors(taken, scale_vector(needs, count))
