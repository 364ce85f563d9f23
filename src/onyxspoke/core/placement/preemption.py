"""Choose runs to preempt for a more urgent task: a pure function of the runs and the demand.

Only runs of a lower-priority queue are preempted, and only if stopping them loses almost no work,
which means that their tasks write checkpoints.  Long-running tasks and members of gangs are never
preempted.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from onyxspoke.core.jobs.model import ResourceVector, StepSpec, WorkerId
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.resource_vectors import add_vectors, count_fitting_tasks, subtract_vectors
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import remaining_seconds
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: A run that is expected to end within this many seconds is not preempted, because a stop takes
#: about as long.
ENDS_SOON_SECONDS = 0.6
#: A preempted run is back at its earlier progress after about this many seconds: the stop, the wait
#: for free capacity elsewhere, and the restore from its checkpoint.
RESTART_SECONDS = 3.0
#: The largest number of tasks of one step for which one pass chooses preemptions.
MAXIMUM_TASKS_PER_STEP = 4
#: How much one accelerator adds to the cost of a preemption, in thousandths of a processor.
ACCELERATOR_COST_MILLI = 8_000


@dataclass(slots=True)
class Preemption:
    """Runs to preempt on one worker, and the cost of restarting them.

    Attributes
    ----------
    cost_milli : int
        The resources that the runs use, in thousandths of a processor.
    """

    worker: Worker
    runs: list[Run]
    cost_milli: int


class PreemptionCandidates:
    """The runs that one pass may preempt on each worker; each list is made once in a pass."""

    def __init__(self, policy: PolicySet, now: float) -> None:
        self._policy = policy
        self._now = now
        self._lists: dict[tuple[WorkerId, int, bool], list[Run]] = {}

    def on(self, worker: Worker, priority: int, *, spare_punctual: bool) -> list[Run]:
        """Return the runs to preempt for a queue of a priority, in the order to stop them."""
        key = (worker.worker_id, priority, spare_punctual)
        runs = self._lists.get(key)
        if runs is None:
            runs = self._lists[key] = preemptible_runs(
                worker.runs.values(),
                priority,
                self._policy,
                self._now,
                spare_punctual=spare_punctual,
            )
        return runs


def choose_preemption(
    priority: int,
    needs: ResourceVector,
    workers: list[Worker],
    capacity: ScratchCapacity,
    policy: PolicySet,
    now: float,
    *,
    spare_punctual: bool = True,
    candidates: PreemptionCandidates | None = None,
) -> Preemption | None:
    """Return the cheapest preemption on one of these workers that frees capacity for one task.

    Parameters
    ----------
    priority : int
        The priority of the queue that needs the capacity.  Only runs of queues with a higher
        number, which is a lower priority, are preempted.
    spare_punctual : bool
        Preempt no run whose job would miss its objective because of that.
    candidates : PreemptionCandidates, optional
        The candidates of the current pass, so that they are not determined again.
    """
    if candidates is None:
        candidates = PreemptionCandidates(policy, now)
    cheapest: Preemption | None = None
    for worker in workers:
        runs = candidates.on(worker, priority, spare_punctual=spare_punctual)
        if not runs:
            continue
        free = capacity.free_beyond_claims(worker)
        free = add_vectors(free, capacity_freed_soon(worker, now))
        preemption = _choose_on_worker(worker, runs, free, needs)
        if preemption is not None and (
            cheapest is None or preemption.cost_milli < cheapest.cost_milli
        ):
            cheapest = preemption
    return cheapest


def capacity_freed_soon(worker: Worker, now: float) -> ResourceVector:
    """Return the capacity on a worker held by runs that are being stopped or will end soon."""
    freed = ResourceVector()
    for run in worker.runs.values():
        if run.state is RunState.STOPPING or _ends_soon(run, now):
            freed = add_vectors(freed, run.needs)
    return freed


def has_preemptible_work(run: Run) -> bool:
    """Return whether stopping a run loses almost no work and affects no other run."""
    return run.gang is None and is_preemptible_step(run.task.step.spec)


def is_preemptible_step(step: StepSpec) -> bool:
    """Return whether runs of a step may be preempted."""
    return step.checkpointing and not (step.gang or step.long_running or step.fills)


def _choose_on_worker(
    worker: Worker, candidates: list[Run], free: ResourceVector, needs: ResourceVector
) -> Preemption | None:
    victims = choose_victims(candidates, free, needs)
    if not victims:
        return None
    return Preemption(worker, victims, sum(cost_milli(run) for run in victims))


def preemptible_runs(
    runs: Iterable[Run], priority: int, policy: PolicySet, now: float, *, spare_punctual: bool
) -> list[Run]:
    """Return the runs that may be preempted for a queue, in the order in which to stop them."""
    candidates = [
        run
        for run in runs
        if _is_preemptible(run, priority, policy)
        and not _ends_soon(run, now)
        and not (spare_punctual and _would_be_late(run, now))
    ]
    candidates.sort(
        key=lambda run: (-_priority_of(run, policy), -_slack_seconds(run, now), run.key)
    )
    return candidates


def sparing_attempts(can_wait: bool) -> tuple[bool, ...]:
    """Return whether to spare runs whose jobs would be late, for each attempt to choose runs.

    A step that can wait until capacity is expected to be free makes no other attempt.
    """
    return (True,) if can_wait else (True, False)


def choose_victims(candidates: list[Run], free: ResourceVector, needs: ResourceVector) -> list[Run]:
    """Return the fewest of these runs that free capacity for one task; empty if none can."""
    victims = []
    for run in candidates:
        if count_fitting_tasks(free, needs) > 0:
            break
        victims.append(run)
        free = add_vectors(free, run.needs)
    if count_fitting_tasks(free, needs) == 0:
        return []
    for run in list(victims):
        free_without_run = subtract_vectors(free, run.needs)
        if count_fitting_tasks(free_without_run, needs) > 0:
            victims.remove(run)
            free = free_without_run
    return victims


def _is_preemptible(run: Run, priority: int, policy: PolicySet) -> bool:
    return (
        run.state is RunState.RUNNING
        and has_preemptible_work(run)
        and _priority_of(run, policy) > priority
    )


def _slack_seconds(run: Run, now: float) -> float:
    """Return how many seconds a run's job could still wait without missing its objective."""
    step = run.task.step
    objective_at = step.due_at + step.job.expected_objective_seconds
    return objective_at - now - remaining_seconds(run, now)


def _would_be_late(run: Run, now: float) -> bool:
    """Return whether a job that can still meet its objective would miss it if preempted now."""
    return 0.0 < _slack_seconds(run, now) < RESTART_SECONDS


def _ends_soon(run: Run, now: float) -> bool:
    return run.state is RunState.RUNNING and remaining_seconds(run, now) < ENDS_SOON_SECONDS


def _priority_of(run: Run, policy: PolicySet) -> int:
    return policy.queue_of(run.task.step.job.spec).priority


def cost_milli(run: Run) -> int:
    """Return the cost of restarting a run: its resources, in thousandths of a processor."""
    return run.needs.processors_milli + ACCELERATOR_COST_MILLI * run.needs.accelerators
