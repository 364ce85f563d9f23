"""Many hollow workers in one process, each with a port of its own."""

from __future__ import annotations

from typing import Any, cast

from twisted.application.service import Service
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import Factory

from onyxspoke.core.schema import MachineRecord
from onyxspoke.kit.journal import Journal
from onyxspoke.net.messages import EntryToWorker
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CapacitySettings, CellSettings
from onyxspoke.worker.hollow_worker import CallLater, HollowWorker

_MILLISECONDS = 1_000.0


class WorkerService(Service):
    """Some hollow workers, each with a port of its own.

    Parameters
    ----------
    settings : CellSettings
        The whole settings file.
    zones : set of str
        Which zones' workers run here.
    network : Network
        Connections and timers.
    clock : Clock
        Time of journal events.
    journal : Journal
        Records what the workers did.
    """

    def __init__(
        self,
        settings: CellSettings,
        zones: set[str],
        network: Network,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._network = network
        self._clock = clock
        self._journal = journal
        self._delay_seconds = settings.links.between_zones_ms / _MILLISECONDS
        self._machines = [machine for machine in settings.machines() if machine.zone in zones]
        self._capacities = settings.capacities()
        self._workers: list[HollowWorker] = []

    def listen(self) -> Deferred[Any]:
        """Open a server socket for each worker."""
        listening = [self.listen_for(machine) for machine in self._machines]
        return cast("Deferred[Any]", gatherResults(listening, consumeErrors=True))

    def die(self) -> None:
        """End every task on every worker, as a machine does that loses power."""
        for worker in self._workers:
            worker.die()

    def listen_for(self, machine: MachineRecord) -> Deferred[Any]:
        """Start one worker and open its server socket."""
        worker = self._make_worker(machine, self._capacities[machine.worker_id])
        self._workers.append(worker)
        factory = Factory.forProtocol(lambda: self._build_stream(worker))
        endpoint = self._network.endpoints.server(machine.host, machine.port)
        listening: Deferred[Any] = endpoint.listen(factory)
        return listening

    def _make_worker(self, machine: MachineRecord, capacity: CapacitySettings) -> HollowWorker:
        return HollowWorker(
            machine.worker_id,
            capacity.to_resources(),
            capacity.connections,
            self._clock,
            cast("CallLater", self._network.reactor.callLater),
            self._journal,
        )

    def _build_stream(self, worker: HollowWorker) -> MessageStream[EntryToWorker]:
        return MessageStream(
            EntryToWorker,
            worker.handle_message,
            on_lost=worker.handle_disconnect,
            delay_seconds=self._delay_seconds,
        )
