"""Typed records shared by the scheduling core, the wire protocols and the test kit.

Times are in seconds of the reader's own monotonic clock unless a name says otherwise.
Memory is in MiB.  Processors are whole cores.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec

from onyxspoke.core.codes import OutcomeKind, ResultCode, outcome_of

EntryId = str
WorkerId = str
AttemptId = str
JobId = str
#: Name of one task of a job, in the form ``JOB#INDEX``; empty for a caller's own request.
TaskName = str
Epoch = int
Offset = int


class Priority(IntEnum):
    """Priority of waiting work; the lowest number is started first."""

    URGENT = 0
    NORMAL = 1
    PATIENT = 2


class PlacementPolicy(Enum):
    """How a service's tasks are placed on workers."""

    SPREAD = "spread"
    PACK = "pack"


class WorkerListing(Enum):
    """State of a worker in the platform's machine list."""

    LIVE = "live"
    LEAVING = "leaving"


class Resources(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """An amount of each resource that a worker has or a task needs."""

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 1

    def fits_in(self, other: Resources) -> bool:
        """Return whether no resource of this amount exceeds the same resource of ``other``."""
        return (
            self.slots <= other.slots
            and self.processors <= other.processors
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two amounts."""
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference of two amounts; it may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def is_negative(self) -> bool:
        """Return whether any resource is below zero."""
        return min(self.processors, self.memory_mb, self.accelerators, self.slots) < 0


NO_RESOURCES = Resources(0, 0, 0, 0)


class TaskClass(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A task class of one service, as the catalog describes it."""

    service: str
    name: str
    resources: Resources
    patience_seconds: float
    priority: Priority = Priority.NORMAL
    repeatable: bool = True
    batch: bool = False
    policy: PlacementPolicy = PlacementPolicy.SPREAD
    generations: tuple[str, ...] = ()


class TaskRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One task to run.

    The scheduler does not interpret ``payload``.  A worker returns ``task_name`` with the
    answer.
    """

    tenant: str
    task_class: TaskClass
    payload: bytes
    idempotency_key: str = ""
    task_name: TaskName = ""


class Answer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The final answer to a request."""

    code: ResultCode
    result: bytes = b""
    message: str = ""
    retry_after_seconds: float = 0.0
    worker_id: WorkerId = ""

    @property
    def outcome(self) -> OutcomeKind:
        """The outcome that the result code belongs to."""
        return outcome_of(self.code)


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders all commands to one worker, which refuses tokens below the highest one received.

    ``epoch`` is the log offset of the owner's claim, so it increases with every change of
    owner.  ``session`` increases each time the owner attaches the worker, so that the worker
    refuses a late command from an earlier connection.
    """

    epoch: Epoch
    session: int = 0


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A running task in the inventory that a worker reports."""

    attempt_id: AttemptId
    resources: Resources
    task_name: TaskName = ""


class MachineRecord(msgspec.Struct, frozen=True, array_like=True):
    """One worker in the platform's machine list."""

    worker_id: WorkerId
    host: str
    port: int
    zone: str
    rack: str
    generation: str
    listing: WorkerListing = WorkerListing.LIVE


class EntryIdentity(msgspec.Struct, frozen=True):
    """Identity of an entry process; each incarnation of an entry has its own ``entry_id``."""

    entry_id: EntryId
    region: str
    zone: str
    peer_host: str
    peer_port: int


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A batch job, as its caller submitted it."""

    job_id: JobId
    request: TaskRequest
    task_count: int = 1


def make_task_name(job_id: JobId, task_index: int) -> TaskName:
    """Return the name of one task of a job."""
    return f"{job_id}#{task_index}"


def split_task_name(name: TaskName) -> tuple[JobId, int]:
    """Return the job and the task index that a task's name consists of."""
    job_id, _, index = name.rpartition("#")
    return job_id, int(index)


def is_task_name(name: str) -> bool:
    """Return whether an identifier is the name of a job's task."""
    return "#" in name
