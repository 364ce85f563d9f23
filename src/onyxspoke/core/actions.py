"""Instructions that the core gives to the shell."""

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
    """Connect to a worker if needed and fence it with a token."""

    machine: MachineRecord
    token: FencingToken


class DetachWorker(msgspec.Struct, frozen=True):
    """Nothing is expected from this worker any more; close the connection."""

    worker_id: WorkerId


class StartTask(msgspec.Struct, frozen=True):
    """Send a task to a worker, unless ``not_after`` has passed by then."""

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
    """Give a caller its final answer."""

    request_id: str
    answer: Answer


class AnswerPeer(msgspec.Struct, frozen=True):
    """Answer a request that a peer forwarded or asked about."""

    peer_id: EntryId
    request_id: str
    answer: Answer


class ForwardTask(msgspec.Struct, frozen=True):
    """Hand a task to a peer that advertised free capacity."""

    peer_id: EntryId
    request_id: str
    request: TaskRequest
    remaining_seconds: float


class QueryKeyHolder(msgspec.Struct, frozen=True):
    """Ask the entry that holds an idempotency key for the answer."""

    peer_id: EntryId
    request_id: str
    key: str


class ConnectPeer(msgspec.Struct, frozen=True):
    """Keep a stream to a peer entry."""

    peer_id: EntryId
    host: str
    port: int


class DisconnectPeer(msgspec.Struct, frozen=True):
    """Drop the stream to a peer entry that is gone."""

    peer_id: EntryId


class AdvertiseCapacity(msgspec.Struct, frozen=True):
    """Tell the peers what is free here."""

    free: Resources
    largest_free: Resources
    settings_revision: Offset


class ProbeJobs(msgspec.Struct, frozen=True):
    """Ask a peer which workers it owns and which tasks of jobs run there."""

    peer_id: EntryId
    probe_id: int
    job_ids: list[JobId]


class AnswerProbe(msgspec.Struct, frozen=True):
    """Answer a peer's probe."""

    peer_id: EntryId
    probe_id: int
    worker_ids: list[WorkerId]
    running: list[TaskName]


class PassTaskAnswer(msgspec.Struct, frozen=True):
    """Pass the answer of a job's task to the entry that runs the job."""

    peer_id: EntryId
    task_name: TaskName
    answer: Answer


class RequestHoldover(msgspec.Struct, frozen=True):
    """Ask a zone peer to promise that it claims nothing of ours for a lease."""

    peer_id: EntryId
    round_number: int


class GrantHoldover(msgspec.Struct, frozen=True):
    """Promise a zone peer to claim nothing of its own for a lease."""

    peer_id: EntryId
    round_number: int


class JobFinished(msgspec.Struct, frozen=True):
    """A durable job has its answer in the log."""

    job_id: JobId


class SettingsDecided(msgspec.Struct, frozen=True):
    """An own change of settings was folded; the tree holds the verdict."""

    change_id: str


class SettingsRefused(msgspec.Struct, frozen=True):
    """An own change of settings is given up; the code tells whether it may still come true."""

    change_id: str
    code: ResultCode


class SettingsInForce(msgspec.Struct, frozen=True):
    """Every live entry has folded a revision, so many seconds after it was accepted."""

    revision: Offset
    seconds: float


class StateLost(msgspec.Struct, frozen=True):
    """The log dropped records before they were read; only a fresh start can catch up."""

    stream: LogStream


class StopCompleted(msgspec.Struct, frozen=True):
    """A planned stop is complete; the process may exit."""


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
