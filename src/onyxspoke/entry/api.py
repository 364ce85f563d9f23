"""The tree of HTTP resources of one entry."""

from __future__ import annotations

from twisted.internet.interfaces import IReactorTime

from onyxspoke.entry.caller_api import CallerApi, JobsResource, RequestsResource
from onyxspoke.entry.catalog import Catalog
from onyxspoke.entry.operator_api import (
    HealthResource,
    HistogramsResource,
    StatusResource,
    WorkersResource,
)
from onyxspoke.entry.settings_api import SettingsResource
from onyxspoke.entry.shell import EntryShell
from onyxspoke.entry.telemetry import Telemetry
from onyxspoke.net.bounded_http import BoundedSite, HttpLimits
from onyxspoke.net.http import CodedResource
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings


def make_api_site(
    settings: CellSettings,
    shell: EntryShell,
    telemetry: Telemetry,
    clock: Clock,
    reactor: IReactorTime,
) -> BoundedSite:
    """Return the HTTP site of an entry."""
    api = CallerApi(shell, Catalog(settings), settings.limits, telemetry, clock, reactor)
    limits = settings.limits
    bounds = HttpLimits(
        body_bytes=limits.body_bytes,
        connections=limits.http_connections,
        header_seconds=limits.request_read_seconds,
        read_seconds=limits.request_read_seconds,
    )
    return BoundedSite(_make_root(api, settings), reactor, bounds)


def _make_root(api: CallerApi, settings: CellSettings) -> CodedResource:
    shell = api.shell
    version = CodedResource()
    version.putChild(b"requests", RequestsResource(api))
    version.putChild(b"jobs", JobsResource(api))
    version.putChild(b"health", HealthResource(shell))
    version.putChild(b"status", StatusResource(shell, api.clock))
    version.putChild(b"workers", WorkersResource(shell))
    version.putChild(b"settings", SettingsResource(shell, settings, api.clock))
    version.putChild(b"histograms", HistogramsResource(api.telemetry))
    root = CodedResource()
    root.putChild(b"v1", version)
    return root
