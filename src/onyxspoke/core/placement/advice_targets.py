"""Selects the workers that a call to the advice service names.

A call takes longer the more workers it names, and the service handles one call per entry at a
time.  So a call names only as many workers as are likely to provide the capacity that the step
needs.  If each call named very many workers, the calls of one queue would wait behind those of
gangs, and the steps of that queue would hardly run.  In a cell of 299 workers, calls about a
hundred workers each had this effect.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

from onyxspoke.core.jobs.model import AdvicePolicy, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import count_fitting_tasks
from onyxspoke.core.placement.schedulable_workers import SchedulableWorkers, has_label
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.spreading import task_counts_by_worker
from onyxspoke.core.placement.step_advice import StepAdvice
from onyxspoke.core.placement.workers import Worker

#: Free capacity of the workers that a call names, as a multiple of the capacity that the step
#: needs.  The service may approve fewer workers than expected, and other steps may take some of the
#: capacity before the service answers.
FREE_CAPACITY_FACTOR = 2.0
#: Total capacity of the workers that a call names, as a multiple of the capacity that the step
#: needs.  It applies while too little capacity is free, because a busy cell has most of it in use.
TOTAL_CAPACITY_FACTOR = 4.0
#: Minimum number of workers in a call, if the service has that many.  The fixed cost of a call
#: dominates below this size, and a step that waits for capacity needs a choice of workers.
MINIMUM_WORKERS_PER_CALL = 24
#: Maximum number of workers in one call; the advice service enforces this limit.
MAXIMUM_WORKERS_PER_CALL = 100
#: Minimum number of workers in each call when a gang's workers are split over several calls.
MINIMUM_WORKERS_PER_SPLIT_CALL = 24
#: Interval between two calls about new workers, as a multiple of the duration of such a call.  A
#: waiting step thus occupies an entry for at most a fifth of the time.
CALL_INTERVAL_FACTOR = 5.0

SlotCounter = Callable[[Worker], int]


class AdviceTargetSelector:
    """Selects the workers to query for one step during one placement pass.

    Parameters
    ----------
    step : StepProgress
        The waiting step.
    schedulable : SchedulableWorkers
        The schedulable workers of the step's service.
    free_capacity : ScratchCapacity
        The capacity that the placement pass has left on each worker.
    approval_rate : float
        Expected share of workers that the advice service approves for the step, from 0 to 1.
    """

    def __init__(
        self,
        step: StepProgress,
        schedulable: SchedulableWorkers,
        free_capacity: ScratchCapacity,
        approval_rate: float,
    ) -> None:
        self._step = step
        self._schedulable = schedulable
        self._free_capacity = free_capacity
        self._approval_rate = approval_rate
        self._task_limit = step.max_tasks_per_worker
        #: Number of the step's tasks on each worker; empty unless the step has a spread limit.
        self._task_counts = task_counts_by_worker(step)

    def first_targets(self, max_tasks: int, advice: StepAdvice) -> list[WorkerId]:
        """Return the workers for the first call about a step that may start ``max_tasks`` tasks."""
        workers = self._unqueried_workers(advice)
        wanted_slots = max_tasks * FREE_CAPACITY_FACTOR
        selected, expected_slots = self._select_until_enough(workers, wanted_slots, self.free_slots)
        if expected_slots < wanted_slots:
            # Too little capacity is free for all tasks, so some of them will have to wait.
            wanted_slots = max_tasks * TOTAL_CAPACITY_FACTOR
            selected, _expected_slots = self._select_until_enough(
                workers, wanted_slots, self._total_slots
            )
        return _worker_ids(selected)

    def new_targets_with_capacity(self, missing_tasks: int, advice: StepAdvice) -> list[WorkerId]:
        """Return unqueried workers with enough free capacity for ``missing_tasks`` tasks."""
        workers = [
            worker for worker in self._unqueried_workers(advice) if self.free_slots(worker) > 0
        ]
        selected, _expected_slots = self._select_until_enough(
            workers, missing_tasks * FREE_CAPACITY_FACTOR, self.free_slots
        )
        return _worker_ids(selected)

    def all_new_targets(self, advice: StepAdvice) -> list[WorkerId]:
        """Return all workers that have not been queried for the step."""
        return sorted(_worker_ids(self._unqueried_workers(advice)))

    def renewal_targets(self, missing_tasks: int, advice: StepAdvice, now: float) -> list[WorkerId]:
        """Return approved workers whose tickets have expired, enough for ``missing_tasks`` tasks.

        Workers without free capacity are left out.
        """
        worker_ids_to_query: list[WorkerId] = []
        for worker_id, ticket in advice.tickets.items():
            worker = self._schedulable.workers.get(worker_id)
            if worker is None or now < ticket.use_before:
                continue
            slots = self.free_slots(worker)
            if slots > 0:
                worker_ids_to_query.append(worker_id)
                missing_tasks -= slots
                if missing_tasks <= 0:
                    break
        return worker_ids_to_query

    def renewal_targets_ahead(
        self, missing_tasks: int, advice: StepAdvice, now: float
    ) -> list[WorkerId]:
        """Return the workers of ``renewal_targets``, and other workers with expired tickets.

        The other workers may gain free capacity while the new tickets are valid.  The fixed cost
        dominates a call about a few workers.  So a step that waits for capacity renews the tickets
        that it may use next in one call per ticket validity, not each time that a worker gains free
        capacity.
        """
        worker_ids_to_query = self.renewal_targets(missing_tasks, advice, now)
        if not worker_ids_to_query:
            return worker_ids_to_query
        further_ids = [
            worker_id
            for worker_id, ticket in advice.tickets.items()
            if now >= ticket.use_before and worker_id in self._schedulable.workers
        ]
        return list(dict.fromkeys(worker_ids_to_query + further_ids))[
            : max(len(worker_ids_to_query), MINIMUM_WORKERS_PER_CALL)
        ]

    def _unqueried_workers(self, advice: StepAdvice) -> list[Worker]:
        return [
            worker
            for worker_id, worker in self._schedulable.workers.items()
            if worker_id not in advice.queried_workers and has_label(worker, self._step)
        ]

    def _select_until_enough(
        self, workers: list[Worker], wanted_slots: float, slots_of: SlotCounter
    ) -> tuple[list[Worker], float]:
        """Return the best workers that are expected to provide the wanted slots, and their slots.

        The slots of a worker are weighted by the approval rate.
        """
        expected_slots = 0.0
        selected: list[Worker] = []
        for worker in sorted(workers, key=self._sort_key):
            if expected_slots >= wanted_slots and len(selected) >= MINIMUM_WORKERS_PER_CALL:
                break
            selected.append(worker)
            expected_slots += self._approval_rate * slots_of(worker)
        return selected, expected_slots

    def _sort_key(self, worker: Worker) -> tuple[int, int]:
        """Return the key that sorts a worker with more free slots before one with fewer.

        Ties are broken by a hash of job and worker, so that jobs prefer different workers.
        """
        name = f"{self._step.key.job_id}/{worker.worker_id}"
        return -self.free_slots(worker), zlib.crc32(name.encode())

    def free_slots(self, worker: Worker) -> int:
        """Return how many more tasks of the step a worker can start now."""
        tasks_allowed = self._task_limit - self._task_counts.get(worker.worker_id, 0)
        return max(0, min(tasks_allowed, self._free_capacity.slots(worker, self._step.needs)))

    def _total_slots(self, worker: Worker) -> int:
        return min(self._task_limit, count_fitting_tasks(worker.record.capacity, self._step.needs))


def call_interval_seconds(policy: AdvicePolicy, worker_count: int) -> float:
    """Return the least time, in seconds, between two calls of a step about new workers.

    Parameters
    ----------
    worker_count : int
        Number of workers in the first of the two calls.
    """
    return CALL_INTERVAL_FACTOR * policy.call_seconds(worker_count)


def _worker_ids(workers: Iterable[Worker]) -> list[WorkerId]:
    return [worker.worker_id for worker in workers]


def split_into_calls(
    step: StepProgress, policy: AdvicePolicy, worker_ids: list[WorkerId]
) -> list[tuple[WorkerId, ...]]:
    """Return the workers that each call about a step names.

    One call is enough for most steps.  A gang needs advice on all of its workers soon, so its
    workers are split over calls that run in parallel.  Each call is large enough that the time for
    its workers about equals the fixed cost of a call.
    """
    if not step.spec.gang:
        return [tuple(worker_ids[:MAXIMUM_WORKERS_PER_CALL])]
    balanced_size = (
        int(policy.decide_ms / policy.per_item_ms) if policy.per_item_ms else len(worker_ids)
    )
    max_workers = min(MAXIMUM_WORKERS_PER_CALL, max(balanced_size, MINIMUM_WORKERS_PER_SPLIT_CALL))
    call_count = -(-len(worker_ids) // max_workers)
    call_size = -(-len(worker_ids) // call_count)
    return [
        tuple(worker_ids[start : start + call_size])
        for start in range(0, len(worker_ids), call_size)
    ]
