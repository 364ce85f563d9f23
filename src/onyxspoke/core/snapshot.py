"""Snapshots of a stream's state, appended to the log before it drops the older records.

Each snapshot states the offset up to which its state is complete.  If a reader
starts after the log has dropped records, it buffers batches until it has read a whole
snapshot.  It then loads that snapshot and applies the later batches.
"""

from __future__ import annotations

import msgspec

from onyxspoke.core.log_records import LogBatch, SettingChange, SnapshotPart
from onyxspoke.core.schema import Answer, EntryId, Epoch, JobSubmission, Offset, WorkerId

MAXIMUM_PART_BYTES = 256 * 1024
BatchAtOffset = tuple[Offset, LogBatch]


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cell in a snapshot."""

    entry_id: EntryId
    zone: str
    peer_host: str
    peer_port: int
    stopping: bool
    last_sequence: int
    last_offset: Offset


class OwnershipState(msgspec.Struct, frozen=True, array_like=True):
    """The owner of one worker in a snapshot."""

    worker_id: WorkerId
    holder: EntryId
    epoch: Epoch


class KeyState(msgspec.Struct, frozen=True, array_like=True):
    """One idempotency key in a snapshot."""

    key: str
    holder: EntryId
    fingerprint: int


class JobState(msgspec.Struct, frozen=True, array_like=True):
    """One job in a snapshot."""

    job: JobSubmission
    zone: str
    runner: EntryId
    answer: Answer | None
    started_indexes: list[int]


class CellSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of the state of the cell stream."""

    members: list[MemberState]
    ownerships: list[OwnershipState]
    draining: list[WorkerId]
    keys: list[KeyState]
    jobs: list[JobState]


class SettingState(msgspec.Struct, frozen=True, array_like=True):
    """One value of the settings tree in a snapshot."""

    path: str
    key: str
    value: bool | int | float | str | None
    revision: Offset
    operator: str


class VerdictState(msgspec.Struct, frozen=True, array_like=True):
    """The verdict on one settings change in a snapshot."""

    change_id: str
    accepted: bool
    revision: Offset
    conflict: SettingChange | None
    winner: SettingState | None


class SettingsSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of the state of the settings stream."""

    revision: Offset
    values: list[SettingState]
    verdicts: list[VerdictState]


def split_snapshot(snapshot_id: str, covers: Offset, data: bytes) -> list[SnapshotPart]:
    """Split an encoded snapshot into records of at most ``MAXIMUM_PART_BYTES`` bytes of data."""
    pieces = [
        data[start : start + MAXIMUM_PART_BYTES]
        for start in range(0, len(data), MAXIMUM_PART_BYTES)
    ]
    return [
        SnapshotPart(snapshot_id, covers, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]


class SnapshotAssembler:
    """Joins the parts of snapshots; the parts of one snapshot arrive in order."""

    def __init__(self) -> None:
        self._parts: dict[str, list[SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> bytes | None:
        """Add one part; return the whole data if the part completes its snapshot."""
        if part.index == 0:
            self._parts[part.snapshot_id] = []
        parts = self._parts.get(part.snapshot_id)
        if parts is None or len(parts) != part.index:
            return None  # The log dropped the first part, or this part is a repeat.
        parts.append(part)
        if len(parts) < part.count:
            return None
        del self._parts[part.snapshot_id]
        return b"".join(piece.data for piece in parts)


class LoadedSnapshot(msgspec.Struct, frozen=True):
    """A complete snapshot that was read from the log."""

    covers: Offset
    data: bytes


class StreamBootstrap:
    """Buffers the batches of a stream until a snapshot replaces the records that were dropped."""

    def __init__(self) -> None:
        self.is_complete = False
        self._first_retained_offset: Offset | None = None
        self._buffered_batches: list[BatchAtOffset] = []
        self._assembler = SnapshotAssembler()

    def handle_stream_start(self, first_retained_offset: Offset) -> None:
        """Handle the first retained offset; a stream retained from its start needs no snapshot."""
        if self._first_retained_offset is None:
            self._first_retained_offset = first_retained_offset
            self.is_complete = first_retained_offset <= 1

    def read(self, offset: Offset, batch: LogBatch) -> LoadedSnapshot | None:
        """Buffer a batch; return a completed snapshot that covers all dropped records, if any."""
        self._buffered_batches.append((offset, batch))
        for record in batch.records:
            if not isinstance(record, SnapshotPart):
                continue
            data = self._assembler.add(record)
            if data is not None and record.covers + 1 >= (self._first_retained_offset or 1):
                self.is_complete = True
                return LoadedSnapshot(record.covers, data)
        return None

    def take_buffered(self, after: Offset) -> list[BatchAtOffset]:
        """Return the buffered batches after an offset, and empty the buffer."""
        buffered_batches, self._buffered_batches = self._buffered_batches, []
        return [item for item in buffered_batches if item[0] > after]
