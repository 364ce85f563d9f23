"""Chooses which waiting tasks start now, and where: a pure function of what is known."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import Needs, QueuePolicy, StepKey
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
    """Places waiting tasks in order of their queues' priority and their jobs' age.

    A step that found no room is looked at again only when a worker that is good for it has
    gained room since: so a pass costs little however long the waiting line is.
    """

    def __init__(self, table: WorkerTable, desk: AdviceDesk) -> None:
        self._table = table
        self._desk = desk
        #: Change number of the table at which a step was last looked at in vain.
        self._blocked_at: dict[StepKey, int] = {}

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
        plan: list[StepPlacement] = []
        room = _ScratchRoom()
        offers = _Offers(self._table, now)
        changes = _Changes(self._table)
        blocked_at: dict[StepKey, int] = {}
        count = 0
        for step in sorted(steps, key=lambda item: step_rank(item, policy)):
            since = self._blocked_at.get(step.key)
            if since is None or changes.may_help(step, since, self._desk):
                queue = policy.queue_of(step.job.spec)
                placed = self._place_step(step, queue, offers.of(queue.service), room, now)
                if placed is not None:
                    plan.append(placed)
                    count += len(placed.placements)
                    if count >= MAXIMUM_PLACEMENTS:
                        return plan
            blocked_at[step.key] = self._table.change_number
        self._blocked_at = blocked_at
        return plan

    def _place_step(
        self, step: StepProgress, queue: QueuePolicy, offer: _Offer, room: _ScratchRoom, now: float
    ) -> StepPlacement | None:
        may_fit = offer.may_fit(step.spec.needs)
        if queue.advice is None:
            candidates = [_Candidate(worker, "") for worker in offer.workers.values()]
        else:
            advice = self._desk.advice_on(step)
            candidates = _with_tickets(advice, offer, now)
            if not advice.is_asking:
                ask = _workers_to_ask(step, advice, offer, bool(candidates), may_fit, room)
                self._desk.want(step, queue.advice, ask, step_rank_of(step, queue), now)
        if not may_fit or not candidates:
            return None
        label = step.spec.required_label
        if label:
            candidates = [item for item in candidates if label in item.worker.record.labels]
        if step.spec.gang:
            return _place_gang(step, candidates, room, now)
        return _place_tasks(step, candidates, room, now)


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
        needs = step.spec.needs
        advice = desk.known_advice(step.key)
        for worker in changed:
            if worker.fits(needs) and (advice is None or advice.may_run_on(worker.worker_id)):
                return True
        return False


class _Offers:
    """The workers to which runs may go, by service."""

    def __init__(self, table: WorkerTable, now: float) -> None:
        self._table = table
        self._now = now
        self._by_service: dict[str, _Offer] = {}

    def of(self, service: str) -> _Offer:
        """Return the offer of a service."""
        offer = self._by_service.get(service)
        if offer is None:
            offer = _Offer(self._table.offered(service, self._now))
            self._by_service[service] = offer
        return offer


class _Offer:
    """The workers of one service to which runs may go."""

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = {worker.worker_id: worker for worker in workers}
        self._most_processors = max((worker.free_processors for worker in workers), default=-1)
        self._most_memory = max((worker.free_memory for worker in workers), default=-1)

    def may_fit(self, needs: Needs) -> bool:
        """Return whether some worker might have room; a quick look, before any plan."""
        return (
            needs.processors_milli <= self._most_processors and needs.memory_mb <= self._most_memory
        )


@dataclass(slots=True)
class _Candidate:
    """A worker that may run a step, and the leave to do so."""

    worker: Worker
    ticket: str


def _with_tickets(advice: StepAdvice, offer: _Offer, now: float) -> list[_Candidate]:
    candidates = []
    for worker_id, held in advice.tickets.items():
        worker = offer.workers.get(worker_id)
        if worker is not None and now < held.use_before:
            candidates.append(_Candidate(worker, held.text))
    return candidates


def _place_tasks(
    step: StepProgress, candidates: list[_Candidate], room: _ScratchRoom, now: float
) -> StepPlacement | None:
    needs = step.spec.needs
    placements = []
    counts = _counts_on_workers(step)
    for index in step.waiting:
        task = step.tasks[index]
        chosen = _choose(task, candidates, room, counts, now)
        if chosen is None:
            break
        worker = chosen.worker
        room.take(worker, needs)
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
        placements.append(Placement(task, worker, chosen.ticket))
        if worker.health.is_on_trial(now):
            candidates = [item for item in candidates if item is not chosen]
    return StepPlacement(step, placements) if placements else None


def _place_gang(
    step: StepProgress, candidates: list[_Candidate], room: _ScratchRoom, now: float
) -> StepPlacement | None:
    if len(step.waiting) < len(step.tasks):
        return None
    candidates = [item for item in candidates if not item.worker.health.is_on_trial(now)]
    trial = room.copy()
    needs = step.spec.needs
    counts: dict[str, int] = {}
    placements = []
    for task in step.tasks:
        chosen = _choose(task, candidates, trial, counts, now)
        if chosen is None:
            return None
        worker = chosen.worker
        trial.take(worker, needs)
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
        placements.append(Placement(task, worker, chosen.ticket))
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


def _workers_to_ask(
    step: StepProgress,
    advice: StepAdvice,
    offer: _Offer,
    has_tickets: bool,
    may_fit: bool,
    room: _ScratchRoom,
) -> list[str]:
    """Return the workers about which advice is missing and would help."""
    unknown = offer.workers.keys() - advice.asked
    if len(unknown) * 2 > len(offer.workers):
        return sorted(unknown)
    if has_tickets or not may_fit:
        return []
    needs = step.spec.needs
    useful = [
        worker
        for worker_id, worker in offer.workers.items()
        if advice.may_run_on(worker_id) and room.fits(worker, needs)
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


def _choose(
    task: TaskProgress,
    candidates: list[_Candidate],
    room: _ScratchRoom,
    counts: dict[str, int],
    now: float,
) -> _Candidate | None:
    """Return the best worker with room: near the data, not just failed on, tightest fit."""
    spec = task.step.spec
    best: _Candidate | None = None
    best_score: tuple[int, int, int, int] | None = None
    for candidate in candidates:
        worker = candidate.worker
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
            best, best_score = candidate, score
    return best
