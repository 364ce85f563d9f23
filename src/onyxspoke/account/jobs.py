"""Builds a report for each job: its outcome, its time by phase, and the cause of lateness."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.job_history import JobHistory, LogHistory, RunHistory
from onyxspoke.account.phases import CriticalPath, PathTimes, Phase
from onyxspoke.account.typical_run_times import TypicalRunTimes

#: The log line of a run's end is assumed to be missing if the time from the run's start to the
#: last log line is at least this many times the longest run time of the queue.
MISSING_END_FACTOR = 3.0
#: If more than this of a late job's time is assigned to no phase, log lines are missing.
MAX_UNASSIGNED_SECONDS = 0.1


class Outcome(Enum):
    """The outcome of a job."""

    MET_OBJECTIVE = "met"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNFINISHED = "open"
    INCOMPLETE_LOGS = "cut_off"  # log lines that show the outcome are missing


@dataclass(slots=True)
class JobReport:
    """The outcome of one job and its time by phase.

    ``objective_seconds`` is derived from the expected run times on the critical path, so a slow
    run does not raise the objective. ``seconds`` is the time from the first submission to the end.
    """

    job_id: str
    queue: str
    tenant: str
    submitted_at: float
    objective_seconds: float
    seconds: float
    outcome: Outcome
    #: Time spent in each phase, in seconds.
    seconds_by_phase: dict[Phase, float] = field(default_factory=dict)
    #: Seconds by which each phase exceeded its expected time.
    excess_seconds: dict[Phase, float] = field(default_factory=dict)
    is_over_share: bool = False
    #: Number of refused submissions of the job.
    refusals: int = 0
    #: Number of runs that were started for the job.
    starts: int = 0
    #: Number of times that advice on a step of the job arrived.
    advice_answers: int = 0
    #: Total time of all runs.
    run_seconds: float = 0.0

    @property
    def largest_excess_phase(self) -> Phase | None:
        """The phase that exceeded its expected time most, or None if no phase exceeded it."""
        largest = max(
            self.excess_seconds, key=lambda phase: self.excess_seconds[phase], default=None
        )
        return largest if largest is not None and self.excess_seconds[largest] > 0.0 else None

    @property
    def seconds_over_objective(self) -> float:
        """Seconds by which the job exceeded its objective; 0 if it met the objective."""
        return max(0.0, self.seconds - self.objective_seconds)


def build_job_reports(history: LogHistory) -> list[JobReport]:
    """Return a report on every job with recorded activity in the logs."""
    typical_times = TypicalRunTimes(history.jobs.values())
    return [
        _build_report(job, history, typical_times)
        for job in history.jobs.values()
        if _has_activity(job)
    ]


def _has_activity(job: JobHistory) -> bool:
    """Return whether the logs show a submission, a run or the end of the job."""
    return bool(job.submitted_at or job.accepted_at or job.ended_at or job.runs)


def _build_report(
    job: JobHistory, history: LogHistory, typical_times: TypicalRunTimes
) -> JobReport:
    submitted_at = _submitted_at(job)
    seconds = max(0.0, (job.ended_at or submitted_at) - submitted_at)
    path_times = PathTimes({})
    if job.ended_at is not None and job.state == "completed" and job.admitted_at is not None:
        path_times = CriticalPath(job, history.takeovers, typical_times).compute(
            submitted_at, job.ended_at
        )
    objective_seconds = job.stretch * path_times.required_seconds + job.target_seconds
    runs = _all_runs(job)
    return JobReport(
        job.job_id,
        job.queue,
        job.tenant,
        submitted_at,
        objective_seconds,
        seconds,
        _outcome(
            job, history, typical_times, _completed_outcome(seconds, objective_seconds, path_times)
        ),
        path_times.spent_seconds,
        path_times.excess_seconds(),
        job.is_over_share,
        refusals=len(job.refusals),
        starts=len(runs),
        advice_answers=sum(len(timestamps) for timestamps in job.advice_received_at.values()),
        run_seconds=sum(run.seconds for run in runs),
    )


def _submitted_at(job: JobHistory) -> float:
    timestamps = [job.submitted_at, job.accepted_at, *(run.started_at for run in _all_runs(job))]
    known_timestamps = [timestamp for timestamp in timestamps if timestamp is not None]
    return min(known_timestamps) if known_timestamps else job.ended_at or 0.0


def _all_runs(job: JobHistory) -> list[RunHistory]:
    return [run for runs in job.runs.values() for run in runs.values()]


def _completed_outcome(seconds: float, objective_seconds: float, path_times: PathTimes) -> Outcome:
    """Return the outcome of a completed job."""
    if seconds <= objective_seconds:
        return Outcome.MET_OBJECTIVE
    is_fully_assigned = seconds - sum(path_times.spent_seconds.values()) <= MAX_UNASSIGNED_SECONDS
    return Outcome.LATE if is_fully_assigned else Outcome.INCOMPLETE_LOGS


def _outcome(
    job: JobHistory, history: LogHistory, typical_times: TypicalRunTimes, completed_outcome: Outcome
) -> Outcome:
    if _was_only_refused(job):
        return Outcome.REFUSED
    if job.state == "cancelled" or (job.is_cancelled and not job.state):
        return Outcome.CANCELLED
    if job.state == "failed":
        return Outcome.FAILED
    if job.admitted_at is None:
        return Outcome.INCOMPLETE_LOGS
    if job.state == "completed":
        return completed_outcome
    max_run_seconds = MISSING_END_FACTOR * typical_times.longest_run_seconds_by_queue.get(
        job.queue, 0.0
    )
    return (
        Outcome.INCOMPLETE_LOGS
        if _has_missing_run_ends(job, history.last_timestamp - max_run_seconds)
        else Outcome.UNFINISHED
    )


def _was_only_refused(job: JobHistory) -> bool:
    if not job.refusals or job.accepted_at is not None or job.runs or job.state:
        return False
    return job.admitted_at is None or job.admitted_at <= job.refusals[-1].timestamp


def _has_missing_run_ends(job: JobHistory, started_before: float) -> bool:
    """Return whether log lines are missing for a job that has no logged end.

    Lines are missing if all tasks are done, or if the last run of a task has no logged end and
    started by the given time.
    """
    last_runs = [max(runs.values(), key=lambda run: run.started_at) for runs in job.runs.values()]
    if any(run.ended_at is None and run.started_at <= started_before for run in last_runs):
        return True
    all_tasks_done = all(
        any(run.end_kind == "done" for run in runs.values()) for runs in job.runs.values()
    )
    return bool(last_runs) and len(last_runs) >= job.task_count and all_tasks_done
