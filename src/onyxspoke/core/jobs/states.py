"""States of jobs, tasks and runs, and the allowed transitions between them."""

from __future__ import annotations

from enum import Enum, IntEnum


class JobState(IntEnum):
    """The state of a job; records contain the numeric value."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the job has ended and can no longer change its state."""
        return self >= JobState.COMPLETED


class TaskState(IntEnum):
    """The state of a task."""

    WAITING = 0
    ACTIVE = 1
    IN_DOUBT = 2
    DONE = 3


class RunState(IntEnum):
    """The state of a run.

    ``PLANNED``: capacity is reserved, and no start order was sent yet.  ``STARTING``: the start
    order was sent.  ``UNCERTAIN``: the start order was not answered.  ``RUNNING``: the worker has
    the run.  ``STOPPING``: a stop order was sent.  ``ENDED``: the reserved capacity is free again.
    """

    PLANNED = 0
    STARTING = 1
    UNCERTAIN = 2
    RUNNING = 3
    STOPPING = 4
    ENDED = 5


class RunEnd(Enum):
    """How a run ended, as its worker reported or as the holder concluded."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"
    NOT_STARTED = "not_started"
    ABANDONED = "abandoned"


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.QUEUED: frozenset(JobState) - {JobState.QUEUED},
    JobState.RUNNING: frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}),
    JobState.COMPLETED: frozenset(),
    JobState.FAILED: frozenset(),
    JobState.CANCELLED: frozenset(),
}

TASK_TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.WAITING: frozenset({TaskState.ACTIVE, TaskState.IN_DOUBT, TaskState.DONE}),
    TaskState.ACTIVE: frozenset({TaskState.WAITING, TaskState.DONE}),
    TaskState.IN_DOUBT: frozenset({TaskState.WAITING, TaskState.ACTIVE, TaskState.DONE}),
    TaskState.DONE: frozenset(),
}

RUN_TRANSITIONS: dict[RunState, frozenset[RunState]] = {
    # A run that a previous holder ordered and that is found on a worker skips STARTING.
    RunState.PLANNED: frozenset({RunState.STARTING, RunState.RUNNING, RunState.ENDED}),
    RunState.STARTING: frozenset(RunState) - {RunState.PLANNED, RunState.STARTING},
    RunState.UNCERTAIN: frozenset({RunState.RUNNING, RunState.STOPPING, RunState.ENDED}),
    RunState.RUNNING: frozenset({RunState.STOPPING, RunState.ENDED}),
    RunState.STOPPING: frozenset({RunState.ENDED}),
    RunState.ENDED: frozenset(),
}


class IllegalTransitionError(Exception):
    """A state transition is not allowed; this is an internal error of onyxspoke."""


def check_job_transition(old: JobState, new: JobState) -> None:
    """Raise :class:`IllegalTransitionError` unless ``new`` may follow ``old``."""
    if new not in JOB_TRANSITIONS[old]:
        raise IllegalTransitionError(f"job {old.name} -> {new.name}")


def check_task_transition(old: TaskState, new: TaskState) -> None:
    """Raise :class:`IllegalTransitionError` unless ``new`` may follow ``old``."""
    if new not in TASK_TRANSITIONS[old]:
        raise IllegalTransitionError(f"task {old.name} -> {new.name}")


def check_run_transition(old: RunState, new: RunState) -> None:
    """Raise :class:`IllegalTransitionError` unless ``new`` may follow ``old``."""
    if new not in RUN_TRANSITIONS[old]:
        raise IllegalTransitionError(f"run {old.name} -> {new.name}")
