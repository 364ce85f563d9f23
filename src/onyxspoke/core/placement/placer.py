"""Chooses which waiting tasks start now, and where: a pure function of what is known."""

from __future__ import annotations

import math

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy, StepKey
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import AdviceTargetSelector, call_interval_seconds
from onyxspoke.core.placement.advice_timing import AdviceTiming
from onyxspoke.core.placement.capacity_seeker import PreemptionRequest, RoomSeeker
from onyxspoke.core.placement.gang_placer import GangPlacer
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.placement.renewal_reservations import RenewalReservations
from onyxspoke.core.placement.reservations import RoomReservations
from onyxspoke.core.placement.schedulable_workers import SchedulableWorkers, has_label
from onyxspoke.core.placement.spreading import (
    Candidate,
    StepPlacement,
    place_tasks,
    task_counts_by_worker,
)
from onyxspoke.core.placement.step_advice import StepAdvice
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.quota_usage import QuotaBudget

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


class Placer:
    """Places waiting tasks in their order; see ``queue_order``.

    A step that found no room is looked at again only when a worker that is good for it has
    gained room since: so a pass costs little however long the waiting line is.  A gang that
    waits holds the room that it could use, so that what comes after it does not take it.
    """

    def __init__(
        self,
        table: WorkerTable,
        advice_dispatcher: AdviceDispatcher,
        stop_seconds: float,
        is_speed_aware: bool = True,
    ) -> None:
        self._minds_speed = is_speed_aware
        self._table = table
        self._advice_dispatcher = advice_dispatcher
        #: Change number of the table at which a step was last looked at in vain.
        self._blocked_at: dict[StepKey, int] = {}
        self._reservations = RoomReservations(table)
        self._seeker = RoomSeeker(advice_dispatcher, self._reservations, stop_seconds)
        self._advice_timing = AdviceTiming(table, advice_dispatcher, stop_seconds)
        self._gangs = GangPlacer(
            advice_dispatcher, self._reservations, self._advice_timing, stop_seconds
        )
        #: When a step that waits for room is looked at next, though none was gained.
        self._look_again_at: dict[StepKey, float] = {}
        #: When a gang that holds no room is looked at next, at the earliest.
        self._gang_look_at: dict[StepKey, float] = {}
        self._overlooked: list[StepProgress] = []
        #: Steps that came to wait for their tenants' quotas since the last call.
        self._newly_over_quota: list[StepProgress] = []

    def take_preemption_requests(self) -> list[PreemptionRequest]:
        """Return the runs that are to give way since the last call."""
        evictions = self._seeker.evictions + self._gangs.evictions
        self._seeker.evictions, self._gangs.evictions = [], []
        return evictions

    def take_overlooked(self) -> list[StepProgress]:
        """Return the steps that only the sweep found startable since the last call."""
        overlooked, self._overlooked = self._overlooked, []
        return overlooked

    def take_newly_over_quota(self) -> list[StepProgress]:
        """Return the steps that came to wait for their tenants' quotas since the last call."""
        steps, self._newly_over_quota = self._newly_over_quota, []
        return steps

    def reconsider(self, key: StepKey) -> None:
        """Look at a step anew: what is known of it has changed."""
        self._blocked_at.pop(key, None)

    def reconsider_all(self) -> None:
        """Look at every step anew."""
        self._blocked_at.clear()

    def plan(
        self, steps: list[StepProgress], policy: PolicySet, quotas: QuotaBudget, now: float
    ) -> list[StepPlacement]:
        """Return what starts now, with the room already taken into account.

        Room is tracked in a scratch copy; nothing of the workers is changed.
        """
        self._table.note_availability(now)
        self._forget_others({step.key for step in steps})
        plan: list[StepPlacement] = []
        current = PlacementPass(policy, quotas, now, is_speed_aware=self._minds_speed)
        self._seeker.begin_pass(now)
        self._advice_timing.begin_pass(now)
        offers = _Offers(self._table)
        changes = _Changes(self._table)
        blocked_at: dict[StepKey, int] = {}
        looked_ahead = count = 0
        renewal_reservations = RenewalReservations(self._advice_dispatcher)
        for step in renewal_reservations.steps_by_rank(steps, offers.of, current):
            most = _tasks_within_quota(step, quotas)
            was_over_quota = step.over_quota_since is not None
            if step.set_over_quota(most == 0, now):
                self._newly_over_quota.append(step)
            if most == 0:
                self._reservations.drop(step.key)
                continue
            service = step.job.spec.queue.service
            since = None if was_over_quota else self._blocked_at.get(step.key)
            if since is not None and now < self._gang_look_at.get(step.key, -math.inf):
                # What has changed meanwhile is looked at then.
                blocked_at[step.key] = since
                self._advice_timing.note_waiting(step, service, most)
                continue
            may_look_ahead = not step.spec.gang and looked_ahead < MAXIMUM_LOOKED_AHEAD
            is_due = now >= self._look_again_at.get(step.key, math.inf)
            is_new = since is None or changes.may_help(step, since, self._advice_dispatcher)
            left = most
            if is_new or is_due:
                queue = policy.queue_of(step.job.spec)
                schedulable = offers.of(queue.service)
                placed = self._place_step(step, queue, schedulable, current, most)
                self._look_again_at[step.key] = now + SWEEP_SECONDS
                if may_look_ahead:
                    looked_ahead += self._look_ahead(
                        step, queue, placed, schedulable, current, most
                    )
                elif placed is not None and not is_new:
                    self._overlooked.append(step)
                if placed is not None:
                    left -= len(placed.placements)
                    plan.append(placed)
                    quotas.take(step.job.spec.tenant, step.needs, len(placed.placements))
                    count += len(placed.placements)
                    if count >= MAXIMUM_PLACEMENTS:
                        return plan
            else:
                self._reservations.hold_again(step, current.capacity)
            blocked_at[step.key] = self._table.change_number
            self._advice_timing.note_waiting(step, service, left)
            renewal_reservations.note_waiting(step, left)
        self._blocked_at = blocked_at
        return plan

    def _forget_others(self, waiting: set[StepKey]) -> None:
        """Drop what is kept of steps that wait no longer."""
        self._reservations.drop_others(waiting)
        for moments in (self._look_again_at, self._gang_look_at):
            for key in moments.keys() - waiting:
                del moments[key]

    def _place_step(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        current: PlacementPass,
        most: int,
    ) -> StepPlacement | None:
        if step.spec.gang:
            placed = self._gangs.place(step, queue, schedulable, current)
            if placed is None and not self._reservations.holds(step.key):
                self._gang_look_at[step.key] = current.now + GANG_PAUSE_SECONDS
            else:
                self._gang_look_at.pop(step.key, None)
            return placed
        may_fit = schedulable.may_fit(step.needs)
        candidates = self._candidates(step, queue, schedulable, current.now)
        if queue.advice is not None:
            advice = self._advice_dispatcher.advice_for(step)
            rank = step_rank_in_queue(step, queue, current.now)
            if not advice.has_open_calls and (
                advice.tickets
                or self._advice_timing.should_request(step, queue, rank, may_fit, current.now)
            ):
                target_selector = AdviceTargetSelector(
                    step,
                    schedulable,
                    current.capacity,
                    self._advice_dispatcher.approval_rate(queue.name),
                )
                ask = _workers_to_ask(
                    queue.advice,
                    advice,
                    target_selector,
                    candidates,
                    most,
                    current.now,
                    self._advice_dispatcher,
                )
                self._advice_dispatcher.request_advice(step, queue.advice, ask, rank, current.now)
        if not may_fit or not candidates:
            return None
        return place_tasks(
            step, candidates, current.capacity, most, current.now, current.is_speed_aware
        )

    def _candidates(
        self, step: StepProgress, queue: QueuePolicy, schedulable: SchedulableWorkers, now: float
    ) -> list[Candidate]:
        """Return the workers on which the step may be started now."""
        if queue.advice is None:
            candidates = [Candidate(worker, "") for worker in schedulable.workers.values()]
        else:
            candidates = _with_tickets(self._advice_dispatcher.advice_for(step), schedulable, now)
        return [item for item in candidates if has_label(item.worker, step)]

    def _look_ahead(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        placed: StepPlacement | None,
        schedulable: SchedulableWorkers,
        current: PlacementPass,
        most: int,
    ) -> int:
        """Look after a step of which tasks still wait for room; return 1 if that was so, or 0."""
        if placed is not None and len(placed.placements) == min(most, len(step.waiting)):
            self._reservations.drop(step.key)
            return 0
        self._look_again_at[step.key] = current.now + LOOK_AGAIN_SECONDS
        advice = self._advice_dispatcher.advice_for(step) if queue.advice is not None else None
        counts = task_counts_by_worker(step)
        if advice is None:
            offered = list(schedulable.workers.values())
        else:
            offered = [
                schedulable.workers[name] for name in advice.tickets if name in schedulable.workers
            ]
        workers = [
            worker
            for worker in offered
            if has_label(worker, step)
            and not worker.health.is_suspected(current.now)
            and counts.get(worker.worker_id, 0) < step.max_tasks_per_worker
        ]
        total = schedulable.processors_milli
        self._seeker.seek(step, queue, workers, total, current)
        return 1


