"""Progress of jobs, steps and tasks; this module keeps state and makes no scheduling decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxspoke.core.estimates.work_model import DEFAULT_WORK_MODEL, WorkModel
from onyxspoke.core.jobs.crashes import NO_CRASHES
from onyxspoke.core.jobs.model import (
    JobId,
    JobSpec,
    ResourceVector,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerId,
)
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
    """The progress of one task.

    Attributes
    ----------
    failed_runs : list of int
        Numbers of the failed runs; a failure that is reported twice counts once.
    crashes : CrashTally
        Counts of worker crashes during its runs; workers cannot report these.
    checkpoint : str
        Opaque text that the next run may resume from; empty if there is none.
    run : Run or None
        The current run of the task.
    last_failed_worker_id : WorkerId
        Worker of the latest failure, so that the next attempt prefers another worker.
    placed_on : WorkerId
        The worker that may have a run of the task, as this holder or a previous one recorded;
        empty if no worker can have one.
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
        self.crashes = NO_CRASHES
        self.checkpoint = ""
        self.run: Run | None = None
        self.last_failed_worker_id: WorkerId = ""
        self.placed_on: WorkerId = ""

    @property
    def key(self) -> TaskKey:
        """The key of the task."""
        return TaskKey(*self.step.key, self.index)

    def move_to(self, state: TaskState) -> None:
        """Change the state and update the counts of the step."""
        if state is self.state:
            return
        check_task_transition(self.state, state)
        self.step.update_counts(self, self.state, state)
        self.state = state


