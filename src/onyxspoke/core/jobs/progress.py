"""How far jobs, steps and tasks are; no decision, only what follows from what happened."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxspoke.core.estimates.work_model import DEFAULT_WORK_MODEL, WorkModel
from onyxspoke.core.jobs.crashes import CrashTally
from onyxspoke.core.jobs.model import JobId, JobSpec, StepKey, StepSpec, TaskKey, WorkerId
from onyxspoke.core.jobs.states import (
    JobState,
    TaskState,
    check_job_transition,
    check_task_transition,
)

if TYPE_CHECKING:
    from onyxspoke.core.estimates.evidence import StepObservations
    from onyxspoke.core.placement.runs import Run

_MILLISECONDS = 1_000.0


class TaskProgress:
    """One task.

    Attributes
    ----------
    failed_runs : list of int
        Numbers of the runs that ended ``failed``; an end that is told twice counts once.
    crashes : CrashTally
        Workers that went down under its runs; nobody reports those.
    checkpoint : str
        Opaque text from which work may resume; empty for none.
    run : Run or None
        The run that stands for the task now.
    last_failed_worker_id : WorkerId
        Worker of the latest failure, to try another one next.
    placed_on : WorkerId
        The worker that may have a run of it, by this holder's or a former one's record; empty
        where none can.
    """

    __slots__ = (
        "checkpoint",
        "crashes",
        "failed_runs",
        "index",
        "last_failed_worker_id",
        "placed_on",
        "run",
        "state",
        "step",
    )

    def __init__(self, step: StepProgress, index: int) -> None:
        self.step = step
        self.index = index
        self.state = TaskState.WAITING
        self.failed_runs: list[int] = []
        self.crashes = CrashTally()
        self.checkpoint = ""
        self.run: Run | None = None
        self.last_failed_worker_id: WorkerId = ""
        self.placed_on: WorkerId = ""

    @property
    def key(self) -> TaskKey:
        """The task's name."""
        return TaskKey(*self.step.key, self.index)

    def move_to(self, state: TaskState) -> None:
        """Change the state and keep the step's counts true."""
        if state is self.state:
            return
        check_task_transition(self.state, state)
        self.step.count_move(self, self.state, state)
        self.state = state


class StepProgress:
    """One step of one repetition.

    Attributes
    ----------
    needs : ResourceVector
        What one task reserves of a worker's room.
    waiting : dict of int to None
        Indexes of tasks that may be started, in order.
    blocked_by : int
        Earlier steps that are not done yet.
    ready_at : float
        When the last of them ended, in the reader's seconds.
    failed_gang_runs : list of int
        Numbers of the runs of the whole gang in which a member failed.
    last_run_number : int
        Highest run number that is known of any task of the step.
    due_at : float
        When the job was accepted, or the repetition fell due, in the reader's seconds.
    remaining_path_seconds : float
        Estimated work from this step to the end of the job, along the longest chain.
    over_quota_since : float or None
        Since when nothing of it may start because its tenant's quota is used up.
    over_quota_seconds : float
        For how long that was so before.
    last_crash_at : float
        When a worker last went down just after only tasks of this job had begun there; 0 for never.
    done_count_at_crash : int
        How many tasks had ended well by then.
    evidence : StepObservations or None
        How its tasks have compared with their estimate.
    next_trial_start_at : float
        While it is on trial, nothing more of it begins before this second.
    """

    __slots__ = (
        "blocked_by",
        "done_count",
        "done_count_at_crash",
        "due_at",
        "evidence",
        "failed_gang_runs",
        "in_doubt",
        "job",
        "key",
        "last_crash_at",
        "last_run_number",
        "needs",
        "next_trial_start_at",
        "over_quota_seconds",
        "over_quota_since",
        "ready_at",
        "remaining_path_seconds",
        "spec",
        "tasks",
        "waiting",
    )

    def __init__(
        self,
        job: JobProgress,
        key: StepKey,
        spec: StepSpec,
        remaining_path_seconds: float,
        now: float,
    ) -> None:
        self.job = job
        self.due_at = job.accepted_at if job.spec.schedule.count == 0 else now
        self.remaining_path_seconds = remaining_path_seconds
        self.key = key
        self.spec = spec
        #: As ``spec.needs``, which is worked out at each use, and placement uses it all the time.
        self.needs = spec.needs
        self.tasks = [TaskProgress(self, index) for index in range(spec.task_count)]
        self.waiting: dict[int, None] = dict.fromkeys(range(spec.task_count))
        self.in_doubt = 0
        self.done_count = 0
        self.blocked_by = len(spec.depends_on)
        self.ready_at = now
        self.failed_gang_runs: list[int] = []
        self.last_run_number = 0
        self.over_quota_since: float | None = None
        self.over_quota_seconds = 0.0
        self.last_crash_at = 0.0
        self.done_count_at_crash = 0
        self.next_trial_start_at = 0.0
        self.evidence: StepObservations | None = None

    @property
    def expected_seconds(self) -> float:
        """How long one task is expected to take on a usual worker."""
        return self.spec.estimated_ms / _MILLISECONDS * self.job.work.factor

    @property
    def expected_remaining_path_seconds(self) -> float:
        """How long the work to the end of the job is expected to take, along the longest chain."""
        return self.remaining_path_seconds * self.job.work.factor

    def set_over_quota(self, is_over: bool, now: float) -> bool:
        """Take note whether its tenant's quota holds the step back; return whether that is new."""
        if is_over:
            is_new = self.over_quota_since is None
            if is_new:
                self.over_quota_since = now
            return is_new
        if self.over_quota_since is not None:
            self.over_quota_seconds += now - self.over_quota_since
            self.over_quota_since = None
        return False

    @property
    def max_tasks_per_worker(self) -> int:
        """How many of its tasks one worker may have at most, however much room there is."""
        return min(self.spec.spread_limit or len(self.tasks), len(self.tasks))

    @property
    def is_done(self) -> bool:
        """Whether every task has ended well."""
        return self.done_count == len(self.tasks)

    @property
    def is_startable(self) -> bool:
        """Whether the start of some task may be planned now.

        A start is ordered only once the store has it, and with it the job.  That it is planned
        before lets advice be asked for, and the start's record be sent, while the job's own record
        is under way: at a slow store each append that is waited for costs 0.2 s and more.
        """
        return bool(self.waiting) and self.blocked_by == 0 and not self.job.state.is_final

    def count_move(self, task: TaskProgress, old: TaskState, new: TaskState) -> None:
        """Keep the counts when a task changes its state."""
        if old is TaskState.WAITING:
            self.waiting.pop(task.index, None)
        elif old is TaskState.IN_DOUBT:
            self.in_doubt -= 1
        if new is TaskState.WAITING:
            self.waiting[task.index] = None
        elif new is TaskState.IN_DOUBT:
            self.in_doubt += 1
        elif new is TaskState.DONE:
            self.done_count += 1


