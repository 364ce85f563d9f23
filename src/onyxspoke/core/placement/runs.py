"""Runs of tasks on workers: single runs, and the runs of gangs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxspoke.core.estimates.evidence import ObservedRunPace, estimated_seconds
from onyxspoke.core.jobs.model import ResourceVector, RunKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.jobs.states import RunState, check_run_transition

if TYPE_CHECKING:
    from onyxspoke.core.placement.workers import Worker

#: A run has stalled once it has made no progress for this many seconds plus this share of its
#: expected duration.
STALL_SECONDS = 1.6
STALL_ESTIMATE_SHARE = 0.2
#: Additional seconds that a gang may take until its members report their first progress.
GANG_START_EXTRA_SECONDS = 3.0


class GangRun:
    """One run of a whole gang; all its members have the same run number.

    Attributes
    ----------
    members : list of Run
        Every run of the gang, ended or not.
    is_broken : bool
        Whether a member ended without success, or never started, so that the others are stopped.
    counts_as_failure : bool
        Whether a member ended with the result ``failed``.
    is_duration_recorded : bool
        Whether the end of the gang was already processed for the duration estimates.
    """

    __slots__ = (
        "counts_as_failure",
        "is_broken",
        "is_duration_recorded",
        "members",
        "number",
        "step",
    )

    def __init__(self, step: StepProgress, number: int) -> None:
        self.step = step
        self.number = number
        self.members: list[Run] = []
        self.is_broken = False
        self.counts_as_failure = False
        self.is_duration_recorded = False

    @property
    def is_over(self) -> bool:
        """Whether every member has ended."""
        return all(member.state is RunState.ENDED for member in self.members)


class Run:
    """One execution of a task on a worker; it holds capacity of the worker until it has ended.

    Attributes
    ----------
    start_valid_until_ms : int
        The reading of the worker's clock, in milliseconds, after which the start order is void.
    ordered_at : float
        When this holder ordered the start; 0 if a previous holder ordered it.
    sent_at : float
        When the start order was sent, in the holder's seconds.
    confirmed_at : float
        When the worker first confirmed that it has the run; 0 before.
    listed_at : float
        When the worker last listed the run as running; 0 before.
    percent : int
        The progress that the worker reports, in percent.
    is_resumed : bool
        Whether the work began in an earlier run or under a previous holder, so that the progress
        does not start from zero at the start of this run.
    progressed_at : float
        When the reported progress last changed.
    usage : int
        A coarse figure that the worker reports: the processors in use or, for a serving task, its
        tail latency in milliseconds.
    evidence : ObservedRunPace or None
        What the progress of the run shows about task durations.
    pace_percent, ordered_pace_percent : int
        The share of full speed at which a filler run may work: the value that the worker last
        acknowledged, and the value that was last ordered.
    """

    __slots__ = (
        "confirmed_at",
        "evidence",
        "gang",
        "is_resumed",
        "listed_at",
        "needs",
        "number",
        "ordered_at",
        "ordered_pace_percent",
        "pace_percent",
        "pace_sent_at",
        "percent",
        "progressed_at",
        "sent_at",
        "start_valid_until_ms",
        "state",
        "stop_answered_at",
        "stop_sent_at",
        "task",
        "usage",
        "worker",
    )

    def __init__(
        self,
        task: TaskProgress,
        number: int,
        worker: Worker,
        now: float,
        gang: GangRun | None = None,
    ) -> None:
        self.task = task
        self.number = number
        self.worker = worker
        self.needs: ResourceVector = task.step.needs
        self.state = RunState.PLANNED
        self.gang = gang
        self.start_valid_until_ms = 0
        self.ordered_at = 0.0
        self.sent_at = now
        self.confirmed_at = 0.0
        self.listed_at = 0.0
        self.stop_sent_at = 0.0
        self.stop_answered_at = 0.0
        self.percent = 0
        self.is_resumed = False
        self.evidence: ObservedRunPace | None = None
        self.progressed_at = now
        self.usage = 0
        self.pace_percent = 100
        self.ordered_pace_percent = 100
        self.pace_sent_at = 0.0
        if gang is not None:
            gang.members.append(self)

    @property
    def key(self) -> RunKey:
        """The key that identifies the run."""
        return RunKey(self.task.key, self.number)

    @property
    def expected_seconds(self) -> float:
        """The expected duration of the whole task; for a gang, on the slowest of its workers."""
        if self.gang is None:
            factor = self.worker.speed.factor
        else:
            factor = max(member.worker.speed.factor for member in self.gang.members)
        return self.task.step.expected_seconds * factor

    def move_to(self, state: RunState) -> None:
        """Change the state; the transition must be a permitted one."""
        if state is not self.state:
            check_run_transition(self.state, state)
            self.state = state


def is_stalled(run: Run, seen_at: float) -> bool:
    """Return whether a run has made no progress for longer than even a slow worker would need.

    ``seen_at`` is the time of the worker's last report.  Long-running tasks report no progress and
    never count as stalled.  Members of a gang wait for each other at the start and at the end, so
    the latest progress of any member counts for all.
    """
    step = run.task.step.spec
    if step.long_running or not run.confirmed_at:
        return False
    # A speed factor below 1 may be wrong for this task, so it never shortens the limit.
    expected_seconds = max(run.expected_seconds, estimated_seconds(run))
    limit_seconds = STALL_SECONDS + STALL_ESTIMATE_SHARE * expected_seconds
    progressed_at = run.progressed_at
    if run.gang is not None:
        progressed_at = max(member.progressed_at for member in run.gang.members)
        limit_seconds += GANG_START_EXTRA_SECONDS if run.percent == 0 else 0.0
    return seen_at - progressed_at > limit_seconds


def task_log_name(key: RunKey) -> str:
    """Return the name of a run's task in log lines."""
    task = key.task
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.task_index}"
