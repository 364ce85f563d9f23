"""About which workers advice is asked: as few as are likely to have the room that is needed.

A call for advice takes longer the more workers it names, and each entry carries one call at a
time.  A call about a hundred workers is a long one, and waits behind those of gangs: in a cell of
299 workers the steps of one queue hardly ran at all.
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

#: Room that is asked about, as a multiple of what is needed, where there is so much: fewer than the
#: expected workers may be good, and others take some of the room while the service answers.
ROOM_FACTOR = 2.0
#: The same of the whole capacity, where there is not enough room yet: most of a busy cell is taken.
CAPACITY_FACTOR = 4.0
#: Workers in a first call at least, where there are as many: a call's own share makes up most of a
#: smaller one, and a step that has to wait for room is to have some choice.
MINIMUM_WORKERS_PER_CALL = 24
#: Workers in one call at most; the service's bound.
MAXIMUM_WORKERS_PER_CALL = 100
#: Workers in one of several calls about a step at least, where there are as many.
MINIMUM_WORKERS_PER_SPLIT_CALL = 24
#: Workers that came into use, or gained room, are asked about again after so many times what the
#: call takes: a step that waits asks for at most a fifth of the time.
PAUSE_FACTOR = 5.0

SlotsOf = Callable[[Worker], int]


class AdviceTargetSelector:
    """Chooses workers to ask about for one step, as one pass of placement sees them.

    Parameters
    ----------
    step : StepProgress
        The step that waits.
    schedulable : SchedulableWorkers
        The workers of its service.
    room : ScratchCapacity
        What they have left.
    approval_rate : float
        Share of the workers that is expected to be good for it.
    """

    def __init__(
        self,
        step: StepProgress,
        schedulable: SchedulableWorkers,
        room: ScratchCapacity,
        approval_rate: float,
    ) -> None:
        self._step = step
        self._offer = schedulable
        self._room = room
        self._good_share = approval_rate
        self._bound = step.max_tasks_per_worker
        #: Tasks that each worker has already, where their spread is bounded.
        self._counts = task_counts_by_worker(step)

    def first_targets(self, most: int, advice: StepAdvice) -> list[WorkerId]:
        """Return whom to ask about for a step of which ``most`` tasks may start."""
        workers = self._not_asked(advice)
        wanted = most * ROOM_FACTOR
        chosen, found = self._until_enough(workers, wanted, self.free_slots)
        if found < wanted:
            # There is not enough room for all yet: the step will wait for some.
            wanted = most * CAPACITY_FACTOR
            chosen, _found = self._until_enough(workers, wanted, self._slots_ever)
        return _names(chosen)

    def new_targets_with_capacity(self, missing: int, advice: StepAdvice) -> list[WorkerId]:
        """Return others that have room now, enough for so many tasks that lack it."""
        workers = [worker for worker in self._not_asked(advice) if self.free_slots(worker) > 0]
        chosen, _found = self._until_enough(workers, missing * ROOM_FACTOR, self.free_slots)
        return _names(chosen)

    def all_new_targets(self, advice: StepAdvice) -> list[WorkerId]:
        """Return all that were not asked about."""
        return sorted(_names(self._not_asked(advice)))

    def renewal_targets(self, missing: int, advice: StepAdvice, now: float) -> list[WorkerId]:
        """Return good workers with room whose tickets have run out, enough for so many tasks."""
        names: list[WorkerId] = []
        for worker_id, held in advice.tickets.items():
            worker = self._offer.workers.get(worker_id)
            if worker is None or now < held.use_before:
                continue
            slots = self.free_slots(worker)
            if slots > 0:
                names.append(worker_id)
                missing -= slots
                if missing <= 0:
                    break
        return names

    def renewal_targets_ahead(self, missing: int, advice: StepAdvice, now: float) -> list[WorkerId]:
        """Return the same, and others that are good: they may gain room while tickets hold.

        A call's own share makes up most of one about a few workers.  So a step that waits for room
        asks about all that it may use next, once in a ticket's validity, and not at each gain.
        """
        names = self.renewal_targets(missing, advice, now)
        if not names:
            return names
        others = [
            worker_id
            for worker_id, held in advice.tickets.items()
            if now >= held.use_before and worker_id in self._offer.workers
        ]
        return list(dict.fromkeys(names + others))[: max(len(names), MINIMUM_WORKERS_PER_CALL)]

    def _not_asked(self, advice: StepAdvice) -> list[Worker]:
        return [
            worker
            for worker_id, worker in self._offer.workers.items()
            if worker_id not in advice.queried_workers and has_label(worker, self._step)
        ]

    def _until_enough(
        self, workers: list[Worker], wanted: float, slots_of: SlotsOf
    ) -> tuple[list[Worker], float]:
        """Return the best workers until they are likely to have so much room, and how much."""
        found = 0.0
        chosen: list[Worker] = []
        for worker in sorted(workers, key=self._order):
            if found >= wanted and len(chosen) >= MINIMUM_WORKERS_PER_CALL:
                break
            chosen.append(worker)
            found += self._good_share * slots_of(worker)
        return chosen, found

    def _order(self, worker: Worker) -> tuple[int, int]:
        """Return a worker's place: most room now first, others in an order of each step's own."""
        name = f"{self._step.key.job_id}/{worker.worker_id}"
        return -self.free_slots(worker), zlib.crc32(name.encode())

    def free_slots(self, worker: Worker) -> int:
        """Return how many more tasks of the step a worker can take now."""
        spread = self._bound - self._counts.get(worker.worker_id, 0)
        return max(0, min(spread, self._room.slots(worker, self._step.needs)))

    def _slots_ever(self, worker: Worker) -> int:
        return min(self._bound, count_fitting_tasks(worker.record.capacity, self._step.needs))


def call_interval_seconds(policy: AdvicePolicy, count: int) -> float:
    """Return how long after a call about others the next one is made."""
    return PAUSE_FACTOR * policy.call_seconds(count)


def _names(workers: Iterable[Worker]) -> list[WorkerId]:
    return [worker.worker_id for worker in workers]


def batches(
    step: StepProgress, policy: AdvicePolicy, worker_ids: list[WorkerId]
) -> list[tuple[WorkerId, ...]]:
    """Return the workers to ask about, by call.

    Most steps do well with the workers of one call.  A gang wants to know all of them, and
    sooner than one call after the other: so its calls go side by side, each of a size at which
    the share that every call takes and the share of its workers are about alike.
    """
    if not step.spec.gang:
        return [tuple(worker_ids[:MAXIMUM_WORKERS_PER_CALL])]
    balanced = int(policy.decide_ms / policy.per_item_ms) if policy.per_item_ms else len(worker_ids)
    most = min(MAXIMUM_WORKERS_PER_CALL, max(balanced, MINIMUM_WORKERS_PER_SPLIT_CALL))
    count = -(-len(worker_ids) // most)
    size = -(-len(worker_ids) // count)
    return [tuple(worker_ids[at : at + size]) for at in range(0, len(worker_ids), size)]
