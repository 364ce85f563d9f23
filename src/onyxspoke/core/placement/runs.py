"""Runs of tasks on workers, one by one or in gangs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxspoke.core.estimates.evidence import ObservedRunPace, estimated_seconds
from onyxspoke.core.jobs.model import ResourceVector, RunKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.jobs.states import RunState, check_run_transition

if TYPE_CHECKING:
    from onyxspoke.core.placement.workers import Worker

#: A run without progress for so long, in seconds, and this share of its time, stands still.
STALL_SECONDS = 1.6
STALL_ESTIMATE_SHARE = 0.2
#: A gang may take so much longer to begin, in seconds.
GANG_START_SECONDS = 3.0


class GangRun:
    """One run of a whole gang: its members share the number.

    Attributes
    ----------
    members : list of Run
        Every run of the gang, ended or not.
    is_broken : bool
        A member ended otherwise than well, or never began: the others are to end too.
    counts_as_failure : bool
        A member ended ``failed``.
    is_duration_recorded : bool
        Its end was taken for what it tells of durations.
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
        """Whether no member can still be at work."""
        return all(member.state is RunState.ENDED for member in self.members)


class Run:
    """One start of one task on one worker; it holds the worker's room until it has ended.

    Attributes
    ----------
    start_valid_until_ms : int
        Worker's clock after which the order to start is void.
    ordered_at : float
        When its start was ordered by this holder; 0 for one that a former holder ordered.
    sent_at : float
        When the order was sent, in the holder's seconds.
    confirmed_at : float
        When the worker first said that it has the run; 0 before.
    listed_at : float
        When a list of the worker last held the run; 0 before.
    percent : int
        Progress by the worker's word.
    is_resumed : bool
        Its work began in an earlier run, or before this holder: its progress does not count from
        its start.
    progressed_at : float
        When the percentage last rose.
    usage : int
        Rough figure of the worker: processors in use, or the tail of answer times.
    evidence : ObservedRunPace or None
        What its progress has told of durations.
    pace_percent, ordered_pace_percent : int
        Share at which the run may work: as acknowledged, and as last ordered.
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
        """The run's name."""
        return RunKey(self.task.key, self.number)

    @property
    def expected_seconds(self) -> float:
        """How long the whole task is expected to take here; of a gang, its slowest member."""
        if self.gang is None:
            factor = self.worker.speed.factor
        else:
            factor = max(member.worker.speed.factor for member in self.gang.members)
        return self.task.step.expected_seconds * factor

    def move_to(self, state: RunState) -> None:
        """Change the state."""
        if state is not self.state:
            check_run_transition(self.state, state)
            self.state = state


def is_stalled(run: Run, seen_at: float) -> bool:
    """Return whether a run has made no progress for longer than a slow worker would take.

    ``seen_at`` is when its progress was last told.  Tasks that run until they are stopped
    tell no progress; members of a gang wait for each other at the start and at the end.
    """
    step = run.task.step.spec
    if step.long_running or not run.confirmed_at:
        return False
    # A factor below 1 may be wrong for this task: it never has a sound run stopped sooner.
    seconds = max(run.expected_seconds, estimated_seconds(run))
    bound = STALL_SECONDS + STALL_ESTIMATE_SHARE * seconds
    progressed_at = run.progressed_at
    if run.gang is not None:
        progressed_at = max(member.progressed_at for member in run.gang.members)
        bound += GANG_START_SECONDS if run.percent == 0 else 0.0
    return seen_at - progressed_at > bound


def task_log_name(key: RunKey) -> str:
    """Return how a run's task is named in logs."""
    task = key.task
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.task_index}"
