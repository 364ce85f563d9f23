"""Place gangs: start all members of a gang at once, or reserve capacity until then."""

from __future__ import annotations

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import MINIMUM_WORKERS_PER_CALL, AdviceTargetSelector
from onyxspoke.core.placement.advice_timing import AdviceTiming
from onyxspoke.core.placement.capacity_seeker import PreemptionRequest
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import Preemption, capacity_freed_soon, choose_preemption
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.placement.reservations import CapacityReservations, MemberSlots, can_ever_fit
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

#: Tickets for a gang are requested once this share of its members has free capacity.
MIN_READY_MEMBER_SHARE = 0.6
#: A ticket is renewed if it expires within this many seconds after the answer to a call.
TICKET_RENEWAL_MARGIN_SECONDS = 0.1
#: While a gang lacks much of its capacity, it asks about workers that it has not asked about yet at
#: most once in this many seconds, because no ticket can be renewed while the call is in progress.
UNKNOWN_WORKERS_INTERVAL_SECONDS = 3.0
#: A gang that runs slower across racks waits for a single rack at most for this share of its
#: estimated duration.
ONE_RACK_WAIT_SHARE = 0.5
#: Other runs are preempted for a gang that has held reserved capacity for this many seconds.
PREEMPT_AFTER_SECONDS = 1.0
#: The time from the end of the preempted runs to the start of the gang, in seconds: the poll that
#: observes their end, and the start order.
START_DELAY_SECONDS = 0.3


class GangPlacer:
    """Places gangs, requests their tickets, reserves capacity and chooses runs to preempt for them.

    Parameters
    ----------
    stop_seconds : float
        The longest time that stopping a run takes, in seconds.
    """

    def __init__(
        self,
        advice_dispatcher: AdviceDispatcher,
        reservations: CapacityReservations,
        advice_timing: AdviceTiming,
        stop_seconds: float,
    ) -> None:
        self._advice_dispatcher = advice_dispatcher
        self._advice_timing = advice_timing
        self._reservations = reservations
        self._stop_seconds = stop_seconds
        self.preemption_requests: list[PreemptionRequest] = []

    def place(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        placement_pass: PlacementPass,
    ) -> StepPlacement | None:
        """Return where a gang starts now, or ``None``; capacity may then be reserved for it."""
        if len(step.waiting) < len(step.tasks):
            return None
        advice = self._advice_dispatcher.advice_for(step) if queue.advice is not None else None
        workers = _eligible_workers(step, advice, schedulable, placement_pass.now)
        preference = speed_preference(
            step, workers, placement_pass.is_speed_aware, placement_pass.now
        )
        slots = _free_slots(step, workers, placement_pass.capacity, placement_pass.now, preference)
        usable_slots = slots
        if advice is not None:
            tickets = advice.tickets
            usable_slots = [
                item
                for item in slots
                if placement_pass.now < tickets[item.worker.worker_id].use_before
            ]
        members = _choose_slots(step, usable_slots, placement_pass.now)
        if members is not None:
            self._reservations.release(step.key)
            return _start_gang(step, members, advice, placement_pass.capacity)
        may_reserve = self._reservations.has_reservation(
            step.key
        ) or self._reservations.may_reserve_more(schedulable.processors_milli)
        if may_reserve and can_ever_fit(step, workers):
            slots = self._slots_to_reserve(step, queue, workers, slots, placement_pass)
            self._reservations.reserve(step, slots, placement_pass.capacity, placement_pass.now)
        else:
            self._reservations.release(step.key)
        self._request_tickets(step, queue, schedulable, slots, placement_pass)
        return None

    def _request_tickets(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        slots: list[MemberSlots],
        placement_pass: PlacementPass,
    ) -> None:
        """Request the tickets that a gang lacks for capacity that is free now, or will be soon."""
        if queue.advice is None:
            return
        advice = self._advice_dispatcher.advice_for(step)
        rank = step_rank_in_queue(step, queue, placement_pass.now)
        may_fit = schedulable.may_fit(step.needs)
        if not advice.has_open_calls and (
            advice.queried_workers
            or self._advice_timing.should_request(step, queue, rank, may_fit, placement_pass.now)
        ):
            target_selector = AdviceTargetSelector(
                step,
                schedulable,
                placement_pass.capacity,
                self._advice_dispatcher.approval_rate(queue.name),
            )
            worker_ids = _workers_to_ask_about(
                step, queue.advice, advice, schedulable, slots, target_selector, placement_pass.now
            )
            self._advice_dispatcher.request_advice(
                step, queue.advice, worker_ids, rank, placement_pass.now
            )

    def _slots_to_reserve(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        slots: list[MemberSlots],
        placement_pass: PlacementPass,
    ) -> list[MemberSlots]:
        """Return the slots to reserve: free now, free soon, or freed by preemption."""
        member_count = len(step.tasks)
        reserved = _first_members(slots, member_count)
        missing_count = member_count - _slot_count(reserved)
        if missing_count <= 0:
            return reserved
        soon = _first_members(
            _slots_freed_soon(step, workers, placement_pass.capacity, placement_pass.now),
            missing_count,
        )
        reserved += soon
        missing_count -= _slot_count(soon)
        if missing_count > 0 and self._may_preempt(step, queue, placement_pass.now):
            soon_worker_ids = {item.worker.worker_id for item in soon}
            other_workers = [
                worker for worker in workers if worker.worker_id not in soon_worker_ids
            ]
            reserved += self._preempt_for(step, queue, other_workers, missing_count, placement_pass)
        return reserved

    def _may_preempt(self, step: StepProgress, queue: QueuePolicy, now: float) -> bool:
        """Return whether a gang has waited long enough, and preemption lets it start in time."""
        reserved_since = self._reservations.reserved_since(step.key)
        if reserved_since is None or now - reserved_since < PREEMPT_AFTER_SECONDS:
            return False
        rank = step_rank_in_queue(step, queue, now)
        if rank.is_over_share:
            return False
        return now + self._stop_seconds + START_DELAY_SECONDS <= rank.latest_start

    def _preempt_for(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        missing_count: int,
        placement_pass: PlacementPass,
    ) -> list[MemberSlots]:
        """Choose runs of lower-priority queues to preempt for all missing members, or for none.

        Returns
        -------
        list of MemberSlots
            The slots that the preempted runs will free.
        """
        chosen: list[Preemption] = []
        remaining_workers = list(workers)
        while len(chosen) < missing_count:
            next_preemption = choose_preemption(
                queue.priority,
                step.needs,
                remaining_workers,
                placement_pass.capacity,
                placement_pass.policy,
                placement_pass.now,
                candidates=placement_pass.preemption_candidates,
            )
            if next_preemption is None:
                return []
            chosen.append(next_preemption)
            remaining_workers = [
                worker for worker in remaining_workers if worker is not next_preemption.worker
            ]
        self.preemption_requests += [PreemptionRequest(step, preemption) for preemption in chosen]
        return [MemberSlots(preemption.worker, 1) for preemption in chosen]


