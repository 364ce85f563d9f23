"""The entry process as a tree of Twisted services."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred

from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.entry.api import make_api_site
from onyxspoke.entry.node import EntryNode, make_core_options, make_identity
from onyxspoke.entry.telemetry import Telemetry, make_metrics_sink
from onyxspoke.net.network import Network
from onyxspoke.net.site_closing import SiteClosing
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
        self._site = make_api_site(settings, self.shell, self.telemetry, clock, network.reactor)
        if settings.statsd is not None:
            flushes = TimerService(settings.statsd.interval_seconds, self._flush_metrics)
            flushes.setServiceParent(self)

    def listen(self) -> Deferred[Any]:
        """Open the server sockets; fails if an address is in use."""
        endpoint = self._network.endpoints.server(str(self._entry.host), self._entry.http_port)
        listening = self._site.listen(endpoint)
        listening.addCallback(lambda _port: self._node.listen())
        return listening

    def close_site(self, on_closed: Callable[[], None]) -> None:
        """Close every connection of callers and operators once its answer is sent."""
        SiteClosing(self._site, self._network.reactor, on_closed).begin()

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
