"""Choose which waiting tasks start now, and on which workers.

The choice is a pure function of the known state of steps, workers, quotas and advice.
"""

from __future__ import annotations

import math

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy, StepKey
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_choice import AdviceChooser, pause_seconds
from onyxspoke.core.placement.advice_desk import AdviceDesk
from onyxspoke.core.placement.advice_need import AdviceNeed
from onyxspoke.core.placement.gang_placer import GangPlacer
from onyxspoke.core.placement.offer import Offer, has_label
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.queue_order import step_rank_of
from onyxspoke.core.placement.renewal_room import RenewalRoom
from onyxspoke.core.placement.reservations import CapacityReservations
from onyxspoke.core.placement.room_seeker import CapacitySeeker, Eviction
from onyxspoke.core.placement.spreading import (
    Candidate,
    StepPlacement,
    counts_on_workers,
    place_tasks,
)
from onyxspoke.core.placement.step_advice import StepAdvice
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.ledger import QuotaPass

#: The largest number of tasks placed in one pass, which bounds the duration of a pass.
MAXIMUM_PLACEMENTS = 200
#: A step that waits for capacity is evaluated again after this many seconds.
REEVALUATION_SECONDS = 0.2
#: Every other waiting step is evaluated again after this many seconds, even if no change is known
#: that could help it.  This sweep guards against lost or missing notifications of changes.
SWEEP_SECONDS = 1.0
#: A gang without a reservation is evaluated at most once in this many seconds: it needs capacity
#: for all members at once, so a single gain of capacity rarely helps it.
GANG_REEVALUATION_SECONDS = 0.1
#: The largest number of steps for which one pass reserves capacity or chooses preemptions, which
#: bounds the duration of a pass.  Gangs are not counted.
MAXIMUM_CAPACITY_SEARCHES = 12


