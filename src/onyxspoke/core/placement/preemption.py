"""Which runs give way to a more urgent task: a pure function of what runs and what is wanted.

Only runs of a queue that comes later give way, and only where stopping them loses next to
nothing: those that keep checkpoints.  Tasks that last and members of gangs stay.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.resource_vectors import add_vectors, count_fitting_tasks, subtract_vectors
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import remaining_seconds
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: A run that ends by itself so soon is left alone, in seconds: a stop takes about as long.
SOON_SECONDS = 0.6
#: A run that was stopped is back where it was after about so long, in seconds: the stop, the wait
#: for other room, and the restoring.
RESTART_SECONDS = 3.0
#: What an accelerator counts beside processors when work is weighed, in thousandths of one.
ACCELERATOR_MILLI = 8_000


@dataclass(slots=True)
class Preemption:
    """Runs to be stopped on one worker, and what restoring them costs in thousandths of a core."""

    worker: Worker
    runs: list[Run]
    weight: int


def choose_preemption(
    priority: int,
    needs: ResourceVector,
    workers: list[Worker],
    room: ScratchCapacity,
    policy: PolicySet,
    now: float,
) -> Preemption | None:
    """Return the least work whose stop makes room for one task on one of these workers.

    Parameters
    ----------
    priority : int
        Of the queue that wants the room; runs of later queues, with a higher number, give way.
    """
    best: Preemption | None = None
    for worker in workers:
        found = _choose_on(worker, priority, needs, room, policy, now)
        if found is not None and (best is None or found.weight < best.weight):
            best = found
    return best


def freed_soon(worker: Worker, now: float) -> ResourceVector:
    """Return the room on a worker that runs free which are being stopped, or end in a moment."""
    freed = ResourceVector()
    for run in worker.runs.values():
        if run.state is RunState.STOPPING or _ends_soon(run, now):
            freed = add_vectors(freed, run.needs)
    return freed


def _choose_on(
    worker: Worker,
    priority: int,
    needs: ResourceVector,
    room: ScratchCapacity,
    policy: PolicySet,
    now: float,
) -> Preemption | None:
    free = room.free(worker)
    victims = []
    for run in worker.runs.values():
        if run.state is RunState.STOPPING or _ends_soon(run, now):
            free = add_vectors(free, run.needs)
        elif _may_give_way(run, priority, policy) and not _would_be_late(run, now):
            victims.append(run)
    victims.sort(key=lambda run: (-_priority_of(run, policy), -_slack(run, now), run.key))
    chosen = []
    for run in victims:
        if count_fitting_tasks(free, needs) > 0:
            break
        chosen.append(run)
        free = add_vectors(free, run.needs)
    if not chosen or count_fitting_tasks(free, needs) == 0:
        return None
    for run in list(chosen):
        without = subtract_vectors(free, run.needs)
        if count_fitting_tasks(without, needs) > 0:
            chosen.remove(run)
            free = without
    return Preemption(worker, chosen, sum(_weight(run) for run in chosen))


def _may_give_way(run: Run, priority: int, policy: PolicySet) -> bool:
    step = run.task.step.spec
    return (
        run.state is RunState.RUNNING
        and run.gang is None
        and step.checkpointing
        and not step.long_running
        and not step.fills
        and _priority_of(run, policy) > priority
    )


def _slack(run: Run, now: float) -> float:
    """Return how long a run's job could still wait and be on time, in seconds."""
    step = run.task.step
    objective_at = step.due_at + step.job.expected_objective_seconds
    return objective_at - now - remaining_seconds(run, now)


def _would_be_late(run: Run, now: float) -> bool:
    """Return whether a job that can be on time would not be, were this run stopped."""
    return 0.0 < _slack(run, now) < RESTART_SECONDS


def _ends_soon(run: Run, now: float) -> bool:
    return run.state is RunState.RUNNING and remaining_seconds(run, now) < SOON_SECONDS


def _priority_of(run: Run, policy: PolicySet) -> int:
    return policy.queue_of(run.task.step.job.spec).priority


def _weight(run: Run) -> int:
    return run.needs.processors_milli + ACCELERATOR_MILLI * run.needs.accelerators
