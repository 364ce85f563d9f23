"""Choose which waiting tasks start now, and on which workers.

The choice is a pure function of the known state of steps, workers, quotas and advice.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy, StepKey
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import AdviceTargetSelector, call_interval_seconds
from onyxspoke.core.placement.advice_timing import AdviceTiming
from onyxspoke.core.placement.capacity_seeker import CapacitySeeker, PreemptionRequest
from onyxspoke.core.placement.gang_placer import GangPlacer
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import MAXIMUM_TASKS_PER_STEP
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.placement.quota_preemption import QuotaPreemptor
from onyxspoke.core.placement.renewal_reservations import RenewalReservations
from onyxspoke.core.placement.reservations import CapacityReservations
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

#: A pass ends once it has placed at least this many tasks, which bounds its duration.
MAXIMUM_PLACEMENTS = 200
#: A step that waits for capacity is evaluated again after this many seconds.
REEVALUATION_SECONDS = 0.2
#: Every other waiting step is evaluated again after this many seconds, even if no change is known
#: that could help it.  This sweep guards against lost or missing notifications of changes.
SWEEP_SECONDS = 1.0
#: A gang without a reservation is evaluated at most once in this many seconds, because it needs
#: capacity for all its members at once.
GANG_REEVALUATION_SECONDS = 0.1
#: A pass no longer reserves capacity or chooses preemptions after this many searches, which bounds
#: its duration.  Gangs are not counted.
MAXIMUM_CAPACITY_SEARCHES = 12


class Placer:
    """Places waiting tasks in the order of ``queue_order``.

    A step that found no free capacity is evaluated again when a worker that it may use has gained
    capacity, and otherwise only at intervals, so that a pass over a long queue costs little.  A
    waiting gang reserves the capacity that it could use, so that steps behind it do not use it.
    """

    def __init__(
        self,
        table: WorkerTable,
        advice_dispatcher: AdviceDispatcher,
        stop_seconds: float,
        is_speed_aware: bool = True,
        planning_limit: Callable[[StepProgress], int] = lambda step: len(step.tasks),
    ) -> None:
        self._minds_speed = is_speed_aware
        #: Returns how many starts of a step may be planned now.  Where that is fewer than wait, the
        #: step is to be reconsidered once more may be planned.
        self._planning_limit = planning_limit
        self._table = table
        self._advice_dispatcher = advice_dispatcher
        #: The table's change number at the last evaluation of each step that found no capacity.
        self._blocked_at_change: dict[StepKey, int] = {}
        self._reservations = CapacityReservations(table)
        self._capacity_seeker = CapacitySeeker(advice_dispatcher, self._reservations, stop_seconds)
        self._advice_timing = AdviceTiming(table, advice_dispatcher, stop_seconds)
        self._gang_placer = GangPlacer(
            advice_dispatcher, self._reservations, self._advice_timing, stop_seconds
        )
        self._quota_preemptor = QuotaPreemptor(table, stop_seconds)
        #: When each waiting step is evaluated next, even if no worker has gained capacity.
        self._reevaluate_at: dict[StepKey, float] = {}
        #: The earliest time of the next evaluation of each gang without a reservation.
        self._gang_reevaluate_at: dict[StepKey, float] = {}
        self._overlooked: list[StepProgress] = []
        #: Steps that began to wait for their tenants' quotas since the last call.
        self._newly_over_quota: list[StepProgress] = []

    def take_preemption_requests(self) -> list[PreemptionRequest]:
        """Return the preemptions that were chosen since the last call."""
        preemption_requests = []
        for source in (self._capacity_seeker, self._gang_placer, self._quota_preemptor):
            preemption_requests += source.preemption_requests
            source.preemption_requests = []
        return preemption_requests

    def take_overlooked(self) -> list[StepProgress]:
        """Return the steps, since the last call, that only the sweep started."""
        overlooked, self._overlooked = self._overlooked, []
        return overlooked

    def take_newly_over_quota(self) -> list[StepProgress]:
        """Return the steps that began to wait for their tenants' quotas since the last call."""
        steps, self._newly_over_quota = self._newly_over_quota, []
        return steps

    def reconsider(self, key: StepKey) -> None:
        """Evaluate a step in the next pass, because its known state has changed."""
        self._blocked_at_change.pop(key, None)

    def reconsider_all(self) -> None:
        """Evaluate every step in the next pass."""
        self._blocked_at_change.clear()

    def plan(
        self, steps: list[StepProgress], policy: PolicySet, quotas: QuotaBudget, now: float
    ) -> list[StepPlacement]:
        """Return the tasks that start now, with their workers.

        The capacity that the plan uses is tracked in a scratch copy; no run is added to a worker.
        """
        self._table.note_availability(now)
        self._forget_steps_not_waiting({step.key for step in steps})
        step_placements: list[StepPlacement] = []
        placement_pass = PlacementPass(policy, quotas, now, is_speed_aware=self._minds_speed)
        self._capacity_seeker.begin_pass(now)
        self._quota_preemptor.begin_pass()
        self._advice_timing.begin_pass(now)
        schedulable_by_service = _SchedulableByService(self._table)
        capacity_gains = _CapacityGains(self._table)
        blocked_at_change: dict[StepKey, int] = {}
        search_count = placed_count = 0
        renewal_reservations = RenewalReservations(self._advice_dispatcher)
        for step in renewal_reservations.steps_by_rank(
            steps, schedulable_by_service.for_service, placement_pass
        ):
            was_over_quota = step.over_quota_since is not None
            max_tasks = min(self._limit_to_quota(step, placement_pass), self._planning_limit(step))
            if max_tasks == 0:
                self._reservations.release(step.key)
                continue
            service = step.job.spec.queue.service
            blocked_since = None if was_over_quota else self._blocked_at_change.get(step.key)
            if blocked_since is not None and now < self._gang_reevaluate_at.get(
                step.key, -math.inf
            ):
                # The capacity gained since then is considered when the gang is evaluated next.
                blocked_at_change[step.key] = blocked_since
                self._advice_timing.note_waiting(step, service, max_tasks)
                continue
            may_search = not step.spec.gang and search_count < MAXIMUM_CAPACITY_SEARCHES
            is_due = now >= self._reevaluate_at.get(step.key, math.inf)
            may_start = blocked_since is None or capacity_gains.may_help(
                step, blocked_since, self._advice_dispatcher
            )
            remaining_tasks = max_tasks
            if may_start or is_due:
                queue = policy.queue_of(step.job.spec)
                schedulable = schedulable_by_service.for_service(queue.service)
                step_placement = self._place_step(
                    step, queue, schedulable, placement_pass, max_tasks
                )
                self._reevaluate_at[step.key] = now + SWEEP_SECONDS
                if may_search:
                    search_count += self._search_capacity(
                        step, queue, step_placement, schedulable, placement_pass, max_tasks
                    )
                elif step_placement is not None and not may_start:
                    self._overlooked.append(step)
                if step_placement is not None:
                    remaining_tasks -= len(step_placement.placements)
                    step_placements.append(step_placement)
                    quotas.take(step.job.spec.tenant, step.needs, len(step_placement.placements))
                    placed_count += len(step_placement.placements)
                    if placed_count >= MAXIMUM_PLACEMENTS:
                        return step_placements
            else:
                self._reservations.reapply(step, placement_pass.capacity)
            blocked_at_change[step.key] = self._table.change_number
            self._quota_preemptor.hold(step, remaining_tasks, placement_pass)
            self._advice_timing.note_waiting(step, service, remaining_tasks)
            renewal_reservations.note_waiting(step, remaining_tasks)
        self._blocked_at_change = blocked_at_change
        return step_placements

    def _limit_to_quota(self, step: StepProgress, placement_pass: PlacementPass) -> int:
        """Return how many tasks the step's tenant may start; preempt for the others if possible."""
        max_tasks = _tasks_within_quota(step, placement_pass.quotas)
        if step.set_over_quota(max_tasks == 0, placement_pass.now):
            self._newly_over_quota.append(step)
        self._quota_preemptor.seek(step, max_tasks, placement_pass)
        return max_tasks

    def _forget_steps_not_waiting(self, waiting: set[StepKey]) -> None:
        """Drop the state of steps that no longer wait."""
        self._reservations.release_others(waiting)
        self._quota_preemptor.forget_others(waiting)
        for times_by_step in (self._reevaluate_at, self._gang_reevaluate_at):
            for key in times_by_step.keys() - waiting:
                del times_by_step[key]

    def _place_step(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        schedulable: SchedulableWorkers,
        placement_pass: PlacementPass,
        max_tasks: int,
    ) -> StepPlacement | None:
        if step.spec.gang:
            gang_placement = self._gang_placer.place(step, queue, schedulable, placement_pass)
            if gang_placement is None and not self._reservations.has_reservation(step.key):
                self._gang_reevaluate_at[step.key] = placement_pass.now + GANG_REEVALUATION_SECONDS
            else:
                self._gang_reevaluate_at.pop(step.key, None)
            return gang_placement
        may_fit = schedulable.may_fit(step.needs)
        candidates = self._candidates(step, queue, schedulable, placement_pass.now)
        if queue.advice is not None:
            advice = self._advice_dispatcher.advice_for(step)
            rank = step_rank_in_queue(step, queue, placement_pass.now)
            if not advice.has_open_calls and (
                advice.tickets
                or self._advice_timing.should_request(
                    step, queue, rank, may_fit, placement_pass.now
                )
            ):
                target_selector = AdviceTargetSelector(
                    step,
                    schedulable,
                    placement_pass.capacity,
                    self._advice_dispatcher.approval_rate(queue.name),
                )
                worker_ids = _workers_to_ask_about(
                    queue.advice,
                    advice,
                    target_selector,
                    candidates,
                    max_tasks,
                    placement_pass.now,
                    self._advice_dispatcher,
                )
                self._advice_dispatcher.request_advice(
                    step, queue.advice, worker_ids, rank, placement_pass.now
                )
        if not may_fit or not candidates:
            return None
        return place_tasks(
            step,
            candidates,
            placement_pass.capacity,
            max_tasks,
            placement_pass.now,
            placement_pass.is_speed_aware,
        )

    def _candidates(
        self, step: StepProgress, queue: QueuePolicy, schedulable: SchedulableWorkers, now: float
    ) -> list[Candidate]:
        """Return the workers on which the step may be started now."""
        if queue.advice is None:
            candidates = [Candidate(worker, "") for worker in schedulable.workers.values()]
        else:
            candidates = _candidates_with_ticket(
                self._advice_dispatcher.advice_for(step), schedulable, now
            )
        return [item for item in candidates if has_label(item.worker, step)]

    def _search_capacity(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        step_placement: StepPlacement | None,
        schedulable: SchedulableWorkers,
        placement_pass: PlacementPass,
        max_tasks: int,
    ) -> int:
        """Reserve capacity or preempt for a step whose tasks wait; return how often it searched."""
        unplaced_count = min(max_tasks, len(step.waiting))
        if step_placement is not None:
            unplaced_count -= len(step_placement.placements)
        if unplaced_count == 0:
            self._reservations.release(step.key)
            return 0
        self._reevaluate_at[step.key] = placement_pass.now + REEVALUATION_SECONDS
        advice = self._advice_dispatcher.advice_for(step) if queue.advice is not None else None
        counts = task_counts_by_worker(step)
        if advice is None:
            eligible_workers = list(schedulable.workers.values())
        else:
            eligible_workers = [
                schedulable.workers[name] for name in advice.tickets if name in schedulable.workers
            ]
        workers = [
            worker
            for worker in eligible_workers
            if has_label(worker, step)
            and not worker.health.is_suspected(placement_pass.now)
            and counts.get(worker.worker_id, 0) < step.max_tasks_per_worker
        ]
        total_processors_milli = schedulable.processors_milli
        task_count = min(unplaced_count, MAXIMUM_TASKS_PER_STEP)
        return self._capacity_seeker.reserve_or_preempt(
            step, queue, workers, total_processors_milli, task_count, placement_pass
        )


