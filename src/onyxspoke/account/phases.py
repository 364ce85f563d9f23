"""Splits a finished job's time into phases along its critical path.

The path is walked back from the job's end: the task that ended last, the runs of that task, the
task that its step waited for, and so on to the moment at which the job was taken in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.trails import JobTrail, RunTrail, Takeover, TaskName, Trails


class Phase(Enum):
    """What a job's time went into."""

    RECORD = "record"  # until the store had it
    ADVICE = "advice"  # until the first advice on the step
    QUOTA = "quota"  # while its tenant had all running that it may
    SHARE = "share"  # behind what others are owed, for jobs beyond their tenants' weights
    ROOM = "room"  # until a worker was free for it
    TAKEOVER = "takeover"  # while a new holder did not know yet what runs
    LOST_RUNS = "lost_runs"  # in runs that did not end well
    WORK = "work"  # in the run that ended well
    SHOWN = "shown"  # from its last end until the store had the outcome


class Outcome(Enum):
    """What became of a job."""

    MET = "met"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    OPEN = "open"


@dataclass(slots=True)
class JobAccount:
    """One job: its outcome, and its seconds by phase.

    ``objective_seconds`` follows from the work that its critical path took, as it was seen: what
    a job needs is not known beforehand, and estimates may be off by half.
    """

    job_id: str
    queue: str
    tenant: str
    taken_at: float
    objective_seconds: float
    seconds: float
    outcome: Outcome
    phases: dict[Phase, float] = field(default_factory=dict)

    @property
    def worst_phase(self) -> Phase | None:
        """The phase that cost most, work left out; None where nothing is known."""
        costs = {phase: cost for phase, cost in self.phases.items() if phase is not Phase.WORK}
        return max(costs, key=lambda phase: costs[phase]) if costs else None


def account_for(trails: Trails) -> list[JobAccount]:
    """Return the account of every job that some node took in or refused."""
    return [
        _account_of(job, trails.takeovers)
        for job in trails.jobs.values()
        if job.taken_at is not None or job.refused_at is not None
    ]


def _account_of(job: JobTrail, takeovers: list[Takeover]) -> JobAccount:
    taken_at = job.taken_at if job.taken_at is not None else job.refused_at or 0.0
    seconds = (job.ended_at if job.ended_at is not None else taken_at) - taken_at
    phases: dict[Phase, float] = {}
    if job.ended_at is not None and job.state == "completed":
        phases = _phases(job, taken_at, job.ended_at, takeovers)
    objective = job.stretch * phases.get(Phase.WORK, 0.0) + job.target_seconds
    outcome = _outcome(job, is_met=seconds <= objective)
    return JobAccount(
        job.job_id, job.queue, job.tenant, taken_at, objective, seconds, outcome, phases
    )


def _outcome(job: JobTrail, is_met: bool) -> Outcome:
    if job.state == "completed":
        return Outcome.MET if is_met else Outcome.LATE
    if job.state == "failed":
        return Outcome.FAILED
    if job.state == "cancelled":
        return Outcome.CANCELLED
    if job.refused_at is not None and job.accepted_at is None:
        return Outcome.REFUSED
    return Outcome.OPEN


def _phases(
    job: JobTrail, taken_at: float, ended_at: float, takeovers: list[Takeover]
) -> dict[Phase, float]:
    costs = dict.fromkeys(Phase, 0.0)
    accepted_at = job.accepted_at if job.accepted_at is not None else taken_at
    costs[Phase.RECORD] = max(0.0, accepted_at - taken_at)
    upper = ended_at
    is_last = True
    while upper > accepted_at:
        name = _last_to_end(job, upper)
        if name is None:
            break
        runs = sorted(job.runs[name].values(), key=lambda run: run.started_at)
        if is_last:
            last_end = max(run.ended_at for run in runs if run.ended_at is not None)
            costs[Phase.SHOWN] = max(0.0, upper - last_end)
            is_last = False
        ready_at = _ready_at(job, runs[0].started_at, accepted_at)
        _account_task(job, name, runs, ready_at, takeovers, costs)
        upper = ready_at
    return costs


def _last_to_end(job: JobTrail, before: float) -> TaskName | None:
    """Return the task whose last end is the latest one up to a moment."""
    best: tuple[float, TaskName] | None = None
    for name, runs in job.runs.items():
        ends = [run.ended_at for run in runs.values() if run.ended_at is not None]
        if ends and max(ends) <= before and (best is None or max(ends) > best[0]):
            best = (max(ends), name)
    return None if best is None else best[1]


def _ready_at(job: JobTrail, first_start: float, accepted_at: float) -> float:
    """Return when a task could begin: with the latest end of another one before its start."""
    ends = [
        run.ended_at
        for runs in job.runs.values()
        for run in runs.values()
        if run.ended_at is not None and run.how == "done" and run.ended_at <= first_start
    ]
    return max([accepted_at, *ends])


def _account_task(
    job: JobTrail,
    name: TaskName,
    runs: list[RunTrail],
    ready_at: float,
    takeovers: list[Takeover],
    costs: dict[Phase, float],
) -> None:
    since = ready_at
    for run in runs:
        quota_seconds = run.quota_seconds if run is runs[0] else 0.0
        _account_gap(job, name, since, run.started_at, quota_seconds, takeovers, costs)
        ended_at = run.ended_at if run.ended_at is not None else run.started_at
        phase = Phase.WORK if run.how == "done" else Phase.LOST_RUNS
        costs[phase] += max(0.0, ended_at - max(run.started_at, since))
        since = max(since, ended_at)


def _account_gap(
    job: JobTrail,
    name: TaskName,
    since: float,
    until: float,
    quota_seconds: float,
    takeovers: list[Takeover],
    costs: dict[Phase, float],
) -> None:
    """Split the time before a run: changes of holder, the quota, the first advice, and room."""
    gap = until - since
    if gap <= 0.0:
        return
    lost = sum(max(0.0, min(until, end) - max(since, start)) for start, end in takeovers)
    lost = min(lost, gap)
    costs[Phase.TAKEOVER] += lost
    held_back = min(quota_seconds, gap - lost)
    costs[Phase.QUOTA] += held_back
    lost += held_back
    moments = job.advice.get((name.repetition, name.step), [])
    advised_at = min(moments, default=since)
    waited = min(max(0.0, min(until, advised_at) - since), gap - lost)
    costs[Phase.ADVICE] += waited
    phase = Phase.SHARE if job.is_beyond_share else Phase.ROOM
    costs[phase] += gap - lost - waited
