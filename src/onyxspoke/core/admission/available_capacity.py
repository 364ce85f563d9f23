"""Capacity on workers in which new tasks could start now, also by preemption."""

from __future__ import annotations

from typing import NamedTuple

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.resource_vectors import add_vectors
from onyxspoke.core.placement.queue_order import StepRank


class PreemptibleCapacity(NamedTuple):
    """Capacity held by a run that placement may preempt for a more urgent queue."""

    priority: int
    resources: ResourceVector


class WorkerCapacity(NamedTuple):
    """The free capacity of one worker, and what preemption can free there."""

    free: ResourceVector
    labels: tuple[str, ...]
    preemptible: tuple[PreemptibleCapacity, ...] = ()


class AvailableCapacity:
    """The capacity of one service's workers that is available to jobs of each rank.

    Parameters
    ----------
    workers : list of WorkerCapacity
        The workers on which runs may be started.
    """

    def __init__(self, workers: list[WorkerCapacity]) -> None:
        self._workers = workers
        #: Workers by the lowest priority number that may be preempted; ``None``: no preemption.
        self._by_priority: dict[int | None, list[WorkerCapacity]] = {}

    def workers_for(self, rank: StepRank) -> list[WorkerCapacity]:
        """Return the capacity available to a job, in descending order of processors.

        Placement preempts only for jobs within their tenant's share.
        """
        priority = None if rank.is_over_share else rank.priority
        workers = self._by_priority.get(priority)
        if workers is None:
            workers = [_with_preemption(worker, priority) for worker in self._workers]
            workers.sort(key=lambda worker: -worker.free.processors_milli)
            self._by_priority[priority] = workers
        return workers


def _with_preemption(worker: WorkerCapacity, priority: int | None) -> WorkerCapacity:
    """Return a worker's capacity once runs of lower-priority queues were preempted."""
    free = worker.free
    if priority is not None:
        for run in worker.preemptible:
            if run.priority > priority:
                free = add_vectors(free, run.resources)
    return WorkerCapacity(free, worker.labels)