class _CapacityGains:
    """The workers that gained capacity, or became available, since a change number."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._workers_by_change: dict[int, list[Worker]] = {}

    def may_help(
        self, step: StepProgress, blocked_since: int, advice_dispatcher: AdviceDispatcher
    ) -> bool:
        """Return whether any of these workers may run a step that found no capacity before."""
        changed_workers = self._workers_by_change.get(blocked_since)
        if changed_workers is None:
            changed_workers = self._workers_by_change[blocked_since] = self._table.changed_since(
                blocked_since
            )
        if not changed_workers:
            return False
        needs = step.needs
        advice = advice_dispatcher.known_advice(step.key)
        for worker in changed_workers:
            if worker.fits(needs) and (advice is None or advice.may_run_on(worker.worker_id)):
                return True
        return False


class _SchedulableByService:
    """The workers on which runs may be started, by service."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._by_service: dict[str, SchedulableWorkers] = {}

    def for_service(self, service: str) -> SchedulableWorkers:
        """Return the schedulable workers of a service, collected once in a pass."""
        schedulable = self._by_service.get(service)
        if schedulable is None:
            schedulable = SchedulableWorkers(self._table.offered(service))
            self._by_service[service] = schedulable
        return schedulable


def _tasks_within_quota(step: StepProgress, quotas: QuotaBudget) -> int:
    """Return how many waiting tasks of a step its tenant may start; for a gang, all or none."""
    tenant = step.job.spec.tenant
    if not tenant:
        return len(step.waiting)
    slots = quotas.slots(tenant, step.needs)
    if step.spec.gang:
        return len(step.tasks) if slots >= len(step.tasks) else 0
    return min(slots, len(step.waiting))


