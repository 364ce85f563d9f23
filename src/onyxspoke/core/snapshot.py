"""Snapshots of folded state, carried in the log before retention drops what they hold.

A snapshot says up to which offset it holds.  A reader that starts after older records were
dropped keeps what it reads until it meets a snapshot, loads it, and folds the rest.
"""

from __future__ import annotations

import msgspec

from onyxspoke.core.log_records import LogBatch, SettingChange, SnapshotPart
from onyxspoke.core.schema import Answer, EntryId, Epoch, JobSubmission, Offset, WorkerId

PART_BYTES = 256 * 1024
ReadBatch = tuple[Offset, LogBatch]


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """One entry in a snapshot."""

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
    """The fold of the cell stream."""

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
    """The decision on one settings change in a snapshot."""

    change_id: str
    accepted: bool
    revision: Offset
    conflict: SettingChange | None
    winner: SettingState | None


class SettingsSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The fold of the settings stream."""

    revision: Offset
    values: list[SettingState]
    verdicts: list[VerdictState]


def split_snapshot(snapshot_id: str, covers: Offset, data: bytes) -> list[SnapshotPart]:
    """Return the records that carry a snapshot."""
    pieces = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
    return [
        SnapshotPart(snapshot_id, covers, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]


class SnapshotAssembler:
    """Puts the parts of snapshots together; parts of one come in order."""

    def __init__(self) -> None:
        self._parts: dict[str, list[SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> bytes | None:
        """Take one part; return the whole data with the last one."""
        if part.index == 0:
            self._parts[part.snapshot_id] = []
        parts = self._parts.get(part.snapshot_id)
        if parts is None or len(parts) != part.index:
            return None  # Its beginning was dropped, or it is a repeat.
        parts.append(part)
        if len(parts) < part.count:
            return None
        del self._parts[part.snapshot_id]
        return b"".join(piece.data for piece in parts)


class LoadedSnapshot(msgspec.Struct, frozen=True):
    """A whole snapshot met in the log."""

    covers: Offset
    data: bytes


class StreamBootstrap:
    """Holds back what a late reader reads until a snapshot makes sense of it."""

    def __init__(self) -> None:
        self.is_complete = False
        self._first_offset: Offset | None = None
        self._kept: list[ReadBatch] = []
        self._assembler = SnapshotAssembler()

    def begin(self, first_kept: Offset) -> None:
        """Learn where the log begins; a whole log needs no snapshot."""
        if self._first_offset is None:
            self._first_offset = first_kept
            self.is_complete = first_kept <= 1

    def read(self, offset: Offset, batch: LogBatch) -> LoadedSnapshot | None:
        """Keep a batch; return a snapshot that covers all that was dropped, once complete."""
        self._kept.append((offset, batch))
        for record in batch.records:
            if not isinstance(record, SnapshotPart):
                continue
            data = self._assembler.add(record)
            if data is not None and record.covers + 1 >= (self._first_offset or 1):
                self.is_complete = True
                return LoadedSnapshot(record.covers, data)
        return None

    def take_kept(self, after: Offset) -> list[ReadBatch]:
        """Return, once, the kept batches that come after an offset."""
        kept, self._kept = self._kept, []
        return [item for item in kept if item[0] > after]
