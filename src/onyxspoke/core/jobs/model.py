"""What callers hand in: jobs, their steps, and the policy of the queue they stand in.

Processors are thousandths of a core, memory is MiB, durations carry their unit in the name.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

JobId = str
WorkerId = str
_MILLISECONDS = 1_000.0


class ResourceVector(NamedTuple):
    """An amount of each resource that a worker has or a task takes."""

    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class TaskKey(NamedTuple):
    """Names one task; ``repetition`` is 0 for a job without times."""

    job_id: JobId
    repetition: int
    step: int
    task_index: int

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.repetition, self.step)


class StepKey(NamedTuple):
    """Names one step of one repetition of a job."""

    job_id: JobId
    repetition: int
    step: int

    @property
    def name(self) -> str:
        """How logs name the step."""
        return f"{self.job_id}.{self.repetition}.{self.step}"


class RunKey(NamedTuple):
    """Names one run: a task and the number of its start."""

    task: TaskKey
    number: int


class StepSpec(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One step of a job: so many like tasks.

    Attributes
    ----------
    depends_on : tuple of int
        Earlier steps all of whose tasks must have ended well before.
    gang : bool
        The tasks work only together.
    same_rack : bool
        A gang spread over several racks is slower.
    required_label : str
        A label that the worker must have.
    preferred_rack : str
        The rack that holds the data.
    spread_limit : int
        Most tasks of the step on one worker; 0 sets no limit.
    allow_duplicates : bool
        Copies of a task may run beside each other.
    long_running : bool
        Tasks run until the job is cancelled and are started again however they end.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        Bound on the tail of the answers of a task that serves users; 0 for none.
    fills : bool
        The tasks take processors that others leave unused, and reserve none.
    disruption_budget : int
        Tasks that may be away at once by the scheduler's doing; -1 sets no limit.
    """

    task_count: int
    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    spread_limit: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    disruption_budget: int = -1

    @property
    def needs(self) -> ResourceVector:
        """What one task reserves of a worker's room."""
        processors = 0 if self.fills else self.processors_milli
        return ResourceVector(processors, self.memory_mb, self.accelerators)


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """How long the advice service takes, and for how long its word holds."""

    decide_ms: float
    per_item_ms: float
    validity_ms: float

    def call_seconds(self, count: int) -> float:
        """Return how long a call about so many workers takes."""
        return (self.decide_ms + self.per_item_ms * count) / _MILLISECONDS


class QueuePolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A queue of jobs, as the operator configures it; priority 0 goes first."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advice: AdvicePolicy | None = None


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """Times of a job that is run more than once; time K is due at start + K x interval."""

    count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class JobSpec(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job as its caller handed it in, and the policy in force then.

    Attributes
    ----------
    accepted_at_ms : int
        Time of day at which a holder took it, counted from 1970; clocks may jump, so it only
        orders what waits.
    tenant : str
        For whom it runs; empty where there are no tenants.
    is_over_share : bool
        Its tenant had handed in more than its weight; what others are owed goes first.
    """

    job_id: JobId
    queue: QueuePolicy
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule = Schedule()
    accepted_at_ms: int = 0
    tenant: str = ""
    is_over_share: bool = False
