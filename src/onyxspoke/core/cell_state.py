"""The state of the cell that every entry folds identically from the log.

The fold depends on nothing but the records and their order, so two readers of the
same prefix agree.  ``last_seen_at`` is the one local fact: when this reader read a
member's last batch, on its own monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from onyxspoke.core.log_records import (
    ClaimItem,
    JobAccepted,
    JobAdopted,
    JobEnded,
    JobReleased,
    KeyIntent,
    KeyRelease,
    LogBatch,
    LogRecord,
    TaskStarting,
    WorkerClaim,
    WorkerDrain,
    WorkerRelease,
)
from onyxspoke.core.schema import Answer, EntryId, Epoch, JobId, JobSubmission, Offset, WorkerId
from onyxspoke.core.snapshot import (
    CellSnapshot,
    JobState,
    KeyState,
    MemberState,
    OwnershipState,
)


@dataclass(slots=True)
class Member:
    """An entry, as its batches in the log show it."""

    entry_id: EntryId
    zone: str
    peer_host: str
    peer_port: int
    stopping: bool
    last_sequence: int
    last_offset: Offset
    last_seen_at: float


class WorkerOwnership(msgspec.Struct, frozen=True):
    """Who owns a worker; ``holder`` is empty once it was released."""

    holder: EntryId
    epoch: Epoch


class KeyEntry(msgspec.Struct, frozen=True):
    """Which entry holds an idempotency key, and for which request."""

    holder: EntryId
    fingerprint: int


@dataclass(slots=True)
class DurableJob:
    """A durable job; ``answer`` is ``None`` until it ended, ``runner`` empty once released.

    ``started_indexes`` names the tasks of an unrepeatable job that may have been started.
    """

    job: JobSubmission
    zone: str
    runner: EntryId
    answer: Answer | None = None
    started_indexes: set[int] = field(default_factory=set)


class CellLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of what a reader remembers.

    They are counts, not times, so that every reader forgets the same records.
    """

    maximum_keys: int = 20_000
    maximum_ended_jobs: int = 5_000


UNOWNED = WorkerOwnership(holder="", epoch=0)


