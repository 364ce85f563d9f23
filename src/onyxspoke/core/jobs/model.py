"""Specifications of jobs and their steps, and the policy of the queue of a job.

Processors are in thousandths of a core and memory is in MiB; durations have their unit in the name.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

JobId = str
WorkerId = str
_MILLISECONDS = 1_000.0


class ResourceVector(NamedTuple):
    """Amounts of each resource: the capacity of a worker, or the needs of a task."""

    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class TaskKey(NamedTuple):
    """Identifies one task; ``repetition`` is 0 for a job without a schedule."""

    job_id: JobId
    repetition: int
    step: int
    task_index: int

    @property
    def step_key(self) -> StepKey:
        """The key of the step that the task belongs to."""
        return StepKey(self.job_id, self.repetition, self.step)


class StepKey(NamedTuple):
    """Identifies one step of one repetition of a job."""

    job_id: JobId
    repetition: int
    step: int

    @property
    def name(self) -> str:
        """The name of the step in logs."""
        return f"{self.job_id}.{self.repetition}.{self.step}"


class RunKey(NamedTuple):
    """Identifies one run: a task and the run number."""

    task: TaskKey
    number: int


class StepSpec(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One step of a job: a number of identical tasks.

    Attributes
    ----------
    depends_on : tuple of int
        Numbers of the earlier steps that must complete before this step starts.
    gang : bool
        Whether all tasks of the step must run at the same time.
    same_rack : bool
        Whether the gang runs slower when it is spread over several racks.
    required_label : str
        A label that the worker must have.
    preferred_rack : str
        The rack that stores the input data.
    spread_limit : int
        Maximum number of tasks of the step on one worker; 0 sets no limit.
    allow_duplicates : bool
        Whether several copies of a task may run at the same time.
    long_running : bool
        Whether tasks run until the job is cancelled, and restart whenever they end.
    image : str
        The software image of the tasks; tasks of one image are expected to behave alike.
    target_ms : int
        Target for the tail latency of a task that serves users, in milliseconds; 0 sets none.
    fills : bool
        Whether the tasks use only processors that other tasks leave idle, and reserve none.
    disruption_budget : int
        Maximum number of tasks that the scheduler may disrupt at the same time; -1 sets no limit.
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
        """The resources that one task reserves on its worker."""
        processors = 0 if self.fills else self.processors_milli
        return ResourceVector(processors, self.memory_mb, self.accelerators)


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Expected call durations of the advice service, and how long its advice stays valid."""

    decide_ms: float
    per_item_ms: float
    validity_ms: float

    def call_seconds(self, count: int) -> float:
        """Return the expected duration of a call about this number of workers, in seconds."""
        return (self.decide_ms + self.per_item_ms * count) / _MILLISECONDS


class QueuePolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The operator's configuration of a job queue; priority 0 is the highest."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advice: AdvicePolicy | None = None


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """Schedule of a repeated job; repetition K is due at ``start_at_ms`` + K x ``interval_ms``."""

    count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class JobSpec(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job as its caller submitted it, with the queue policy at that time.

    Attributes
    ----------
    accepted_at_ms : int
        Unix time at which a holder accepted the job, in milliseconds. Clocks may jump, so this
        time is used only to order waiting jobs.
    tenant : str
        The tenant that owns the job; empty if no tenants are configured.
    is_over_share : bool
        Whether the tenant had submitted more than its fair share; the scheduler places such
        a job after all work that other tenants are entitled to.
    """

    job_id: JobId
    queue: QueuePolicy
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule = Schedule()
    accepted_at_ms: int = 0
    tenant: str = ""
    is_over_share: bool = False
