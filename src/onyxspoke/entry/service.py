"""The entry process as a tree of Twisted services."""

from __future__ import annotations

import secrets
from typing import Any

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred

from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.entry.caller_api import CallerDesk, JobsResource, RequestsResource
from onyxspoke.entry.catalog import Catalog
from onyxspoke.entry.node import EntryNode, make_core_options, make_identity
from onyxspoke.entry.operator_api import (
    HealthResource,
    HistogramsResource,
    SettingsResource,
    StatusResource,
    WorkersResource,
)
from onyxspoke.entry.telemetry import Telemetry, make_metrics_sink
from onyxspoke.net.http import BoundedSite, CodedResource, make_site
from onyxspoke.net.network import Network
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings, EntrySettings

INCARNATION_BYTES = 4


class EntryService(MultiService):
    """Everything that one entry process runs.

    Parameters
    ----------
    settings : CellSettings
        The whole settings file.
    entry : EntrySettings
        This entry's part of it.
    network : Network
        Connections and timers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, settings: CellSettings, entry: EntrySettings, network: Network, clock: Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._entry = entry
        self._network = network
        self._clock = clock
        identity = make_identity(settings, entry, secrets.token_hex(INCARNATION_BYTES))
        scheduler = EntryScheduler(identity, make_core_options(settings))
        self._node = EntryNode(settings, scheduler, network, clock)
        self._node.setServiceParent(self)
        self.shell = self._node.shell
        self.telemetry = Telemetry(make_metrics_sink(settings.statsd, entry.name))
        if settings.statsd is not None:
            flushes = TimerService(settings.statsd.interval_seconds, self._flush_metrics)
            flushes.setServiceParent(self)

    def listen(self) -> Deferred[Any]:
        """Open the server sockets; fails if an address is in use."""
        endpoint = self._network.endpoints.server(str(self._entry.host), self._entry.http_port)
        listening: Deferred[Any] = endpoint.listen(self._make_site())
        listening.addCallback(lambda _port: self._node.listen())
        return listening

    def _make_site(self) -> BoundedSite:
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
