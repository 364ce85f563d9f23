"""Chooses which waiting tasks start now, and where: a pure function of what is known."""

from __future__ import annotations

import math

from onyxspoke.core.jobs.model import AdvicePolicy, Needs, QueuePolicy, StepKey
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_desk import AdviceDesk, StepAdvice
from onyxspoke.core.placement.queue_order import step_rank, step_rank_of
from onyxspoke.core.placement.reservations import MemberSlots, RoomReservations, can_ever_fit
from onyxspoke.core.placement.room import ScratchRoom
from onyxspoke.core.placement.room_seeker import Eviction, RoomSeeker
from onyxspoke.core.placement.spreading import (
    Candidate,
    Placement,
    StepPlacement,
    counts_on_workers,
    is_far,
    place_tasks,
)
from onyxspoke.core.placement.workers import Worker, WorkerTable

#: Tasks placed in one pass at most, so that a pass stays short.
MAXIMUM_PLACEMENTS = 200
#: A step that waits for room is looked at again after so long, in seconds.
LOOK_AGAIN_SECONDS = 0.2
#: Every other waiting step is looked at again after so long, in seconds, whatever is known of it:
#: what was told, or lost, may have left it behind.
SWEEP_SECONDS = 1.0
#: A gang that holds no room needs all of it at once, and is looked at so often at most, in seconds.
GANG_PAUSE_SECONDS = 0.1
#: Steps that are looked after in one pass while they wait, so that a pass stays short.
MAXIMUM_LOOKED_AHEAD = 12
#: Tickets for a gang are asked for once so much of its room is there.
ASKING_SHARE = 0.6
#: Tickets that run out so soon after the answer to a call are asked for anew.
RENEWAL_SECONDS = 0.1
#: A gang that is slower over several racks waits for one rack, for so long at most, as a
#: share of its estimate.
ONE_RACK_PATIENCE_SHARE = 0.5
_MILLISECONDS = 1_000.0


