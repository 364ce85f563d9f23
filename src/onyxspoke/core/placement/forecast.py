"""How long runs still take, and so when a worker will have room."""

from __future__ import annotations

import math
from operator import itemgetter

from onyxspoke.core.jobs.model import ResourceVector, WorkerId
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: Progress, in percent, from which on it tells more than the estimate.
RELIABLE_PROGRESS_PERCENT = 5
_FULL_PERCENT = 100


def remaining_seconds(run: Run, now: float) -> float:
    """Return about how long a run still takes, by its progress or else by its estimate."""
    if run.task.step.spec.long_running:
        return math.inf
    estimate = run.expected_seconds
    if run.is_resumed:
        left = estimate * (_FULL_PERCENT - run.percent) / _FULL_PERCENT
        return max(0.0, left - (now - run.progressed_at))
    elapsed = now - run.confirmed_at
    if run.percent >= RELIABLE_PROGRESS_PERCENT:
        whole = elapsed / run.percent * _FULL_PERCENT
        return max(0.0, whole - elapsed)
    return max(0.0, estimate - elapsed)


class RoomForecast:
    """When workers will have room, as one pass of placement sees it.

    Parameters
    ----------
    stop_seconds : float
        How long a stop takes at most.
    now : float
        The moment of the pass.
    """

    def __init__(self, stop_seconds: float, now: float) -> None:
        self._stop_seconds = stop_seconds
        self._now = now
        #: Ends of a worker's runs, the soonest first, and what each frees.
        self._ends: dict[WorkerId, list[tuple[float, ResourceVector]]] = {}

    def room_expected_at(
        self, worker: Worker, needs: ResourceVector, room: ScratchCapacity
    ) -> float:
        """Return when a worker will have room for one more task; infinity if not known."""
        processors, memory, accelerators = room.free(worker)
        if _fits(processors, memory, accelerators, needs):
            return self._now
        for at, freed in self._ends_on(worker):
            processors += freed.processors_milli
            memory += freed.memory_mb
            accelerators += freed.accelerators
            if _fits(processors, memory, accelerators, needs):
                return at
        return math.inf

    def _ends_on(self, worker: Worker) -> list[tuple[float, ResourceVector]]:
        ends = self._ends.get(worker.worker_id)
        if ends is None:
            ends = [
                (expected_end(run, self._stop_seconds, self._now), run.needs)
                for run in worker.runs.values()
            ]
            ends.sort(key=itemgetter(0))
            self._ends[worker.worker_id] = ends
        return ends


def _fits(processors: int, memory: int, accelerators: int, needs: ResourceVector) -> bool:
    # What is not needed may be held by more than there is.
    return (
        needs.processors_milli <= max(0, processors)
        and needs.memory_mb <= max(0, memory)
        and needs.accelerators <= max(0, accelerators)
    )


def expected_end(run: Run, stop_seconds: float, now: float) -> float:
    """Return when a run is expected to end; infinity if it lasts."""
    if run.state is RunState.STOPPING:
        return max(now, run.stop_sent_at + stop_seconds)
    if not run.confirmed_at:
        return now + run.expected_seconds
    return now + remaining_seconds(run, now)
