"""The schedulable workers of one service, as seen by one placement pass."""

from __future__ import annotations

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.workers import Worker


class SchedulableWorkers:
    """The workers of one service that accept new runs."""

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = {worker.worker_id: worker for worker in workers}
        self._max_free_processors = max((worker.free_processors for worker in workers), default=-1)
        self._max_free_memory = max((worker.free_memory for worker in workers), default=-1)
        #: Total processors of these workers, in thousandths.
        self.processors_milli = sum(worker.record.capacity.processors_milli for worker in workers)

    def may_fit(self, needs: ResourceVector) -> bool:
        """Return whether a worker may have enough free capacity for one task.

        This check is cheap and not exact: processors and memory may be free on different workers.
        """
        return (
            needs.processors_milli <= self._max_free_processors
            and needs.memory_mb <= self._max_free_memory
        )


def has_label(worker: Worker, step: StepProgress) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    label = step.spec.required_label
    return not label or label in worker.record.labels
