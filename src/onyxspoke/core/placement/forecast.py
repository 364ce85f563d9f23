"""Estimate how long runs still take, and when a worker will have enough free capacity."""

from __future__ import annotations

import math
from operator import itemgetter

from onyxspoke.core.jobs.model import ResourceVector, WorkerId
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: From this progress on, in percent, progress predicts the end of a run better than the estimate.
RELIABLE_PROGRESS_PERCENT = 5
_FULL_PERCENT = 100


def remaining_seconds(run: Run, now: float) -> float:
    """Return how long a run is expected to continue, by its progress or else by its estimate."""
    if run.task.step.spec.long_running:
        return math.inf
    estimate = run.expected_seconds
    if run.is_resumed:
        remaining = estimate * (_FULL_PERCENT - run.percent) / _FULL_PERCENT
        return max(0.0, remaining - (now - run.progressed_at))
    elapsed = now - run.confirmed_at
    if run.percent >= RELIABLE_PROGRESS_PERCENT:
        total = elapsed / run.percent * _FULL_PERCENT
        return max(0.0, total - elapsed)
    return max(0.0, estimate - elapsed)


class CapacityForecast:
    """Predicts during one placement pass when workers will have enough free capacity.

    Parameters
    ----------
    stop_seconds : float
        The longest time that stopping a run takes, in seconds.
    now : float
        The time of the pass.
    """

    def __init__(self, stop_seconds: float, now: float) -> None:
        self._stop_seconds = stop_seconds
        self._now = now
        #: For each worker the expected ends of its runs, earliest first, with the capacity that
        #: each end frees.
        self._expected_ends: dict[WorkerId, list[tuple[float, ResourceVector]]] = {}

    def capacity_expected_at(
        self, worker: Worker, needs: ResourceVector, capacity: ScratchCapacity
    ) -> float:
        """Return when a worker will have unclaimed capacity for one task; infinity if not known."""
        processors_milli, memory_mb, accelerators = capacity.free_beyond_claims(worker)
        if _fits(processors_milli, memory_mb, accelerators, needs):
            return self._now
        for end_at, freed in self._expected_ends_on(worker):
            processors_milli += freed.processors_milli
            memory_mb += freed.memory_mb
            accelerators += freed.accelerators
            if _fits(processors_milli, memory_mb, accelerators, needs):
                return end_at
        return math.inf

    def _expected_ends_on(self, worker: Worker) -> list[tuple[float, ResourceVector]]:
        expected_ends = self._expected_ends.get(worker.worker_id)
        if expected_ends is None:
            expected_ends = [
                (expected_end(run, self._stop_seconds, self._now), run.needs)
                for run in worker.runs.values()
            ]
            expected_ends.sort(key=itemgetter(0))
            self._expected_ends[worker.worker_id] = expected_ends
        return expected_ends


def _fits(processors_milli: int, memory_mb: int, accelerators: int, needs: ResourceVector) -> bool:
    # Runs may hold more of a resource than the worker has, so that its free amount is negative.
    # A task that needs none of this resource fits all the same.
    return (
        needs.processors_milli <= max(0, processors_milli)
        and needs.memory_mb <= max(0, memory_mb)
        and needs.accelerators <= max(0, accelerators)
    )


def expected_end(run: Run, stop_seconds: float, now: float) -> float:
    """Return when a run is expected to end; infinity for a long-running task."""
    if run.state is RunState.STOPPING:
        return max(now, run.stop_sent_at + stop_seconds)
    if not run.confirmed_at:
        return now + run.expected_seconds
    return now + remaining_seconds(run, now)
