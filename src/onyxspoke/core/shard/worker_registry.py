"""The workers of a shard: entries of the directory, and records for the next holder.

A worker's record says that the worker may have runs of the shard.  No run starts on a worker before
its record is committed.  A new holder polls every recorded worker, or waits until its lease has
expired, before it starts tasks that may already be running there.
"""

from __future__ import annotations

import math

import msgspec

from onyxspoke.core.jobs.model import ResourceVector, WorkerId
from onyxspoke.core.placement.worker_clock import SLOWEST_CLOCK_FACTOR
from onyxspoke.core.placement.worker_record import (
    EntryFault,
    UnusableEntry,
    WorkerListing,
    WorkerRecord,
)
from onyxspoke.core.placement.workers import MAX_PREVIOUS_STARTS, Worker, WorkerContact
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.log_records import WORKER_PREFIX, ShardRecord

#: A store that leaves an append unanswered for this long counts as unavailable.  During an outage,
#: the directory entries of live workers may expire.
STORE_OUTAGE_SECONDS = 1.0
#: How long after an outage a responsive worker may be missing from the directory and still get
#: runs.  Workers write their entries again within about two seconds; the rest is for reading them.
ENTRY_RETURN_SECONDS = 2.5
#: Safety margin added to the latest possible expiry of a previous holder's leases.
LEASE_MARGIN_SECONDS = 0.25

_MILLISECONDS = 1_000.0
_encoder = msgspec.msgpack.Encoder()


