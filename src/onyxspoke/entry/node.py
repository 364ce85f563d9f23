"""One entry without its HTTP front: the core, the shell and the adapters."""

from __future__ import annotations

from typing import Any

from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred

from onyxspoke.core.append_queue import AppendOptions
from onyxspoke.core.context import CoreOptions
from onyxspoke.core.log_records import LogStream
from onyxspoke.core.ownership import LeaseOptions
from onyxspoke.core.requests import QueueLimits
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.core.schema import EntryIdentity
from onyxspoke.entry.shell import EntryShell
from onyxspoke.net.log_client import LogClient
from onyxspoke.net.machine_list_client import MachineListClient
from onyxspoke.net.network import Network
from onyxspoke.net.peer_network import PeerNetwork
from onyxspoke.net.worker_client import WorkerClient
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings, EntrySettings

DEFAULT_TICK_SECONDS = 0.1
_MILLISECONDS = 1_000.0


def make_identity(settings: CellSettings, entry: EntrySettings, incarnation: str) -> EntryIdentity:
    """Return the identity of one run of an entry; ``incarnation`` sets it apart."""
    return EntryIdentity(
        entry_id=f"{entry.name}.{incarnation}",
        region=settings.zones[entry.zone].region,
        zone=entry.zone,
        peer_host=str(entry.host),
        peer_port=entry.peer_port,
    )


def make_core_options(settings: CellSettings) -> CoreOptions:
    """Return the core's options from the settings file."""
    lease = settings.lease
    limits = settings.limits
    return CoreOptions(
        lease=LeaseOptions(
            lease_seconds=lease.lease_seconds,
            margin_seconds=lease.margin_seconds,
            settle_seconds=lease.settle_seconds,
        ),
        append=AppendOptions(
            minimum_interval_seconds=limits.append_interval_ms / _MILLISECONDS,
            renewal_interval_seconds=lease.renewal_seconds,
        ),
        snapshot_interval_seconds=limits.snapshot_interval_seconds,
        queue=QueueLimits(
            maximum_queued=limits.queued_requests,
            maximum_queued_bytes=limits.queued_bytes,
        ),
    )


class EntryNode(MultiService):
    """The core of one entry, joined to the network.

    Parameters
    ----------
    settings : CellSettings
        The whole settings file.
    scheduler : EntryScheduler
        The core.
    network : Network
        Connections and timers.
    clock : Clock
        Source of time for the core.
    tick_seconds : float
        How often the core sees the time when nothing else happens.
    """

    def __init__(
        self,
        settings: CellSettings,
        scheduler: EntryScheduler,
        network: Network,
        clock: Clock,
        tick_seconds: float = DEFAULT_TICK_SECONDS,
    ) -> None:
        super().__init__()
        self.shell = EntryShell(scheduler, clock, network.reactor)
        identity = scheduler.context.identity
        host, port = str(settings.platform.host), settings.platform.port
        delay = settings.links.between_zones_ms / _MILLISECONDS
        self._peers = PeerNetwork(
            network,
            identity.entry_id,
            identity.peer_host,
            identity.peer_port,
            self.shell,
            delay,
        )
        self._workers = WorkerClient(network, identity.entry_id, self.shell, delay)
        log = LogClient(network, host, port, LogStream, self.shell, delay)
        machine_list = MachineListClient(network, host, port, self.shell, delay)
        self.shell.connect_ports(log, self._workers, self._peers)
        ticks = TimerService(tick_seconds, self.shell.tick)
        ticks.clock = network.reactor
        for service in (log, machine_list, self._peers, ticks):
            service.setServiceParent(self)

    def listen(self) -> Deferred[Any]:
        """Open the server socket for peers."""
        listening: Deferred[Any] = self._peers.listen()
        return listening

    def stopService(self) -> Deferred[None] | None:
        """Close every connection."""
        self._workers.close()
        stopping: Deferred[None] | None = super().stopService()
        return stopping
