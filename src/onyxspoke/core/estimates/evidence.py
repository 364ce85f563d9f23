"""What an end of a run, or a report of its progress, tells; and what tells nothing."""

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

#: Ends are listed some tens of milliseconds late: a difference of so many seconds is none.
RESOLUTION_SECONDS = 0.1
#: An estimate that is off by more than this factor is no estimate.
ABSURD_FACTOR = 20.0
#: Progress tells from here on, in percent, because it is told in whole ones; ...
FIRST_PERCENT = 20
#: ... then again after so many more.
SEGMENT_PERCENT = 10
#: What progress tells of a run counts so much of it, and its end the rest.
PROGRESS_SHARE = 0.5
#: A run's pace that changed by less than this logarithm has not changed.
CHANGE_LOG = 0.4
#: A run whose pace changes this often is uneven by itself.
MAXIMUM_CHANGES = 4
#: Tasks of one step that are compared with each other.
MAXIMUM_SIBLINGS = 64
#: A run is compared with its siblings elsewhere once there are so many, ...
LEAST_SIBLINGS = 2
#: ... and else with its queue, which counts half where usual work is spread so far, as a logarithm.
SURE_SPREAD_LOG = 0.15
#: A worker whose list of runs is older, in seconds, was out of reach: when runs ended is not known.
LONGEST_LOOK_SECONDS = 1.5
#: A gang's slowest member is told by its progress where all others were done a share of its time
#: before.
GANG_BEHIND_SHARE = 0.2
_MILLISECONDS = 1_000.0
_FULL_PERCENT = 100
#: A whole percentage stands for what lies between it and the next.
_HALF_PERCENT = 0.5


class ObservedRunPace:
    """How a run went so far: its pace, and where it was at the last look."""

    __slots__ = ("_changes", "at", "percent", "speed_log", "whole_seconds")

    def __init__(self, whole_seconds: float, percent: int, at: float, speed_log: float) -> None:
        self.whole_seconds = whole_seconds
        self.percent = percent
        self.at = at
        self._changes = 0
        #: What was known of the worker when the pace was.
        self.speed_log = speed_log

    def take_change(self, percent: int, now: float) -> float | None:
        """Return by what the pace has changed since, as a logarithm; ``None`` if it has not."""
        gained = percent - self.percent
        if gained < SEGMENT_PERCENT:
            return None
        seconds = now - self.at
        usual = self.whole_seconds * gained / _FULL_PERCENT
        self.percent, self.at = percent, now
        if seconds <= 0.0 or abs(seconds - usual) <= RESOLUTION_SECONDS:
            return None
        change = math.log(seconds / usual)
        if abs(change) <= CHANGE_LOG or self._changes >= MAXIMUM_CHANGES:
            return None
        self._changes += 1
        return change


class Baseline(NamedTuple):
    """What a run is compared with, as a logarithm, and how sure that is, up to 1."""

    log_ratio: float
    sureness: float


class Observation(NamedTuple):
    """What one run told: log(actual / estimated), and for how much of the run it stands."""

    task_index: int
    speed: WorkerSpeed
    log_ratio: float
    share: float


class StepObservations:
    """How the tasks of one step compared with their estimate, less their workers' speeds.

    Attributes
    ----------
    waiting : list of Observation
        Of workers, until there is enough to compare them with.
    """

    __slots__ = ("_by_task", "waiting")

    def __init__(self) -> None:
        self._by_task: dict[int, tuple[str, float]] = {}
        self.waiting: list[Observation] = []

    def note(self, seen: Observation) -> None:
        """Remember how a task went; what came later replaces what came before."""
        if seen.task_index in self._by_task or len(self._by_task) < MAXIMUM_SIBLINGS:
            usual = seen.log_ratio - seen.speed.log
            self._by_task[seen.task_index] = (seen.speed.worker_id, usual)
        if len(self.waiting) < MAXIMUM_SIBLINGS:
            self.waiting.append(seen)

    @property
    def count(self) -> int:
        """How many tasks it knows."""
        return len(self._by_task)

    def others(self, worker_id: str) -> list[float]:
        """Return how tasks on other workers went."""
        return [ratio for name, ratio in self._by_task.values() if name != worker_id]

    def count_on(self, worker_id: str, task_index: int) -> int:
        """Return how many other tasks are known that ran on a worker."""
        return sum(
            1
            for index, (name, _ratio) in self._by_task.items()
            if name == worker_id and index != task_index
        )