class StepProgress:
    """The progress of one step of one repetition.

    Attributes
    ----------
    needs : ResourceVector
        The resources that one task reserves on its worker.
    waiting : dict of int to None
        Indexes of the waiting tasks, in order.
    unfinished_dependencies : int
        Number of steps that this step depends on and that are not done yet.
    ready_at : float
        When the last dependency was done, or when a task that was in doubt became waiting again,
        in seconds of the local clock.
    failed_gang_runs : list of int
        Numbers of the gang runs in which a member failed.
    last_run_number : int
        Highest known run number of any task of the step.
    due_at : float
        When the repetition of a scheduled job started, or when another job was accepted, in seconds
        of the local clock.
    remaining_path_seconds : float
        Estimated duration of the longest path of dependent steps from this step to the job's end.
    over_quota_since : float or None
        Time from which the tenant's exhausted quota has kept tasks from starting; ``None`` if the
        quota does not limit the step now.
    over_quota_seconds : float
        Total duration of the earlier periods in which the quota kept tasks from starting.
    last_crash_at : float
        When a worker last crashed shortly after only tasks of this job had started on it; 0 if
        none has.
    done_count_at_crash : int
        How many tasks were done at the time of that crash.
    evidence : StepObservations or None
        Measured durations of its tasks compared with their estimates.
    next_trial_start_at : float
        Earliest time at which the next tasks may start while the step is on trial after a crash.
    """

    __slots__ = (
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
        "unfinished_dependencies",
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
        #: Cached, because ``spec.needs`` is computed at each access and placement reads it often.
        self.needs = spec.needs
        self.tasks = [TaskProgress(self, index) for index in range(spec.task_count)]
        self.waiting: dict[int, None] = dict.fromkeys(range(spec.task_count))
        self.in_doubt = 0
        self.done_count = 0
        self.unfinished_dependencies = len(spec.depends_on)
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
        """Expected duration of one task on a worker of average speed."""
        return self.spec.estimated_ms / _MILLISECONDS * self.job.work.factor

    @property
    def expected_remaining_path_seconds(self) -> float:
        """Expected duration of the longest path of dependent steps to the job's end."""
        return self.remaining_path_seconds * self.job.work.factor

    def set_over_quota(self, is_over: bool, now: float) -> bool:
        """Record whether the tenant's quota blocks the step; return whether a block has begun."""
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
        """Maximum number of tasks of the step on one worker, regardless of free capacity."""
        return min(self.spec.spread_limit or len(self.tasks), len(self.tasks))

    @property
    def is_done(self) -> bool:
        """Whether every task of the step is done."""
        return self.done_count == len(self.tasks)

    @property
    def is_startable(self) -> bool:
        """Whether the start of at least one task may be planned now.

        A start is ordered only after the store has committed the job and the start.  Planning does
        not wait for the job's commit, so that the advice call and the append of the start overlap
        with the append of the job: each append to a slow store takes 0.2 s or more.
        """
        return (
            bool(self.waiting) and self.unfinished_dependencies == 0 and not self.job.state.is_final
        )

    def update_counts(self, task: TaskProgress, old: TaskState, new: TaskState) -> None:
        """Update the counts of the step after a task changed its state."""
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
    """The progress of one job.

    Attributes
    ----------
    committed_state : JobState or None
        State of the job in the store, which callers may see; ``None`` before the first commit.
    repetitions : dict of int to list of StepProgress
        Steps by repetition; for a scheduled job, only repetitions that are due and not done.
    has_started : bool
        Whether a worker is known to have had a run of any task.
    accepted_at : float
        When the job was accepted, in seconds of the local clock.
    objective_seconds : float
        Target duration of the job according to the estimates in its specification.
    work : WorkModel
        Learned ratio of actual to estimated durations for this kind of job.
    left_running : dict of WorkerId to ResourceVector
        What runs of the job may still use on each worker after the job has ended.
    recorded_parts : dict of str to int
        Hashes of the parts of its progress that an append contains, by their keys.
    has_undivided_record : bool
        Whether the latest appended record of its progress contains steps, and so has no parts.
    """

    __slots__ = (
        "accepted_at",
        "committed_state",
        "done_repetitions",
        "final_at",
        "has_started",
        "has_undivided_record",
        "left_running",
        "objective_seconds",
        "recorded_parts",
        "repetitions",
        "spec",
        "spec_is_stored",
        "state",
        "work",
        "work_dependent_seconds",
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
        #: The part of the objective that is proportional to the estimated work.
        self.work_dependent_seconds = self.objective_seconds - _target_seconds(spec)
        self.final_at = 0.0
        self.spec_is_stored = False
        self.left_running: dict[WorkerId, ResourceVector] = {}
        self.recorded_parts: dict[str, int] = {}
        self.has_undivided_record = False

    @property
    def job_id(self) -> JobId:
        """The identifier of the job."""
        return self.spec.job_id

    @property
    def expected_objective_seconds(self) -> float:
        """Target duration of the job according to the learned durations, in seconds."""
        return self.objective_seconds + (self.work.factor - 1.0) * self.work_dependent_seconds

    def begin_repetition(self, repetition: int, now: float) -> list[StepProgress]:
        """Create the steps of a repetition that is due."""
        paths_ms = remaining_paths_ms(self.spec)
        steps = [
            StepProgress(
                self,
                StepKey(self.job_id, repetition, number),
                step,
                paths_ms[number] / _MILLISECONDS,
                now,
            )
            for number, step in enumerate(self.spec.steps)
        ]
        self.repetitions[repetition] = steps
        return steps

    def steps(self) -> list[StepProgress]:
        """Return the steps of all active repetitions."""
        return [step for steps in self.repetitions.values() for step in steps]

    def find_step(self, key: StepKey) -> StepProgress | None:
        """Return a step by its key; ``None`` if it does not exist."""
        steps = self.repetitions.get(key.repetition)
        if steps is None or key.step >= len(steps):
            return None
        return steps[key.step]

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task by its key; ``None`` if it does not exist."""
        step = self.find_step(key.step_key)
        if step is None or key.task_index >= len(step.tasks):
            return None
        return step.tasks[key.task_index]

    def move_to(self, state: JobState, now: float) -> None:
        """Change the state; raise :class:`IllegalTransitionError` if that is not allowed."""
        if state is self.state:
            return
        check_job_transition(self.state, state)
        self.state = state
        if state.is_final:
            self.final_at = now

    def discard_details(self) -> None:
        """Discard the steps and payload of a final job; runs that are being stopped keep theirs."""
        self.repetitions = {}
        spec = self.spec
        self.spec = JobSpec(
            job_id=self.job_id, queue=spec.queue, payload="", steps=(), tenant=spec.tenant
        )


def _objective_seconds(spec: JobSpec) -> float:
    longest_path_ms = max(remaining_paths_ms(spec), default=0.0)
    return (spec.queue.stretch * longest_path_ms + spec.queue.target_latency_ms) / _MILLISECONDS


def _target_seconds(spec: JobSpec) -> float:
    return spec.queue.target_latency_ms / _MILLISECONDS


def remaining_paths_ms(spec: JobSpec) -> list[float]:
    """Return for each step the estimated duration of its longest path to the job's end."""
    after = [0.0] * len(spec.steps)
    paths_ms = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        paths_ms[number] = step.estimated_ms + after[number]
        for earlier in step.depends_on:
            after[earlier] = max(after[earlier], paths_ms[number])
    return paths_ms


def resume_checkpoint(task: TaskProgress) -> str:
    """Return the checkpoint that a start resumes from; empty for a start from the beginning."""
    return task_with_checkpoint(task).checkpoint if task.step.spec.checkpointing else ""


def task_with_checkpoint(task: TaskProgress) -> TaskProgress:
    """Return the task that stores the checkpoint; the first task stores it for a whole gang."""
    return task.step.tasks[0] if task.step.spec.gang else task
