"""Derives observed durations from the ends and progress of runs, and excludes unsuitable runs."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from onyxspoke.core.estimates.speeds import WorkerSpeed
from onyxspoke.core.estimates.work_model import WorkModel
from onyxspoke.core.jobs.states import RunState

if TYPE_CHECKING:
    from onyxspoke.core.jobs.progress import StepProgress
    from onyxspoke.core.placement.runs import GangRun, Run

#: Differences up to this, in seconds, are ignored, because workers list ends tens of
#: milliseconds late.
RESOLUTION_SECONDS = 0.1
#: An estimate that is wrong by more than this factor is ignored.
MAXIMUM_ERROR_FACTOR = 20.0
#: Progress below this percentage is ignored, because workers report it in whole percent.
FIRST_PERCENT = 20
#: Percentage points between two checks of a run's pace.
PROGRESS_STEP_PERCENT = 10
#: Weight of an observation from a run's progress; the run's end has the remaining weight.
PROGRESS_WEIGHT = 0.5
#: A pace change is ignored if the absolute value of its natural logarithm is at most this.
MINIMUM_CHANGE_LOG = 0.4
#: Maximum number of pace changes used per run; a run with more is itself uneven.
MAXIMUM_PACE_CHANGES = 4
#: Maximum number of tasks of one step that are compared with each other.
MAXIMUM_SIBLINGS = 64
#: Minimum number of a step's tasks on other workers from which a run's baseline is derived.
MINIMUM_SIBLINGS = 2
#: Spread of a work model, as a natural logarithm, at which its baseline has a confidence of 0.5.
HALF_CONFIDENCE_SPREAD_LOG = 0.15
#: If a worker's list of runs is older than this, in seconds, the worker was unreachable and the
#: end times of its runs are unknown.
MAXIMUM_LIST_AGE_SECONDS = 1.5
#: The slowest member of a gang is identified only if all others reached 100 percent earlier by at
#: least this share of the gang's duration.
MINIMUM_GANG_LAG_SHARE = 0.2
_MILLISECONDS = 1_000.0
_FULL_PERCENT = 100
#: Progress is rounded down to whole percent, so the mean rounding error is added back.
_HALF_PERCENT = 0.5


class ObservedRunPace:
    """The pace of a run and its progress at the last observation."""

    __slots__ = ("_pace_changes", "assumed_speed_log", "observed_at", "percent", "total_seconds")

    def __init__(
        self, total_seconds: float, percent: int, observed_at: float, assumed_speed_log: float
    ) -> None:
        self.total_seconds = total_seconds
        self.percent = percent
        self.observed_at = observed_at
        self._pace_changes = 0
        #: Logarithm of the worker's speed factor when the run's pace was first observed.
        self.assumed_speed_log = assumed_speed_log

    def update_pace(self, percent: int, now: float) -> float | None:
        """Return the change from the first pace, as a logarithm; ``None`` if not significant."""
        gained_percent = percent - self.percent
        if gained_percent < PROGRESS_STEP_PERCENT:
            return None
        seconds = now - self.observed_at
        expected_seconds = self.total_seconds * gained_percent / _FULL_PERCENT
        self.percent, self.observed_at = percent, now
        if seconds <= 0.0 or abs(seconds - expected_seconds) <= RESOLUTION_SECONDS:
            return None
        change_log = math.log(seconds / expected_seconds)
        if abs(change_log) <= MINIMUM_CHANGE_LOG or self._pace_changes >= MAXIMUM_PACE_CHANGES:
            return None
        self._pace_changes += 1
        return change_log


class Baseline(NamedTuple):
    """The logarithm that a run's ratio is compared with, and its confidence from 0 to 1."""

    log_ratio: float
    confidence: float


class Observation(NamedTuple):
    """log(actual / estimated) of one run, and the observation's share of the run's weight."""

    task_index: int
    speed: WorkerSpeed
    log_ratio: float
    share: float


class StepObservations:
    """log(actual / estimated) of one step's tasks, corrected for their workers' speeds.

    Attributes
    ----------
    pending : list of Observation
        Observations that still lack a baseline for their workers.
    """

    __slots__ = ("_ratios_by_task", "pending")

    def __init__(self) -> None:
        self._ratios_by_task: dict[int, tuple[str, float]] = {}
        self.pending: list[Observation] = []

    def add_sample(self, observation: Observation) -> None:
        """Store a task's observation; a later observation of the task replaces an earlier one."""
        if (
            observation.task_index in self._ratios_by_task
            or len(self._ratios_by_task) < MAXIMUM_SIBLINGS
        ):
            corrected_log = observation.log_ratio - observation.speed.log
            self._ratios_by_task[observation.task_index] = (
                observation.speed.worker_id,
                corrected_log,
            )
        if len(self.pending) < MAXIMUM_SIBLINGS:
            self.pending.append(observation)

    @property
    def task_count(self) -> int:
        """The number of tasks with an observation."""
        return len(self._ratios_by_task)

    def other_ratios(self, worker_id: str) -> list[float]:
        """Return the corrected ratios of tasks on other workers."""
        return [ratio for name, ratio in self._ratios_by_task.values() if name != worker_id]

    def count_others_on(self, worker_id: str, task_index: int) -> int:
        """Return how many other observed tasks ran on a worker."""
        return sum(
            1
            for index, (name, _ratio) in self._ratios_by_task.items()
            if name == worker_id and index != task_index
        )


