"""Reserves capacity for entitled steps while their tickets are being renewed.

Tickets expire while a step waits for capacity, and are renewed when capacity becomes free.  Without
a reservation, steps of a tenant over its share that hold newer tickets would take that capacity.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from operator import itemgetter

from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.queue_order import step_rank
from onyxspoke.core.placement.schedulable_workers import SchedulableWorkers


class RenewalReservations:
    """Reservations of one placement pass, in which entitled steps come first."""

    def __init__(self, advice_dispatcher: AdviceDispatcher) -> None:
        self._advice_dispatcher = advice_dispatcher
        #: Entitled steps whose tickets are being renewed, and their number of waiting tasks.
        self._waiting_tasks: list[tuple[StepProgress, int]] = []
        self._is_reserved = not advice_dispatcher.uses_fair_shares

    def steps_by_rank(
        self,
        steps: list[StepProgress],
        schedulable_of: Callable[[str], SchedulableWorkers],
        current: PlacementPass,
    ) -> Iterator[StepProgress]:
        """Yield the steps by rank; reserve capacity before the first step that is not entitled."""
        ranked = [(step_rank(step, current.policy, current.now), step) for step in steps]
        ranked.sort(key=itemgetter(0))
        for rank, step in ranked:
            if not self._is_reserved and not rank.is_entitled:
                self._is_reserved = True
                self._reserve(schedulable_of, current)
            yield step

    def note_waiting(self, step: StepProgress, tasks: int) -> None:
        """Record that tasks of a step found no free capacity, or no ticket for it."""
        if self._is_reserved or step.spec.gang or not tasks:
            return
        advice = self._advice_dispatcher.known_advice(step.key)
        if advice is not None and advice.tickets and advice.has_open_calls:
            self._waiting_tasks.append((step, tasks))

    def _reserve(
        self, schedulable_of: Callable[[str], SchedulableWorkers], current: PlacementPass
    ) -> None:
        """Take the free capacity of the workers that renewed tickets are expected to cover."""
        for step, tasks in self._waiting_tasks:
            remaining = tasks
            workers = schedulable_of(current.policy.queue_of(step.job.spec).service).workers
            for worker_id in self._advice_dispatcher.advice_for(step).tickets:
                worker = workers.get(worker_id)
                if worker is None:
                    continue
                slots = min(remaining, current.capacity.slots(worker, step.needs))
                current.capacity.take(worker, step.needs, slots)
                remaining -= slots
