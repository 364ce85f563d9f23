"""Where gangs start: all members at once, or none; what there is of their room is held."""

from __future__ import annotations

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import MINIMUM_WORKERS_PER_CALL, AdviceTargetSelector
from onyxspoke.core.placement.advice_timing import AdviceTiming
from onyxspoke.core.placement.capacity_seeker import PreemptionRequest
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import Preemption, choose_preemption, freed_soon
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.placement.reservations import MemberSlots, RoomReservations, can_ever_fit
from onyxspoke.core.placement.schedulable_workers import SchedulableWorkers, has_label
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.spreading import Placement, StepPlacement, is_off_preferred_rack
from onyxspoke.core.placement.step_advice import StepAdvice
from onyxspoke.core.placement.worker_speed_preference import (
    NEUTRAL_SPEED_SCORE,
    SpeedPreference,
    speed_preference,
)
from onyxspoke.core.placement.workers import Worker

#: Tickets for a gang are asked for once so much of its room is there.
ASKING_SHARE = 0.6
#: Tickets that run out so soon after the answer to a call are asked for anew.
RENEWAL_SECONDS = 0.1
#: While most of its room is missing, workers that came into use are asked about so often at most,
#: in seconds: a call about one of them keeps tickets from being renewed for as long as it takes.
UNKNOWN_PAUSE_SECONDS = 3.0
#: A gang that is slower over several racks waits for one rack, for so long at most, as a
#: share of its estimate.
ONE_RACK_PATIENCE_SHARE = 0.5
#: Others give way to a gang that has held room for so long in vain, in seconds.
PATIENCE_SECONDS = 1.0
#: Between the end of what gives way and the gang's start, in seconds: the look, and the order.
START_SECONDS = 0.3