class WorkerRegistry:
    """Holds the workers of one shard.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    previous_orders_until : float
        The time, by the holder's clock, from which no earlier holder sends orders any more.
    """

    def __init__(self, context: ShardContext, previous_orders_until: float) -> None:
        self._context = context
        self._previous_leases_until = (
            previous_orders_until + self._maximum_lease_seconds() + LEASE_MARGIN_SECONDS
        )
        self._workers_to_record: dict[WorkerId, Worker] = {}
        self._records_to_delete: dict[WorkerId, None] = {}
        self._has_full_listing = False
        #: Until when entries that expired during a store outage may return.
        self._missing_entry_grace_until = -math.inf

    def restore(self, record: WorkerRecord, now: float) -> None:
        """Add a worker that a previous holder used."""
        worker = self._add(record, now)
        worker.is_recorded = True
        worker.was_used_by_previous_holder = True
        worker.listing = WorkerListing.GONE

    @property
    def knows_directory(self) -> bool:
        """Whether a complete listing of the directory has been processed."""
        return self._has_full_listing

    def handle_listed(
        self,
        records: list[WorkerRecord],
        unusable: list[UnusableEntry],
        is_complete: bool,
        now: float,
    ) -> None:
        """Process a listing of the directory; a worker missing from a complete listing is gone."""
        for record in records:
            self._process_entry(record, now)
        for entry in unusable:
            self._mark_unusable(entry)
        if is_complete:
            self._has_full_listing = True
            listed_ids = {record.worker_id for record in records}
            listed_ids |= {entry.worker_id for entry in unusable}
            for worker in list(self._context.table.workers.values()):
                if worker.worker_id not in listed_ids:
                    self.handle_unlisted(worker.worker_id, now)

    def _mark_unusable(self, entry: UnusableEntry) -> None:
        """Mark a worker whose entry is damaged: it gets no new runs, but does not count as gone."""
        worker = self._context.table.workers.get(entry.worker_id)
        if worker is None or worker.listing in (WorkerListing.UNUSABLE, WorkerListing.DRAINING):
            return
        worker.listing = WorkerListing.UNUSABLE
        worker.missing_entry_grace_until = 0.0
        _log_worker(self._context, worker, "worker_unusable", fault=entry.fault.value)

    def handle_unlisted(self, worker_id: WorkerId, now: float) -> None:
        """Handle a worker that the directory no longer lists."""
        worker = self._context.table.workers.get(worker_id)
        if worker is None or worker.listing is WorkerListing.GONE:
            return
        is_in_contact = worker.contact is WorkerContact.RECONCILED
        if (
            worker.listing is WorkerListing.READY
            and is_in_contact
            and now < self._missing_entry_grace_until
        ):
            if not worker.missing_entry_grace_until:
                _log_worker(self._context, worker, "worker_lapsed")
            worker.missing_entry_grace_until = self._missing_entry_grace_until
            return
        self._mark_gone(worker)

    def _mark_gone(self, worker: Worker) -> None:
        worker.listing = WorkerListing.GONE
        worker.missing_entry_grace_until = 0.0
        _log_worker(self._context, worker, "worker_unlisted")

    def _expire_missing_entry(self, worker: Worker, now: float) -> None:
        """Mark a worker as gone if its missing entry has not returned in time."""
        is_in_contact = worker.contact is WorkerContact.RECONCILED
        if worker.missing_entry_grace_until and (
            now >= worker.missing_entry_grace_until or not is_in_contact
        ):
            self._mark_gone(worker)

    def _process_entry(self, record: WorkerRecord, now: float) -> None:
        worker = self._context.table.workers.get(record.worker_id)
        if worker is not None and worker.born_ms and not record.born_ms:
            # All entries that the worker itself writes contain its start time, so another program
            # wrote this one.
            self._mark_unusable(UnusableEntry(record.worker_id, EntryFault.NO_START_TIME))
            return
        if worker is not None and record.born_ms in worker.previous_starts_ms:
            # The entry is out of date: a previous incarnation's capacity and kind do not apply.
            _log_worker(self._context, worker, "entry_out_of_date", born_ms=record.born_ms)
            return
        if worker is None:
            worker = self._add(record, now)
            self._load_unresolved_starts(worker, now)
            self._workers_to_record[record.worker_id] = worker
            _log_worker(
                self._context,
                worker,
                "worker_listed",
                host=record.host,
                rack=record.rack,
                born_ms=record.born_ms,
            )
        if worker.listing is not record.listing:
            if record.listing is WorkerListing.DRAINING:
                worker.earliest_exit_at = now + record.remaining_ms / _MILLISECONDS
            worker.listing = record.listing
            _log_worker(self._context, worker, "worker_listing", listing=record.listing.value)
        if worker.record.born_ms != record.born_ms:
            self._record_new_incarnation(worker, record)
        if worker.record.capacity != record.capacity:
            self._update_capacity(worker, record.capacity)
        worker.record = record
        worker.speed.kind = record.kind
        worker.missing_entry_grace_until = 0.0
        is_usable = record.listing is WorkerListing.READY and worker.is_record_current
        if is_usable and not worker.is_recorded:
            # The record may have been deleted while the worker was unused.
            self._records_to_delete.pop(record.worker_id, None)
            self._workers_to_record[record.worker_id] = worker
        self._context.needs_placement = True

    def _record_new_incarnation(self, worker: Worker, record: WorkerRecord) -> None:
        """Handle the entry of another incarnation; a poll finds out whether that one answers."""
        worker.poll_requested = worker.poll_requested or record.born_ms != worker.born_ms
        _log_worker(
            self._context,
            worker,
            "worker_born",
            born_ms=record.born_ms,
            former_born_ms=worker.record.born_ms,
            runs=len(worker.runs),
            seen_through=worker.processed_through,
            told_through=worker.acknowledged_through,
        )

    def begin_next_incarnation(self, previous: Worker, born_ms: int, now: float) -> Worker:
        """Return the incarnation that follows an ended one under the same name.

        It gets runs only once the directory has an entry of it.
        """
        # The new incarnation may execute an order that the previous one has not answered, and run
        # the ordered task for one lease.  Earlier holders may still order runs on it, too.
        own_lease_expires_at = now + self._maximum_lease_seconds() + LEASE_MARGIN_SECONDS
        worker = Worker(previous.record, max(own_lease_expires_at, self._previous_leases_until))
        worker.born_ms = born_ms
        starts_ms = (*previous.previous_starts_ms, previous.born_ms)
        worker.previous_starts_ms = starts_ms[-MAX_PREVIOUS_STARTS:]
        worker.speed = self._context.durations.begin_incarnation(
            worker.worker_id, born_ms, worker.record.kind, now
        )
        self._load_unresolved_starts(worker, now)
        self._context.table.workers[worker.worker_id] = worker
        self._workers_to_record.pop(worker.worker_id, None)
        self._records_to_delete.pop(worker.worker_id, None)
        if worker.is_record_current:
            self._workers_to_record[worker.worker_id] = worker
        else:
            worker.listing = WorkerListing.GONE
        return worker

    def _load_unresolved_starts(self, worker: Worker, now: float) -> None:
        """Load unresolved starts of previous incarnations, which this one may still execute."""
        keys = self._context.table.unresolved_starts.starts_on_worker(worker.worker_id, now)
        worker.unresolved_starts = dict.fromkeys(keys, -math.inf)

    def _maximum_lease_seconds(self) -> float:
        """Return the longest lease that a worker grants, in seconds of the holder's clock."""
        return self._context.options.maximum_hold_ms / _MILLISECONDS * SLOWEST_CLOCK_FACTOR

    def _update_capacity(self, worker: Worker, capacity: ResourceVector) -> None:
        """Handle a change of a worker's capacity."""
        previous = worker.record.capacity
        _log_worker(
            self._context,
            worker,
            "worker_room",
            cpu=capacity.processors_milli,
            mb=capacity.memory_mb,
            gpu=capacity.accelerators,
            former_cpu=previous.processors_milli,
            former_mb=previous.memory_mb,
            former_gpu=previous.accelerators,
            runs=len(worker.runs),
        )
        # A step that did not fit on any worker checks only the workers whose free capacity has
        # grown since then.
        self._context.table.note_capacity_gain(worker)

    def _add(self, record: WorkerRecord, now: float) -> Worker:
        worker = Worker(record, self._previous_leases_until)
        worker.speed = self._context.durations.begin_incarnation(
            record.worker_id, record.born_ms, record.kind, now
        )
        self._context.table.workers[record.worker_id] = worker
        return worker

    # Records

    @property
    def is_dirty(self) -> bool:
        """Whether any worker's record is to be written or deleted."""
        return bool(self._workers_to_record or self._records_to_delete)

    def collect_records(self) -> list[ShardRecord]:
        """Return the records to write; a worker gets runs once its record is committed."""
        records = []
        for worker in self._workers_to_record.values():
            key = WORKER_PREFIX + worker.worker_id
            records.append(ShardRecord(key, _encoder.encode(worker.record)))
            self._context.commit.after_commit(_MarkRecorded(self._context, worker))
        records += [
            ShardRecord(WORKER_PREFIX + worker_id, b"") for worker_id in self._records_to_delete
        ]
        self._workers_to_record.clear()
        self._records_to_delete.clear()
        return records

    # Periodic work

    def tick(self, now: float) -> None:
        """Mark workers with missing entries as gone, and delete records of unused workers."""
        if self._context.commit.is_append_overdue(now, STORE_OUTAGE_SECONDS):
            self._missing_entry_grace_until = now + ENTRY_RETURN_SECONDS
        for worker in self._context.table.workers.values():
            self._expire_missing_entry(worker, now)
            self._delete_record_if_unused(worker)

    def forget(self, worker: Worker) -> None:
        """Remove a worker whose incarnation has ended."""
        del self._context.table.workers[worker.worker_id]
        self._context.durations.forget_worker(worker.worker_id)
        if self._workers_to_record.pop(worker.worker_id, None) is None:
            self._records_to_delete[worker.worker_id] = None

    def _delete_record_if_unused(self, worker: Worker) -> None:
        """Delete the record of a worker that has no runs and gets no new ones.

        A new holder would have to wait for this worker before it starts tasks in doubt.  A worker
        that has left does not answer, so the holder would wait for the longest possible lease.
        """
        is_contact_known = worker.contact in (WorkerContact.RECONCILED, WorkerContact.UNRESPONSIVE)
        is_empty = not worker.runs and not worker.orphan_runs
        is_leaving = self._has_full_listing and worker.listing is not WorkerListing.READY
        if worker.is_recorded and is_contact_known and is_empty and is_leaving:
            worker.is_recorded = False
            # A pending write must not restore the record after its deletion.
            self._workers_to_record.pop(worker.worker_id, None)
            self._records_to_delete[worker.worker_id] = None
            _log_worker(self._context, worker, "worker_emptied", listing=worker.listing.value)


class _MarkRecorded:
    """Allows runs on a worker once its record is committed."""

    def __init__(self, context: ShardContext, worker: Worker) -> None:
        self._context = context
        self._worker = worker

    def __call__(self, now: float) -> None:
        self._worker.is_recorded = True
        self._context.needs_placement = True


def _log_worker(
    context: ShardContext, worker: Worker, event: str, **fields: str | int | float
) -> None:
    context.log(event, worker=worker.worker_id, **fields)