class Placer:
    """Places waiting tasks in their order; see ``queue_order``.

    A step that found no room is looked at again only when a worker that is good for it has
    gained room since: so a pass costs little however long the waiting line is.  A gang that
    waits holds the room that it could use, so that what comes after it does not take it.
    """

    def __init__(self, table: WorkerTable, desk: AdviceDesk, stop_seconds: float) -> None:
        self._table = table
        self._desk = desk
        #: Change number of the table at which a step was last looked at in vain.
        self._blocked_at: dict[StepKey, int] = {}
        self._reservations = RoomReservations(table)
        self._seeker = RoomSeeker(desk, self._reservations, stop_seconds)
        #: When a step that waits for room is looked at next, though none was gained.
        self._look_again_at: dict[StepKey, float] = {}
        #: When a gang that holds no room is looked at next, at the earliest.
        self._gang_look_at: dict[StepKey, float] = {}
        self._overlooked: list[StepProgress] = []

    def take_evictions(self) -> list[Eviction]:
        """Return the runs that are to give way since the last call."""
        evictions, self._seeker.evictions = self._seeker.evictions, []
        return evictions

    def take_overlooked(self) -> list[StepProgress]:
        """Return the steps that only the sweep found startable since the last call."""
        overlooked, self._overlooked = self._overlooked, []
        return overlooked

    def reconsider(self, key: StepKey) -> None:
        """Look at a step anew: what is known of it has changed."""
        self._blocked_at.pop(key, None)

    def reconsider_all(self) -> None:
        """Look at every step anew."""
        self._blocked_at.clear()

    def plan(self, steps: list[StepProgress], policy: PolicySet, now: float) -> list[StepPlacement]:
        """Return what starts now, with the room already taken into account.

        Room is tracked in a scratch copy; nothing of the workers is changed.
        """
        self._table.note_availability(now)
        waiting = {step.key for step in steps}
        self._reservations.drop_others(waiting)
        for moments in (self._look_again_at, self._gang_look_at):
            for key in moments.keys() - waiting:
                del moments[key]
        plan: list[StepPlacement] = []
        room = ScratchRoom()
        self._seeker.begin_pass(now)
        offers = _Offers(self._table)
        changes = _Changes(self._table)
        blocked_at: dict[StepKey, int] = {}
        looked_ahead = 0
        count = 0
        for step in sorted(steps, key=lambda item: step_rank(item, policy, now)):
            since = self._blocked_at.get(step.key)
            if since is not None and now < self._gang_look_at.get(step.key, -math.inf):
                # What has changed meanwhile is looked at then.
                blocked_at[step.key] = since
                continue
            may_look_ahead = not step.spec.gang and looked_ahead < MAXIMUM_LOOKED_AHEAD
            is_due = now >= self._look_again_at.get(step.key, math.inf)
            is_new = since is None or changes.may_help(step, since, self._desk)
            if is_new or is_due:
                queue = policy.queue_of(step.job.spec)
                offer = offers.of(queue.service)
                placed = self._place_step(step, queue, offer, room, now)
                self._look_again_at[step.key] = now + SWEEP_SECONDS
                if may_look_ahead:
                    looked_ahead += self._look_ahead(step, queue, placed, offer, room, policy, now)
                elif placed is not None and not is_new:
                    self._overlooked.append(step)
                if placed is not None:
                    plan.append(placed)
                    count += len(placed.placements)
                    if count >= MAXIMUM_PLACEMENTS:
                        return plan
            else:
                self._reservations.hold_again(step, room)
            blocked_at[step.key] = self._table.change_number
        self._blocked_at = blocked_at
        return plan

    def _place_step(
        self, step: StepProgress, queue: QueuePolicy, offer: _Offer, room: ScratchRoom, now: float
    ) -> StepPlacement | None:
        if step.spec.gang:
            placed = self._place_gang(step, queue, offer, room, now)
            if placed is None and not self._reservations.holds(step.key):
                self._gang_look_at[step.key] = now + GANG_PAUSE_SECONDS
            else:
                self._gang_look_at.pop(step.key, None)
            return placed
        may_fit = offer.may_fit(step.needs)
        candidates = self._candidates(step, queue, offer, now)
        if queue.advice is not None:
            advice = self._desk.advice_on(step)
            if not advice.is_asking:
                ask = _workers_to_ask(step, advice, offer, bool(candidates), may_fit, room)
                self._desk.want(step, queue.advice, ask, step_rank_of(step, queue, now), now)
        if not may_fit or not candidates:
            return None
        return place_tasks(step, candidates, room, now)

    def _candidates(
        self, step: StepProgress, queue: QueuePolicy, offer: _Offer, now: float
    ) -> list[Candidate]:
        """Return the workers on which the step may be started now."""
        if queue.advice is None:
            candidates = [Candidate(worker, "") for worker in offer.workers.values()]
        else:
            candidates = _with_tickets(self._desk.advice_on(step), offer, now)
        return [item for item in candidates if _has_label(item.worker, step)]

    def _look_ahead(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        placed: StepPlacement | None,
        offer: _Offer,
        room: ScratchRoom,
        policy: PolicySet,
        now: float,
    ) -> int:
        """Look after a step of which tasks still wait; return 1 if that was so, or 0."""
        if placed is not None and len(placed.placements) == len(step.waiting):
            self._reservations.drop(step.key)
            return 0
        self._look_again_at[step.key] = now + LOOK_AGAIN_SECONDS
        advice = self._desk.advice_on(step) if queue.advice is not None else None
        counts = counts_on_workers(step)
        if advice is None:
            offered = list(offer.workers.values())
        else:
            offered = [offer.workers[name] for name in advice.tickets if name in offer.workers]
        workers = [
            worker
            for worker in offered
            if _has_label(worker, step)
            and not worker.health.is_doubtful(now)
            and counts.get(worker.worker_id, 0) < (step.spec.spread_limit or len(step.tasks))
        ]
        total = offer.processors_milli
        self._seeker.seek(step, queue, workers, total, room, policy, now)
        return 1

    # Gangs

    def _place_gang(
        self, step: StepProgress, queue: QueuePolicy, offer: _Offer, room: ScratchRoom, now: float
    ) -> StepPlacement | None:
        if len(step.waiting) < len(step.tasks):
            return None
        advice = self._desk.advice_on(step) if queue.advice is not None else None
        workers = _workers_for_gang(step, advice, offer, now)
        slots = _slots_of(step, workers, room, now)
        usable = slots
        if advice is not None:
            held = advice.tickets
            usable = [item for item in slots if now < held[item.worker.worker_id].use_before]
        members = _choose_for_gang(step, usable, now)
        if members is not None:
            self._reservations.drop(step.key)
            return _start_gang(step, members, advice, room)
        self._hold_for_gang(step, queue, offer, workers, slots, room, now)
        return None

    def _hold_for_gang(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        offer: _Offer,
        workers: list[Worker],
        slots: list[MemberSlots],
        room: ScratchRoom,
        now: float,
    ) -> None:
        """Hold the room that there is, and ask for what is missing to use it."""
        advice = self._desk.advice_on(step) if queue.advice is not None else None
        if queue.advice is not None and advice is not None and not advice.is_asking:
            ask = _workers_to_ask_for_gang(step, queue.advice, advice, offer, slots, now)
            self._desk.want(step, queue.advice, ask, step_rank_of(step, queue, now), now)
        may_hold = self._reservations.holds(step.key) or self._reservations.is_within_share(
            offer.processors_milli
        )
        if may_hold and can_ever_fit(step, workers):
            self._reservations.hold(step, _first_members(slots, len(step.tasks)), room)
        else:
            self._reservations.drop(step.key)


