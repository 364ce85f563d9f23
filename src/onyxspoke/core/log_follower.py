"""Applies the batches that are read from the log, and reacts to this entry's own records."""

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
from onyxspoke.core.idempotency_controller import IdempotencyController
from onyxspoke.core.job_acceptance import JobAcceptance
from onyxspoke.core.job_runner import JobRunner
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
    """Keeps the states of the cell and settings streams up to date with the log."""

    def __init__(
        self,
        context: EntryContext,
        ownership: OwnershipManager,
        keys: IdempotencyController,
        acceptance: JobAcceptance,
        jobs: JobRunner,
        settings_propagation: SettingsPropagation,
        pending_changes: PendingChanges,
    ) -> None:
        self._pending_changes = pending_changes
        self._settings_propagation = settings_propagation
        self._context = context
        self._ownership = ownership
        self._keys = keys
        self._acceptance = acceptance
        self._jobs = jobs
        self._stream_bootstraps = {stream: StreamBootstrap() for stream in LogStream}
        self._applied_settings_offset: Offset = 0
        self._snapshot_writers = {
            LogStream.CELL: SnapshotWriter(context, LogStream.CELL, self._capture_cell),
            LogStream.SETTINGS: SnapshotWriter(context, LogStream.SETTINGS, self._capture_settings),
        }

    def handle_stream_start(
        self, stream: LogStream, first_retained_offset: Offset, next_offset: Offset
    ) -> None:
        """Handle the lowest offset of a stream that the log still retains.

        ``next_offset`` is the first offset that this entry has not read.
        """
        bootstrap = self._stream_bootstraps[stream]
        bootstrap.handle_stream_start(first_retained_offset)
        if next_offset > 1 and first_retained_offset > next_offset:
            self._context.emit(StateLost(stream))
        self._context.append_queues[stream].sending_enabled = bootstrap.is_complete

    def handle_cell_batch(self, offset: Offset, batch: LogBatch, now: float) -> None:
        """Apply one batch of the cell stream, or buffer the batch until a snapshot is loaded."""
        self._handle_batch(
            LogStream.CELL, self._load_cell_snapshot, self._apply_cell_batch, offset, batch, now
        )

    def handle_settings_batch(self, offset: Offset, batch: LogBatch, now: float) -> None:
        """Apply one batch of the settings stream, or buffer it until a snapshot is loaded."""
        self._handle_batch(
            LogStream.SETTINGS,
            self._load_settings_snapshot,
            self._apply_settings_batch,
            offset,
            batch,
            now,
        )

    def _handle_batch(
        self,
        stream: LogStream,
        load_snapshot_data: Callable[[LoadedSnapshot, float], None],
        apply_batch: Callable[[Offset, LogBatch, float], None],
        offset: Offset,
        batch: LogBatch,
        now: float,
    ) -> None:
        """Apply a batch, or buffer the batch until a snapshot of the stream is loaded."""
        bootstrap = self._stream_bootstraps[stream]
        if bootstrap.is_complete:
            apply_batch(offset, batch, now)
            return
        loaded_snapshot = bootstrap.read(offset, batch)
        if loaded_snapshot is None:
            return
        load_snapshot_data(loaded_snapshot, now)
        for buffered_offset, buffered_batch in bootstrap.take_buffered(loaded_snapshot.covers):
            apply_batch(buffered_offset, buffered_batch, now)
        self._context.append_queues[stream].sending_enabled = True

    def _load_cell_snapshot(self, loaded_snapshot: LoadedSnapshot, now: float) -> None:
        snapshot = msgspec.msgpack.decode(loaded_snapshot.data, type=CellSnapshot)
        self._context.cell.load_snapshot(snapshot, loaded_snapshot.covers, now)
        for member in snapshot.members:
            self._add_peer(member.entry_id, member.zone, member.peer_host, member.peer_port)

    def _load_settings_snapshot(self, loaded_snapshot: LoadedSnapshot, _now: float) -> None:
        snapshot = msgspec.msgpack.decode(loaded_snapshot.data, type=SettingsSnapshot)
        self._context.settings.load_snapshot(snapshot)
        self._applied_settings_offset = loaded_snapshot.covers

    def write_due_snapshots(self, now: float) -> None:
        """Write a snapshot of each stream whose last snapshot is too old."""
        for stream, writer in self._snapshot_writers.items():
            if self._context.append_queues[stream].sending_enabled and not self._context.stopping:
                writer.tick(now)

    def _apply_cell_batch(self, offset: Offset, batch: LogBatch, now: float) -> None:
        context = self._context
        is_own_batch = batch.writer == context.identity.entry_id
        created_at = context.cell_append_queue.handle_read(batch.sequence) if is_own_batch else None
        if not context.cell.apply(offset, batch, now):
            return
        context.log_read_at = now
        if created_at is not None:
            self._ownership.handle_own_batch(created_at, now)
        if is_own_batch:
            for record in batch.records:
                self._handle_own_record(record, now)
        for record in batch.records:
            if isinstance(record, JobEnded):
                context.emit(JobFinished(record.job_id))
            elif isinstance(record, SnapshotPart):
                self._snapshot_writers[LogStream.CELL].handle_part_read(now)
        self._jobs.drop_jobs_not_run_here()
        if _changes_ownership(batch.records):
            self._ownership.sync_with_log(now)
        if not batch.stopping:
            self._add_peer(batch.writer, batch.zone, batch.peer_host, batch.peer_port)

    def _apply_settings_batch(self, offset: Offset, batch: LogBatch, now: float) -> None:
        context = self._context
        is_own_batch = batch.writer == context.identity.entry_id
        self._applied_settings_offset = offset
        if is_own_batch:
            context.append_queues[LogStream.SETTINGS].handle_read(batch.sequence)
        for record in batch.records:
            if isinstance(record, SnapshotPart):
                self._snapshot_writers[LogStream.SETTINGS].handle_part_read(now)
            elif isinstance(record, SettingsApply):
                context.settings.apply(offset, record)
                if is_own_batch:
                    self._handle_own_change(record, now)

    def _handle_own_change(self, record: SettingsApply, now: float) -> None:
        self._pending_changes.handle_read(record.change_id)
        verdict = self._context.settings.verdict(record.change_id)
        if verdict is not None and verdict.accepted:
            self._settings_propagation.handle_accepted(verdict.revision, now)
        self._context.emit(SettingsDecided(record.change_id))

    @property
    def has_started(self) -> bool:
        """Whether the states of both streams are complete, from their start or from a snapshot."""
        return all(bootstrap.is_complete for bootstrap in self._stream_bootstraps.values())

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

    def _add_peer(self, entry_id: str, zone: str, host: str, port: int) -> None:
        """Add a member from the log to the peers, and connect to it."""
        peers = self._context.peers.peers
        if entry_id == self._context.identity.entry_id or entry_id in peers:
            return
        peers[entry_id] = PeerState(entry_id, host, port, zone)
        self._context.emit(ConnectPeer(entry_id, host, port))

    def _capture_cell(self) -> tuple[Offset, bytes]:
        cell = self._context.cell
        return cell.applied_offset, msgspec.msgpack.encode(cell.to_snapshot())

    def _capture_settings(self) -> tuple[Offset, bytes]:
        data = msgspec.msgpack.encode(self._context.settings.to_snapshot())
        return self._applied_settings_offset, data


def _changes_ownership(records: list[LogRecord]) -> bool:
    return any(isinstance(record, WorkerClaim | WorkerRelease | WorkerDrain) for record in records)
