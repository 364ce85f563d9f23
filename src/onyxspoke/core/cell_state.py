"""State of the cell, which every entry rebuilds by replaying the cell stream of the log.

The state depends only on the records and their order, so two readers of the same prefix
of the log have the same state.  The only local value is ``last_seen_at``: the time, on the
reader's own monotonic clock, at which this reader read a member's last batch.
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
    """An entry that has appended to the log, with the data of its last batch."""

    entry_id: EntryId
    zone: str
    peer_host: str
    peer_port: int
    stopping: bool
    last_sequence: int
    last_offset: Offset
    last_seen_at: float


class WorkerOwnership(msgspec.Struct, frozen=True):
    """The owner of a worker; ``holder`` is empty if the worker was never claimed or is released."""

    holder: EntryId
    epoch: Epoch


class KeyOwnership(msgspec.Struct, frozen=True):
    """The entry that holds an idempotency key, and the fingerprint of the key's request."""

    holder: EntryId
    fingerprint: int


@dataclass(slots=True)
class DurableJob:
    """A durable job.

    ``answer`` is ``None`` until the job has ended.  ``runner`` is empty while the job is
    released.  ``started_indexes`` has the indexes of the tasks of an unrepeatable job that
    may have been started.
    """

    job: JobSubmission
    zone: str
    runner: EntryId
    answer: Answer | None = None
    started_indexes: set[int] = field(default_factory=set)


class CellLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Largest numbers of keys and ended jobs that a reader keeps.

    The limits are counts instead of times, so that every reader drops the same records.
    """

    maximum_keys: int = 20_000
    maximum_ended_jobs: int = 5_000


UNOWNED = WorkerOwnership(holder="", epoch=0)


class CellState:
    """State that results from applying the batches of the cell stream in order."""

    def __init__(self, limits: CellLimits) -> None:
        self._limits = limits
        self.members: dict[EntryId, Member] = {}
        self.ownerships: dict[WorkerId, WorkerOwnership] = {}
        self.draining: set[WorkerId] = set()
        self.keys: OrderedDict[str, KeyOwnership] = OrderedDict()
        self.jobs: dict[JobId, DurableJob] = {}
        self.open_jobs: dict[EntryId, dict[JobId, DurableJob]] = {}
        self._ended_job_ids: OrderedDict[JobId, None] = OrderedDict()
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
        """Apply one batch; return ``False`` if the batch is a repeat and was ignored."""
        self.applied_offset = offset
        if not self._apply_member(offset, batch, now):
            return False
        for record in batch.records:
            self._apply_record(offset, batch.writer, record)
        return True

    def ownership_of(self, worker_id: WorkerId) -> WorkerOwnership:
        """Return the current ownership of a worker."""
        return self.ownerships.get(worker_id, UNOWNED)

    def live_members(self, zone: str, now: float, member_timeout_seconds: float) -> list[EntryId]:
        """Return the members of a zone that appended recently and are not stopping."""
        return [
            member.entry_id
            for member in self.members.values()
            if member.zone == zone
            and not member.stopping
            and now - member.last_seen_at < member_timeout_seconds
        ]

    def all_live_members(self, now: float, member_timeout_seconds: float) -> list[EntryId]:
        """Return the members of all zones that appended recently and are not stopping."""
        return [
            member.entry_id
            for member in self.members.values()
            if not member.stopping and now - member.last_seen_at < member_timeout_seconds
        ]

    def to_snapshot(self) -> CellSnapshot:
        """Return the state as a snapshot, without the local values."""
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
            OwnershipState(worker_id, ownership.holder, ownership.epoch)
            for worker_id, ownership in self.ownerships.items()
        ]
        keys = [
            KeyState(key, key_ownership.holder, key_ownership.fingerprint)
            for key, key_ownership in self.keys.items()
        ]
        ended_jobs = [self.jobs[job_id] for job_id in self._ended_job_ids]
        running_jobs = [
            durable_job for jobs in self.open_jobs.values() for durable_job in jobs.values()
        ]
        jobs = [
            JobState(
                durable_job.job,
                durable_job.zone,
                durable_job.runner,
                durable_job.answer,
                sorted(durable_job.started_indexes),
            )
            for durable_job in [*ended_jobs, *running_jobs]
        ]
        return CellSnapshot(members, ownerships, sorted(self.draining), keys, jobs)

    def load_snapshot(self, snapshot: CellSnapshot, covers: Offset, now: float) -> None:
        """Replace the state by a snapshot.

        Every member counts as seen now, so that no member's workers are claimed too early.
        """
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
            (state.key, KeyOwnership(state.holder, state.fingerprint)) for state in snapshot.keys
        )
        for state in snapshot.jobs:
            self._load_job(state)

    def _load_job(self, state: JobState) -> None:
        job_id = state.job.job_id
        durable_job = DurableJob(
            state.job, state.zone, state.runner, state.answer, set(state.started_indexes)
        )
        self.jobs[job_id] = durable_job
        if state.answer is not None:
            self._ended_job_ids[job_id] = None
        else:
            self.open_jobs.setdefault(state.runner, {})[job_id] = durable_job

    def remove_expired_members(self, now: float, member_retention_seconds: float) -> None:
        """Remove members that appended nothing for the retention time and hold no worker or job."""
        holders = {
            ownership.holder for ownership in self.ownerships.values()
        } | self.open_jobs.keys()
        expired_member_ids = [
            member.entry_id
            for member in self.members.values()
            if now - member.last_seen_at > member_retention_seconds
            and member.entry_id not in holders
        ]
        for entry_id in expired_member_ids:
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
        is_owned_by_other = current.holder not in ("", writer)
        if is_owned_by_other and self.has_appended_since(
            current.holder, item.holder_renewal_offset
        ):
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
        self.keys[record.key] = KeyOwnership(holder=writer, fingerprint=record.fingerprint)
        if len(self.keys) > self._limits.maximum_keys:
            self.keys.popitem(last=False)

    def _apply_key_release(self, _offset: Offset, writer: EntryId, record: KeyRelease) -> None:
        key_ownership = self.keys.get(record.key)
        if key_ownership is not None and key_ownership.holder == writer:
            del self.keys[record.key]

    def has_appended_since(self, entry_id: EntryId, offset: Offset) -> bool:
        """Return whether a known entry's last batch is at another offset than the given one."""
        member = self.members.get(entry_id)
        return member is not None and member.last_offset != offset

    def _apply_job_accepted(self, _offset: Offset, writer: EntryId, record: JobAccepted) -> None:
        job_id = record.job.job_id
        if job_id not in self.jobs:
            durable_job = DurableJob(record.job, self.members[writer].zone, writer)
            self.jobs[job_id] = durable_job
            self.open_jobs.setdefault(writer, {})[job_id] = durable_job

    def _apply_task_starting(self, _offset: Offset, writer: EntryId, record: TaskStarting) -> None:
        durable_job = self.jobs.get(record.job_id)
        if durable_job is not None and durable_job.runner == writer:
            durable_job.started_indexes.add(record.task_index)

    def _apply_job_adopted(self, _offset: Offset, writer: EntryId, record: JobAdopted) -> None:
        durable_job = self.jobs.get(record.job_id)
        if (
            durable_job is None
            or durable_job.answer is not None
            or durable_job.runner != record.previous_runner
        ):
            return
        if self.has_appended_since(record.previous_runner, record.runner_renewal_offset):
            return
        self._set_job_runner(record.job_id, durable_job, writer)

    def _apply_job_released(self, _offset: Offset, writer: EntryId, record: JobReleased) -> None:
        durable_job = self.jobs.get(record.job_id)
        if durable_job is not None and durable_job.answer is None and durable_job.runner == writer:
            durable_job.started_indexes.clear()
            self._set_job_runner(record.job_id, durable_job, "")

    def _set_job_runner(self, job_id: JobId, durable_job: DurableJob, runner: EntryId) -> None:
        self._remove_open_job(job_id, durable_job)
        durable_job.runner = runner
        self.open_jobs.setdefault(runner, {})[job_id] = durable_job

    def _remove_open_job(self, job_id: JobId, durable_job: DurableJob) -> None:
        jobs = self.open_jobs[durable_job.runner]
        del jobs[job_id]
        if not jobs:
            del self.open_jobs[durable_job.runner]

    def _apply_job_ended(self, _offset: Offset, writer: EntryId, record: JobEnded) -> None:
        durable_job = self.jobs.get(record.job_id)
        if durable_job is None or durable_job.answer is not None or durable_job.runner != writer:
            return
        durable_job.answer = record.answer
        self._remove_open_job(record.job_id, durable_job)
        self._ended_job_ids[record.job_id] = None
        if len(self._ended_job_ids) > self._limits.maximum_ended_jobs:
            oldest_job_id, _ = self._ended_job_ids.popitem(last=False)
            del self.jobs[oldest_job_id]
