"""A submitted job, described for the admission decision."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector
from onyxspoke.core.jobs.resource_vectors import scale_vector
from onyxspoke.core.placement.preemption import is_preemptible_step
from onyxspoke.core.placement.queue_order import (
    CERTAIN_ESTIMATE_SHARE,
    EXPIRY_FACTOR,
    Lateness,
    StepRank,
)

_MS_PER_SECOND = 1_000.0


@dataclass(frozen=True, slots=True)
class StepWork:
    """The resources and the expected duration of one step.

    Attributes
    ----------
    needs : ResourceVector
        Resources of one task.
    low_seconds, median_seconds, upper_seconds : float
        Expected duration of one task; the first is a lower bound, used when many tasks are summed.
    is_first : bool
        The step depends on no other step.
    label : str
        Label that a worker must have; empty if any worker will do.
    is_gang : bool
        All tasks of the step must run at the same time.
    is_preemptible : bool
        The runs of the step may be preempted by work of a queue with higher priority.
    """

    needs: ResourceVector
    task_count: int
    low_seconds: float
    median_seconds: float
    upper_seconds: float
    is_first: bool
    label: str = ""
    is_gang: bool = False
    is_preemptible: bool = False


@dataclass(slots=True, eq=False)
class SubmittedJob:
    """A submitted job.

    Attributes
    ----------
    first_submitted_at : float
        Time of the first submission, on the holder's clock.
    objective_seconds : float
        Time within which the job should finish; 0 or less if it has no objective.
    rank : StepRank
        Rank that its first step would have in the waiting queue.
    is_finite : bool
        The job is useful once it finishes: it is neither repeated nor long-running.
    is_timely_retry : bool
        The job was refused before, and is retried at the time that its caller was given.
    advice_seconds : float
        Expected time until the advice service has answered for its first step.
    chain_median_seconds, chain_upper_seconds : float
        Duration of the longest chain of dependent steps.
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
    is_finite: bool = True
    is_timely_retry: bool = False
    advice_seconds: float = 0.0

    @property
    def objective_ends_at(self) -> float:
        """Time on the holder's clock until which a result meets the objective."""
        return self.first_submitted_at + self.objective_seconds

    @property
    def expires_at(self) -> float:
        """Time on the holder's clock at which the job expires, and its caller counts as gone."""
        return self.first_submitted_at + EXPIRY_FACTOR * self.objective_seconds

    def exceeds_quota(self, quota: ResourceVector) -> bool:
        """Return whether the job can never run within a quota; 0 means no limit."""
        for step in self.steps:
            simultaneous_needs = (
                scale_vector(step.needs, step.task_count) if step.is_gang else step.needs
            )
            if any(
                limit and need > limit
                for need, limit in zip(simultaneous_needs, quota, strict=True)
            ):
                return True
        return False


def min_task_seconds(expected: DurationEstimate) -> float:
    """Return the lower bound of a task's duration, as the queue order computes it."""
    return CERTAIN_ESTIMATE_SHARE * max(0.0, expected.median_seconds)


def describe_submitted_job(
    spec: JobSpec,
    queue: QueuePolicy,
    durations: DurationEstimator,
    first_submitted_at: float,
    *,
    is_timely_retry: bool = False,
) -> SubmittedJob:
    """Return the description of a job that the admission decision works on."""
    steps = tuple(_estimate_steps(spec, durations))
    median_seconds, upper_seconds = _longest_chain_seconds(spec, steps)
    # The objective follows from the learned duration, as in the queue order.
    objective_seconds = (
        spec.queue.stretch * median_seconds + spec.queue.target_latency_ms / _MS_PER_SECOND
    )
    latest_start = first_submitted_at + objective_seconds - median_seconds
    rank = StepRank(False, spec.is_over_share, queue.priority, Lateness.ON_TIME, latest_start, 0)
    return SubmittedJob(
        service=queue.service,
        queue=queue.name,
        tenant=spec.tenant,
        rank=rank,
        first_submitted_at=first_submitted_at,
        objective_seconds=objective_seconds,
        steps=steps,
        chain_median_seconds=median_seconds,
        chain_upper_seconds=upper_seconds,
        is_finite=not spec.schedule.count and not any(step.long_running for step in spec.steps),
        is_timely_retry=is_timely_retry,
    )


def _estimate_steps(spec: JobSpec, durations: DurationEstimator) -> list[StepWork]:
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
            is_preemptible=is_preemptible_step(step),
        )
        step_works.append(step_work)
    return step_works


def _longest_chain_seconds(spec: JobSpec, step_works: tuple[StepWork, ...]) -> tuple[float, float]:
    """Return the median and upper duration of the longest chain of dependent steps."""
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
