"""Free capacity of workers during one placement pass, less what the pass has already used."""

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
    """Tracks the capacity that a pass uses on each worker, without changing the workers."""

    def __init__(self) -> None:
        self._taken: dict[str, ResourceVector] = {}
        self._claimed: dict[str, ResourceVector] = {}

    def has_taken_from(self, worker: Worker) -> bool:
        """Return whether the pass has used capacity of a worker."""
        return worker.worker_id in self._taken

    def take_all(self, worker: Worker) -> None:
        """Count all capacity of a worker as used, so that the pass places nothing more on it."""
        self._taken[worker.worker_id] = worker.record.capacity

    def fits(self, worker: Worker, needs: ResourceVector) -> bool:
        """Return whether a worker has free capacity for one more task."""
        taken = self._taken.get(worker.worker_id)
        if taken is None:
            return worker.fits(needs)
        return (
            taken.processors_milli + needs.processors_milli <= worker.free_processors
            and taken.memory_mb + needs.memory_mb <= worker.free_memory
            and taken.accelerators + needs.accelerators <= worker.free_accelerators
        )

    def free(self, worker: Worker) -> ResourceVector:
        """Return a worker's free capacity; negative if its runs hold more than the worker has."""
        taken = self._taken.get(worker.worker_id)
        if taken is None:
            return ResourceVector(
                worker.free_processors, worker.free_memory, worker.free_accelerators
            )
        free_before_pass = ResourceVector(
            worker.free_processors, worker.free_memory, worker.free_accelerators
        )
        return subtract_vectors(free_before_pass, taken)

    def slots(
        self, worker: Worker, needs: ResourceVector, additional: ResourceVector | None = None
    ) -> int:
        """Return how many more tasks fit on a worker, with ``additional`` capacity if given."""
        free = self.free(worker)
        if additional is not None:
            free = add_vectors(free, additional)
        return count_fitting_tasks(free, needs)

    def free_processors(self, worker: Worker) -> int:
        """Return a worker's free processors, in thousandths of a processor."""
        taken = self._taken.get(worker.worker_id)
        return worker.free_processors - (taken.processors_milli if taken else 0)

    def take(self, worker: Worker, needs: ResourceVector, count: int = 1) -> None:
        """Count the capacity for ``count`` tasks on a worker as used."""
        taken = self._taken.get(worker.worker_id, ResourceVector())
        self._taken[worker.worker_id] = add_vectors(taken, scale_vector(needs, count))

    def claim(self, worker: Worker, needs: ResourceVector) -> None:
        """Count capacity that a waiting task will use once it is free.

        Claims affect only the search for capacity; until then other tasks may use it.
        """
        claimed = self._claimed.get(worker.worker_id, ResourceVector())
        self._claimed[worker.worker_id] = add_vectors(claimed, needs)

    def free_beyond_claims(self, worker: Worker) -> ResourceVector:
        """Return a worker's free capacity less all claims; negative if more will be needed."""
        claimed = self._claimed.get(worker.worker_id)
        free = self.free(worker)
        return free if claimed is None else subtract_vectors(free, claimed)
