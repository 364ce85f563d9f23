"""Tasks that may have crashed workers begin apart from others.

Where a suspect alone begins on a worker, a crash proves it: so a task that crashes its workers is
found out with its third crash as a rule, and those that began beside it once are not counted with
it again.  Only the beginning is kept apart: for a whole run it would take a worker from all others.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.blame import JUST_BEGUN_SECONDS
from onyxspoke.core.placement.room import ScratchRoom
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.workers import Worker

#: How long the news of a crash takes at most, as a rule, in seconds: connections are reset within
#: 30 ms, and a look that goes unanswered is given up after 0.2 s.
NEWS_SECONDS = 0.25


class Place(Protocol):
    """A worker that may run a task."""

    @property
    def worker(self) -> Worker:
        """The worker."""


AnyPlace = TypeVar("AnyPlace", bound=Place)


def keep_free_for(run: Run, now: float) -> None:
    """Have nothing else begin on a run's worker until it would be known that the run crashed it."""
    if run.task.crashes.is_suspicious:
        run.worker.kept_free_until = now + JUST_BEGUN_SECONDS + NEWS_SECONDS


def place_apart(
    step: StepProgress,
    suspects: list[TaskProgress],
    places: list[AnyPlace],
    counts: dict[str, int],
    room: ScratchRoom,
    now: float,
) -> list[tuple[AnyPlace, TaskProgress]]:
    """Return a place of its own for each suspect, as far as there are any, the emptiest first."""
    chosen: list[tuple[AnyPlace, TaskProgress]] = []
    left = [place for place in places if _may_begin_apart(place.worker, step, counts, room)]
    left.sort(key=lambda place: _disturbance(place.worker, room, now))
    for place, task in zip(left, suspects, strict=False):
        room.take_all(place.worker)
        chosen.append((place, task))
    return chosen


def _may_begin_apart(
    worker: Worker, step: StepProgress, counts: dict[str, int], room: ScratchRoom
) -> bool:
    limit = step.spec.spread_limit
    has_share_left = not limit or counts.get(worker.worker_id, 0) < limit
    return has_share_left and room.fits(worker, step.needs)


def _disturbance(worker: Worker, room: ScratchRoom, now: float) -> tuple[bool, int]:
    """Return whether others have just begun there, and how many a crash would take down."""
    latest = max((run.ordered_at for run in worker.runs.values()), default=0.0)
    has_new = room.has_taken_of(worker) or now - latest < JUST_BEGUN_SECONDS
    return has_new, len(worker.runs)