class _Changes:
    """The workers that have gained room, or come into use, since a change number."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._since: dict[int, list[Worker]] = {}

    def may_help(self, step: StepProgress, since: int, desk: AdviceDesk) -> bool:
        """Return whether one of them may run a step that found no room before."""
        changed = self._since.get(since)
        if changed is None:
            changed = self._since[since] = self._table.changed_since(since)
        if not changed:
            return False
        needs = step.needs
        advice = desk.known_advice(step.key)
        for worker in changed:
            if worker.fits(needs) and (advice is None or advice.may_run_on(worker.worker_id)):
                return True
        return False


class _Offers:
    """The workers to which runs may go, by service."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._by_service: dict[str, _Offer] = {}

    def of(self, service: str) -> _Offer:
        """Return the offer of a service."""
        offer = self._by_service.get(service)
        if offer is None:
            offer = _Offer(self._table.offered(service))
            self._by_service[service] = offer
        return offer


class _Offer:
    """The workers of one service to which runs may go."""

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = {worker.worker_id: worker for worker in workers}
        self._most_processors = max((worker.free_processors for worker in workers), default=-1)
        self._most_memory = max((worker.free_memory for worker in workers), default=-1)
        #: Of all its workers together.
        self.processors_milli = sum(worker.record.capacity.processors_milli for worker in workers)

    def may_fit(self, needs: Needs) -> bool:
        """Return whether some worker might have room; a quick look, before any plan."""
        return (
            needs.processors_milli <= self._most_processors and needs.memory_mb <= self._most_memory
        )


def _with_tickets(advice: StepAdvice, offer: _Offer, now: float) -> list[Candidate]:
    candidates = []
    for worker_id, held in advice.tickets.items():
        worker = offer.workers.get(worker_id)
        if worker is not None and now < held.use_before:
            candidates.append(Candidate(worker, held.text))
    return candidates


def _has_label(worker: Worker, step: StepProgress) -> bool:
    label = step.spec.required_label
    return not label or label in worker.record.labels


def _workers_for_gang(
    step: StepProgress, advice: StepAdvice | None, offer: _Offer, now: float
) -> list[Worker]:
    """Return the workers that may run a gang's members, whether there is room or not."""
    if advice is None:
        workers = list(offer.workers.values())
    else:
        workers = [offer.workers[name] for name in advice.tickets if name in offer.workers]
    return [
        worker
        for worker in workers
        if _has_label(worker, step) and not worker.health.is_on_trial(now)
    ]


def _slots_of(
    step: StepProgress, workers: list[Worker], room: ScratchRoom, now: float
) -> list[MemberSlots]:
    """Return how many members each worker has room for, the best workers first."""
    spec = step.spec
    failed_on = {task.failed_on for task in step.tasks}
    bound = min(spec.spread_limit or len(step.tasks), len(step.tasks))
    ranked = []
    for worker in workers:
        count = min(bound, room.slots(worker, step.needs))
        if count > 0:
            score = (
                int(worker.worker_id in failed_on),
                int(worker.health.is_doubtful(now)),
                int(is_far(worker, step)),
                room.free_processors(worker),
                worker.worker_id,
            )
            ranked.append((score, MemberSlots(worker, count)))
    ranked.sort(key=lambda item: item[0])
    return [slots for _score, slots in ranked]


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
    return ONE_RACK_PATIENCE_SHARE * step.spec.estimated_ms / _MILLISECONDS


def _start_gang(
    step: StepProgress, members: list[MemberSlots], advice: StepAdvice | None, room: ScratchRoom
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
    offer: _Offer,
    slots: list[MemberSlots],
    now: float,
) -> list[str]:
    """Return the workers whose tickets a gang lacks.

    All are asked about at first.  Later it is those that have room: while some is missing, the
    workers that came into use since; once most of it is there, the good ones for new tickets.
    """
    unknown = offer.workers.keys() - advice.asked
    if len(unknown) * 2 > len(offer.workers):
        return sorted(unknown)
    asked: list[str] = []
    if _total(slots) < len(step.tasks):
        needs = step.needs
        asked = sorted(name for name in unknown if offer.workers[name].fits(needs))
    if _total(slots) < ASKING_SHARE * len(step.tasks):
        return asked
    seconds = (policy.decide_ms + policy.per_item_ms * len(slots)) / _MILLISECONDS
    needed_until = now + seconds + RENEWAL_SECONDS
    good = [item.worker.worker_id for item in slots]
    return asked + [name for name in good if advice.tickets[name].use_before < needed_until]


def _workers_to_ask(
    step: StepProgress,
    advice: StepAdvice,
    offer: _Offer,
    has_tickets: bool,
    may_fit: bool,
    room: ScratchRoom,
) -> list[str]:
    """Return the workers about which advice is missing and would help."""
    unknown = offer.workers.keys() - advice.asked
    if len(unknown) * 2 > len(offer.workers):
        return sorted(unknown)
    if has_tickets or not may_fit:
        return []
    needs = step.needs
    useful = [
        worker
        for worker_id, worker in offer.workers.items()
        if advice.may_run_on(worker_id) and room.fits(worker, needs)
    ]
    return [worker.worker_id for worker in useful]