class Placer:
    """Places waiting tasks in the order of ``queue_order``.

    A step that found no free capacity is evaluated again only when a worker that it may use has
    gained capacity since: a pass therefore costs little, however long the waiting queue is.  A
    waiting gang reserves the capacity that it could use, so that steps behind it do not use it.
    """

    def __init__(
        self,
        table: WorkerTable,
        advice_dispatcher: AdviceDesk,
        stop_seconds: float,
        minds_speed: bool = True,
    ) -> None:
        self._minds_speed = minds_speed
        self._table = table
        self._advice_dispatcher = advice_dispatcher
        #: The table's change number at the last evaluation of each step that found no capacity.
        self._blocked_at_change: dict[StepKey, int] = {}
        self._reservations = CapacityReservations(table)
        self._capacity_seeker = CapacitySeeker(advice_dispatcher, self._reservations, stop_seconds)
        self._advice_need = AdviceNeed(table, advice_dispatcher, stop_seconds)
        self._gang_placer = GangPlacer(
            advice_dispatcher, self._reservations, self._advice_need, stop_seconds
        )
        #: When each waiting step is evaluated next, even if no worker has gained capacity.
        self._reevaluate_at: dict[StepKey, float] = {}
        #: The earliest time of the next evaluation of each gang without a reservation.
        self._gang_reevaluate_at: dict[StepKey, float] = {}
        self._overlooked: list[StepProgress] = []
        #: Steps that their tenants' quotas began to hold back since the last call.
        self._newly_over_quota: list[StepProgress] = []

    def take_evictions(self) -> list[Eviction]:
        """Return the preemptions that were chosen since the last call."""
        preemption_requests = (
            self._capacity_seeker.preemption_requests + self._gang_placer.preemption_requests
        )
        self._capacity_seeker.preemption_requests, self._gang_placer.preemption_requests = [], []
        return preemption_requests

    def take_overlooked(self) -> list[StepProgress]:
        """Return the steps that only the sweep found startable since the last call."""
        overlooked, self._overlooked = self._overlooked, []
        return overlooked

    def take_newly_over_quota(self) -> list[StepProgress]:
        """Return the steps that their tenants' quotas began to hold back since the last call."""
        steps, self._newly_over_quota = self._newly_over_quota, []
        return steps

    def reconsider(self, key: StepKey) -> None:
        """Evaluate a step in the next pass, because its known state has changed."""
        self._blocked_at_change.pop(key, None)

    def reconsider_all(self) -> None:
        """Evaluate every step in the next pass."""
        self._blocked_at_change.clear()

    def plan(
        self, steps: list[StepProgress], policy: PolicySet, quotas: QuotaPass, now: float
    ) -> list[StepPlacement]:
        """Return the tasks that start now, with their workers.

        The capacity that the plan uses is tracked in a scratch copy; no run is added to a worker.
        """
        self._table.note_availability(now)
        self._forget_others({step.key for step in steps})
        step_placements: list[StepPlacement] = []
        placement_pass = PlacementPass(policy, quotas, now, minds_speed=self._minds_speed)
        self._capacity_seeker.begin_pass(now)
        self._advice_need.begin_pass(now)
        offers = _Offers(self._table)
        capacity_gains = _CapacityGains(self._table)
        blocked_at_change: dict[StepKey, int] = {}
        search_count = placed_count = 0
        renewals = RenewalRoom(self._advice_dispatcher)
        for step in renewals.in_order(steps, offers.for_service, placement_pass):
            max_tasks = _tasks_within_quota(step, quotas)
            was_over_quota = step.over_quota_since is not None
            if step.note_quota(max_tasks == 0, now):
                self._newly_over_quota.append(step)
            if max_tasks == 0:
                self._reservations.drop(step.key)
                continue
            service = step.job.spec.queue.service
            blocked_since = None if was_over_quota else self._blocked_at_change.get(step.key)
            if blocked_since is not None and now < self._gang_reevaluate_at.get(
                step.key, -math.inf
            ):
                # The changes since then count when the gang is evaluated next.
                blocked_at_change[step.key] = blocked_since
                self._advice_need.note_waiting(step, service, max_tasks)
                continue
            may_search = not step.spec.gang and search_count < MAXIMUM_CAPACITY_SEARCHES
            is_due = now >= self._reevaluate_at.get(step.key, math.inf)
            may_start = blocked_since is None or capacity_gains.may_help(
                step, blocked_since, self._advice_dispatcher
            )
            remaining_tasks = max_tasks
            if may_start or is_due:
                queue = policy.queue_of(step.job.spec)
                offer = offers.for_service(queue.service)
                step_placement = self._place_step(step, queue, offer, placement_pass, max_tasks)
                self._reevaluate_at[step.key] = now + SWEEP_SECONDS
                if may_search:
                    search_count += self._search_capacity(
                        step, queue, step_placement, offer, placement_pass, max_tasks
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
                self._reservations.hold_again(step, placement_pass.room)
            blocked_at_change[step.key] = self._table.change_number
            self._advice_need.note_waiting(step, service, remaining_tasks)
            renewals.note_waiting(step, remaining_tasks)
        self._blocked_at_change = blocked_at_change
        return step_placements

    def _forget_others(self, waiting: set[StepKey]) -> None:
        """Drop the state of steps that no longer wait."""
        self._reservations.drop_others(waiting)
        for times_by_step in (self._reevaluate_at, self._gang_reevaluate_at):
            for key in times_by_step.keys() - waiting:
                del times_by_step[key]

    def _place_step(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        offer: Offer,
        placement_pass: PlacementPass,
        max_tasks: int,
    ) -> StepPlacement | None:
        if step.spec.gang:
            gang_placement = self._gang_placer.place(step, queue, offer, placement_pass)
            if gang_placement is None and not self._reservations.holds(step.key):
                self._gang_reevaluate_at[step.key] = placement_pass.now + GANG_REEVALUATION_SECONDS
            else:
                self._gang_reevaluate_at.pop(step.key, None)
            return gang_placement
        may_fit = offer.may_fit(step.needs)
        candidates = self._candidates(step, queue, offer, placement_pass.now)
        if queue.advice is not None:
            advice = self._advice_dispatcher.advice_on(step)
            rank = step_rank_of(step, queue, placement_pass.now)
            if not advice.is_asking and (
                advice.tickets
                or self._advice_need.is_of_use(step, queue, rank, may_fit, placement_pass.now)
            ):
                chooser = AdviceChooser(
                    step, offer, placement_pass.room, self._advice_dispatcher.good_share(queue.name)
                )
                worker_ids = _workers_to_ask_about(
                    queue.advice,
                    advice,
                    chooser,
                    candidates,
                    max_tasks,
                    placement_pass.now,
                    self._advice_dispatcher,
                )
                self._advice_dispatcher.want(
                    step, queue.advice, worker_ids, rank, placement_pass.now
                )
        if not may_fit or not candidates:
            return None
        return place_tasks(
            step,
            candidates,
            placement_pass.room,
            max_tasks,
            placement_pass.now,
            placement_pass.minds_speed,
        )

    def _candidates(
        self, step: StepProgress, queue: QueuePolicy, offer: Offer, now: float
    ) -> list[Candidate]:
        """Return the workers on which the step may be started now."""
        if queue.advice is None:
            candidates = [Candidate(worker, "") for worker in offer.workers.values()]
        else:
            candidates = _candidates_with_ticket(
                self._advice_dispatcher.advice_on(step), offer, now
            )
        return [item for item in candidates if has_label(item.worker, step)]

    def _search_capacity(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        step_placement: StepPlacement | None,
        offer: Offer,
        placement_pass: PlacementPass,
        max_tasks: int,
    ) -> int:
        """Reserve capacity or preempt for a step whose tasks wait; return 1 if any do, or 0."""
        if step_placement is not None and len(step_placement.placements) == min(
            max_tasks, len(step.waiting)
        ):
            self._reservations.drop(step.key)
            return 0
        self._reevaluate_at[step.key] = placement_pass.now + REEVALUATION_SECONDS
        advice = self._advice_dispatcher.advice_on(step) if queue.advice is not None else None
        counts = counts_on_workers(step)
        if advice is None:
            offered_workers = list(offer.workers.values())
        else:
            offered_workers = [
                offer.workers[name] for name in advice.tickets if name in offer.workers
            ]
        workers = [
            worker
            for worker in offered_workers
            if has_label(worker, step)
            and not worker.health.is_doubtful(placement_pass.now)
            and counts.get(worker.worker_id, 0) < step.most_on_a_worker
        ]
        total_processors_milli = offer.processors_milli
        self._capacity_seeker.reserve_or_preempt(
            step, queue, workers, total_processors_milli, placement_pass
        )
        return 1


class _CapacityGains:
    """The workers that gained capacity, or became available, since a change number."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._workers_by_change: dict[int, list[Worker]] = {}

    def may_help(
        self, step: StepProgress, blocked_since: int, advice_dispatcher: AdviceDesk
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


class _Offers:
    """The workers on which runs may be started, by service."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._by_service: dict[str, Offer] = {}

    def for_service(self, service: str) -> Offer:
        """Return the offer of a service, which is created once in a pass."""
        offer = self._by_service.get(service)
        if offer is None:
            offer = Offer(self._table.offered(service))
            self._by_service[service] = offer
        return offer


def _tasks_within_quota(step: StepProgress, quotas: QuotaPass) -> int:
    """Return how many waiting tasks of a step its tenant may start; of a gang all, or none."""
    tenant = step.job.spec.tenant
    if not tenant:
        return len(step.waiting)
    slots = quotas.slots(tenant, step.needs)
    if step.spec.gang:
        return len(step.tasks) if slots >= len(step.tasks) else 0
    return min(slots, len(step.waiting))


def _candidates_with_ticket(advice: StepAdvice, offer: Offer, now: float) -> list[Candidate]:
    candidates = []
    for worker_id, ticket in advice.tickets.items():
        worker = offer.workers.get(worker_id)
        if worker is not None and now < ticket.use_before:
            candidates.append(Candidate(worker, ticket.text))
    return candidates


def _workers_to_ask_about(
    policy: AdvicePolicy,
    advice: StepAdvice,
    chooser: AdviceChooser,
    candidates: list[Candidate],
    max_tasks: int,
    now: float,
    advice_dispatcher: AdviceDesk,
) -> list[str]:
    """Return the workers for which tickets are missing that would let ``max_tasks`` tasks start."""
    if not advice.tickets:
        return chooser.unknown(max_tasks, advice)
    missing_count = max_tasks - sum(chooser.slots_now(item.worker) for item in candidates)
    if missing_count <= 0:
        return []
    choose_renewals = chooser.again_for_long if advice_dispatcher.has_shares else chooser.again
    renewals = choose_renewals(missing_count, advice, now)
    if renewals or now < advice.unknown_due_at:
        return renewals
    unknown_workers = chooser.unknown_with_room(missing_count, advice)
    advice.unknown_due_at = now + pause_seconds(policy, len(unknown_workers))
    return unknown_workers
