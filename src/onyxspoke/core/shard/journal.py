"""Conversion between a holder's state and the records of its partition."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.records import (
    PART_PREFIX,
    PROGRESS_PREFIX,
    SPEC_PREFIX,
    ProgressRecord,
    RecordFormatError,
    StepRecord,
    decode_part,
    decode_progress,
    decode_spec,
    encode_cancelled_before,
    encode_divided_progress,
    encode_spec,
    has_progress,
    job_of_part,
    progress_key,
    spec_key,
)
from onyxspoke.core.jobs.states import JobState
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.actions import JobEnded, LayoutKnown
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.estimates_manager import EstimatesManager, restore_estimates_record
from onyxspoke.core.shard.layout import encode_layout, find_layout
from onyxspoke.core.shard.log_records import (
    CLAIM_KEY,
    STARTS_KEY,
    WORKER_PREFIX,
    ClaimRecord,
    ShardRecord,
    encode_claim,
)
from onyxspoke.core.shard.unrecordable_jobs import UnrecordableJobs
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.core.tenants.quota_lender import QUOTA_PREFIX

#: Upper bound of a restored job's age; limits the effect of wrong clocks.
MAXIMUM_JOB_AGE_SECONDS = 600.0
_MILLISECONDS = 1_000.0
_worker_decoder = msgspec.msgpack.Decoder(WorkerRecord)


class RecordCollector:
    """Converts state that has changed into records for the next append."""

    def __init__(
        self,
        context: ShardContext,
        worker_registry: WorkerRegistry,
        estimates: EstimatesManager,
        claim: ClaimRecord,
        unrecordable_jobs: UnrecordableJobs,
    ) -> None:
        self._context = context
        self._unrecordable_jobs = unrecordable_jobs
        self._worker_registry = worker_registry
        self._estimates = estimates
        self._claim = claim
        self._is_claim_changed = False
        self._has_written_marker = False

    def is_dirty(self) -> bool:
        """Return whether some change is not part of any append yet."""
        context = self._context
        return (
            bool(context.job_registry.dirty)
            or self._worker_registry.is_dirty
            or bool(context.quota_lender.dirty)
            or context.uncommitted_layout is not None
            or self._estimates.needs_append
            or self._is_claim_changed
            or self._is_marker_due()
        )

    def renew(self) -> ShardRecord:
        """Return a record of the claim with the next renewal number."""
        self._is_claim_changed = False
        self._claim = msgspec.structs.replace(self._claim, renewal=self._claim.renewal + 1)
        return ShardRecord(CLAIM_KEY, encode_claim(self._claim))

    def note_earlier_orders_over(self) -> None:
        """Have the claim's record tell that no earlier holder sends orders any more."""
        if self._claim.earlier_orders_seconds != 0.0:
            self._claim = msgspec.structs.replace(self._claim, earlier_orders_seconds=0.0)
            self._is_claim_changed = True
            self._context.log("earlier_orders_over", token=self._claim.token)

    def collect(self, maximum_bytes: int, now: float) -> list[ShardRecord]:
        """Return the records of changed state, and clear the marks of the returned changes.

        Changed jobs that do not fit into ``maximum_bytes`` keep their marks.  A job whose records
        cannot be encoded is given up alone.  If anything else raises, marks are lost, and the
        holder must give the shard up, because the effects of the lost changes must not run.
        """
        records = self._layout_records() + self._worker_registry.collect_records()
        records += self._quota_records() + self._estimates.collect_records()
        dirty = self._context.job_registry.dirty
        size = sum(record.size for record in records)
        while dirty and size < maximum_bytes:
            job_id = next(iter(dirty))
            del dirty[job_id]
            try:
                job_records = self._job_records(job_id, maximum_bytes - size)
            except Exception as error:
                self._unrecordable_jobs.give_up(job_id, error, now)
                continue
            records += job_records
            size += sum(record.size for record in job_records)
        if self._is_claim_changed:
            records.append(self.renew())
        if self._is_marker_due():
            self._has_written_marker = True
            records.append(ShardRecord(STARTS_KEY, str(self._claim.token).encode()))
        return records

    def _is_marker_due(self) -> bool:
        """Return whether the marker of starts is to be written now.

        If previous holders did not record their starts, the marker is due once recovery has
        found every run that they started and the records of those runs have been collected.
        """
        job_registry = self._context.job_registry
        are_starts_known = job_registry.starts_are_recorded or not job_registry.is_recovering
        return are_starts_known and not self._has_written_marker and not job_registry.dirty

    def _layout_records(self) -> list[ShardRecord]:
        context = self._context
        layout, context.uncommitted_layout = context.uncommitted_layout, None
        if layout is None:
            return []
        context.commit.after_commit(lambda _now: context.emit(LayoutKnown(layout)))
        return [encode_layout(layout)]

    def _quota_records(self) -> list[ShardRecord]:
        quota_lender = self._context.quota_lender
        tenants = list(quota_lender.dirty)
        quota_lender.dirty.clear()
        return [
            ShardRecord(QUOTA_PREFIX + tenant, quota_lender.encode(tenant)) for tenant in tenants
        ]

    def _job_records(self, job_id: JobId, maximum_bytes: int) -> list[ShardRecord]:
        """Return the records of a changed job; the job stays marked if they are too many bytes."""
        job_registry = self._context.job_registry
        job = job_registry.jobs.get(job_id)
        if job is None:
            cancel = job_registry.cancelled_before.get(job_id)
            value = b"" if cancel is None else encode_cancelled_before(cancel.tenant)
            return [ShardRecord(progress_key(job_id), value)]
        records = []
        if job.state.is_final and job.spec_is_stored:
            records.append(ShardRecord(spec_key(job_id), b""))
        elif not job.state.is_final and not job.spec_is_stored:
            records.append(ShardRecord(spec_key(job_id), encode_spec(job.spec)))
        parts: list[ShardRecord] = []
        has_undivided_record = job.has_undivided_record
        if has_progress(job):
            value, part_values = encode_divided_progress(job)
            has_undivided_record = not part_values
            records.append(ShardRecord(progress_key(job_id), value))
            parts = _changed_parts(job, part_values)
        # The record that takes an undivided one's place must not appear without any of the parts,
        # and no part may outlive its job.
        is_divisible = not job.has_undivided_record and not job.state.is_final
        maximum_parts = _count_fitting(parts, maximum_bytes) if is_divisible else len(parts)
        for record in [*records, *parts]:
            if record.size > self._context.options.record_bytes:
                raise RecordSizeError(record.key, record.size)
        # Nothing changes before every record is encoded, which may raise.
        job.spec_is_stored = not job.state.is_final
        job.has_undivided_record = has_undivided_record
        for part in parts[:maximum_parts]:
            if part.value:
                job.recorded_parts[part.key] = hash(part.value)
            else:
                del job.recorded_parts[part.key]
        if maximum_parts < len(parts):
            job_registry.dirty[job_id] = None
        else:
            self._context.commit.after_commit(_MarkCommitted(self._context, job, job.state))
        return records + parts[:maximum_parts]