class JobProgress:
    """One job.

    Attributes
    ----------
    committed_state : JobState or None
        What the store holds, and so what may be shown; ``None`` before the first commit.
    repetitions : dict of int to list of StepProgress
        Steps by repetition; of a job with times, only those that are due and not done.
    has_started : bool
        Whether a worker ever had a run of any task, as far as is known here.
    accepted_at : float
        The reader's seconds of the acceptance.
    objective_seconds : float
        Within how long the job should be done, by its own estimates.
    work : WorkModel
        By what such estimates are off.
    """

    __slots__ = (
        "accepted_at",
        "committed_state",
        "done_repetitions",
        "final_at",
        "has_started",
        "objective_seconds",
        "repetitions",
        "spec",
        "spec_is_stored",
        "state",
        "stretched_seconds",
        "work",
    )

    def __init__(self, spec: JobSpec, now: float, work: WorkModel = DEFAULT_WORK_MODEL) -> None:
        self.spec = spec
        self.work = work
        self.state = JobState.QUEUED
        self.committed_state: JobState | None = None
        self.repetitions: dict[int, list[StepProgress]] = {}
        self.done_repetitions: set[int] = set()
        self.has_started = False
        self.accepted_at = now
        self.objective_seconds = _objective_seconds(spec)
        #: The part of the objective that grows with the work.
        self.stretched_seconds = self.objective_seconds - _target_seconds(spec)
        self.final_at = 0.0
        self.spec_is_stored = False

    @property
    def job_id(self) -> JobId:
        """The job's name."""
        return self.spec.job_id

    @property
    def expected_objective_seconds(self) -> float:
        """Within how long it should be done by what its work is expected to take."""
        return self.objective_seconds + (self.work.factor - 1.0) * self.stretched_seconds

    def begin_repetition(self, repetition: int, now: float) -> list[StepProgress]:
        """Lay out the steps of a repetition that is due."""
        chains = chains_ms(self.spec)
        steps = [
            StepProgress(
                self,
                StepKey(self.job_id, repetition, number),
                step,
                chains[number] / _MILLISECONDS,
                now,
            )
            for number, step in enumerate(self.spec.steps)
        ]
        self.repetitions[repetition] = steps
        return steps

    def steps(self) -> list[StepProgress]:
        """Return the steps of every repetition that is under way."""
        return [step for steps in self.repetitions.values() for step in steps]

    def find_step(self, key: StepKey) -> StepProgress | None:
        """Return a step by its name."""
        steps = self.repetitions.get(key.repetition)
        if steps is None or key.step >= len(steps):
            return None
        return steps[key.step]

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task by its name."""
        step = self.find_step(key.step_key)
        if step is None or key.task_index >= len(step.tasks):
            return None
        return step.tasks[key.task_index]

    def move_to(self, state: JobState, now: float) -> None:
        """Change the state; a final one stays."""
        if state is self.state:
            return
        check_job_transition(self.state, state)
        self.state = state
        if state.is_final:
            self.final_at = now

    def shrink(self) -> None:
        """Drop what a job that is over needs no more; runs that still stop keep their own."""
        self.repetitions = {}
        spec = self.spec
        self.spec = JobSpec(
            job_id=self.job_id, queue=spec.queue, payload="", steps=(), tenant=spec.tenant
        )


def _objective_seconds(spec: JobSpec) -> float:
    chain = max(chains_ms(spec), default=0.0)
    return (spec.queue.stretch * chain + spec.queue.target_latency_ms) / _MILLISECONDS


def _target_seconds(spec: JobSpec) -> float:
    return spec.queue.target_latency_ms / _MILLISECONDS


def chains_ms(spec: JobSpec) -> list[float]:
    """Return the estimated work from each step to the job's end, along the longest chain."""
    after = [0.0] * len(spec.steps)
    chains = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        chains[number] = step.estimated_ms + after[number]
        for earlier in step.depends_on:
            after[earlier] = max(after[earlier], chains[number])
    return chains


def resume_checkpoint(task: TaskProgress) -> str:
    """Return from where a start resumes; empty for the beginning."""
    return task_with_checkpoint(task).checkpoint if task.step.spec.checkpointing else ""


def task_with_checkpoint(task: TaskProgress) -> TaskProgress:
    """Return the task that keeps the checkpoint; of a gang, the first one for all."""
    return task.step.tasks[0] if task.step.spec.gang else task