class GangPlacer:
    """Places gangs, asks for their tickets, holds their room and has others give way to them.

    Parameters
    ----------
    stop_seconds : float
        How long a stop takes at most.
    """

    def __init__(
        self,
        advice_dispatcher: AdviceDispatcher,
        reservations: RoomReservations,
        advice_timing: AdviceTiming,
        stop_seconds: float,
    ) -> None:
        self._advice_dispatcher = advice_dispatcher
        self._advice_timing = advice_timing
        self._reservations = reservations
        self._stop_seconds = stop_seconds
        self.evictions: list[PreemptionRequest] = []

    def place(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        current: PlacementPass,
    ) -> StepPlacement | None:
        """Return where a gang starts now, or ``None``; then room may be held for it."""
        if len(step.waiting) < len(step.tasks):
            return None
        advice = self._advice_dispatcher.advice_for(step) if queue.advice is not None else None
        workers = _workers_for_gang(step, advice, schedulable, current.now)
        chooser = speed_preference(step, workers, current.is_speed_aware, current.now)
        slots = _slots_of(step, workers, current.capacity, current.now, chooser)
        usable = slots
        if advice is not None:
            held = advice.tickets
            usable = [
                item for item in slots if current.now < held[item.worker.worker_id].use_before
            ]
        members = _choose_for_gang(step, usable, current.now)
        if members is not None:
            self._reservations.drop(step.key)
            return _start_gang(step, members, advice, current.capacity)
        may_hold = self._reservations.holds(step.key) or self._reservations.is_within_share(
            schedulable.processors_milli
        )
        if may_hold and can_ever_fit(step, workers):
            slots = self._room_to_hold(step, queue, workers, slots, current)
            self._reservations.hold(step, slots, current.capacity, current.now)
        else:
            self._reservations.drop(step.key)
        self._ask(step, queue, schedulable, slots, current)
        return None

    def _ask(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        slots: list[MemberSlots],
        current: PlacementPass,
    ) -> None:
        """Ask for the tickets that are missing to use the room that there is, or will be soon."""
        if queue.advice is None:
            return
        advice = self._advice_dispatcher.advice_for(step)
        rank = step_rank_in_queue(step, queue, current.now)
        may_fit = schedulable.may_fit(step.needs)
        if not advice.has_open_calls and (
            advice.queried_workers
            or self._advice_timing.should_request(step, queue, rank, may_fit, current.now)
        ):
            chooser = AdviceTargetSelector(
                step,
                schedulable,
                current.capacity,
                self._advice_dispatcher.approval_rate(queue.name),
            )
            ask = _workers_to_ask_for_gang(
                step, queue.advice, advice, schedulable, slots, chooser, current.now
            )
            self._advice_dispatcher.request_advice(step, queue.advice, ask, rank, current.now)

    def _room_to_hold(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        slots: list[MemberSlots],
        current: PlacementPass,
    ) -> list[MemberSlots]:
        """Return the room to hold: what there is, what comes in a moment, what others leave."""
        members = len(step.tasks)
        held = _first_members(slots, members)
        missing = members - _total(held)
        if missing <= 0:
            return held
        soon = _first_members(_slots_soon(step, workers, current.capacity, current.now), missing)
        held += soon
        missing -= _total(soon)
        if missing > 0 and self._may_others_give_way(step, queue, current.now):
            busy = {item.worker.worker_id for item in soon}
            idle = [worker for worker in workers if worker.worker_id not in busy]
            held += self._make_room(step, queue, idle, missing, current)
        return held

    def _may_others_give_way(self, step: StepProgress, queue: QueuePolicy, now: float) -> bool:
        """Return whether a gang has waited long enough, and may be on time with others' room."""
        held_since = self._reservations.held_since(step.key)
        if held_since is None or now - held_since < PATIENCE_SECONDS:
            return False
        rank = step_rank_in_queue(step, queue, now)
        if rank.is_over_share:
            return False
        return now + self._stop_seconds + START_SECONDS <= rank.latest_start

    def _make_room(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        missing: int,
        current: PlacementPass,
    ) -> list[MemberSlots]:
        """Have runs of later queues give way for all missing members, or none of them.

        Returns
        -------
        list of MemberSlots
            Where there will be room.
        """
        chosen: list[Preemption] = []
        left = list(workers)
        while len(chosen) < missing:
            found = choose_preemption(
                queue.priority, step.needs, left, current.capacity, current.policy, current.now
            )
            if found is None:
                return []
            chosen.append(found)
            left = [worker for worker in left if worker is not found.worker]
        self.evictions += [PreemptionRequest(step, preemption) for preemption in chosen]
        return [MemberSlots(preemption.worker, 1) for preemption in chosen]


def _workers_for_gang(
    step: StepProgress, advice: StepAdvice | None, schedulable: SchedulableWorkers, now: float
) -> list[Worker]:
    """Return the workers that may run a gang's members, whether there is room or not."""
    if advice is None:
        workers = list(schedulable.workers.values())
    else:
        workers = [
            schedulable.workers[name] for name in advice.tickets if name in schedulable.workers
        ]
    return [
        worker
        for worker in workers
        if has_label(worker, step) and not worker.health.is_on_trial(now)
    ]


def _slots_of(
    step: StepProgress,
    workers: list[Worker],
    room: ScratchCapacity,
    now: float,
    chooser: SpeedPreference | None,
) -> list[MemberSlots]:
    """Return how many members each worker has room for, the best workers first.

    The slowest sets the pace, so that workers of like speed stand together.
    Those with room for most members come first: a gang is broken off by the loss of any of its
    workers, so that it is to have few.
    """
    last_failed_worker_id = {task.last_failed_worker_id for task in step.tasks}
    ranked = []
    for worker in workers:
        count = min(step.max_tasks_per_worker, room.slots(worker, step.needs))
        if count > 0:
            score = (
                int(worker.worker_id in last_failed_worker_id),
                int(worker.health.is_suspected(now)),
                int(is_off_preferred_rack(worker, step)),
                (NEUTRAL_SPEED_SCORE if chooser is None else chooser.score(worker)),
                -count,
                room.free_processors(worker),
                worker.worker_id,
            )
            ranked.append((score, MemberSlots(worker, count)))
    ranked.sort(key=lambda item: item[0])
    return [slots for _score, slots in ranked]


