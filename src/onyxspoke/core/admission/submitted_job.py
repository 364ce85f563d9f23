"""A job that is handed in, as the decision about it sees it."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector
from onyxspoke.core.jobs.resource_vectors import scale_vector
from onyxspoke.core.placement.queue_order import (
    CERTAIN_ESTIMATE_SHARE,
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
    needs : ResourceVector
        Of one task.
    low_seconds, median_seconds, upper_seconds : float
        How long one task takes; the first, at least, where many are summed up.
    """

    needs: ResourceVector
    tasks: int
    low_seconds: float
    median_seconds: float
    upper_seconds: float
    is_first: bool
    label: str = ""
    is_gang: bool = False


@dataclass(slots=True, eq=False)
class SubmittedJob:
    """A job that is handed in.

    Attributes
    ----------
    first_submitted_at : float
        When it was handed in for the first time, in the holder's seconds.
    objective_seconds : float
        Within how long it should be done; 0 or less where nothing is asked for.
    rank : StepRank
        The place in the waiting line that its first step would take.
    has_end : bool
        It is of use once it is done: no repetitions, no tasks that last.
    is_timely_retry : bool
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
    first_submitted_at: float
    objective_seconds: float
    steps: tuple[StepWork, ...]
    chain_median_seconds: float
    chain_upper_seconds: float
    has_end: bool = True
    is_timely_retry: bool = False
    advice_seconds: float = 0.0

    @property
    def on_time_until(self) -> float:
        """The holder's second until which its outcome is on time."""
        return self.first_submitted_at + self.objective_seconds

    @property
    def expires_at(self) -> float:
        """The holder's second after which its outcome is of no use to its caller."""
        return self.first_submitted_at + EXPIRY_FACTOR * self.objective_seconds

    def is_too_wide(self, quota: ResourceVector) -> bool:
        """Return whether a quota, of which 0 sets no limit, certainly never lets it run."""
        for step in self.steps:
            together = scale_vector(step.needs, step.tasks) if step.is_gang else step.needs
            if any(most and need > most for need, most in zip(together, quota, strict=True)):
                return True
        return False


def low_seconds(expected: DurationEstimate) -> float:
    """Return how long a task takes at least, as the order of what waits counts it, too."""
    return CERTAIN_ESTIMATE_SHARE * max(0.0, expected.median_seconds)


def describe_submitted_job(
    spec: JobSpec,
    queue: QueuePolicy,
    durations: DurationEstimator,
    first_submitted_at: float,
    *,
    is_timely_retry: bool = False,
) -> SubmittedJob:
    """Return what the decision needs of a job."""
    steps = tuple(_step_works(spec, durations))
    median, upper = _chain(spec, steps)
    # By the work as it is known, as the order of what waits has it.
    objective = spec.queue.stretch * median + spec.queue.target_latency_ms / _MILLISECONDS
    latest_start = first_submitted_at + objective - median
    rank = StepRank(False, spec.is_over_share, queue.priority, Lateness.ON_TIME, latest_start, 0)
    return SubmittedJob(
        service=queue.service,
        queue=queue.name,
        tenant=spec.tenant,
        rank=rank,
        first_submitted_at=first_submitted_at,
        objective_seconds=objective,
        steps=steps,
        chain_median_seconds=median,
        chain_upper_seconds=upper,
        has_end=not spec.schedule.count and not any(step.long_running for step in spec.steps),
        is_timely_retry=is_timely_retry,
    )


def _step_works(spec: JobSpec, durations: DurationEstimator) -> list[StepWork]:
    works = []
    for step in spec.steps:
        expected = durations.expected(spec.queue.name, spec.tenant, step.estimated_ms)
        work = StepWork(
            needs=step.needs,
            tasks=step.task_count,
            low_seconds=low_seconds(expected),
            median_seconds=max(0.0, expected.median_seconds),
            upper_seconds=max(0.0, expected.upper_seconds),
            is_first=not step.depends_on,
            label=step.required_label,
            is_gang=step.gang,
        )
        works.append(work)
    return works


def _chain(spec: JobSpec, works: tuple[StepWork, ...]) -> tuple[float, float]:
    """Return the median and the upper seconds of the longest chain of steps."""
    ends: list[tuple[float, float]] = []
    for step, work in zip(spec.steps, works, strict=True):
        median = max((ends[number][0] for number in step.depends_on), default=0.0)
        upper = max((ends[number][1] for number in step.depends_on), default=0.0)
        ends.append((median + work.median_seconds, upper + work.upper_seconds))
    longest_median = max((end[0] for end in ends), default=0.0)
    return longest_median, max((end[1] for end in ends), default=0.0)
