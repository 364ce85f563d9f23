"""Reserve capacity, or choose runs to preempt, for steps whose tasks found no free capacity.

Each step considers one worker at a time: the worker that is expected to have enough free capacity
first.  Capacity that is free now or will soon be free is reserved, so that later steps do not use
it.  If no worker will have capacity soon, runs of lower-priority queues are preempted, but only
once the step has a ticket that is still valid when the capacity becomes free.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.jobs.model import QueuePolicy
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_targets import MINIMUM_WORKERS_PER_CALL
from onyxspoke.core.placement.forecast import CapacityForecast
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import (
    Preemption,
    choose_preemption,
    sparing_attempts,
)
from onyxspoke.core.placement.queue_order import (
    Lateness,
    latest_useful_start,
    step_rank_in_queue,
)
from onyxspoke.core.placement.reservations import CapacityReservations, MemberSlots
from onyxspoke.core.placement.spreading import task_counts_by_worker
from onyxspoke.core.placement.workers import Worker

#: Capacity that is expected to be free within this many seconds is reserved.
RESERVE_AHEAD_SECONDS = 0.6
#: Runs are preempted only if capacity would otherwise become free later than this, in seconds.
#: Stopping a run, observing its end and restarting the preempted task take about as long.
PREEMPT_IF_LATER_SECONDS = 1.0
#: Runs are preempted only for a ticket that stays valid for this many seconds after their stop:
#: the time for the poll that observes their end, and for the start order.
TICKET_MARGIN_SECONDS = 0.45


class _ExpectedCapacity(NamedTuple):
    """The worker that will have capacity for one more task, and when, on the holder's clock."""

    at: float
    worker: Worker


@dataclass(slots=True)
class PreemptionRequest:
    """A preemption, and the step for which it frees capacity."""

    step: StepProgress
    preemption: Preemption


