"""Actions that the scheduling core returns and the shell of the entry carries out."""

from __future__ import annotations

import msgspec

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.log_records import LogBatch, LogStream
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    EntryId,
    FencingToken,
    JobId,
    MachineRecord,
    Offset,
    Resources,
    TaskName,
    TaskRequest,
    WorkerId,
)


class AttachWorker(msgspec.Struct, frozen=True):
    """Connect to a worker if needed, and send the fencing token of its new owner."""

    machine: MachineRecord
    token: FencingToken


class DetachWorker(msgspec.Struct, frozen=True):
    """Close the connection to a worker from which this entry expects no more answers."""

    worker_id: WorkerId


class StartTask(msgspec.Struct, frozen=True):
    """Send a task to a worker, unless the time ``not_after`` has already passed."""

    worker_id: WorkerId
    token: FencingToken
    attempt_id: AttemptId
    request: TaskRequest
    not_after: float


class StopTask(msgspec.Struct, frozen=True):
    """Ask a worker to stop a task."""

    worker_id: WorkerId
    attempt_id: AttemptId


class AppendBatch(msgspec.Struct, frozen=True):
    """Append a batch to a stream of the log."""

    stream: LogStream
    batch: LogBatch


class AnswerCaller(msgspec.Struct, frozen=True):
    """Send a caller its final answer."""

    request_id: str
    answer: Answer


class AnswerPeer(msgspec.Struct, frozen=True):
    """Answer a peer that forwarded a request or queried an idempotency key."""

    peer_id: EntryId
    request_id: str
    answer: Answer


class ForwardTask(msgspec.Struct, frozen=True):
    """Forward a task to a peer that advertised free capacity."""

    peer_id: EntryId
    request_id: str
    request: TaskRequest
    remaining_seconds: float


class QueryKeyHolder(msgspec.Struct, frozen=True):
    """Ask the entry that holds an idempotency key for the answer to its request."""

    peer_id: EntryId
    request_id: str
    key: str


class ConnectPeer(msgspec.Struct, frozen=True):
    """Open a message stream to a peer entry, and reopen the stream if it is lost."""

    peer_id: EntryId
    host: str
    port: int


class DisconnectPeer(msgspec.Struct, frozen=True):
    """Close the message stream to a peer entry that has failed or left."""

    peer_id: EntryId


class AdvertiseCapacity(msgspec.Struct, frozen=True):
    """Advertise this entry's free capacity and settings revision to its peers."""

    free: Resources
    largest_free: Resources
    settings_revision: Offset


class ProbeJobs(msgspec.Struct, frozen=True):
    """Ask a peer which workers it owns and which tasks of the given jobs run on them."""

    peer_id: EntryId
    probe_id: int
    job_ids: list[JobId]


class AnswerProbe(msgspec.Struct, frozen=True):
    """Answer a peer's probe with the owned workers and the running tasks."""

    peer_id: EntryId
    probe_id: int
    worker_ids: list[WorkerId]
    running: list[TaskName]


class PassTaskAnswer(msgspec.Struct, frozen=True):
    """Forward the answer of a job's task to the entry that runs the job."""

    peer_id: EntryId
    task_name: TaskName
    answer: Answer


class RequestHoldover(msgspec.Struct, frozen=True):
    """Ask a peer of the zone not to claim this entry's workers and jobs for one lease."""

    peer_id: EntryId
    round_number: int


class GrantHoldover(msgspec.Struct, frozen=True):
    """Promise a peer of the zone not to claim its workers and jobs for one lease."""

    peer_id: EntryId
    round_number: int


class JobFinished(msgspec.Struct, frozen=True):
    """Report that the final answer of a durable job was read from the log."""

    job_id: JobId


class SettingsDecided(msgspec.Struct, frozen=True):
    """Report that a settings change of this entry was decided; the tree holds the verdict."""

    change_id: str


class SettingsRefused(msgspec.Struct, frozen=True):
    """Report that this entry stopped waiting for the verdict on its settings change.

    The code tells whether the log may still accept the change.
    """

    change_id: str
    code: ResultCode


class SettingsInForce(msgspec.Struct, frozen=True):
    """Report that every live entry has applied a settings revision.

    ``seconds`` is the time since the change was accepted.
    """

    revision: Offset
    seconds: float


class StateLost(msgspec.Struct, frozen=True):
    """Report that the log dropped records that this entry had not read.

    Only a restart of the process can recover the state.
    """

    stream: LogStream


class StopCompleted(msgspec.Struct, frozen=True):
    """Report that a planned stop is complete and the process may exit."""


Action = (
    AttachWorker
    | DetachWorker
    | StartTask
    | StopTask
    | AppendBatch
    | AnswerCaller
    | AnswerPeer
    | ForwardTask
    | QueryKeyHolder
    | ConnectPeer
    | DisconnectPeer
    | AdvertiseCapacity
    | ProbeJobs
    | AnswerProbe
    | PassTaskAnswer
    | RequestHoldover
    | GrantHoldover
    | JobFinished
    | SettingsDecided
    | SettingsInForce
    | SettingsRefused
    | StateLost
    | StopCompleted
)
