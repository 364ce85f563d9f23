"""The workers that an entry owns, and the index of their free capacity."""

from __future__ import annotations

from onyxspoke.core.capacity_index import CapacityIndex
from onyxspoke.core.owned_worker import OwnedWorker
from onyxspoke.core.schema import (
    NO_RESOURCES,
    AttemptId,
    Epoch,
    MachineRecord,
    Resources,
    RunningTask,
    TaskClass,
    WorkerId,
)


class WorkerTable:
    """The workers that this entry owns."""

    worker_type = OwnedWorker

    def __init__(self) -> None:
        self.workers: dict[WorkerId, OwnedWorker] = {}
        self._index = CapacityIndex()

    def add(self, machine: MachineRecord, epoch: Epoch) -> OwnedWorker:
        """Add a worker that this entry owns under a new epoch."""
        worker = self.worker_type(machine, epoch)
        self.workers[machine.worker_id] = worker
        return worker

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker that this entry no longer owns."""
        self.workers.pop(worker_id, None)
        self._index.remove(worker_id)

    def refresh(self, worker: OwnedWorker) -> None:
        """Update the index after a change of a worker's state, capacity or machine."""
        self._index.update(worker)

    def reserve(self, worker: OwnedWorker, task: RunningTask) -> None:
        """Reserve the resources of a task on a worker."""
        worker.reserve(task)
        self._index.update(worker)

    def release(self, worker_id: WorkerId, attempt_id: AttemptId) -> None:
        """Release the resources of an attempt, if the worker and the attempt are known."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.release(attempt_id):
            self._index.update(worker)

    def choose(self, task_class: TaskClass) -> OwnedWorker | None:
        """Return the best worker for a task, or ``None`` if no worker has enough free capacity."""
        return self._index.choose(task_class)

    def usable(self) -> list[OwnedWorker]:
        """Return the workers that accept work."""
        return [worker for worker in self.workers.values() if worker.accepts_work]

    def free_total(self) -> Resources:
        """Return the sum of free capacity over the workers that accept work."""
        total = NO_RESOURCES
        for worker in self.usable():
            total = total.plus(worker.free)
        return total