class _Changes:
    """The workers that have gained room, or come into use, since a change number."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._since: dict[int, list[Worker]] = {}

    def may_help(self, step: StepProgress, since: int, advice_dispatcher: AdviceDispatcher) -> bool:
        """Return whether one of them may run a step that found no room before."""
        changed = self._since.get(since)
        if changed is None:
            changed = self._since[since] = self._table.changed_since(since)
        if not changed:
            return False
        needs = step.needs
        advice = advice_dispatcher.known_advice(step.key)
        for worker in changed:
            if worker.fits(needs) and (advice is None or advice.may_run_on(worker.worker_id)):
                return True
        return False


class _Offers:
    """The workers to which runs may go, by service."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._by_service: dict[str, SchedulableWorkers] = {}

    def of(self, service: str) -> SchedulableWorkers:
        """Return the offer of a service."""
        schedulable = self._by_service.get(service)
        if schedulable is None:
            schedulable = SchedulableWorkers(self._table.offered(service))
            self._by_service[service] = schedulable
        return schedulable


def _tasks_within_quota(step: StepProgress, quotas: QuotaBudget) -> int:
    """Return how many of a step's waiting tasks its tenant may start; of a gang all, or none."""
    tenant = step.job.spec.tenant
    if not tenant:
        return len(step.waiting)
    slots = quotas.slots(tenant, step.needs)
    if step.spec.gang:
        return len(step.tasks) if slots >= len(step.tasks) else 0
    return min(slots, len(step.waiting))


