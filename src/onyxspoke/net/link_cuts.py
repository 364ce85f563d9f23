"""Emulated cuts between zones, for rehearsals with real processes on one machine.

The side that opens a connection enforces the cut: it refuses to connect across it and
drops what it has open.  Which zones are cut from this process's zone stands in a file
that the rehearsal script writes, one zone a line.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, cast

from absl import logging
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import (
    IProtocol,
    IProtocolFactory,
    IStreamClientEndpoint,
    IStreamServerEndpoint,
    ITCPTransport,
)
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from onyxspoke.net.network import Endpoints

POLL_SECONDS = 0.1


class CuttableEndpoints:
    """Endpoints that obey a file of cut zones.

    Parameters
    ----------
    endpoints : Endpoints
        The real ones.
    zone_of_host : mapping
        The zone of each address.
    path : Path
        Lists the zones that are cut from this process; missing means none.
    """

    def __init__(self, endpoints: Endpoints, zone_of_host: Mapping[str, str], path: Path) -> None:
        self._endpoints = endpoints
        self._zone_of_host = zone_of_host
        self._path = path
        self._cut_zones: frozenset[str] = frozenset()
        self._open: dict[IProtocol, str] = {}

    def client(self, host: str, port: int) -> IStreamClientEndpoint:
        """Return an endpoint that connects unless the way is cut."""
        zone = self._zone_of_host.get(host, "")
        return _CuttableEndpoint(self, self._endpoints.client(host, port), zone)

    def server(self, host: str, port: int) -> IStreamServerEndpoint:
        """Return an endpoint that listens on an address."""
        return self._endpoints.server(host, port)

    def poll(self) -> None:
        """Read the file; drop what crosses a new cut."""
        try:
            zones = frozenset(self._path.read_text(encoding="utf-8").split())
        except FileNotFoundError:
            zones = frozenset()
        if zones == self._cut_zones:
            return
        logging.info("event=links_cut zones=%s", ",".join(sorted(zones)) or "none")
        self._cut_zones = zones
        for protocol, zone in list(self._open.items()):
            if zone in zones:
                self._drop(protocol)

    def is_cut(self, zone: str) -> bool:
        """Return whether the way to a zone is cut."""
        return zone in self._cut_zones

    def note_open(self, protocol: IProtocol, zone: str) -> IProtocol:
        """Remember a connection, to drop it when its way is cut."""
        self._open = {
            known: its_zone
            for known, its_zone in self._open.items()
            if cast("Protocol", known).connected
        }
        self._open[protocol] = zone
        if self.is_cut(zone):
            self._drop(protocol)
        return protocol

    def _drop(self, protocol: IProtocol) -> None:
        transport = cast("ITCPTransport", cast("Protocol", protocol).transport)
        transport.abortConnection()
        self._open.pop(protocol, None)


@implementer(IStreamClientEndpoint)
class _CuttableEndpoint:
    def __init__(self, cuts: CuttableEndpoints, endpoint: IStreamClientEndpoint, zone: str) -> None:
        self._cuts = cuts
        self._endpoint = endpoint
        self._zone = zone

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[Any]:  # noqa: N803
        if self._cuts.is_cut(self._zone):
            return fail(ConnectionRefusedError())
        connecting: Deferred[Any] = self._endpoint.connect(protocolFactory)
        return connecting.addCallback(self._cuts.note_open, self._zone)