def _eligible_workers(
    step: StepProgress, advice: StepAdvice | None, schedulable: SchedulableWorkers, now: float
) -> list[Worker]:
    """Return the workers that may run members of a gang, whether or not they have capacity."""
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


def _free_slots(
    step: StepProgress,
    workers: list[Worker],
    capacity: ScratchCapacity,
    now: float,
    preference: SpeedPreference | None,
) -> list[MemberSlots]:
    """Return how many members each worker has free capacity for, the best workers first.

    The slowest member determines how long a gang takes, so workers are grouped by speed.  Among
    workers of the same speed, those that can take the most members come first: the loss of any
    worker aborts the whole gang, so a gang should use few workers.
    """
    last_failed_worker_id = {task.last_failed_worker_id for task in step.tasks}
    ranked = []
    for worker in workers:
        count = min(step.max_tasks_per_worker, capacity.slots(worker, step.needs))
        if count > 0:
            score = (
                int(worker.worker_id in last_failed_worker_id),
                int(worker.health.is_suspected(now)),
                int(is_off_preferred_rack(worker, step)),
                (NEUTRAL_SPEED_SCORE if preference is None else preference.score(worker)),
                -count,
                capacity.free_processors(worker),
                worker.worker_id,
            )
            ranked.append((score, MemberSlots(worker, count)))
    ranked.sort(key=lambda item: item[0])
    return [slots for _score, slots in ranked]


def _slots_freed_soon(
    step: StepProgress, workers: list[Worker], capacity: ScratchCapacity, now: float
) -> list[MemberSlots]:
    """Return how many additional members each worker will soon have capacity for."""
    max_per_worker = step.max_tasks_per_worker
    slots_soon = []
    for worker in workers:
        freed = capacity_freed_soon(worker, now)
        if any(freed):
            free_now = min(max_per_worker, capacity.slots(worker, step.needs))
            count = min(max_per_worker, capacity.slots(worker, step.needs, freed)) - free_now
            if count > 0:
                slots_soon.append(MemberSlots(worker, count))
    return slots_soon