class CapacitySeeker:
    """Reserves capacity, or chooses runs to preempt, for steps that wait for capacity.

    Parameters
    ----------
    stop_seconds : float
        The longest time that stopping a run takes, in seconds.
    """

    def __init__(
        self,
        advice_dispatcher: AdviceDispatcher,
        reservations: CapacityReservations,
        stop_seconds: float,
    ) -> None:
        self._advice_dispatcher = advice_dispatcher
        self._reservations = reservations
        self._stop_seconds = stop_seconds
        self._forecast = CapacityForecast(stop_seconds, 0.0)
        self.preemption_requests: list[PreemptionRequest] = []

    def begin_pass(self, now: float) -> None:
        """Discard the forecast of the previous placement pass."""
        self._forecast = CapacityForecast(self._stop_seconds, now)

    def reserve_or_preempt(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        total_processors_milli: int,
        task_count: int,
        placement_pass: PlacementPass,
    ) -> int:
        """Reserve or claim capacity for tasks of a step, or choose runs to preempt for them.

        Parameters
        ----------
        workers : list of Worker
            The workers that may run the step, whether or not they have free capacity.
        total_processors_milli : int
            The processors of the step's service, in thousandths of a processor.
        task_count : int
            The number of tasks to find capacity for; only the first may have it reserved.

        Returns
        -------
        int
            The number of searches, at least 1.
        """
        self._reservations.release_claims(step.key)
        expected = self._find_capacity(step, queue, workers, placement_pass)
        if expected is None:
            self._reservations.release(step.key)
            return 1
        self._reserve_or_claim(step, expected, total_processors_milli, placement_pass)
        search_count = 1
        task_counts = Counter(task_counts_by_worker(step))
        while search_count < task_count:
            task_counts[expected.worker.worker_id] += 1
            workers = [
                worker
                for worker in workers
                if task_counts[worker.worker_id] < step.max_tasks_per_worker
            ]
            expected = self._find_capacity(step, queue, workers, placement_pass)
            search_count += 1
            if expected is None:
                break
            self._reservations.claim(step, expected.worker, placement_pass.capacity)
        return search_count

    def _find_capacity(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        placement_pass: PlacementPass,
    ) -> _ExpectedCapacity | None:
        """Return where one more task will have capacity soon, if need be by preemption."""
        expected = self._expect_capacity(step, workers, placement_pass)
        if expected is None:
            return None
        if expected.at - placement_pass.now <= PREEMPT_IF_LATER_SECONDS:
            return expected
        preempted_worker = self._preempt_for(step, queue, workers, expected.at, placement_pass)
        if preempted_worker is None:
            return None
        return _ExpectedCapacity(placement_pass.now + self._stop_seconds, preempted_worker)

    def _expect_capacity(
        self, step: StepProgress, workers: list[Worker], placement_pass: PlacementPass
    ) -> _ExpectedCapacity | None:
        """Return the worker that is expected to have capacity first."""
        capacity = placement_pass.capacity
        return min(
            (
                _ExpectedCapacity(
                    self._forecast.capacity_expected_at(worker, step.needs, capacity), worker
                )
                for worker in workers
            ),
            key=lambda expected: (expected.at, expected.worker.worker_id),
            default=None,
        )

    def _reserve_or_claim(
        self,
        step: StepProgress,
        expected: _ExpectedCapacity,
        total_processors_milli: int,
        placement_pass: PlacementPass,
    ) -> None:
        may_reserve = self._reservations.has_reservation(
            step.key
        ) or self._reservations.may_reserve_more(total_processors_milli)
        if may_reserve and expected.at - placement_pass.now <= RESERVE_AHEAD_SECONDS:
            slots = [MemberSlots(expected.worker, 1)]
            self._reservations.reserve(step, slots, placement_pass.capacity, placement_pass.now)
        else:
            self._reservations.release(step.key)
            self._reservations.claim(step, expected.worker, placement_pass.capacity)

    def _preempt_for(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        expected_at: float,
        placement_pass: PlacementPass,
    ) -> Worker | None:
        """Choose runs to preempt; return their worker, or ``None`` if no preemption helps."""
        rank = step_rank_in_queue(step, queue, placement_pass.now)
        if rank.is_over_share or rank.lateness is Lateness.EXPIRED:
            return None
        can_wait = expected_at <= latest_useful_start(step, rank)
        if queue.advice is not None:
            tickets = self._advice_dispatcher.advice_for(step).tickets
            needed_until = placement_pass.now + self._stop_seconds + TICKET_MARGIN_SECONDS
            workers_with_ticket = [
                worker for worker in workers if tickets[worker.worker_id].use_before > needed_until
            ]
            if not workers_with_ticket:
                self._request_tickets(step, queue, workers, can_wait, placement_pass)
                return None
            workers = workers_with_ticket
        preemption = _choose_preemption(step, queue, workers, can_wait, placement_pass)
        if preemption is None:
            return None
        self.preemption_requests.append(PreemptionRequest(step, preemption))
        return preemption.worker

    def _request_tickets(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        can_wait: bool,
        placement_pass: PlacementPass,
    ) -> None:
        advice = self._advice_dispatcher.advice_for(step)
        if queue.advice is None or advice.has_open_calls:
            return
        if self._advice_dispatcher.uses_fair_shares:
            workers = _preemption_workers(step, queue, workers, can_wait, placement_pass)
        worker_ids = [worker.worker_id for worker in workers]
        rank = step_rank_in_queue(step, queue, placement_pass.now)
        self._advice_dispatcher.request_advice(
            step, queue.advice, worker_ids, rank, placement_pass.now
        )


def _choose_preemption(
    step: StepProgress,
    queue: QueuePolicy,
    workers: list[Worker],
    can_wait: bool,
    placement_pass: PlacementPass,
) -> Preemption | None:
    """Return the cheapest preemption for a step.

    Runs whose jobs would be late after a restart are preempted only if there are no others, and
    the step cannot wait until capacity is expected to be free.
    """
    for spare_punctual in sparing_attempts(can_wait):
        preemption = choose_preemption(
            queue.priority,
            step.needs,
            workers,
            placement_pass.capacity,
            placement_pass.policy,
            placement_pass.now,
            spare_punctual=spare_punctual,
            candidates=placement_pass.preemption_candidates,
        )
        if preemption is not None:
            return preemption
    return None


def _preemption_workers(
    step: StepProgress,
    queue: QueuePolicy,
    workers: list[Worker],
    can_wait: bool,
    placement_pass: PlacementPass,
) -> list[Worker]:
    """Return the workers to ask about, the one with the cheapest preemption first.

    The list has at most ``MINIMUM_WORKERS_PER_CALL`` workers; it is empty if no run can be
    preempted.
    """
    cheapest = _choose_preemption(step, queue, workers, can_wait, placement_pass)
    if cheapest is None:
        return []
    other_workers = [worker for worker in workers if worker is not cheapest.worker]
    return [cheapest.worker, *other_workers][:MINIMUM_WORKERS_PER_CALL]