def _with_tickets(
    advice: StepAdvice, schedulable: SchedulableWorkers, now: float
) -> list[Candidate]:
    candidates = []
    for worker_id, held in advice.tickets.items():
        worker = schedulable.workers.get(worker_id)
        if worker is not None and now < held.use_before:
            candidates.append(Candidate(worker, held.text))
    return candidates


def _workers_to_ask(
    policy: AdvicePolicy,
    advice: StepAdvice,
    target_selector: AdviceTargetSelector,
    candidates: list[Candidate],
    most: int,
    now: float,
    advice_dispatcher: AdviceDispatcher,
) -> list[str]:
    """Return the workers about which advice is missing and would help, for ``most`` tasks."""
    if not advice.tickets:
        return target_selector.first_targets(most, advice)
    missing = most - sum(target_selector.free_slots(item.worker) for item in candidates)
    if missing <= 0:
        return []
    renew = (
        target_selector.renewal_targets_ahead
        if advice_dispatcher.uses_fair_shares
        else target_selector.renewal_targets
    )
    again = renew(missing, advice, now)
    if again or now < advice.new_workers_due_at:
        return again
    others = target_selector.new_targets_with_capacity(missing, advice)
    advice.new_workers_due_at = now + call_interval_seconds(policy, len(others))
    return others
