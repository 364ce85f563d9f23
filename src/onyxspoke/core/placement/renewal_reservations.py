"""Room that owed steps may use once their tickets are renewed, kept from what is not owed.

Tickets run out while a step waits for room, and are asked for again when room is there.  Meanwhile
what a tenant sent beyond its share, with younger tickets, would take that room.
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
    """Follows one pass of placement, in which all that is owed comes first."""

    def __init__(self, advice_dispatcher: AdviceDispatcher) -> None:
        self._advice_dispatcher = advice_dispatcher
        #: Owed steps that wait, and for how many tasks.
        self._waiting: list[tuple[StepProgress, int]] = []
        self._is_kept = not advice_dispatcher.uses_fair_shares

    def steps_by_rank(
        self,
        steps: list[StepProgress],
        offer_of: Callable[[str], SchedulableWorkers],
        current: PlacementPass,
    ) -> Iterator[StepProgress]:
        """Return steps in their order; room is kept before the first that is not owed."""
        ranked = [(step_rank(step, current.policy, current.now), step) for step in steps]
        ranked.sort(key=itemgetter(0))
        for rank, step in ranked:
            if not self._is_kept and not rank.is_entitled:
                self._is_kept = True
                self._keep(offer_of, current)
            yield step

    def note_waiting(self, step: StepProgress, tasks: int) -> None:
        """So many tasks of a step found no room, or no ticket for it."""
        if self._is_kept or step.spec.gang or not tasks:
            return
        advice = self._advice_dispatcher.known_advice(step.key)
        if advice is not None and advice.tickets and advice.has_open_calls:
            self._waiting.append((step, tasks))

    def _keep(self, offer_of: Callable[[str], SchedulableWorkers], current: PlacementPass) -> None:
        """Take the room of good workers whose tickets are being renewed out of the pass."""
        for step, tasks in self._waiting:
            left = tasks
            offered = offer_of(current.policy.queue_of(step.job.spec).service).workers
            for worker_id in self._advice_dispatcher.advice_for(step).tickets:
                worker = offered.get(worker_id)
                if worker is None:
                    continue
                slots = min(left, current.capacity.slots(worker, step.needs))
                current.capacity.take(worker, step.needs, slots)
                left -= slots