def estimated_seconds(run: Run) -> float:
    """Return the caller's estimate."""
    return run.task.step.spec.estimated_ms / _MILLISECONDS


def tells_nothing(run: Run, observing_since: float) -> bool:
    """Return whether a run's times say nothing of its estimate or its worker.

    Parameters
    ----------
    observing_since : float
        Since when this holder has been at work without a pause.
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
        or _is_far(run)
    )


def gang_tells_nothing(gang: GangRun, observing_since: float) -> bool:
    """Return whether a gang's time says nothing: it was broken, or data or members were far."""
    members = gang.members
    if gang.is_broken or len(members) < len(gang.step.tasks):
        return True
    racks = {member.worker.record.rack for member in members}
    if gang.step.spec.same_rack and len(racks) > 1:
        return True
    return any(tells_nothing(member, observing_since) for member in members)


def _is_far(run: Run) -> bool:
    rack = run.task.step.spec.preferred_rack
    return bool(rack) and run.worker.record.rack != rack


def is_end_certain(run: Run, now: float) -> bool:
    """Return whether the run surely ended just now, and not while its worker was out of reach."""
    return now - max(run.confirmed_at, run.listed_at) <= LONGEST_LOOK_SECONDS


def projected_seconds(run: Run, now: float) -> float:
    """Return how long a run would take in all at the pace that it has shown."""
    return (now - run.confirmed_at) / (run.percent + _HALF_PERCENT) * _FULL_PERCENT


def log_ratio(seconds: float, estimate: float) -> float | None:
    """Return log(actual / estimated); 0 within the resolution, ``None`` where it is absurd."""
    if seconds <= 0.0:
        return None
    if abs(seconds - estimate) <= RESOLUTION_SECONDS:
        return 0.0
    ratio = math.log(seconds / estimate)
    return ratio if abs(ratio) <= math.log(ABSURD_FACTOR) else None


def compare(step: StepProgress, evidence: StepObservations, worker_id: str) -> Baseline | None:
    """Return what to compare a run on a worker with; ``None`` if there is not enough yet.

    Siblings elsewhere share the job's own length, so that they tell more than the queue, which is
    taken only once no more of them can come.
    """
    others = evidence.others(worker_id)
    if len(others) >= LEAST_SIBLINGS:
        return Baseline(median(others), 1.0)
    if evidence.count < len(step.tasks):
        return None
    return baseline_of(step.job.work)


def baseline_of(work: WorkModel) -> Baseline | None:
    """Return what is usual in a queue, or for its tenant; ``None`` if too little is known."""
    if not work.is_known:
        return None
    doubt = (work.spread_log / SURE_SPREAD_LOG) ** 2
    return Baseline(math.log(work.factor), 1.0 / (1.0 + doubt))


def slowest_member(gang: GangRun, seconds: float, now: float) -> Run | None:
    """Return the member for which all others have clearly waited, if there is one."""
    if any(member.state not in (RunState.RUNNING, RunState.ENDED) for member in gang.members):
        return None
    slowest, *others = sorted(gang.members, key=lambda member: member.percent)
    if not others or others[0].percent < _FULL_PERCENT or slowest.percent == _FULL_PERCENT:
        return None
    others_done_at = max(member.progressed_at for member in others)
    return slowest if now - others_done_at >= GANG_BEHIND_SHARE * seconds else None
