"""Records that entries append to the platform's log, and their codec.

One append contains one :class:`LogBatch`.  Every batch renews its writer's lease,
so there is no separate renewal record.  Readers ignore a batch whose ``sequence``
they have already applied, so a repeated append has no effect.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.schema import Answer, EntryId, Epoch, JobId, JobSubmission, Offset, WorkerId


class LogStream(Enum):
    """Streams of the log."""

    CELL = "cell"
    SETTINGS = "settings"


class ClaimItem(msgspec.Struct, frozen=True):
    """One claimed worker, and the conditions on which the claim is valid.

    Readers accept the claim only if ``expected_epoch`` is still the worker's epoch and the
    previous holder has appended nothing after ``holder_renewal_offset``.
    """

    worker_id: WorkerId
    expected_epoch: Epoch
    holder_renewal_offset: Offset


class WorkerClaim(msgspec.Struct, frozen=True, tag="claim"):
    """The writer claims ownership of workers."""

    items: list[ClaimItem]


class WorkerRelease(msgspec.Struct, frozen=True, tag="release"):
    """The writer releases workers that it owns."""

    worker_ids: list[WorkerId]


class WorkerDrain(msgspec.Struct, frozen=True, tag="drain"):
    """An operator takes a worker out of use, or back into use."""

    worker_id: WorkerId
    draining: bool


class KeyIntent(msgspec.Struct, frozen=True, tag="key"):
    """The writer is about to run an unrepeatable request that has this idempotency key."""

    key: str
    fingerprint: int


class KeyRelease(msgspec.Struct, frozen=True, tag="key-release"):
    """The writer's request with this idempotency key ended without having run."""

    key: str


class JobAccepted(msgspec.Struct, frozen=True, tag="job"):
    """The writer accepts a batch job, which is durable once this record is in the log."""

    job: JobSubmission


class TaskStarting(msgspec.Struct, frozen=True, tag="task-start"):
    """A task of an unrepeatable job is about to be sent to a worker for the first time."""

    job_id: JobId
    task_index: int


class JobAdopted(msgspec.Struct, frozen=True, tag="job-adopt"):
    """The writer takes over a job whose runner lost its lease or released the job.

    Readers accept the record only if ``previous_runner`` still runs the job and has appended
    nothing after ``runner_renewal_offset``.
    """

    job_id: JobId
    previous_runner: EntryId
    runner_renewal_offset: Offset


class JobReleased(msgspec.Struct, frozen=True, tag="job-release"):
    """The writer releases a job of which no task was sent to a worker."""

    job_id: JobId


class JobEnded(msgspec.Struct, frozen=True, tag="job-end"):
    """A batch job has its final answer."""

    job_id: JobId
    answer: Answer


class SettingChange(msgspec.Struct, frozen=True):
    """A new value of one key at one path of the settings tree; ``None`` unsets the key."""

    path: str
    key: str
    value: bool | int | float | str | None
    expected_revision: Offset


class SettingsApply(msgspec.Struct, frozen=True, tag="settings"):
    """An atomic change of settings: either all ``changes`` are accepted or none is."""

    change_id: str
    operator: str
    changes: list[SettingChange]


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot of a stream's state up to and including the offset ``covers``."""

    snapshot_id: str
    covers: Offset
    index: int
    count: int
    data: bytes


LogRecord = (
    WorkerClaim
    | WorkerRelease
    | WorkerDrain
    | KeyIntent
    | KeyRelease
    | JobAccepted
    | TaskStarting
    | JobAdopted
    | JobReleased
    | JobEnded
    | SettingsApply
    | SnapshotPart
)


class LogBatch(msgspec.Struct, frozen=True):
    """The content of one append, which also renews the lease of its writer."""

    writer: EntryId
    zone: str
    peer_host: str
    peer_port: int
    sequence: int
    stopping: bool
    records: list[LogRecord]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LogBatch)


def encode_batch(batch: LogBatch) -> bytes:
    """Encode a batch to the bytes that the log stores."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> LogBatch:
    """Decode a batch from the bytes that the log stores.

    Raises
    ------
    OnyxspokeError
        With ``PROTOCOL_ERROR`` if the bytes are not a valid batch.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise OnyxspokeError(ResultCode.PROTOCOL_ERROR, f"log batch: {error}") from error
