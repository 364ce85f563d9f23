"""How long runs still take, and so when a worker will have room."""

from __future__ import annotations

import math

from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.room import ScratchRoom, slots_within
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.workers import Worker

#: Progress, in percent, from which on it tells more than the estimate.
TELLING_PERCENT = 5
_FULL_PERCENT = 100
_MILLISECONDS = 1_000.0


def remaining_seconds(run: Run, now: float) -> float:
    """Return about how long a run still takes, by its progress or else by its estimate."""
    if run.task.step.spec.long_running:
        return math.inf
    estimate = run.task.step.spec.estimated_ms / _MILLISECONDS
    if run.is_resumed:
        left = estimate * (_FULL_PERCENT - run.percent) / _FULL_PERCENT
        return max(0.0, left - (now - run.moved_at))
    elapsed = now - run.confirmed_at
    if run.percent >= TELLING_PERCENT:
        whole = elapsed / run.percent * _FULL_PERCENT
        return max(0.0, whole - elapsed)
    return max(0.0, estimate - elapsed)


def room_expected_at(
    worker: Worker, needs: Needs, room: ScratchRoom, stop_seconds: float, now: float
) -> float:
    """Return when a worker will have room for one more task; infinity where that is not known.

    A run that is being stopped takes ``stop_seconds`` at most.
    """
    free = room.free(worker)
    if slots_within(free, needs) > 0:
        return now
    ends = sorted(
        ((_expected_end(run, stop_seconds, now), run) for run in worker.runs.values()),
        key=lambda item: item[0],
    )
    for at, run in ends:
        free = Needs(*(have + freed for have, freed in zip(free, run.needs, strict=True)))
        if slots_within(free, needs) > 0:
            return at
    return math.inf


def _expected_end(run: Run, stop_seconds: float, now: float) -> float:
    if run.state is RunState.STOPPING:
        return max(now, run.stop_sent_at + stop_seconds)
    if not run.confirmed_at:
        return now + run.task.step.spec.estimated_ms / _MILLISECONDS
    return now + remaining_seconds(run, now)
