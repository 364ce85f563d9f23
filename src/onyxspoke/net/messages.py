"""Messages on the streams between processes.

Each stream has its own union of messages; a message travels as a msgpack array whose
first element is the message's tag.
"""

from __future__ import annotations

import msgspec

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    EntryId,
    FencingToken,
    JobId,
    MachineRecord,
    Offset,
    Resources,
    RunningTask,
    TaskName,
    TaskRequest,
    WorkerId,
)


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the class name is the tag."""


class Ping(Message, frozen=True):
    """Asks the other side of a stream for a sign of life."""


class Pong(Message, frozen=True):
    """The sign of life."""


# Entry to worker


class Attach(Message, frozen=True):
    """The sender owns the worker under this token from now on."""

    entry_id: EntryId
    worker_id: WorkerId
    token: FencingToken


class StartTask(Message, frozen=True):
    """Run a task."""

    token: FencingToken
    attempt_id: AttemptId
    request: TaskRequest


class StopTask(Message, frozen=True):
    """Stop a task that no one waits for."""

    attempt_id: AttemptId


# Worker to entry


class Inventory(Message, frozen=True):
    """The answer to an accepted attachment."""

    worker_id: WorkerId
    token: FencingToken
    capacity: Resources
    running: list[RunningTask]


class AttachRefused(Message, frozen=True):
    """The answer to an attachment with a token that is too low, or to one too many."""

    worker_id: WorkerId
    code: ResultCode


class TaskEnded(Message, frozen=True):
    """A task ended; sent to its dispatcher and to the present owner."""

    attempt_id: AttemptId
    answer: Answer
    task_name: TaskName = ""


class TaskRefused(Message, frozen=True):
    """A task was not started and will not be."""

    attempt_id: AttemptId
    code: ResultCode


# Entry to platform


class AppendRequest(Message, frozen=True):
    """Append one record to a stream."""

    append_id: int
    stream: str
    data: bytes


class TailRequest(Message, frozen=True):
    """Send the records of a stream from an offset on, and every later one."""

    stream: str
    from_offset: Offset


class MachineListRequest(Message, frozen=True):
    """Send the machine list now and whenever it changes."""


# Platform to entry


class AppendDone(Message, frozen=True):
    """The record is in the log at this offset."""

    append_id: int
    offset: Offset


class AppendRefused(Message, frozen=True):
    """The record is not in the log."""

    append_id: int


class LogRecordData(msgspec.Struct, frozen=True, array_like=True):
    """One record of a stream."""

    offset: Offset
    data: bytes


class TailRecords(Message, frozen=True):
    """Records of a stream in order; ``first_kept`` tells where retention begins."""

    stream: str
    first_kept: Offset
    records: list[LogRecordData]


class MachineList(Message, frozen=True):
    """The whole machine list."""

    machines: list[MachineRecord]


# Entry to entry


class PeerHello(Message, frozen=True):
    """Names the entry that opened the stream, and the run of an entry that it wants.

    A restarted entry listens where its earlier run did; it closes streams meant for that.
    """

    entry_id: EntryId
    wanted_id: EntryId


class PeerWelcome(Message, frozen=True):
    """The stream has reached the run of an entry that was wanted."""


class ForwardedRequest(Message, frozen=True):
    """Run a request if there is room, and answer."""

    request_id: str
    request: TaskRequest
    remaining_seconds: float


class KeyQuery(Message, frozen=True):
    """Answer with what the request under this key came to."""

    request_id: str
    key: str


class Capacity(Message, frozen=True):
    """What is free at the sender, and the settings revision that it has folded."""

    free: Resources
    largest_free: Resources
    settings_revision: Offset


class PeerAnswer(Message, frozen=True):
    """The answer to a forwarded request or a key query."""

    request_id: str
    answer: Answer


class JobProbe(Message, frozen=True):
    """Say which workers you own, and which tasks of these jobs run on them."""

    probe_id: int
    job_ids: list[JobId]


class JobProbeReply(Message, frozen=True):
    """The answer to a probe; workers that are not attached are left out."""

    probe_id: int
    worker_ids: list[WorkerId]
    running: list[TaskName]


class JobTaskAnswer(Message, frozen=True):
    """A task of a job that the receiver runs ended on a worker of the sender."""

    task_name: TaskName
    answer: Answer


class HoldoverRequest(Message, frozen=True):
    """The log is away: promise to claim nothing of mine for a lease from now."""

    round_number: int


class HoldoverGrant(Message, frozen=True):
    """The sender promises it."""

    round_number: int


EntryToWorker = Attach | StartTask | StopTask
WorkerToEntry = Inventory | AttachRefused | TaskEnded | TaskRefused
EntryToPlatform = AppendRequest | TailRequest | MachineListRequest
PlatformToEntry = AppendDone | AppendRefused | TailRecords | MachineList
PeerMessage = (
    PeerHello
    | PeerWelcome
    | ForwardedRequest
    | KeyQuery
    | Capacity
    | PeerAnswer
    | JobProbe
    | JobProbeReply
    | JobTaskAnswer
    | HoldoverRequest
    | HoldoverGrant
)
