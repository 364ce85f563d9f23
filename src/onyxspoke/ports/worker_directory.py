"""Port to the platform's directory of workers."""

from __future__ import annotations

from typing import Protocol

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.worker_record import UnusableEntry, WorkerRecord


class WorkerDirectoryListener(Protocol):
    """Receives the directory and its changes."""

    def handle_workers_listed(
        self, records: list[WorkerRecord], unusable: list[UnusableEntry], is_whole: bool
    ) -> None:
        """These workers are listed, and these entries name none; a whole list tells all."""

    def handle_worker_unlisted(self, worker_id: WorkerId) -> None:
        """A worker is listed no longer."""


class WorkerDirectoryPort(Protocol):
    """The directory; it is watched only while a shard is held."""

    def watch(self, listener: WorkerDirectoryListener) -> None:
        """Begin to report; the whole list comes first."""

    def stop_watching(self) -> None:
        """Report no more."""
