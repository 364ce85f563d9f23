"""The entry process as a tree of Twisted services."""

from __future__ import annotations

import secrets

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint

from onyxspoke.core.append_queue import AppendOptions
from onyxspoke.core.context import CoreOptions
from onyxspoke.core.log_records import LogStream
from onyxspoke.core.ownership import LeaseOptions
from onyxspoke.core.requests import QueueLimits
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.core.schema import EntryIdentity
from onyxspoke.entry.caller_api import CallerDesk, JobsResource, RequestsResource
from onyxspoke.entry.catalog import Catalog
from onyxspoke.entry.operator_api import (
    HealthResource,
    HistogramsResource,
    SettingsResource,
    StatusResource,
    WorkersResource,
)
from onyxspoke.entry.shell import EntryShell
from onyxspoke.entry.telemetry import Telemetry, make_metrics_sink
from onyxspoke.net.http import CodedResource, make_site
from onyxspoke.net.log_client import LogClient
from onyxspoke.net.machine_list_client import MachineListClient
from onyxspoke.net.peer_network import PeerNetwork
from onyxspoke.net.reactor_clock import MonotonicClock
from onyxspoke.net.worker_client import WorkerClient
from onyxspoke.settings_file import CellSettings, EntrySettings

TICK_SECONDS = 0.02
INCARNATION_BYTES = 4
_MILLISECONDS = 1_000.0


def make_identity(settings: CellSettings, entry: EntrySettings) -> EntryIdentity:
    """Return the identity of this run; it differs from that of every other run."""
    incarnation = secrets.token_hex(INCARNATION_BYTES)
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
        queue=QueueLimits(
            maximum_queued=limits.queued_requests,
            maximum_queued_bytes=limits.queued_bytes,
        ),
    )


class EntryService(MultiService):
    """Everything that one entry process runs.

    Parameters
    ----------
    settings : CellSettings
        The whole settings file.
    entry : EntrySettings
        This entry's part of it.
    """

    def __init__(self, settings: CellSettings, entry: EntrySettings) -> None:
        super().__init__()
        self._settings = settings
        self._entry = entry
        self._clock = MonotonicClock()
        identity = make_identity(settings, entry)
        scheduler = EntryScheduler(identity, make_core_options(settings))
        self.shell = EntryShell(scheduler, self._clock)
        self.telemetry = Telemetry(make_metrics_sink(settings.statsd, entry.name))
        self._delay_seconds = settings.links.between_zones_ms / _MILLISECONDS
        self._peers = PeerNetwork(
            identity.entry_id, str(entry.host), entry.peer_port, self.shell, self._delay_seconds
        )
        self._workers = WorkerClient(identity.entry_id, self.shell, self._delay_seconds)
        self._add_services()

    def listen(self) -> Deferred[object]:
        """Open the server sockets; fails if an address is in use."""
        listening: Deferred[object] = self._http_endpoint().listen(self._make_site())
        listening.addCallback(lambda _port: self._peers.listen())
        return listening

    def stopService(self) -> Deferred[None] | None:
        """Close every connection."""
        self._workers.close()
        stopping: Deferred[None] | None = super().stopService()
        return stopping

    def _add_services(self) -> None:
        platform = self._settings.platform
        host = str(platform.host)
        log = LogClient(host, platform.port, LogStream, self.shell, self._delay_seconds)
        machine_list = MachineListClient(host, platform.port, self.shell, self._delay_seconds)
        self.shell.connect_ports(log, self._workers, self._peers)
        log.setServiceParent(self)
        machine_list.setServiceParent(self)
        self._peers.setServiceParent(self)
        TimerService(TICK_SECONDS, self.shell.tick).setServiceParent(self)
        if self._settings.statsd is not None:
            interval = self._settings.statsd.interval_seconds
            TimerService(interval, self._flush_metrics).setServiceParent(self)

    def _http_endpoint(self) -> TCP4ServerEndpoint:
        return TCP4ServerEndpoint(
            reactor, self._entry.http_port, interface=str(self._entry.host), backlog=512
        )

    def _make_site(self) -> object:
        limits = self._settings.limits
        return make_site(
            self._make_root(),
            maximum_body_bytes=limits.body_bytes,
            maximum_connections=limits.http_connections,
            read_timeout_seconds=limits.request_read_seconds,
        )

    def _make_root(self) -> CodedResource:
        catalog = Catalog(self._settings)
        desk = CallerDesk(self.shell, catalog, self._settings.limits, self.telemetry, self._clock)
        version = CodedResource()
        version.putChild(b"requests", RequestsResource(desk))
        version.putChild(b"jobs", JobsResource(desk))
        version.putChild(b"health", HealthResource(self.shell))
        version.putChild(b"status", StatusResource(self.shell, self._clock))
        version.putChild(b"workers", WorkersResource(self.shell))
        version.putChild(b"settings", SettingsResource(self.shell))
        version.putChild(b"histograms", HistogramsResource(self.telemetry))
        root = CodedResource()
        root.putChild(b"v1", version)
        return root

    def _flush_metrics(self) -> None:
        context = self.shell.scheduler.context
        gauges = {
            "queued": float(len(context.queue)),
            "requests": float(len(context.requests)),
            "workers": float(len(context.workers.workers)),
            "settings_revision": float(context.settings.revision),
        }
        try:
            self.telemetry.flush(gauges)
        except OSError as error:
            logging.warning("event=metrics_unsent error=%s", error)
