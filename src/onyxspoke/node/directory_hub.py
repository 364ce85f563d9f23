"""One reading of the directory of workers for all shards that a node holds."""

from __future__ import annotations

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.worker_record import UnusableEntry, WorkerRecord
from onyxspoke.core.shard.layout import CellLayout
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.worker_directory import WorkerDirectoryListener, WorkerDirectoryPort


class DirectoryHub:
    """Tells each shard of its own workers.

    Parameters
    ----------
    directory : WorkerDirectoryPort
        The platform's directory; watched while some shard is held.
    clock : Clock
        Source of time.
    """

    def __init__(self, directory: WorkerDirectoryPort, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._layout: CellLayout | None = None
        self._listeners: dict[ShardId, WorkerDirectoryListener] = {}
        self._records: dict[WorkerId, WorkerRecord] = {}
        self._unusable: dict[WorkerId, UnusableEntry] = {}
        self._whole_since: float | None = None

    def workers(self) -> list[WorkerRecord]:
        """Return the workers that are listed."""
        return list(self._records.values())

    def listed_seconds(self) -> float:
        """Return for how long the whole list has been known; 0 before."""
        return 0.0 if self._whole_since is None else self._clock.now() - self._whole_since

    def set_layout(self, layout: CellLayout) -> None:
        """Take what belongs to which shard; nothing is told before."""
        self._layout = layout
        for shard in self._listeners:
            self._tell_all(shard)

    def of_shard(self, shard: ShardId) -> ShardDirectory:
        """Return the directory as one shard sees it."""
        return ShardDirectory(self, shard)

    def subscribe(self, shard: ShardId, listener: WorkerDirectoryListener) -> None:
        """Begin to tell a shard of its workers."""
        is_first = not self._listeners
        self._listeners[shard] = listener
        if is_first:
            self._directory.watch(self)
        else:
            self._tell_all(shard)

    def unsubscribe(self, shard: ShardId) -> None:
        """Tell a shard nothing more."""
        if self._listeners.pop(shard, None) is not None and not self._listeners:
            self._directory.stop_watching()
            self._records.clear()
            self._unusable.clear()
            self._whole_since = None

    def handle_workers_listed(
        self, records: list[WorkerRecord], unusable: list[UnusableEntry], is_whole: bool
    ) -> None:
        """The directory lists these workers, and entries that name none."""
        if is_whole:
            self._records.clear()
            self._unusable.clear()
            if self._whole_since is None:
                self._whole_since = self._clock.now()
        for record in records:
            self._records[record.worker_id] = record
            self._unusable.pop(record.worker_id, None)
        # The former record of a worker stays: it still tells which shard the worker belongs to.
        self._unusable.update({entry.worker_id: entry for entry in unusable})
        for shard, listener in list(self._listeners.items()):
            own = self._own(shard, records)
            if own or unusable or is_whole:
                listener.handle_workers_listed(own, unusable, is_whole)

    def handle_worker_unlisted(self, worker_id: WorkerId) -> None:
        """The directory lists a worker no longer."""
        self._records.pop(worker_id, None)
        self._unusable.pop(worker_id, None)
        for listener in list(self._listeners.values()):
            listener.handle_worker_unlisted(worker_id)

    def _tell_all(self, shard: ShardId) -> None:
        if self._whole_since is not None:
            own = self._own(shard, list(self._records.values()))
            unusable = list(self._unusable.values())
            self._listeners[shard].handle_workers_listed(own, unusable, True)

    def _own(self, shard: ShardId, records: list[WorkerRecord]) -> list[WorkerRecord]:
        layout = self._layout
        if layout is None:
            return []
        if layout.shard_count == 1:
            return records
        return [record for record in records if layout.shard_of_worker(record) == shard]


class ShardDirectory:
    """The directory as one shard sees it; implements ``WorkerDirectoryPort``."""

    def __init__(self, hub: DirectoryHub, shard: ShardId) -> None:
        self._hub = hub
        self._shard = shard

    def watch(self, listener: WorkerDirectoryListener) -> None:
        """Begin to report; the whole list comes first."""
        self._hub.subscribe(self._shard, listener)

    def stop_watching(self) -> None:
        """Report no more."""
        self._hub.unsubscribe(self._shard)
