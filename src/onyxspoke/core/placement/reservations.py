"""Room kept back for gangs that wait for more of it, so that smaller tasks do not take it.

A gang starts only when every member has room.  Without a reservation tasks that need less go
past it again and again, and a large gang waits for as long as the cell is busy.  What is held
is worked out anew whenever a gang is looked at; in between the same room is held again.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import StepKey
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import count_fitting_tasks
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker

#: Share of a service's processors that waiting gangs may hold, the first gang apart.
MAX_HELD_CAPACITY_SHARE = 0.2


@dataclass(slots=True)
class MemberSlots:
    """So many members of a gang on one worker."""

    worker: Worker
    count: int


@dataclass(slots=True)
class _Holding:
    step: StepProgress
    slots: list[MemberSlots]
    since: float

    @property
    def processors_milli(self) -> int:
        return sum(item.count for item in self.slots) * self.step.needs.processors_milli


class RoomReservations:
    """What is held, by the step that waits for it."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._held: dict[StepKey, _Holding] = {}

    def holds(self, key: StepKey) -> bool:
        """Return whether room is held for a step."""
        return key in self._held

    def held_since(self, key: StepKey) -> float | None:
        """Return since when room is held for a step, if any is."""
        holding = self._held.get(key)
        return None if holding is None else holding.since

    def hold(
        self, step: StepProgress, slots: list[MemberSlots], room: ScratchCapacity, now: float
    ) -> None:
        """Hold room, instead of what was held for the step before."""
        former = self._held.get(step.key)
        since = now if former is None else former.since
        self._held[step.key] = _Holding(step, slots, since)
        if former is not None:
            self._release(former, {item.worker.worker_id for item in slots})
        self.hold_again(step, room)

    def hold_again(self, step: StepProgress, room: ScratchCapacity) -> None:
        """Hold in a new pass what is held already."""
        holding = self._held.get(step.key)
        if holding is not None:
            for item in holding.slots:
                room.take(item.worker, step.needs, item.count)

    def drop(self, key: StepKey) -> None:
        """Hold nothing more for a step."""
        holding = self._held.pop(key, None)
        if holding is not None:
            self._release(holding, set())

    def drop_others(self, waiting: set[StepKey]) -> None:
        """Hold nothing more for steps that wait no longer."""
        for key in [key for key in self._held if key not in waiting]:
            self.drop(key)

    def is_within_share(self, total_processors_milli: int) -> bool:
        """Return whether one more gang may hold room in a service of this size."""
        held = sum(holding.processors_milli for holding in self._held.values())
        return held <= MAX_HELD_CAPACITY_SHARE * total_processors_milli

    def _release(self, holding: _Holding, kept: set[str]) -> None:
        """Let the steps that found no room look again at what is held no more."""
        for item in holding.slots:
            if item.worker.worker_id not in kept:
                self._table.note_capacity_gain(item.worker)


def can_ever_fit(step: StepProgress, workers: list[Worker]) -> bool:
    """Return whether a gang has room on these workers when nothing else runs there."""
    needs = step.needs
    room = sum(count_fitting_tasks(worker.record.capacity, needs) for worker in workers)
    return room >= len(step.tasks)
