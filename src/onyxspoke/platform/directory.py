"""The platform's directory of workers."""

from __future__ import annotations

import re

import msgspec
from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.jobs.model import ResourceVector, WorkerId
from onyxspoke.core.placement.worker_record import (
    EntryFault,
    UnusableEntry,
    WorkerListing,
    WorkerRecord,
)
from onyxspoke.core.shard.log_records import ShardRecord
from onyxspoke.platform.feeds import TopicFeed
from onyxspoke.platform.store import WORKER_TOPIC, StoreClient
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS
from onyxspoke.ports.worker_directory import WorkerDirectoryListener

PAUSE_SECONDS = 0.25
#: Faults of entries that are remembered, so that a flood of entries takes little memory.
MAXIMUM_FAULTS_KEPT = 1_000
_RACK_PREFIX = "r"
#: Amounts beyond this are no machine's; sums of them stay exact.
_HIGHEST_FIGURE = 2**40
_HIGHEST_PORT = 65_535
#: The records of a shard's workers fit into one append with these bounds.
_MAXIMUM_LABELS = 32
_MAXIMUM_TEXT_BYTES = 100
#: Milliseconds from 1970 beyond this are no moment of a worker's start.
_HIGHEST_MOMENT_MS = 2**53
_ADDRESS = re.compile(r"(?P<host>[0-9]{1,3}(?:\.[0-9]{1,3}){3}):(?P<port>[0-9]{1,5})")
_LISTINGS = {"ready": WorkerListing.READY, "draining": WorkerListing.DRAINING}


class CapacityEntry(msgspec.Struct, rename={"memory_mb": "memMb", "processors_milli": "cpu"}):
    """A worker's capacity."""

    processors_milli: int
    memory_mb: int
    gpu: int = 0


class WorkerEntry(msgspec.Struct, rename="camel"):
    """What a worker writes of itself; every worker tells what has no default here."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    sequence: int
    capacity: CapacityEntry
    labels: list[str] = []
    cold_remaining_ms: float = 0.0
    remaining_ms: float = 0.0
    machine: str = ""
    born: int = 0


_decoder = msgspec.json.Decoder(WorkerEntry)


class WorkerDirectory:
    """Follows the directory; implements ``WorkerDirectoryPort``."""

    def __init__(self, store: StoreClient, reactor: IReactorTime) -> None:
        self._feed = TopicFeed(store, reactor, WORKER_TOPIC, self._take, PAUSE_SECONDS)
        self._listener: WorkerDirectoryListener | None = None
        #: Entries that name no worker, as they were last told in the log.
        self._faults: dict[WorkerId, EntryFault] = {}

    def watch(self, listener: WorkerDirectoryListener) -> None:
        """Begin to report; the whole list comes first."""
        self._listener = listener
        self._feed.start()

    def stop_watching(self) -> None:
        """Report no more."""
        self._listener = None
        self._feed.stop()

    def _take(self, records: list[ShardRecord], is_whole: bool) -> None:
        listener = self._listener
        if listener is None:
            return
        newest = {record.key: record.value for record in records}
        listed: list[WorkerRecord] = []
        unusable: list[UnusableEntry] = []
        for worker_id, value in newest.items():
            if not value:
                self._faults.pop(worker_id, None)
                listener.handle_worker_unlisted(worker_id)
                continue
            found = decode_worker(worker_id, value)
            self._note_fault(worker_id, found)
            if isinstance(found, WorkerRecord):
                listed.append(found)
            else:
                unusable.append(found)
        if listed or unusable or is_whole:
            listener.handle_workers_listed(listed, unusable, is_whole)

    def _note_fault(self, worker_id: WorkerId, found: WorkerRecord | UnusableEntry) -> None:
        """Write one line for an entry that names no worker, not one for each time it is written."""
        if isinstance(found, WorkerRecord):
            self._faults.pop(worker_id, None)
            return
        if self._faults.get(worker_id) is found.fault:
            return
        if len(self._faults) >= MAXIMUM_FAULTS_KEPT:
            self._faults.clear()
        self._faults[worker_id] = found.fault
        logging.warning(
            "event=worker_entry_unusable code=%d worker=%.100r fault=%s",
            ResultCode.ENTRY_UNUSABLE,
            worker_id,
            found.fault.value,
        )


def decode_worker(worker_id: WorkerId, value: bytes) -> WorkerRecord | UnusableEntry:
    """Return the worker that an entry names, or why it names none; it never raises.

    Entries may come from other writers, with anything in them: what is not wholly a worker's own
    account of itself must lead to no call and no start.
    """
    try:
        entry = _decoder.decode(value)
    except UNREADABLE_ERRORS:
        return UnusableEntry(worker_id, EntryFault.UNREADABLE)
    address = _ADDRESS.fullmatch(entry.address)
    fault = _find_fault(entry, address)
    if fault is not None or address is None:
        return UnusableEntry(worker_id, fault or EntryFault.NO_ADDRESS)
    capacity = entry.capacity
    return WorkerRecord(
        worker_id=worker_id,
        host=address["host"],
        port=int(address["port"]),
        service=entry.service,
        zone=entry.zone,
        capacity=ResourceVector(capacity.processors_milli, capacity.memory_mb, capacity.gpu),
        kind=next((label for label in entry.labels if not _is_rack(label)), ""),
        rack=next((label for label in entry.labels if _is_rack(label)), ""),
        labels=tuple(entry.labels),
        listing=_LISTINGS[entry.state],
        remaining_ms=int(entry.remaining_ms),
        machine=entry.machine,
        born_ms=entry.born,
    )


def _find_fault(entry: WorkerEntry, address: re.Match[str] | None) -> EntryFault | None:
    """Return what keeps a readable entry from naming a worker, if anything does."""
    if not entry.service:
        return EntryFault.NO_SERVICE
    if entry.state not in _LISTINGS:
        return EntryFault.UNKNOWN_STATE
    if address is None or not 0 < int(address["port"]) <= _HIGHEST_PORT:
        return EntryFault.NO_ADDRESS
    capacity = entry.capacity
    figures = (capacity.processors_milli, capacity.memory_mb, capacity.gpu, entry.remaining_ms)
    if min(figures) < 0 or max(figures) > _HIGHEST_FIGURE:
        return EntryFault.OUT_OF_RANGE
    if not 0 <= entry.born <= _HIGHEST_MOMENT_MS or not _are_texts_short(entry):
        return EntryFault.OUT_OF_RANGE
    return None


def _are_texts_short(entry: WorkerEntry) -> bool:
    texts = (entry.service, entry.zone, entry.machine, *entry.labels)
    are_few = len(entry.labels) <= _MAXIMUM_LABELS
    return are_few and all(len(text.encode()) <= _MAXIMUM_TEXT_BYTES for text in texts)


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and "-" in label
