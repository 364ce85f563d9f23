"""Splits a finished job's time into phases along its critical path.

The path is followed backwards from the end of the job: from the task that ended last, through the
runs of that task, to the last step that ended before that task started, and so on to the
submission.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.job_history import JobHistory, RunHistory, Takeover, TaskId
from onyxspoke.account.typical_run_times import TypicalRunTimes


class Phase(Enum):
    """A phase that a job spends time in."""

    RESUBMISSION = "returned"  # from the first, refused submission until the job was admitted
    RECORDING = "record"  # until the store had recorded the job
    ADVICE = "advice"  # waiting for the first advice on a step
    QUOTA = "quota"  # waiting because the tenant's quota was exhausted
    FAIR_SHARE = "share"  # waiting behind entitled work while the tenant was over its share
    FREE_CAPACITY = "room"  # waiting for free capacity on a worker
    TAKEOVER = "takeover"  # waiting for a new holder to recover the shard's state
    FAILED_ATTEMPTS = "attempts"  # in runs that failed, or were broken by a failed gang member
    LOST_RUNS = "lost_runs"  # in runs that were stopped or lost with their workers
    WORK = "work"  # in the run that succeeded
    OUTCOME_RECORDING = "shown"  # from the end of the last run until the outcome was recorded


@dataclass(slots=True)
class PathTimes:
    """The time spent and expected along a job's critical path, in seconds.

    Attributes
    ----------
    spent_seconds : dict of Phase to float
        Time spent in each phase.
    expected_seconds : dict of Phase to float
        Expected time of each phase; 0 for phases that are not in the dict.
    required_seconds : float
        Time that the steps of the path need: for each step, its longest task and one advice call.
    """

    spent_seconds: dict[Phase, float] = field(default_factory=lambda: dict.fromkeys(Phase, 0.0))
    expected_seconds: dict[Phase, float] = field(default_factory=dict)
    required_seconds: float = 0.0

    def add_expected(self, phase: Phase, seconds: float) -> None:
        """Add to the expected time of a phase."""
        self.expected_seconds[phase] = self.expected_seconds.get(phase, 0.0) + seconds

    def excess_seconds(self) -> dict[Phase, float]:
        """Return the seconds by which each phase exceeded its expected time."""
        return {
            phase: max(0.0, seconds - self.expected_seconds.get(phase, 0.0))
            for phase, seconds in self.spent_seconds.items()
        }


class CriticalPath:
    """Follows the critical path of a finished job backwards from its end."""

    def __init__(
        self, job: JobHistory, takeovers: list[Takeover], typical_times: TypicalRunTimes
    ) -> None:
        self._job = job
        self._takeovers = takeovers
        self._typical_times = typical_times
        self._times = PathTimes()

    def compute(self, submitted_at: float, ended_at: float) -> PathTimes:
        """Return the time spent and expected by phase, from the submission to the end."""
        job = self._job
        spent_seconds = self._times.spent_seconds
        accepted_at = job.accepted_at or job.admitted_at or submitted_at
        spent_seconds[Phase.RESUBMISSION] = job.resubmission_seconds
        spent_seconds[Phase.RECORDING] = max(
            0.0, accepted_at - submitted_at - job.resubmission_seconds
        )
        segment_end = ended_at
        is_last = True
        while segment_end > accepted_at:
            task = self._last_finished_task(segment_end)
            if task is None:
                break
            runs = sorted(job.runs[task].values(), key=lambda run: run.started_at)
            if is_last:
                last_end = max(run.ended_at for run in runs if run.ended_at is not None)
                spent_seconds[Phase.OUTCOME_RECORDING] = max(0.0, segment_end - last_end)
                is_last = False
            ready_at = self._ready_at(task, runs[0].started_at, accepted_at)
            self._add_task(task, runs, ready_at)
            self._times.required_seconds += (
                self._required_step_seconds(task) + self._job.advice_seconds
            )
            segment_end = ready_at
        return self._times

    def _last_finished_task(self, before: float) -> TaskId | None:
        """Return the task that ended last, among those that ended by the given time."""
        latest: tuple[float, TaskId] | None = None
        for task, runs in self._job.runs.items():
            ends = [run.ended_at for run in runs.values() if run.ended_at is not None]
            if ends and max(ends) <= before and (latest is None or max(ends) > latest[0]):
                latest = (max(ends), task)
        return None if latest is None else latest[1]

    def _ready_at(self, task: TaskId, first_start: float, accepted_at: float) -> float:
        """Return when a task became ready: on acceptance, or when the last step before it ended."""
        ends: dict[tuple[int, int], float] = {}
        for other, runs in self._job.runs.items():
            if other[:2] != task[:2]:
                done_ends = [run.ended_at for run in runs.values() if run.end_kind == "done"]
                end = max((end for end in done_ends if end is not None), default=float("inf"))
                ends[other[:2]] = max(end, ends.get(other[:2], 0.0))
        return max([accepted_at, *(end for end in ends.values() if end <= first_start)])

    def _required_step_seconds(self, task: TaskId) -> float:
        """Return the time of a step's longest task, including failures that its job caused."""
        return max(
            sum(self._required_run_seconds(other, run) for run in runs.values())
            for other, runs in self._job.runs.items()
            if other[:2] == task[:2]
        )

    def _required_run_seconds(self, task: TaskId, run: RunHistory) -> float:
        if run.end_kind == "done":
            return self._typical_times.expected_seconds(self._job, task, run)
        failed_run = run if run.end_kind == "failed" else self._failed_member(task, run)
        if failed_run is None or self._typical_times.worker_fails_other_jobs(self._job, failed_run):
            return 0.0
        return run.seconds

    def _add_task(self, task: TaskId, runs: list[RunHistory], ready_at: float) -> None:
        covered_until = ready_at
        lost_seconds = work_seconds = expected_seconds = 0.0
        self._times.add_expected(Phase.ADVICE, self._job.advice_seconds)
        for run in runs:
            quota_seconds = run.quota_seconds if run is runs[0] else 0.0
            self._add_wait(task, covered_until, run.started_at, quota_seconds)
            ended_at = run.ended_at if run.ended_at is not None else run.started_at
            failed_run = run if run.end_kind == "failed" else self._failed_member(task, run)
            phase = _phase_of(run, failed_run)
            seconds = max(0.0, ended_at - max(run.started_at, covered_until))
            self._times.spent_seconds[phase] += seconds
            if phase is Phase.WORK:
                work_seconds += seconds
                expected_seconds = self._required_run_seconds(task, run)
            elif phase is Phase.LOST_RUNS:
                lost_seconds += seconds
            else:
                self._times.add_expected(phase, min(seconds, self._required_run_seconds(task, run)))
            covered_until = max(covered_until, ended_at)
        # Work that a stopped run saved shortens the last run, so an equal lost time is expected.
        self._times.add_expected(
            Phase.LOST_RUNS, min(lost_seconds, max(0.0, expected_seconds - work_seconds))
        )
        self._times.add_expected(Phase.WORK, expected_seconds)

    def _failed_member(self, task: TaskId, run: RunHistory) -> RunHistory | None:
        """Return the failed gang member that broke a run of its gang, or None."""
        if run.end_kind != "broken":
            return None
        for other, runs in self._job.runs.items():
            for member in runs.values():
                is_gang_member = other[:2] == task[:2] and member.started_at == run.started_at
                if is_gang_member and member.end_kind == "failed":
                    return member
        return None

    def _add_wait(
        self, task: TaskId, wait_start: float, wait_end: float, quota_seconds: float
    ) -> None:
        """Split the wait before a run into takeovers, quota, first advice and free capacity."""
        wait_seconds = wait_end - wait_start
        if wait_seconds <= 0.0:
            return
        spent_seconds = self._times.spent_seconds
        assigned_seconds = sum(
            max(0.0, min(wait_end, end) - max(wait_start, start)) for start, end in self._takeovers
        )
        assigned_seconds = min(assigned_seconds, wait_seconds)
        spent_seconds[Phase.TAKEOVER] += assigned_seconds
        quota_wait_seconds = min(quota_seconds, wait_seconds - assigned_seconds)
        spent_seconds[Phase.QUOTA] += quota_wait_seconds
        assigned_seconds += quota_wait_seconds
        advice_timestamps = self._job.advice_received_at.get((task.repetition, task.step), [])
        first_advice_at = min(advice_timestamps, default=wait_start)
        advice_wait_seconds = min(
            max(0.0, min(wait_end, first_advice_at) - wait_start), wait_seconds - assigned_seconds
        )
        spent_seconds[Phase.ADVICE] += advice_wait_seconds
        phase = Phase.FAIR_SHARE if self._job.is_over_share else Phase.FREE_CAPACITY
        spent_seconds[phase] += wait_seconds - assigned_seconds - advice_wait_seconds


def _phase_of(run: RunHistory, failed_run: RunHistory | None) -> Phase:
    if run.end_kind == "done":
        return Phase.WORK
    return Phase.LOST_RUNS if failed_run is None else Phase.FAILED_ATTEMPTS