def _candidates_with_ticket(
    advice: StepAdvice, schedulable: SchedulableWorkers, now: float
) -> list[Candidate]:
    candidates = []
    for worker_id, ticket in advice.tickets.items():
        worker = schedulable.workers.get(worker_id)
        if worker is not None and now < ticket.use_before:
            candidates.append(Candidate(worker, ticket.text))
    return candidates


def _workers_to_ask_about(
    policy: AdvicePolicy,
    advice: StepAdvice,
    target_selector: AdviceTargetSelector,
    candidates: list[Candidate],
    max_tasks: int,
    now: float,
    advice_dispatcher: AdviceDispatcher,
) -> list[str]:
    """Return the workers to ask about, so that ``max_tasks`` tasks can start with their tickets."""
    if not advice.tickets:
        return target_selector.first_targets(max_tasks, advice)
    missing_count = max_tasks - sum(target_selector.free_slots(item.worker) for item in candidates)
    if missing_count <= 0:
        return []
    choose_renewals = (
        target_selector.renewal_targets_ahead
        if advice_dispatcher.uses_fair_shares
        else target_selector.renewal_targets
    )
    renewals = choose_renewals(missing_count, advice, now)
    if renewals or now < advice.new_workers_due_at:
        return renewals
    unknown_workers = target_selector.new_targets_with_capacity(missing_count, advice)
    advice.new_workers_due_at = now + call_interval_seconds(policy, len(unknown_workers))
    return unknown_workers