def _slots_soon(
    step: StepProgress, workers: list[Worker], room: ScratchCapacity, now: float
) -> list[MemberSlots]:
    """Return for how many more members workers will have room in a moment."""
    most = step.max_tasks_per_worker
    found = []
    for worker in workers:
        freed = freed_soon(worker, now)
        if any(freed):
            present = min(most, room.slots(worker, step.needs))
            count = min(most, room.slots(worker, step.needs, freed)) - present
            if count > 0:
                found.append(MemberSlots(worker, count))
    return found


def _first_members(slots: list[MemberSlots], count: int) -> list[MemberSlots]:
    """Return the first so many members' room, or all where there is less."""
    chosen = []
    for item in slots:
        if count <= 0:
            break
        chosen.append(MemberSlots(item.worker, min(item.count, count)))
        count -= item.count
    return chosen


def _total(slots: list[MemberSlots]) -> int:
    return sum(item.count for item in slots)


def _choose_for_gang(
    step: StepProgress, slots: list[MemberSlots], now: float
) -> list[MemberSlots] | None:
    """Return room for every member, in one rack where that matters, or ``None``."""
    members = len(step.tasks)
    if _total(slots) < members:
        return None
    if step.spec.same_rack:
        racks: dict[str, list[MemberSlots]] = {}
        for item in slots:
            racks.setdefault(item.worker.record.rack, []).append(item)
        fitting = [items for items in racks.values() if _total(items) >= members]
        if fitting:
            slots = min(fitting, key=_total)
        elif now - step.ready_at < _one_rack_patience(step):
            return None
    return _first_members(slots, members)


def _one_rack_patience(step: StepProgress) -> float:
    return ONE_RACK_PATIENCE_SHARE * step.expected_seconds


def _start_gang(
    step: StepProgress, members: list[MemberSlots], advice: StepAdvice | None, room: ScratchCapacity
) -> StepPlacement:
    placements = []
    tasks = iter(step.tasks)
    for item in members:
        room.take(item.worker, step.needs, item.count)
        ticket = "" if advice is None else advice.tickets[item.worker.worker_id].text
        placements += [Placement(next(tasks), item.worker, ticket) for _ in range(item.count)]
    return StepPlacement(step, placements)


def _workers_to_ask_for_gang(
    step: StepProgress,
    policy: AdvicePolicy,
    advice: StepAdvice,
    schedulable: SchedulableWorkers,
    slots: list[MemberSlots],
    chooser: AdviceTargetSelector,
    now: float,
) -> list[str]:
    """Return the workers whose tickets a gang lacks.

    All are asked about at first: a gang needs room on many good workers in one moment.  Asking
    about twice the capacity that it needs while the line for advice was long cost a tenth of all
    that was served on busy days.  Later it is those that have room: while some is missing, workers
    that were not asked about; once most of it is there, the good ones for new tickets.
    """
    members = len(step.tasks)
    known_good = [
        schedulable.workers[name] for name in advice.tickets if name in schedulable.workers
    ]
    is_due = now >= advice.new_workers_due_at
    unknown_count = len(schedulable.workers.keys() - advice.queried_workers)
    if not can_ever_fit(step, known_good) and (is_due or unknown_count >= MINIMUM_WORKERS_PER_CALL):
        if unknown_count < MINIMUM_WORKERS_PER_CALL and advice.queried_workers:
            advice.new_workers_due_at = now + UNKNOWN_PAUSE_SECONDS
        return chooser.all_new_targets(advice)
    asked: list[str] = []
    missing = members - _total(slots)
    if missing > 0:
        asked = chooser.new_targets_with_capacity(missing, advice)
    if _total(slots) < ASKING_SHARE * members:
        if not asked or not is_due:
            return []
        advice.new_workers_due_at = now + UNKNOWN_PAUSE_SECONDS
        return asked
    needed_until = now + policy.call_seconds(len(slots)) + RENEWAL_SECONDS
    names = [item.worker.worker_id for item in slots]
    return asked + [name for name in names if advice.tickets[name].use_before < needed_until]