class RecordSizeError(Exception):
    """A record is larger than the store accepts."""

    def __init__(self, key: str, size: int) -> None:
        super().__init__(f"{key}: {size} bytes")


def _changed_parts(job: JobProgress, values: dict[str, bytes]) -> list[ShardRecord]:
    """Return the parts of a job's progress that differ from the recorded ones."""
    changed = [
        ShardRecord(key, value)
        for key, value in values.items()
        if job.recorded_parts.get(key) != hash(value)
    ]
    return changed + [ShardRecord(key, b"") for key in job.recorded_parts if key not in values]


def _count_fitting(records: list[ShardRecord], maximum_bytes: int) -> int:
    """Return how many of the first records to append; at least one, if there is any."""
    size = 0
    for count, record in enumerate(records):
        if size >= maximum_bytes:
            return max(1, count)
        size += record.size
    return len(records)


class _MarkCommitted:
    """Effect that makes a job's state visible once the job's record is committed."""

    def __init__(self, context: ShardContext, job: JobProgress, state: JobState) -> None:
        self._context = context
        self._job = job
        self._state = state

    def __call__(self, now: float) -> None:
        if self._job.committed_state is not self._state:
            self._context.job_registry.mark_committed(self._job, self._state)
            self._context.needs_placement = True
            if self._state.is_final:
                self._report_end(now)

    def _report_end(self, now: float) -> None:
        job = self._job
        state = self._state.name.lower()
        seconds = round(now - job.accepted_at, 3)
        self._context.log("job_ended", job=job.job_id, state=state, seconds=seconds)
        self._context.emit(JobEnded(job.spec.queue.name, job.spec.tenant, state, seconds))


def starts_are_recorded(records: list[ShardRecord], previous_token: int) -> bool:
    """Return whether previous holders recorded every start that they ordered.

    They did if the partition's marker carries the token of the latest previous holder.  A holder
    of a version that does not record starts leaves the marker of an older token in place.
    """
    if previous_token == 0:
        return True
    markers = [record.value for record in records if record.key == STARTS_KEY]
    return markers == [str(previous_token).encode()]


