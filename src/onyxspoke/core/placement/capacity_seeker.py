"""What is done for a step that found no room: hold room, have others give way.

One worker at a time: the one that has room soonest.  Room that is there, or comes within a
moment, is held, so that what comes later does not take it; and where none comes soon, later
queues give way, once there is a ticket for the room that they make.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import QueuePolicy
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import MINIMUM_WORKERS_PER_CALL
from onyxspoke.core.placement.forecast import RoomForecast
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import Preemption, choose_preemption
from onyxspoke.core.placement.queue_order import Lateness, step_rank_in_queue
from onyxspoke.core.placement.reservations import MemberSlots, RoomReservations
from onyxspoke.core.placement.workers import Worker

#: Room that is expected within so long is held, in seconds.
HOLD_AHEAD_SECONDS = 0.6
#: Others give way only where room would come later than this, in seconds; a stop, the look that
#: shows its end and the restart of what was stopped take about as long.
GAIN_SECONDS = 1.0
#: Others give way only for a ticket that is good for the stop and so much longer, in seconds: the
#: look that shows their end, and the order to start.
TICKET_RESERVE_SECONDS = 0.45


@dataclass(slots=True)
class PreemptionRequest:
    """Runs that give way to a step."""

    step: StepProgress
    preemption: Preemption


class RoomSeeker:
    """Looks after steps that wait for room.

    Parameters
    ----------
    stop_seconds : float
        How long a stop takes at most.
    """

    def __init__(
        self,
        advice_dispatcher: AdviceDispatcher,
        reservations: RoomReservations,
        stop_seconds: float,
    ) -> None:
        self._advice_dispatcher = advice_dispatcher
        self._reservations = reservations
        self._stop_seconds = stop_seconds
        self._forecast = RoomForecast(stop_seconds, 0.0)
        self.evictions: list[PreemptionRequest] = []

    def begin_pass(self, now: float) -> None:
        """Forget what was expected in an earlier pass of placement."""
        self._forecast = RoomForecast(self._stop_seconds, now)

    def seek(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        total_processors_milli: int,
        current: PlacementPass,
    ) -> None:
        """Look after a step; ``workers`` are those that may run it, room or not."""
        needs = step.needs
        forecasts = sorted(
            (self._forecast.room_expected_at(worker, needs, current.capacity), worker.worker_id)
            for worker in workers
        )
        if not forecasts:
            self._reservations.drop(step.key)
            return
        by_id = {worker.worker_id: worker for worker in workers}
        soonest_at, soonest_id = forecasts[0]
        soonest = by_id[soonest_id]
        if soonest_at - current.now > GAIN_SECONDS:
            made = self._make_room(step, queue, workers, current)
            if made is not None:
                soonest, soonest_at = made, current.now + self._stop_seconds
        may_hold = self._reservations.holds(step.key) or self._reservations.is_within_share(
            total_processors_milli
        )
        if may_hold and soonest_at - current.now <= HOLD_AHEAD_SECONDS:
            self._reservations.hold(step, [MemberSlots(soonest, 1)], current.capacity, current.now)
        else:
            self._reservations.drop(step.key)

    def _make_room(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        current: PlacementPass,
    ) -> Worker | None:
        """Have later queues give way; return where, or ``None`` if that does not help."""
        rank = step_rank_in_queue(step, queue, current.now)
        if rank.is_over_share or rank.lateness is Lateness.EXPIRED:
            return None
        if queue.advice is not None:
            tickets = self._advice_dispatcher.advice_for(step).tickets
            usable_until = current.now + self._stop_seconds + TICKET_RESERVE_SECONDS
            ready = [
                worker for worker in workers if tickets[worker.worker_id].use_before > usable_until
            ]
            if not ready:
                self._ask_for(step, queue, workers, current)
                return None
            workers = ready
        found = choose_preemption(
            queue.priority, step.needs, workers, current.capacity, current.policy, current.now
        )
        if found is None:
            return None
        self.evictions.append(PreemptionRequest(step, found))
        return found.worker

    def _ask_for(
        self, step: StepProgress, queue: QueuePolicy, workers: list[Worker], current: PlacementPass
    ) -> None:
        advice = self._advice_dispatcher.advice_for(step)
        if queue.advice is None or advice.has_open_calls:
            return
        if self._advice_dispatcher.uses_fair_shares:
            workers = _most_useful(step, queue, workers, current)
        names = [worker.worker_id for worker in workers]
        rank = step_rank_in_queue(step, queue, current.now)
        self._advice_dispatcher.request_advice(step, queue.advice, names, rank, current.now)


def _most_useful(
    step: StepProgress, queue: QueuePolicy, workers: list[Worker], current: PlacementPass
) -> list[Worker]:
    """Return the workers on which others would give way, the best in front; none if they don't."""
    best = choose_preemption(
        queue.priority, step.needs, workers, current.capacity, current.policy, current.now
    )
    if best is None:
        return []
    others = [worker for worker in workers if worker is not best.worker]
    return [best.worker, *others][:MINIMUM_WORKERS_PER_CALL]
