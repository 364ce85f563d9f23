"""A whole cell in virtual time: the real core, adapters and stand-ins on a virtual network."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from onyxspoke.core.context import CoreOptions
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.core.schema import EntryIdentity, MachineRecord, WorkerListing
from onyxspoke.entry.node import EntryNode, make_core_options, make_identity
from onyxspoke.entry.shell import EntryShell
from onyxspoke.kit.journal import JournalEvent
from onyxspoke.kit.platform.service import PlatformService
from onyxspoke.settings_file import PLATFORM_ZONE, CellSettings, EntrySettings
from onyxspoke.sim.virtual_network import LinkOptions, VirtualNetwork
from onyxspoke.sim.virtual_reactor import VirtualNode, VirtualTime
from onyxspoke.worker.service import WorkerService

DEFAULT_TICK_SECONDS = 0.05
RESTART_SECONDS = 0.5
DEFAULT_BREAK_SECONDS = 3.0

SchedulerFactory = Callable[[EntryIdentity, CoreOptions], EntryScheduler]


class MemoryJournal:
    """Keeps the workers' events in memory."""

    def __init__(self) -> None:
        self.events: list[JournalEvent] = []

    def write(self, event: JournalEvent) -> None:
        """Record one event."""
        self.events.append(event)


@dataclass(slots=True)
class SimulatedEntry:
    """One run of an entry process."""

    settings: EntrySettings
    node: VirtualNode
    service: EntryNode
    stopped: bool = False
    was_paused: bool = False
    stop_ordered: bool = False

    @property
    def shell(self) -> EntryShell:
        """The entry's shell."""
        return self.service.shell

    @property
    def is_up(self) -> bool:
        """Whether the process runs, paused or not, and has not stopped."""
        return self.node.alive and not self.stopped


@dataclass(slots=True)
class SimulatedWorker:
    """One worker machine."""

    machine: MachineRecord
    node: VirtualNode
    service: WorkerService = field(repr=False)


class SimulatedCell:
    """All processes of a deployment in virtual time.

    Parameters
    ----------
    settings : CellSettings
        The deployment; emulated link delays are the virtual network's business.
    seed : int
        Seeds everything that is random.
    make_scheduler : callable
        Makes the core of an entry; tests give a crippled one to see it caught.
    tick_seconds : float
        How often entries see the time when nothing else happens.
    break_seconds : float
        How long a connection outlives a cut of its link.
    """

    def __init__(
        self,
        settings: CellSettings,
        seed: int,
        make_scheduler: SchedulerFactory = EntryScheduler,
        tick_seconds: float = DEFAULT_TICK_SECONDS,
        break_seconds: float = DEFAULT_BREAK_SECONDS,
    ) -> None:
        self.settings = settings.model_copy(update={"links": type(settings.links)()})
        self.time = VirtualTime()
        self.random = random.Random(seed)
        delay = settings.links.between_zones_ms / 1_000
        options = LinkOptions(delay_seconds=delay, break_seconds=break_seconds)
        self.network = VirtualNetwork(self.time, random.Random(seed + 1), options)
        self.journal = MemoryJournal()
        self._make_scheduler = make_scheduler
        self._tick_seconds = tick_seconds
        self._incarnations = 0
        self.platform_node = VirtualNode(self.time, "platform", PLATFORM_ZONE)
        self.platform = PlatformService(
            self.settings,
            self.network.network_of(self.platform_node),
            self.platform_node.reactor,
        )
        self.workers: dict[str, SimulatedWorker] = {}
        self._listed = {machine.worker_id: machine for machine in settings.machines()}
        self.entries: dict[str, SimulatedEntry] = {}

    def start(self) -> None:
        """Start the platform, every worker and every entry."""
        self.platform.listen()
        self.platform.startService()
        for machine in self.settings.machines():
            self.start_worker(machine)
        for entry in self.settings.entries:
            self.start_entry(entry)

    def start_worker(self, machine: MachineRecord) -> None:
        """Start one worker machine."""
        node = VirtualNode(self.time, machine.worker_id, machine.zone)
        network = self.network.network_of(node)
        service = WorkerService(self.settings, set(), network, node.reactor, self.journal)
        service.listen_for(machine)
        self.workers[machine.worker_id] = SimulatedWorker(machine, node, service)

    def start_entry(self, entry: EntrySettings) -> SimulatedEntry:
        """Start a run of an entry; an earlier run of it must have ended."""
        self._incarnations += 1
        identity = make_identity(self.settings, entry, f"{self._incarnations:08x}")
        node = VirtualNode(self.time, identity.entry_id, entry.zone)
        scheduler = self._make_scheduler(identity, make_core_options(self.settings))
        network = self.network.network_of(node)
        service = EntryNode(self.settings, scheduler, network, node.reactor, self._tick_seconds)
        simulated = SimulatedEntry(entry, node, service)
        service.shell.on_state_lost = lambda: self._restart(simulated)
        service.shell.on_stopped = lambda: self._handle_stopped(simulated)
        self.entries[entry.name] = simulated
        service.listen()
        service.startService()
        return simulated

    def kill_entry(self, name: str) -> None:
        """End an entry process without notice."""
        entry = self.entries[name]
        entry.node.die()
        self.network.drop_connections_of(entry.node)

    def pause_entry(self, name: str) -> None:
        """Stop an entry process as a signal would; it may resume."""
        entry = self.entries[name]
        entry.was_paused = True
        entry.node.pause()

    def pause_entry_at_write(self, name: str, marker: bytes) -> None:
        """Pause an entry as it writes certain bytes, before they leave the process."""
        entry = self.entries[name]
        entry.was_paused = True
        entry.node.pause_at_write_of = marker

    def stop_entry(self, name: str) -> None:
        """Ask an entry for a planned stop."""
        entry = self.entries[name]
        entry.stop_ordered = True
        entry.node.run(entry.shell.stop)

    def kill_worker(self, worker_id: str) -> None:
        """End a worker machine without notice; its tasks end with it."""
        worker = self.workers[worker_id]
        worker.service.die()
        worker.node.die()
        self.network.drop_connections_of(worker.node)

    def set_listing(self, worker_id: str, listing: WorkerListing | None) -> None:
        """Change a worker's state in the machine list; ``None`` takes it off the list."""
        if listing is None:
            self._listed.pop(worker_id, None)
        else:
            machine = self.workers[worker_id].machine
            self._listed[worker_id] = msgspec.structs.replace(machine, listing=listing)
        machines = list(self._listed.values())
        self.platform_node.run(lambda: self.platform.set_machines(machines))

    def up_entries(self) -> list[SimulatedEntry]:
        """Return the entries that run and are not paused."""
        return [entry for entry in self.entries.values() if entry.is_up and not entry.node.paused]

    def _restart(self, entry: SimulatedEntry) -> None:
        """Begin anew, as a supervisor does with a process that exited."""
        self.time.schedule(0.0, lambda: self._end_process(entry))
        self.time.schedule(RESTART_SECONDS, lambda: self.start_entry(entry.settings))

    def _handle_stopped(self, entry: SimulatedEntry) -> None:
        entry.stopped = True
        entry.service.stopService()
        self.time.schedule(0.0, lambda: self._end_process(entry))

    def _end_process(self, entry: SimulatedEntry) -> None:
        entry.node.die()
        self.network.drop_connections_of(entry.node)