def restore_records(
    context: ShardContext,
    worker_registry: WorkerRegistry,
    records: list[ShardRecord],
    now: float,
    read_end: int = -1,
) -> None:
    """Restore a new holder's state from records; log unreadable records and leave them stored.

    Parameters
    ----------
    read_end : int
        Where the partition ended when the last of the records were read; -1 if that is not known.
    """
    layout = find_layout(records)
    if layout is not None:
        context.emit(LayoutKnown(layout))
    restore_estimates_record(context, records, now)
    for record in records:
        if record.key.startswith(QUOTA_PREFIX):
            _restore_quota_loans(context, record)
        elif record.key.startswith(WORKER_PREFIX):
            _restore_worker(context, worker_registry, record, now)
    _restore_jobs(context, records, now)
    context.log(
        "state_restored",
        jobs=len(context.job_registry.jobs),
        records=len(records),
        token=context.token,
        read_end=read_end,
    )


def _restore_jobs(context: ShardContext, records: list[ShardRecord], now: float) -> None:
    progress: dict[JobId, ProgressRecord] = {}
    parts: dict[JobId, list[ShardRecord]] = {}
    specs: dict[JobId, bytes] = {}
    for record in records:
        if record.key.startswith(SPEC_PREFIX):
            specs[record.key.removeprefix(SPEC_PREFIX)] = record.value
        elif record.key.startswith(PROGRESS_PREFIX):
            _read_progress(context, record, progress)
        elif record.key.startswith(PART_PREFIX):
            parts.setdefault(job_of_part(record.key), []).append(record)
    for job_id, data in specs.items():
        stored_progress = progress.pop(job_id, None)
        job_parts = parts.get(job_id, []) if stored_progress is not None else []
        has_undivided_record = stored_progress is not None and bool(stored_progress.steps)
        if stored_progress is not None:
            # Parts that an undivided record has taken the place of may be left; it goes last.
            stored_progress.steps[:0] = _read_parts(context, job_parts)
        _restore_job(context, job_id, data, stored_progress, now)
        job = context.job_registry.jobs.get(job_id)
        if job is not None:
            job.recorded_parts = {record.key: hash(record.value) for record in job_parts}
            job.has_undivided_record = has_undivided_record
    for job_id, stored_progress in progress.items():
        _restore_finished(context, job_id, stored_progress, now)


def _restore_quota_loans(context: ShardContext, record: ShardRecord) -> None:
    try:
        context.quota_lender.restore(record.key.removeprefix(QUOTA_PREFIX), record.value)
    except msgspec.MsgspecError as error:
        context.log("record_unreadable", key=record.key, error=str(error))


def _read_parts(context: ShardContext, records: list[ShardRecord]) -> list[StepRecord]:
    parts = []
    for record in records:
        try:
            parts.append(decode_part(record.key, record.value))
        except RecordFormatError as error:
            context.log("record_unreadable", key=record.key, error=str(error))
    return parts


def _read_progress(
    context: ShardContext, record: ShardRecord, progress: dict[JobId, ProgressRecord]
) -> None:
    try:
        stored_progress = decode_progress(record.key, record.value)
    except RecordFormatError as error:
        context.log("record_unreadable", key=record.key, error=str(error))
        return
    progress[record.key.removeprefix(PROGRESS_PREFIX)] = stored_progress


def _restore_job(
    context: ShardContext,
    job_id: JobId,
    data: bytes,
    stored_progress: ProgressRecord | None,
    now: float,
) -> None:
    try:
        spec = decode_spec(spec_key(job_id), data)
    except RecordFormatError as error:
        context.log("record_unreadable", key=spec_key(job_id), error=str(error))
        return
    accepted_at = now - _job_age_seconds(context, spec, now)
    try:
        context.job_registry.restore(spec, stored_progress, accepted_at, now)
    except Exception as error:
        # Every later holder would raise, too; the records stay in the store as they are.
        context.job_registry.forget_unrestored(job_id)
        context.log("record_unreadable", key=progress_key(job_id), error=repr(error))


def _restore_finished(
    context: ShardContext, job_id: JobId, stored_progress: ProgressRecord, now: float
) -> None:
    try:
        context.job_registry.restore_finished(job_id, stored_progress, now)
    except Exception as error:
        context.job_registry.forget_unrestored(job_id)
        context.log("record_unreadable", key=progress_key(job_id), error=repr(error))


def _job_age_seconds(context: ShardContext, spec: JobSpec, now: float) -> float:
    """Return the seconds since a job was accepted, limited to a plausible range."""
    if not spec.accepted_at_ms:
        return 0.0
    age_seconds = (context.wall_ms(now) - spec.accepted_at_ms) / _MILLISECONDS
    return min(max(0.0, age_seconds), MAXIMUM_JOB_AGE_SECONDS)


def _restore_worker(
    context: ShardContext, worker_registry: WorkerRegistry, record: ShardRecord, now: float
) -> None:
    try:
        worker = _worker_decoder.decode(record.value)
    except msgspec.MsgspecError as error:
        context.log("record_unreadable", key=record.key, error=str(error))
        return
    worker_registry.restore(worker, now)
