"""The platform's directory of workers."""

from __future__ import annotations

import msgspec
from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.placement.workers import WorkerListing, WorkerRecord
from onyxspoke.core.shard.log_records import ShardRecord
from onyxspoke.platform.feeds import TopicFeed
from onyxspoke.platform.store import WORKER_TOPIC, StoreClient
from onyxspoke.ports.worker_directory import WorkerDirectoryListener

PAUSE_SECONDS = 0.25
_RACK_PREFIX = "r"


class CapacityEntry(msgspec.Struct, rename={"memory_mb": "memMb", "processors_milli": "cpu"}):
    """A worker's capacity."""

    processors_milli: int = 0
    memory_mb: int = 0
    gpu: int = 0


class WorkerEntry(
    msgspec.Struct, rename={"cold_remaining_ms": "coldRemainingMs", "remaining_ms": "remainingMs"}
):
    """What a worker writes of itself."""

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: CapacityEntry = msgspec.field(default_factory=CapacityEntry)
    labels: list[str] = []
    cold_remaining_ms: int = 0
    remaining_ms: int = 0
    machine: str = ""


_decoder = msgspec.json.Decoder(WorkerEntry)


class WorkerDirectory:
    """Follows the directory; implements ``WorkerDirectoryPort``."""

    def __init__(self, store: StoreClient, reactor: IReactorTime) -> None:
        self._feed = TopicFeed(store, reactor, WORKER_TOPIC, self._take, PAUSE_SECONDS)
        self._listener: WorkerDirectoryListener | None = None

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
        listed = []
        for worker_id, value in newest.items():
            if not value:
                listener.handle_worker_unlisted(worker_id)
                continue
            worker = decode_worker(worker_id, value)
            if worker is not None:
                listed.append(worker)
        if listed or is_whole:
            listener.handle_workers_listed(listed, is_whole)


def decode_worker(worker_id: str, value: bytes) -> WorkerRecord | None:
    """Return a worker's record, or ``None`` for one that cannot be read."""
    try:
        entry = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        logging.warning("event=worker_entry_unreadable worker=%s error=%r", worker_id, str(error))
        return None
    host, _, port = entry.address.rpartition(":")
    is_draining = entry.state == "draining"
    return WorkerRecord(
        worker_id=worker_id,
        host=host,
        port=int(port) if port.isdigit() else 0,
        service=entry.service,
        zone=entry.zone,
        capacity=Needs(
            entry.capacity.processors_milli, entry.capacity.memory_mb, entry.capacity.gpu
        ),
        kind=next((label for label in entry.labels if not _is_rack(label)), ""),
        rack=next((label for label in entry.labels if _is_rack(label)), ""),
        labels=tuple(entry.labels),
        listing=WorkerListing.DRAINING if is_draining else WorkerListing.READY,
        remaining_ms=entry.remaining_ms,
        machine=entry.machine,
    )


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and "-" in label
