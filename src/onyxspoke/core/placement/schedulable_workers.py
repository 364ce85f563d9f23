"""The workers of one service to which runs may go, as one pass of placement sees them."""

from __future__ import annotations

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.workers import Worker


class SchedulableWorkers:
    """The workers of one service to which runs may go."""

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = {worker.worker_id: worker for worker in workers}
        self._most_processors = max((worker.free_processors for worker in workers), default=-1)
        self._most_memory = max((worker.free_memory for worker in workers), default=-1)
        #: Of all its workers together.
        self.processors_milli = sum(worker.record.capacity.processors_milli for worker in workers)

    def may_fit(self, needs: ResourceVector) -> bool:
        """Return whether some worker might have room; a quick look, before any plan."""
        return (
            needs.processors_milli <= self._most_processors and needs.memory_mb <= self._most_memory
        )


def has_label(worker: Worker, step: StepProgress) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    label = step.spec.required_label
    return not label or label in worker.record.labels
