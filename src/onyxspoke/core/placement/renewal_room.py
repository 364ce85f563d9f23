"""Room that owed steps may use once their tickets are renewed, kept from what is not owed.

Tickets run out while a step waits for room, and are asked for again when room is there.  Meanwhile
what a tenant sent beyond its share, with younger tickets, would take that room.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from operator import itemgetter

from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_desk import AdviceDesk
from onyxspoke.core.placement.offer import Offer
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.queue_order import step_rank


class RenewalRoom:
    """Follows one pass of placement, in which all that is owed comes first."""

    def __init__(self, desk: AdviceDesk) -> None:
        self._desk = desk
        #: Owed steps that wait, and for how many tasks.
        self._waiting: list[tuple[StepProgress, int]] = []
        self._is_kept = not desk.has_shares

    def in_order(
        self,
        steps: list[StepProgress],
        offer_of: Callable[[str], Offer],
        current: PlacementPass,
    ) -> Iterator[StepProgress]:
        """Return steps in their order; room is kept before the first that is not owed."""
        ranked = [(step_rank(step, current.policy, current.now), step) for step in steps]
        ranked.sort(key=itemgetter(0))
        for rank, step in ranked:
            if not self._is_kept and not rank.is_owed:
                self._is_kept = True
                self._keep(offer_of, current)
            yield step

    def note_waiting(self, step: StepProgress, tasks: int) -> None:
        """So many tasks of a step found no room, or no ticket for it."""
        if self._is_kept or step.spec.gang or not tasks:
            return
        advice = self._desk.known_advice(step.key)
        if advice is not None and advice.tickets and advice.is_asking:
            self._waiting.append((step, tasks))

    def _keep(self, offer_of: Callable[[str], Offer], current: PlacementPass) -> None:
        """Take the room of good workers whose tickets are being renewed out of the pass."""
        for step, tasks in self._waiting:
            left = tasks
            offered = offer_of(current.policy.queue_of(step.job.spec).service).workers
            for worker_id in self._desk.advice_on(step).tickets:
                worker = offered.get(worker_id)
                if worker is None:
                    continue
                slots = min(left, current.room.slots(worker, step.needs))
                current.room.take(worker, step.needs, slots)
                left -= slots
