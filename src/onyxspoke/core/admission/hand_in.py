"""A job that is handed in, as the decision about it sees it."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.estimates.durations import Durations
from onyxspoke.core.estimates.expected import Expected
from onyxspoke.core.jobs.amounts import times
from onyxspoke.core.jobs.model import JobSpec, Needs, QueuePolicy
from onyxspoke.core.placement.queue_order import (
    CERTAIN_SHARE,
    EXPIRY_FACTOR,
    Lateness,
    StepRank,
)

_MILLISECONDS = 1_000.0


@dataclass(frozen=True, slots=True)
class StepWork:
    """What one step asks for.

    Attributes
    ----------
    needs : Needs
        Of one task.
    low_seconds, median_seconds, upper_seconds : float
        How long one task takes; the first, at least, where many are summed up.
    """

    needs: Needs
    task_count: int
    low_seconds: float
    median_seconds: float
    upper_seconds: float
    is_first: bool
    label: str = ""
    is_gang: bool = False


@dataclass(slots=True, eq=False)
class HandIn:
    """A job that is handed in.

    Attributes
    ----------
    first_at : float
        When it was handed in for the first time, in the holder's seconds.
    objective_seconds : float
        Within how long it should be done; 0 or less where nothing is asked for.
    rank : StepRank
        The place in the waiting line that its first step would take.
    is_finite : bool
        It is of use once it is done: no repetitions, no tasks that last.
    is_awaited : bool
        It was refused, and comes back when it was told to.
    advice_seconds : float
        Until the line for advice has answered about its first step.
    chain_median_seconds, chain_upper_seconds : float
        Its longest chain of steps.
    """

    service: str
    queue: str
    tenant: str
    rank: StepRank
    first_at: float
    objective_seconds: float
    steps: tuple[StepWork, ...]
    chain_median_seconds: float
    chain_upper_seconds: float
    is_finite: bool = True
    is_awaited: bool = False
    advice_seconds: float = 0.0

    @property
    def objective_ends_at(self) -> float:
        """The holder's second until which its outcome is on time."""
        return self.first_at + self.objective_seconds

    @property
    def last_use_at(self) -> float:
        """The holder's second after which its outcome is of no use to its caller."""
        return self.first_at + EXPIRY_FACTOR * self.objective_seconds

    def exceeds_quota(self, quota: Needs) -> bool:
        """Return whether a quota, of which 0 sets no limit, certainly never lets it run."""
        for step in self.steps:
            simultaneous_needs = times(step.needs, step.task_count) if step.is_gang else step.needs
            if any(
                limit and need > limit
                for need, limit in zip(simultaneous_needs, quota, strict=True)
            ):
                return True
        return False


def min_task_seconds(expected: Expected) -> float:
    """Return how long a task takes at least, as the order of what waits counts it, too."""
    return CERTAIN_SHARE * max(0.0, expected.median_seconds)


def describe_hand_in(
    spec: JobSpec,
    queue: QueuePolicy,
    durations: Durations,
    first_at: float,
    *,
    is_awaited: bool = False,
) -> HandIn:
    """Return what the decision needs of a job."""
    steps = tuple(_estimate_steps(spec, durations))
    median_seconds, upper_seconds = _longest_chain_seconds(spec, steps)
    # By the work as it is known, as the order of what waits has it.
    objective_seconds = (
        spec.queue.stretch * median_seconds + spec.queue.target_latency_ms / _MILLISECONDS
    )
    latest_start = first_at + objective_seconds - median_seconds
    rank = StepRank(False, spec.is_beyond_share, queue.priority, Lateness.ON_TIME, latest_start, 0)
    return HandIn(
        service=queue.service,
        queue=queue.name,
        tenant=spec.tenant,
        rank=rank,
        first_at=first_at,
        objective_seconds=objective_seconds,
        steps=steps,
        chain_median_seconds=median_seconds,
        chain_upper_seconds=upper_seconds,
        is_finite=not spec.schedule.count and not any(step.long_running for step in spec.steps),
        is_awaited=is_awaited,
    )


def _estimate_steps(spec: JobSpec, durations: Durations) -> list[StepWork]:
    step_works = []
    for step in spec.steps:
        expected = durations.expected(spec.queue.name, spec.tenant, step.estimated_ms)
        step_work = StepWork(
            needs=step.needs,
            task_count=step.task_count,
            low_seconds=min_task_seconds(expected),
            median_seconds=max(0.0, expected.median_seconds),
            upper_seconds=max(0.0, expected.upper_seconds),
            is_first=not step.depends_on,
            label=step.required_label,
            is_gang=step.gang,
        )
        step_works.append(step_work)
    return step_works


def _longest_chain_seconds(spec: JobSpec, step_works: tuple[StepWork, ...]) -> tuple[float, float]:
    """Return the median and the upper seconds of the longest chain of steps."""
    chain_ends: list[tuple[float, float]] = []
    for step, step_work in zip(spec.steps, step_works, strict=True):
        median_seconds = max(
            (chain_ends[dependency][0] for dependency in step.depends_on), default=0.0
        )
        upper_seconds = max(
            (chain_ends[dependency][1] for dependency in step.depends_on), default=0.0
        )
        chain_ends.append(
            (median_seconds + step_work.median_seconds, upper_seconds + step_work.upper_seconds)
        )
    longest_median_seconds = max((chain_end[0] for chain_end in chain_ends), default=0.0)
    return longest_median_seconds, max((chain_end[1] for chain_end in chain_ends), default=0.0)
