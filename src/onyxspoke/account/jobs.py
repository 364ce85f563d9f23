"""What became of each job, and why: its outcome, its seconds, and what made it late."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.phases import CriticalPath, PathCosts, Phase
from onyxspoke.account.trails import JobTrail, RunTrail, Trails
from onyxspoke.account.usual_times import UsualTimes

#: A run that shows no end for so many times its queue's longest run has lost its line.
LONGEST_RUNS = 3.0
#: A path that leaves so many of its job's seconds untold lacks lines.
UNTOLD_SECONDS = 0.1


class Outcome(Enum):
    """What became of a job."""

    MET = "met"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    OPEN = "open"
    CUT_OFF = "cut_off"  # lines are missing that would tell


@dataclass(slots=True)
class JobAccount:
    """One job: its outcome, and its seconds by phase.

    ``objective_seconds`` follows from what the work of its critical path should have taken: a run
    that was slow does not move it. ``seconds`` count from the first hand-in.
    """

    job_id: str
    queue: str
    tenant: str
    taken_at: float
    objective_seconds: float
    seconds: float
    outcome: Outcome
    phases: dict[Phase, float] = field(default_factory=dict)
    #: By phase, what it took beyond what it should have.
    excess: dict[Phase, float] = field(default_factory=dict)
    is_over_share: bool = False
    refusals: int = 0
    starts: int = 0
    advice_answers: int = 0
    run_seconds: float = 0.0

    @property
    def worst_phase(self) -> Phase | None:
        """The phase that cost most beyond what it should have; None where none did."""
        worst = max(self.excess, key=lambda phase: self.excess[phase], default=None)
        return worst if worst is not None and self.excess[worst] > 0.0 else None

    @property
    def over_seconds(self) -> float:
        """How far it was over its objective."""
        return max(0.0, self.seconds - self.objective_seconds)


def account_for(trails: Trails) -> list[JobAccount]:
    """Return the account of every job that the logs tell of."""
    usual = UsualTimes(trails.jobs.values())
    return [_account_of(job, trails, usual) for job in trails.jobs.values() if _is_known(job)]


def _is_known(job: JobTrail) -> bool:
    """Return whether some node took it in, refused it, or showed it at work."""
    return bool(job.handed_in_at or job.accepted_at or job.ended_at or job.runs)


def _account_of(job: JobTrail, trails: Trails, usual: UsualTimes) -> JobAccount:
    handed_in_at = _handed_in_at(job)
    seconds = max(0.0, (job.ended_at or handed_in_at) - handed_in_at)
    path = PathCosts({})
    if job.ended_at is not None and job.state == "completed" and job.taken_at is not None:
        path = CriticalPath(job, trails.takeovers, usual).costs(handed_in_at, job.ended_at)
    objective = job.stretch * path.chain_seconds + job.target_seconds
    runs = _runs(job)
    return JobAccount(
        job.job_id,
        job.queue,
        job.tenant,
        handed_in_at,
        objective,
        seconds,
        _outcome(job, trails, usual, _judge(seconds, objective, path)),
        path.spent,
        path.excess(),
        job.is_over_share,
        refusals=len(job.refusals),
        starts=len(runs),
        advice_answers=sum(len(moments) for moments in job.advice.values()),
        run_seconds=sum(run.seconds for run in runs),
    )


def _handed_in_at(job: JobTrail) -> float:
    moments = [job.handed_in_at, job.accepted_at, *(run.started_at for run in _runs(job))]
    known = [moment for moment in moments if moment is not None]
    return min(known) if known else job.ended_at or 0.0


def _runs(job: JobTrail) -> list[RunTrail]:
    return [run for runs in job.runs.values() for run in runs.values()]


def _judge(seconds: float, objective: float, path: PathCosts) -> Outcome:
    """Return the outcome of a completed job."""
    if seconds <= objective:
        return Outcome.MET
    is_told = seconds - sum(path.spent.values()) <= UNTOLD_SECONDS
    return Outcome.LATE if is_told else Outcome.CUT_OFF


def _outcome(job: JobTrail, trails: Trails, usual: UsualTimes, completed: Outcome) -> Outcome:
    if _was_only_refused(job):
        return Outcome.REFUSED
    if job.state == "cancelled" or (job.is_cancelled and not job.state):
        return Outcome.CANCELLED
    if job.state == "failed":
        return Outcome.FAILED
    if job.taken_at is None:
        return Outcome.CUT_OFF
    if job.state == "completed":
        return completed
    bound = LONGEST_RUNS * usual.longest_by_queue.get(job.queue, 0.0)
    return Outcome.CUT_OFF if _lacks_ends(job, trails.last_moment - bound) else Outcome.OPEN


def _was_only_refused(job: JobTrail) -> bool:
    if not job.refusals or job.accepted_at is not None or job.runs or job.state:
        return False
    return job.taken_at is None or job.taken_at <= job.refusals[-1].moment


def _lacks_ends(job: JobTrail, begun_before: float) -> bool:
    """Return whether lines of its runs are missing: all are done, or one ran long ago."""
    last_runs = [max(runs.values(), key=lambda run: run.started_at) for runs in job.runs.values()]
    if any(run.ended_at is None and run.started_at <= begun_before for run in last_runs):
        return True
    are_done = all(any(run.how == "done" for run in runs.values()) for runs in job.runs.values())
    return bool(last_runs) and len(last_runs) >= job.task_count and are_done
