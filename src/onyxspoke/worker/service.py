"""Many hollow workers in one process, each with a port of its own."""

from __future__ import annotations

from pathlib import Path
from typing import cast

from twisted.application.service import Service
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory

from onyxspoke.core.schema import MachineRecord
from onyxspoke.kit.journal import FileJournal, Journal, NullJournal
from onyxspoke.net.messages import EntryToWorker
from onyxspoke.net.reactor_clock import MonotonicClock
from onyxspoke.net.stream import MessageStream
from onyxspoke.settings_file import CapacitySettings, CellSettings
from onyxspoke.worker.hollow_worker import CallLater, HollowWorker

_MILLISECONDS = 1_000.0


class WorkerService(Service):
    """The hollow workers of some zones.

    Parameters
    ----------
    settings : CellSettings
        The whole settings file.
    zones : set of str
        Which zones' workers run here.
    journal_directory : Path or None
        Where journals are written; ``None`` writes none.
    """

    def __init__(
        self, settings: CellSettings, zones: set[str], journal_directory: Path | None
    ) -> None:
        self._delay_seconds = settings.links.between_zones_ms / _MILLISECONDS
        self._machines = [machine for machine in settings.machines() if machine.zone in zones]
        self._capacities = settings.capacities()
        self._clock = MonotonicClock()
        self._journal: Journal = NullJournal()
        if journal_directory is not None:
            name = "-".join(sorted(zones))
            self._journal = FileJournal(journal_directory / f"workers-{name}.jsonl")

    def listen(self) -> Deferred[object]:
        """Open a server socket for each worker."""
        listening = [self._listen(machine) for machine in self._machines]
        return cast("Deferred[object]", gatherResults(listening, consumeErrors=True))

    def _listen(self, machine: MachineRecord) -> Deferred[object]:
        worker = self._make_worker(machine, self._capacities[machine.worker_id])
        factory = Factory.forProtocol(lambda: self._build_stream(worker))
        endpoint = TCP4ServerEndpoint(reactor, machine.port, interface=machine.host)
        listening: Deferred[object] = endpoint.listen(factory)
        return listening

    def _make_worker(self, machine: MachineRecord, capacity: CapacitySettings) -> HollowWorker:
        return HollowWorker(
            machine.worker_id,
            capacity.to_resources(),
            capacity.connections,
            self._clock,
            cast("CallLater", reactor.callLater),
            self._journal,
        )

    def _build_stream(self, worker: HollowWorker) -> MessageStream[EntryToWorker]:
        return MessageStream(
            EntryToWorker,
            worker.handle_message,
            on_lost=worker.handle_disconnect,
            delay_seconds=self._delay_seconds,
        )
