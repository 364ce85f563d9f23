"""Reservations of free capacity for waiting gangs and steps.

A gang starts only when every member has free capacity.  Without reservations, smaller tasks would
start ahead of it again and again, and a large gang would wait for as long as the cell is busy.
Each time a step is evaluated, its reservation is recomputed; passes that skip the step repeat the
same reservation.

Only part of a service may be reserved.  A step that relies on capacity without a reservation claims
it, so that the steps after it look for other capacity.  Otherwise all of them would wait for the
same run to end, and none would preempt another run.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import ResourceVector, StepKey
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import count_fitting_tasks
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker

#: A further step may reserve capacity only while the existing reservations hold at most this share
#: of a service's processors.
MAX_HELD_CAPACITY_SHARE = 0.2


@dataclass(slots=True)
class MemberSlots:
    """The number of members of a gang, or tasks of a step, that one worker has capacity for."""

    worker: Worker
    count: int


@dataclass(slots=True)
class _Reservation:
    step: StepProgress
    slots: list[MemberSlots]
    since: float

    @property
    def processors_milli(self) -> int:
        return sum(item.count for item in self.slots) * self.step.needs.processors_milli


@dataclass(slots=True)
class _Claim:
    """Capacity for one task."""

    worker: Worker
    needs: ResourceVector


class CapacityReservations:
    """The reserved or claimed capacity of each step that waits for more."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._reservations: dict[StepKey, _Reservation] = {}
        self._claims: dict[StepKey, list[_Claim]] = {}

    def has_reservation(self, key: StepKey) -> bool:
        """Return whether a step has a reservation."""
        return key in self._reservations

    def reserved_since(self, key: StepKey) -> float | None:
        """Return when a step's reservation began, or ``None`` if it has none."""
        reservation = self._reservations.get(key)
        return None if reservation is None else reservation.since

    def reserve(
        self, step: StepProgress, slots: list[MemberSlots], capacity: ScratchCapacity, now: float
    ) -> None:
        """Reserve capacity for a step, in place of its previous reservation and claims."""
        self.release_claims(step.key)
        previous = self._reservations.get(step.key)
        since = now if previous is None else previous.since
        self._reservations[step.key] = _Reservation(step, slots, since)
        if previous is not None:
            self._note_released(previous, {item.worker.worker_id for item in slots})
        self.reapply(step, capacity)

    def claim(self, step: StepProgress, worker: Worker, capacity: ScratchCapacity) -> None:
        """Claim capacity for one more task of a step."""
        self._claims.setdefault(step.key, []).append(_Claim(worker, step.needs))
        capacity.claim(worker, step.needs)

    def reapply(self, step: StepProgress, capacity: ScratchCapacity) -> None:
        """Apply a step's existing reservation and claims in a new pass."""
        for claim in self._claims.get(step.key, ()):
            capacity.claim(claim.worker, claim.needs)
        reservation = self._reservations.get(step.key)
        if reservation is not None:
            for item in reservation.slots:
                capacity.take(item.worker, step.needs, item.count)

    def release(self, key: StepKey) -> None:
        """Release the reservation and the claims of a step."""
        self.release_claims(key)
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self._note_released(reservation, set())

    def release_claims(self, key: StepKey) -> None:
        """Release the claims of a step; its reservation stays."""
        self._claims.pop(key, None)

    def release_others(self, waiting: set[StepKey]) -> None:
        """Release the reservations and claims of all steps that no longer wait."""
        for key in dict.fromkeys((*self._reservations, *self._claims)):
            if key not in waiting:
                self.release(key)

    def may_reserve_more(self, total_processors_milli: int) -> bool:
        """Return whether one more step may reserve capacity in a service of this size.

        The reservations in all services are counted.
        """
        reserved_milli = sum(
            reservation.processors_milli for reservation in self._reservations.values()
        )
        return reserved_milli <= MAX_HELD_CAPACITY_SHARE * total_processors_milli

    def _note_released(self, reservation: _Reservation, kept_worker_ids: set[str]) -> None:
        """Mark released capacity as gained, so that blocked steps are evaluated again."""
        for item in reservation.slots:
            if item.worker.worker_id not in kept_worker_ids:
                self._table.note_capacity_gain(item.worker)


def can_ever_fit(step: StepProgress, workers: list[Worker]) -> bool:
    """Return whether a whole gang fits on these workers when nothing else runs there."""
    needs = step.needs
    slot_count = sum(count_fitting_tasks(worker.record.capacity, needs) for worker in workers)
    return slot_count >= len(step.tasks)