class CellState:
    """Fold of the cell stream."""

    def __init__(self, limits: CellLimits) -> None:
        self._limits = limits
        self.members: dict[EntryId, Member] = {}
        self.ownerships: dict[WorkerId, WorkerOwnership] = {}
        self.draining: set[WorkerId] = set()
        self.keys: OrderedDict[str, KeyEntry] = OrderedDict()
        self.jobs: dict[JobId, DurableJob] = {}
        self.open_jobs: dict[EntryId, dict[JobId, DurableJob]] = {}
        self._ended_jobs: OrderedDict[JobId, None] = OrderedDict()
        self.applied_offset: Offset = 0
        self._handlers: dict[type, Callable[[Offset, EntryId, Any], None]] = {
            WorkerClaim: self._apply_claims,
            WorkerRelease: self._apply_release,
            WorkerDrain: self._apply_drain,
            KeyIntent: self._apply_key_intent,
            KeyRelease: self._apply_key_release,
            JobAccepted: self._apply_job_accepted,
            TaskStarting: self._apply_task_starting,
            JobAdopted: self._apply_job_adopted,
            JobReleased: self._apply_job_released,
            JobEnded: self._apply_job_ended,
        }

    def apply(self, offset: Offset, batch: LogBatch, now: float) -> bool:
        """Fold one batch; return ``False`` if it is a repeat and changed nothing."""
        self.applied_offset = offset
        if not self._apply_member(offset, batch, now):
            return False
        for record in batch.records:
            self._apply_record(offset, batch.writer, record)
        return True

    def ownership_of(self, worker_id: WorkerId) -> WorkerOwnership:
        """Return who owns a worker."""
        return self.ownerships.get(worker_id, UNOWNED)

    def live_members(self, zone: str, now: float, member_timeout_seconds: float) -> list[EntryId]:
        """Return the members of a zone that were heard of lately and are not stopping."""
        return [
            member.entry_id
            for member in self.members.values()
            if member.zone == zone
            and not member.stopping
            and now - member.last_seen_at < member_timeout_seconds
        ]

    def all_live_members(self, now: float, member_timeout_seconds: float) -> list[EntryId]:
        """Return the members of all zones that were heard of lately and are not stopping."""
        return [
            member.entry_id
            for member in self.members.values()
            if not member.stopping and now - member.last_seen_at < member_timeout_seconds
        ]

    def to_snapshot(self) -> CellSnapshot:
        """Return the fold as records; local facts are left out."""
        members = [
            MemberState(
                member.entry_id,
                member.zone,
                member.peer_host,
                member.peer_port,
                member.stopping,
                member.last_sequence,
                member.last_offset,
            )
            for member in self.members.values()
        ]
        ownerships = [
            OwnershipState(worker_id, holding.holder, holding.epoch)
            for worker_id, holding in self.ownerships.items()
        ]
        keys = [KeyState(key, entry.holder, entry.fingerprint) for key, entry in self.keys.items()]
        ended = [self.jobs[job_id] for job_id in self._ended_jobs]
        running = [entry for jobs in self.open_jobs.values() for entry in jobs.values()]
        jobs = [
            JobState(
                entry.job, entry.zone, entry.runner, entry.answer, sorted(entry.started_indexes)
            )
            for entry in [*ended, *running]
        ]
        return CellSnapshot(members, ownerships, sorted(self.draining), keys, jobs)

    def load_snapshot(self, snapshot: CellSnapshot, covers: Offset, now: float) -> None:
        """Replace the fold; every member counts as heard of now, so none is taken over early."""
        self.applied_offset = covers
        self.members = {
            state.entry_id: Member(
                entry_id=state.entry_id,
                zone=state.zone,
                peer_host=state.peer_host,
                peer_port=state.peer_port,
                stopping=state.stopping,
                last_sequence=state.last_sequence,
                last_offset=state.last_offset,
                last_seen_at=now,
            )
            for state in snapshot.members
        }
        self.ownerships = {
            state.worker_id: WorkerOwnership(state.holder, state.epoch)
            for state in snapshot.ownerships
        }
        self.draining = set(snapshot.draining)
        self.keys = OrderedDict(
            (state.key, KeyEntry(state.holder, state.fingerprint)) for state in snapshot.keys
        )
        for state in snapshot.jobs:
            self._load_job(state)

    def _load_job(self, state: JobState) -> None:
        job_id = state.job.job_id
        entry = DurableJob(
            state.job, state.zone, state.runner, state.answer, set(state.started_indexes)
        )
        self.jobs[job_id] = entry
        if state.answer is not None:
            self._ended_jobs[job_id] = None
        else:
            self.open_jobs.setdefault(state.runner, {})[job_id] = entry

    def forget_members(self, now: float, member_retention_seconds: float) -> None:
        """Drop members that hold nothing and have been silent for long."""
        holders = {holding.holder for holding in self.ownerships.values()} | self.open_jobs.keys()
        silent = [
            member.entry_id
            for member in self.members.values()
            if now - member.last_seen_at > member_retention_seconds
            and member.entry_id not in holders
        ]
        for entry_id in silent:
            del self.members[entry_id]

    def _apply_member(self, offset: Offset, batch: LogBatch, now: float) -> bool:
        member = self.members.get(batch.writer)
        if member is not None and batch.sequence <= member.last_sequence:
            return False
        self.members[batch.writer] = Member(
            entry_id=batch.writer,
            zone=batch.zone,
            peer_host=batch.peer_host,
            peer_port=batch.peer_port,
            stopping=batch.stopping,
            last_sequence=batch.sequence,
            last_offset=offset,
            last_seen_at=now,
        )
        return True

    def _apply_record(self, offset: Offset, writer: EntryId, record: LogRecord) -> None:
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(offset, writer, record)

    def _apply_claims(self, offset: Offset, writer: EntryId, record: WorkerClaim) -> None:
        for item in record.items:
            self._apply_claim(offset, writer, item)

    def _apply_claim(self, offset: Offset, writer: EntryId, item: ClaimItem) -> None:
        current = self.ownership_of(item.worker_id)
        if current.epoch != item.expected_epoch:
            return
        is_foreign = current.holder not in ("", writer)
        if is_foreign and self.has_appended_since(current.holder, item.holder_renewal_offset):
            return
        self.ownerships[item.worker_id] = WorkerOwnership(holder=writer, epoch=offset)

    def _apply_release(self, offset: Offset, writer: EntryId, record: WorkerRelease) -> None:
        for worker_id in record.worker_ids:
            if self.ownership_of(worker_id).holder == writer:
                self.ownerships[worker_id] = WorkerOwnership(holder="", epoch=offset)

    def _apply_drain(self, _offset: Offset, _writer: EntryId, record: WorkerDrain) -> None:
        if record.draining:
            self.draining.add(record.worker_id)
        else:
            self.draining.discard(record.worker_id)

    def _apply_key_intent(self, _offset: Offset, writer: EntryId, record: KeyIntent) -> None:
        if record.key in self.keys:
            return
        self.keys[record.key] = KeyEntry(holder=writer, fingerprint=record.fingerprint)
        if len(self.keys) > self._limits.maximum_keys:
            self.keys.popitem(last=False)

    def _apply_key_release(self, _offset: Offset, writer: EntryId, record: KeyRelease) -> None:
        entry = self.keys.get(record.key)
        if entry is not None and entry.holder == writer:
            del self.keys[record.key]

    def has_appended_since(self, entry_id: EntryId, offset: Offset) -> bool:
        """Return whether an entry is known and has appended anything after an offset."""
        member = self.members.get(entry_id)
        return member is not None and member.last_offset != offset

    def _apply_job_accepted(self, _offset: Offset, writer: EntryId, record: JobAccepted) -> None:
        job_id = record.job.job_id
        if job_id not in self.jobs:
            entry = DurableJob(record.job, self.members[writer].zone, writer)
            self.jobs[job_id] = entry
            self.open_jobs.setdefault(writer, {})[job_id] = entry

    def _apply_task_starting(self, _offset: Offset, writer: EntryId, record: TaskStarting) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is not None and entry.runner == writer:
            entry.started_indexes.add(record.task_index)

    def _apply_job_adopted(self, _offset: Offset, writer: EntryId, record: JobAdopted) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.answer is not None or entry.runner != record.previous_runner:
            return
        if self.has_appended_since(record.previous_runner, record.runner_renewal_offset):
            return
        self._move_job(record.job_id, entry, writer)

    def _apply_job_released(self, _offset: Offset, writer: EntryId, record: JobReleased) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is not None and entry.answer is None and entry.runner == writer:
            entry.started_indexes.clear()
            self._move_job(record.job_id, entry, "")

    def _move_job(self, job_id: JobId, entry: DurableJob, runner: EntryId) -> None:
        self._close_job(job_id, entry)
        entry.runner = runner
        self.open_jobs.setdefault(runner, {})[job_id] = entry

    def _close_job(self, job_id: JobId, entry: DurableJob) -> None:
        jobs = self.open_jobs[entry.runner]
        del jobs[job_id]
        if not jobs:
            del self.open_jobs[entry.runner]

    def _apply_job_ended(self, _offset: Offset, writer: EntryId, record: JobEnded) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.answer is not None or entry.runner != writer:
            return
        entry.answer = record.answer
        self._close_job(record.job_id, entry)
        self._ended_jobs[record.job_id] = None
        if len(self._ended_jobs) > self._limits.maximum_ended_jobs:
            oldest, _ = self._ended_jobs.popitem(last=False)
            del self.jobs[oldest]
