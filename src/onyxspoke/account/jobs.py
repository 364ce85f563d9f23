"""What became of each job, and why: its outcome, its seconds, and what made it late."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.phases import CriticalPath, PathCosts, Phase
from onyxspoke.account.trails import JobTrail, RunTrail, Trails
from onyxspoke.account.usual_times import UsualTimes

#: A run that shows no end for so many times its queue's longest run has lost its line.
LONGEST_RUNS = 3.0


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
    is_beyond_share: bool = False
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
    path = PathCosts({}, {})
    if job.ended_at is not None and job.state == "completed" and job.taken_at is not None:
        path = CriticalPath(job, trails.takeovers, usual).costs(handed_in_at, job.ended_at)
    chain = path.expected.get(Phase.WORK, 0.0) + path.expected.get(Phase.ADVICE, 0.0)
    objective = job.stretch * chain + job.target_seconds
    runs = _runs(job)
    return JobAccount(
        job.job_id,
        job.queue,
        job.tenant,
        handed_in_at,
        objective,
        seconds,
        _outcome(job, trails, usual, is_met=seconds <= objective),
        path.spent,
        path.excess(),
        job.is_beyond_share,
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


def _outcome(job: JobTrail, trails: Trails, usual: UsualTimes, is_met: bool) -> Outcome:
    if _was_only_refused(job):
        return Outcome.REFUSED
    if job.state == "cancelled" or (job.is_cancelled and not job.state):
        return Outcome.CANCELLED
    if job.state == "failed":
        return Outcome.FAILED
    if job.taken_at is None:
        return Outcome.CUT_OFF
    if job.state == "completed":
        return Outcome.MET if is_met else Outcome.LATE
    bound = LONGEST_RUNS * usual.longest_by_queue.get(job.queue, 0.0)
    return Outcome.CUT_OFF if _lacks_ends(job, trails.last_moment - bound) else Outcome.OPEN


def _was_only_refused(job: JobTrail) -> bool:
    if not job.refusals or job.accepted_at is not None or job.runs or job.state:
        return False
    return job.taken_at is None or job.taken_at <= job.refusals[-1].moment


def _lacks_ends(job: JobTrail, begun_before: float) -> bool:
    """Return whether all of its tasks must be over: each is done, or ran long ago."""
    if not job.runs or len(job.runs) < job.task_count:
        return False
    for runs in job.runs.values():
        last = max(runs.values(), key=lambda run: run.started_at)
        is_over = any(run.how == "done" for run in runs.values())
        if not is_over and (last.ended_at is not None or last.started_at > begun_before):
            return False
    return True