def estimated_seconds(run: Run) -> float:
    """Return the caller's estimate of the run's duration in seconds."""
    return run.task.step.spec.estimated_ms / _MILLISECONDS


def is_uninformative(run: Run, observing_since: float) -> bool:
    """Return whether a run's duration must not be used for its work model or its worker.

    Parameters
    ----------
    observing_since : float
        Time in seconds since which this holder has run without a pause.
    """
    spec = run.task.step.spec
    return (
        spec.long_running
        or spec.fills
        or spec.estimated_ms <= 0
        or run.task.step.job.state.is_final
        or run.is_resumed
        or not run.ordered_at
        or not run.confirmed_at
        or run.confirmed_at < observing_since
        or run.pace_percent != _FULL_PERCENT
        or run.ordered_pace_percent != _FULL_PERCENT
        or _is_outside_preferred_rack(run)
    )


def is_gang_uninformative(gang: GangRun, observing_since: float) -> bool:
    """Return whether a gang is broken, incomplete, split over racks or has an excluded run."""
    members = gang.members
    if gang.is_broken or len(members) < len(gang.step.tasks):
        return True
    racks = {member.worker.record.rack for member in members}
    if gang.step.spec.same_rack and len(racks) > 1:
        return True
    return any(is_uninformative(member, observing_since) for member in members)


def _is_outside_preferred_rack(run: Run) -> bool:
    rack = run.task.step.spec.preferred_rack
    return bool(rack) and run.worker.record.rack != rack


def is_end_time_known(run: Run, now: float) -> bool:
    """Return whether the run ended just now, and not earlier while its worker was unreachable."""
    return now - max(run.confirmed_at, run.listed_at) <= MAXIMUM_LIST_AGE_SECONDS


def projected_seconds(run: Run, now: float) -> float:
    """Return a run's total duration in seconds at its average pace so far."""
    return (now - run.confirmed_at) / (run.percent + _HALF_PERCENT) * _FULL_PERCENT


def log_ratio(seconds: float, estimate: float) -> float | None:
    """Return log(actual / estimated); 0 if nearly equal, ``None`` if out of range."""
    if seconds <= 0.0:
        return None
    if abs(seconds - estimate) <= RESOLUTION_SECONDS:
        return 0.0
    ratio = math.log(seconds / estimate)
    return ratio if abs(ratio) <= math.log(MAXIMUM_ERROR_FACTOR) else None


def find_baseline(
    step: StepProgress, evidence: StepObservations, worker_id: str
) -> Baseline | None:
    """Return the baseline for a run on a worker; ``None`` if there are too few observations.

    Tasks of the same step on other workers share the job's estimation error, so they are a better
    baseline than the job's work model. The work model is used only after all tasks of the step are
    observed.
    """
    other_ratios = evidence.other_ratios(worker_id)
    if len(other_ratios) >= MINIMUM_SIBLINGS:
        return Baseline(median(other_ratios), 1.0)
    if evidence.task_count < len(step.tasks):
        return None
    return work_baseline(step.job.work)


def work_baseline(work: WorkModel) -> Baseline | None:
    """Return the baseline of a work model; ``None`` if the model has too few observations."""
    if not work.is_known:
        return None
    relative_variance = (work.spread_log / HALF_CONFIDENCE_SPREAD_LOG) ** 2
    return Baseline(math.log(work.factor), 1.0 / (1.0 + relative_variance))


def slowest_member(gang: GangRun, seconds: float, now: float) -> Run | None:
    """Return the gang member for which all other members waited; ``None`` if there is none."""
    if any(member.state not in (RunState.RUNNING, RunState.ENDED) for member in gang.members):
        return None
    slowest, *other_members = sorted(gang.members, key=lambda member: member.percent)
    if (
        not other_members
        or other_members[0].percent < _FULL_PERCENT
        or slowest.percent == _FULL_PERCENT
    ):
        return None
    others_done_at = max(member.progressed_at for member in other_members)
    return slowest if now - others_done_at >= MINIMUM_GANG_LAG_SHARE * seconds else None