def _first_members(slots: list[MemberSlots], count: int) -> list[MemberSlots]:
    """Return the slots of the first ``count`` members, or all slots if there are fewer."""
    chosen = []
    for item in slots:
        if count <= 0:
            break
        chosen.append(MemberSlots(item.worker, min(item.count, count)))
        count -= item.count
    return chosen


def _slot_count(slots: list[MemberSlots]) -> int:
    return sum(item.count for item in slots)


def _choose_slots(
    step: StepProgress, slots: list[MemberSlots], now: float
) -> list[MemberSlots] | None:
    """Return slots for every member, in one rack if the gang asks for that, or ``None``."""
    member_count = len(step.tasks)
    if _slot_count(slots) < member_count:
        return None
    if step.spec.same_rack:
        slots_by_rack: dict[str, list[MemberSlots]] = {}
        for item in slots:
            slots_by_rack.setdefault(item.worker.record.rack, []).append(item)
        sufficient = [
            items for items in slots_by_rack.values() if _slot_count(items) >= member_count
        ]
        if sufficient:
            slots = min(sufficient, key=_slot_count)
        elif now - step.ready_at < _one_rack_wait_seconds(step):
            return None
    return _first_members(slots, member_count)


def _one_rack_wait_seconds(step: StepProgress) -> float:
    return ONE_RACK_WAIT_SHARE * step.expected_seconds


def _start_gang(
    step: StepProgress,
    members: list[MemberSlots],
    advice: StepAdvice | None,
    capacity: ScratchCapacity,
) -> StepPlacement:
    placements = []
    tasks = iter(step.tasks)
    for item in members:
        capacity.take(item.worker, step.needs, item.count)
        ticket = "" if advice is None else advice.tickets[item.worker.worker_id].text
        placements += [Placement(next(tasks), item.worker, ticket) for _ in range(item.count)]
    return StepPlacement(step, placements)


def _workers_to_ask_about(
    step: StepProgress,
    policy: AdvicePolicy,
    advice: StepAdvice,
    schedulable: SchedulableWorkers,
    slots: list[MemberSlots],
    target_selector: AdviceTargetSelector,
    now: float,
) -> list[str]:
    """Return the workers for which a gang needs tickets.

    The first call covers all workers, because a gang needs free capacity on many suitable workers
    at the same moment.  A first call about only twice the needed capacity, while the advice queue
    was long, cost a tenth of all that was served on busy days.  Later calls cover only workers
    with free capacity: workers that were not asked about yet while the gang lacks slots, and, once
    it has most of its slots, suitable workers whose tickets are about to expire.
    """
    member_count = len(step.tasks)
    suitable_workers = [
        schedulable.workers[name] for name in advice.tickets if name in schedulable.workers
    ]
    is_due = now >= advice.new_workers_due_at
    unknown_count = len(schedulable.workers.keys() - advice.queried_workers)
    if not can_ever_fit(step, suitable_workers) and (
        is_due or unknown_count >= MINIMUM_WORKERS_PER_CALL
    ):
        if unknown_count < MINIMUM_WORKERS_PER_CALL and advice.queried_workers:
            advice.new_workers_due_at = now + UNKNOWN_WORKERS_INTERVAL_SECONDS
        return target_selector.all_new_targets(advice)
    unknown_with_capacity: list[str] = []
    missing_count = member_count - _slot_count(slots)
    if missing_count > 0:
        unknown_with_capacity = target_selector.new_targets_with_capacity(missing_count, advice)
    if _slot_count(slots) < MIN_READY_MEMBER_SHARE * member_count:
        if not unknown_with_capacity or not is_due:
            return []
        advice.new_workers_due_at = now + UNKNOWN_WORKERS_INTERVAL_SECONDS
        return unknown_with_capacity
    needed_until = now + policy.call_seconds(len(slots)) + TICKET_RENEWAL_MARGIN_SECONDS
    worker_ids = [item.worker.worker_id for item in slots]
    return unknown_with_capacity + [
        worker_id for worker_id in worker_ids if advice.tickets[worker_id].use_before < needed_until
    ]
