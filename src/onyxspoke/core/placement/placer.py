"""Chooses which waiting tasks start now, and where: a pure function of what is known."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import Needs, QueuePolicy
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.advice_desk import AdviceDesk, StepAdvice
from onyxspoke.core.placement.workers import Worker, WorkerTable

#: Tasks placed in one pass at most, so that a pass stays short.
MAXIMUM_PLACEMENTS = 200


@dataclass(slots=True)
class Placement:
    """One task and the worker that is to run it."""

    task: TaskProgress
    worker: Worker
    ticket: str


@dataclass(slots=True)
class StepPlacement:
    """Tasks of one step to start now; of a gang, all or none."""

    step: StepProgress
    placements: list[Placement]


class Placer:
    """Places waiting tasks in order of their queues' priority and their jobs' age."""

    def __init__(self, table: WorkerTable, desk: AdviceDesk) -> None:
        self._table = table
        self._desk = desk

    def plan(self, steps: list[StepProgress], policy: PolicySet, now: float) -> list[StepPlacement]:
        """Return what starts now, with the room already taken into account.

        Room is tracked in a scratch copy; nothing of the workers is changed.
        """
        plan: list[StepPlacement] = []
        room = _ScratchRoom()
        offered: dict[str, list[Worker]] = {}
        count = 0
        for step in sorted(steps, key=lambda item: step_rank(item, policy)):
            queue = policy.queue_of(step.job.spec)
            if queue.service not in offered:
                offered[queue.service] = self._table.offered(queue.service, now)
            placed = self._place_step(step, queue, offered[queue.service], room, now)
            if placed is None:
                continue
            plan.append(placed)
            count += len(placed.placements)
            if count >= MAXIMUM_PLACEMENTS:
                break
        return plan

    def _place_step(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        offered: list[Worker],
        room: _ScratchRoom,
        now: float,
    ) -> StepPlacement | None:
        workers = [worker for worker in offered if _is_allowed(step, worker)]
        tickets = self._tickets(step, queue, workers, room, now)
        workers = [worker for worker in workers if worker.worker_id in tickets]
        if not workers:
            return None
        if step.spec.gang:
            return self._place_gang(step, workers, tickets, room, now)
        return self._place_tasks(step, workers, tickets, room, now)

    def _tickets(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        workers: list[Worker],
        room: _ScratchRoom,
        now: float,
    ) -> dict[str, str]:
        """Return leave to run by worker; asks for advice where it is missing."""
        if queue.advice is None:
            return {worker.worker_id: "" for worker in workers}
        advice = self._desk.advice_on(step)
        tickets = {}
        for worker in workers:
            ticket = advice.valid_ticket(worker.worker_id, now)
            if ticket is not None:
                tickets[worker.worker_id] = ticket
        if not advice.is_asking:
            ask = _workers_to_ask(step, advice, workers, tickets, room)
            self._desk.want(step, queue.advice, ask, step_rank_of(step, queue), now)
        return tickets

    def _place_tasks(
        self,
        step: StepProgress,
        workers: list[Worker],
        tickets: dict[str, str],
        room: _ScratchRoom,
        now: float,
    ) -> StepPlacement | None:
        needs = step.spec.needs
        placements = []
        counts = _counts_on_workers(step)
        for index in step.waiting:
            task = step.tasks[index]
            worker = _choose_worker(task, workers, room, counts, now)
            if worker is None:
                break
            room.take(worker, needs)
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            placements.append(Placement(task, worker, tickets[worker.worker_id]))
            if worker.health.is_on_trial(now):
                workers = [other for other in workers if other is not worker]
        return StepPlacement(step, placements) if placements else None

    def _place_gang(
        self,
        step: StepProgress,
        workers: list[Worker],
        tickets: dict[str, str],
        room: _ScratchRoom,
        now: float,
    ) -> StepPlacement | None:
        if len(step.waiting) < len(step.tasks):
            return None
        workers = [worker for worker in workers if not worker.health.is_on_trial(now)]
        trial = room.copy()
        needs = step.spec.needs
        counts: dict[str, int] = {}
        placements = []
        for task in step.tasks:
            worker = _choose_worker(task, workers, trial, counts, now)
            if worker is None:
                return None
            trial.take(worker, needs)
            counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
            placements.append(Placement(task, worker, tickets[worker.worker_id]))
        room.replace_by(trial)
        return StepPlacement(step, placements)


class _ScratchRoom:
    """Room that a plan has taken so far, by worker."""

    def __init__(self) -> None:
        self._taken: dict[str, Needs] = {}

    def fits(self, worker: Worker, needs: Needs) -> bool:
        taken = self._taken.get(worker.worker_id)
        if taken is None:
            return worker.fits(needs)
        return (
            taken.processors_milli + needs.processors_milli <= worker.free_processors
            and taken.memory_mb + needs.memory_mb <= worker.free_memory
            and taken.accelerators + needs.accelerators <= worker.free_accelerators
        )

    def free_processors(self, worker: Worker) -> int:
        taken = self._taken.get(worker.worker_id)
        return worker.free_processors - (taken.processors_milli if taken else 0)

    def take(self, worker: Worker, needs: Needs) -> None:
        taken = self._taken.get(worker.worker_id, Needs())
        self._taken[worker.worker_id] = Needs(
            taken.processors_milli + needs.processors_milli,
            taken.memory_mb + needs.memory_mb,
            taken.accelerators + needs.accelerators,
        )

    def copy(self) -> _ScratchRoom:
        scratch = _ScratchRoom()
        scratch._taken = dict(self._taken)
        return scratch

    def replace_by(self, other: _ScratchRoom) -> None:
        self._taken = other._taken


def step_rank(step: StepProgress, policy: PolicySet) -> tuple[float, ...]:
    """Return the place of a step in the waiting line; the lowest goes first."""
    return step_rank_of(step, policy.queue_of(step.job.spec))


def step_rank_of(step: StepProgress, queue: QueuePolicy) -> tuple[float, ...]:
    """Return the place of a step in the waiting line, given its queue."""
    return (queue.priority, step.job.accepted_at, step.key.step)


def _is_allowed(step: StepProgress, worker: Worker) -> bool:
    label = step.spec.required_label
    return not label or label in worker.record.labels


def _workers_to_ask(
    step: StepProgress,
    advice: StepAdvice,
    workers: list[Worker],
    tickets: dict[str, str],
    room: _ScratchRoom,
) -> list[str]:
    """Return the workers about which advice is missing and would help."""
    unknown = [worker for worker in workers if worker.worker_id not in advice.asked]
    if len(unknown) * 2 > len(workers):
        return [worker.worker_id for worker in unknown]
    if tickets:
        return []
    needs = step.spec.needs
    useful = [
        worker
        for worker in workers
        if advice.may_run_on(worker.worker_id) and room.fits(worker, needs)
    ]
    if step.spec.gang and _gang_room(useful, needs, room) < len(step.tasks):
        return []
    return [worker.worker_id for worker in useful]


def _gang_room(workers: list[Worker], needs: Needs, room: _ScratchRoom) -> int:
    """Return roughly how many members have room, by processors."""
    if needs.processors_milli == 0:
        return len(workers)
    return sum(room.free_processors(worker) // needs.processors_milli for worker in workers)


def _counts_on_workers(step: StepProgress) -> dict[str, int]:
    counts: dict[str, int] = {}
    if step.spec.spread_limit:
        for task in step.tasks:
            if task.run is not None:
                worker_id = task.run.worker.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts


def _choose_worker(
    task: TaskProgress,
    workers: list[Worker],
    room: _ScratchRoom,
    counts: dict[str, int],
    now: float,
) -> Worker | None:
    """Return the best worker with room: near the data, not just failed on, tightest fit."""
    spec = task.step.spec
    best: Worker | None = None
    best_score: tuple[int, int, int, int] | None = None
    for worker in workers:
        if not room.fits(worker, spec.needs):
            continue
        if spec.spread_limit and counts.get(worker.worker_id, 0) >= spec.spread_limit:
            continue
        is_far = int(bool(spec.preferred_rack) and worker.record.rack != spec.preferred_rack)
        score = (
            int(task.failed_on == worker.worker_id),
            int(worker.health.is_doubtful(now)),
            is_far,
            room.free_processors(worker),
        )
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best
