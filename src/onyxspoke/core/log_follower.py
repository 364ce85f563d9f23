"""Follows the log: folds what is read, and acts on what this entry itself had written."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxspoke.core.actions import (
    AnswerCaller,
    ConnectPeer,
    JobFinished,
    SettingsDecided,
    StateLost,
)
from onyxspoke.core.context import EntryContext
from onyxspoke.core.job_acceptance import JobAcceptance
from onyxspoke.core.job_runner import JobRunner
from onyxspoke.core.key_guard import KeyGuard
from onyxspoke.core.log_records import (
    JobAccepted,
    JobAdopted,
    JobEnded,
    KeyIntent,
    LogBatch,
    LogRecord,
    LogStream,
    SettingsApply,
    SnapshotPart,
    TaskStarting,
    WorkerClaim,
    WorkerDrain,
    WorkerRelease,
)
from onyxspoke.core.ownership_manager import OwnershipManager
from onyxspoke.core.peer_table import PeerState
from onyxspoke.core.schema import Offset
from onyxspoke.core.settings_propagation import PendingChanges, SettingsPropagation
from onyxspoke.core.snapshot import (
    CellSnapshot,
    LoadedSnapshot,
    SettingsSnapshot,
    StreamBootstrap,
)
from onyxspoke.core.snapshot_writer import SnapshotWriter


class LogFollower:
    """Keeps the folds of both streams in step with the log."""

    def __init__(
        self,
        context: EntryContext,
        ownership: OwnershipManager,
        keys: KeyGuard,
        acceptance: JobAcceptance,
        jobs: JobRunner,
        settings_propagation: SettingsPropagation,
        pending_changes: PendingChanges,
    ) -> None:
        self._pending_changes = pending_changes
        self._settings_watch = settings_propagation
        self._context = context
        self._ownership = ownership
        self._keys = keys
        self._acceptance = acceptance
        self._jobs = jobs
        self._bootstraps = {stream: StreamBootstrap() for stream in LogStream}
        self._settings_offset: Offset = 0
        self._writers = {
            LogStream.CELL: SnapshotWriter(context, LogStream.CELL, self._take_cell),
            LogStream.SETTINGS: SnapshotWriter(context, LogStream.SETTINGS, self._take_settings),
        }

    def handle_start(self, stream: LogStream, first_kept: Offset, next_offset: Offset) -> None:
        """Learn from which offset on a stream is kept; ``next_offset`` is the one wanted."""
        bootstrap = self._bootstraps[stream]
        bootstrap.begin(first_kept)
        if next_offset > 1 and first_kept > next_offset:
            self._context.emit(StateLost(stream))
        self._context.append_queues[stream].enabled = bootstrap.is_complete

    def read_cell(self, offset: Offset, batch: LogBatch, now: float) -> None:
        """Take one batch of the cell stream."""
        self._read(LogStream.CELL, self._load_cell, self._fold_cell, offset, batch, now)

    def read_settings(self, offset: Offset, batch: LogBatch, now: float) -> None:
        """Take one batch of the settings stream."""
        self._read(LogStream.SETTINGS, self._load_settings, self._fold_settings, offset, batch, now)

    def _read(
        self,
        stream: LogStream,
        load: Callable[[LoadedSnapshot, float], None],
        fold: Callable[[Offset, LogBatch, float], None],
        offset: Offset,
        batch: LogBatch,
        now: float,
    ) -> None:
        """Fold a batch, or keep it until a snapshot makes sense of the stream."""
        bootstrap = self._bootstraps[stream]
        if bootstrap.is_complete:
            fold(offset, batch, now)
            return
        loaded = bootstrap.read(offset, batch)
        if loaded is None:
            return
        load(loaded, now)
        for kept_offset, kept in bootstrap.take_kept(loaded.covers):
            fold(kept_offset, kept, now)
        self._context.append_queues[stream].enabled = True

    def _load_cell(self, loaded: LoadedSnapshot, now: float) -> None:
        snapshot = msgspec.msgpack.decode(loaded.data, type=CellSnapshot)
        self._context.cell.load_snapshot(snapshot, loaded.covers, now)
        for member in snapshot.members:
            self._know_peer(member.entry_id, member.zone, member.peer_host, member.peer_port)

    def _load_settings(self, loaded: LoadedSnapshot, _now: float) -> None:
        snapshot = msgspec.msgpack.decode(loaded.data, type=SettingsSnapshot)
        self._context.settings.load_snapshot(snapshot)
        self._settings_offset = loaded.covers

    def keep_snapshots(self, now: float) -> None:
        """Write snapshots when the last ones have grown old."""
        for stream, writer in self._writers.items():
            if self._context.append_queues[stream].enabled and not self._context.stopping:
                writer.keep(now)

    def _fold_cell(self, offset: Offset, batch: LogBatch, now: float) -> None:
        context = self._context
        own = batch.writer == context.identity.entry_id
        created_at = context.cell_append_queue.handle_read(batch.sequence) if own else None
        if not context.cell.apply(offset, batch, now):
            return
        context.log_read_at = now
        if created_at is not None:
            self._ownership.handle_own_batch(created_at, now)
        if own:
            for record in batch.records:
                self._handle_own_record(record, now)
        for record in batch.records:
            if isinstance(record, JobEnded):
                context.emit(JobFinished(record.job_id))
            elif isinstance(record, SnapshotPart):
                self._writers[LogStream.CELL].handle_part_read(now)
        self._jobs.drop_lost()
        if _touches_ownership(batch.records):
            self._ownership.sync_with_log(now)
        if not batch.stopping:
            self._know_peer(batch.writer, batch.zone, batch.peer_host, batch.peer_port)

    def _fold_settings(self, offset: Offset, batch: LogBatch, now: float) -> None:
        context = self._context
        own = batch.writer == context.identity.entry_id
        self._settings_offset = offset
        if own:
            context.append_queues[LogStream.SETTINGS].handle_read(batch.sequence)
        for record in batch.records:
            if isinstance(record, SnapshotPart):
                self._writers[LogStream.SETTINGS].handle_part_read(now)
            elif isinstance(record, SettingsApply):
                context.settings.apply(offset, record)
                if own:
                    self._handle_own_change(record, now)

    def _handle_own_change(self, record: SettingsApply, now: float) -> None:
        self._pending_changes.handle_read(record.change_id)
        verdict = self._context.settings.verdict(record.change_id)
        if verdict is not None and verdict.accepted:
            self._settings_watch.handle_accepted(verdict.revision, now)
        self._context.emit(SettingsDecided(record.change_id))

    @property
    def has_started(self) -> bool:
        """Whether both streams make sense, from their start or from a snapshot."""
        return all(bootstrap.is_complete for bootstrap in self._bootstraps.values())

    def _handle_own_record(self, record: LogRecord, now: float) -> None:
        if isinstance(record, WorkerClaim):
            self._ownership.handle_own_records(record.items, [])
        elif isinstance(record, WorkerRelease):
            self._ownership.handle_own_records([], record.worker_ids)
        elif isinstance(record, KeyIntent):
            self._keys.handle_intent_read(record, now)
        elif isinstance(record, JobAccepted):
            self._jobs.handle_accepted_read(record.job.job_id, now)
            for request_id, answer in self._acceptance.handle_read(record.job.job_id):
                self._context.emit(AnswerCaller(request_id, answer))
        elif isinstance(record, TaskStarting):
            self._jobs.handle_start_read(record, now)
        elif isinstance(record, JobAdopted):
            self._jobs.handle_adoption_read(record.job_id, now)

    def _know_peer(self, entry_id: str, zone: str, host: str, port: int) -> None:
        """Keep a stream to every member that the log names."""
        peers = self._context.peers.peers
        if entry_id == self._context.identity.entry_id or entry_id in peers:
            return
        peers[entry_id] = PeerState(entry_id, host, port, zone)
        self._context.emit(ConnectPeer(entry_id, host, port))

    def _take_cell(self) -> tuple[Offset, bytes]:
        cell = self._context.cell
        return cell.applied_offset, msgspec.msgpack.encode(cell.to_snapshot())

    def _take_settings(self) -> tuple[Offset, bytes]:
        data = msgspec.msgpack.encode(self._context.settings.to_snapshot())
        return self._settings_offset, data


def _touches_ownership(records: list[LogRecord]) -> bool:
    return any(isinstance(record, WorkerClaim | WorkerRelease | WorkerDrain) for record in records)
