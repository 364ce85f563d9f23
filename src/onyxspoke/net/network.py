"""The network as adapters see it: endpoints, timers and a retry policy.

Processes use :func:`tcp_network`; the simulation gives the same adapters a virtual one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.interfaces import (
    IProtocolFactory,
    IReactorTime,
    IStreamClientEndpoint,
    IStreamServerEndpoint,
)

from onyxspoke.net.stream import Keepalive

CONNECT_TIMEOUT_SECONDS = 2
LISTEN_BACKLOG = 512
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAXIMUM_RETRY_DELAY_SECONDS = 2.0
RETRY_GROWTH_FACTOR = 1.5
CONTROL_PING_SECONDS = 2.0
CONTROL_SILENCE_SECONDS = 5.0
WORKER_PING_SECONDS = 5.0
WORKER_SILENCE_SECONDS = 12.0


class Endpoints(Protocol):
    """Makes endpoints from IP addresses and ports."""

    def client(self, host: str, port: int) -> IStreamClientEndpoint:
        """Return an endpoint that connects to an address."""

    def server(self, host: str, port: int) -> IStreamServerEndpoint:
        """Return an endpoint that listens on an address."""


class TcpEndpoints:
    """Endpoints over TCP.

    Parameters
    ----------
    reactor
        The Twisted reactor.
    connect_timeout_seconds : float
        A connection that is not up after so long is given up.
    source_host : str
        Address from which connections are opened; empty for the one that the route prefers.
    """

    def __init__(
        self,
        reactor: object,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        source_host: str = "",
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_seconds = connect_timeout_seconds
        self._source = (source_host, 0) if source_host else None

    def client(self, host: str, port: int) -> IStreamClientEndpoint:
        """Return an endpoint that connects to an address."""
        return TCP4ClientEndpoint(
            self._reactor,
            host,
            port,
            timeout=self._connect_timeout_seconds,
            bindAddress=self._source,
        )

    def server(self, host: str, port: int) -> IStreamServerEndpoint:
        """Return an endpoint that listens on an address."""
        return TCP4ServerEndpoint(self._reactor, port, backlog=LISTEN_BACKLOG, interface=host)


@dataclass(frozen=True, slots=True)
class Network:
    """What adapters need of the outside.

    Parameters
    ----------
    reactor : IReactorTime
        Timers.
    endpoints : Endpoints
        Connections.
    retry_delay : callable
        Seconds to wait before an attempt to reconnect, by the number of failed ones.
    """

    reactor: IReactorTime
    endpoints: Endpoints
    retry_delay: Callable[[int], float]

    def control_keepalive(self) -> Keepalive:
        """Return how streams to the platform and to peers are watched."""
        return Keepalive(self.reactor, CONTROL_PING_SECONDS, CONTROL_SILENCE_SECONDS)

    def worker_keepalive(self) -> Keepalive:
        """Return how streams to workers, of which an entry has many, are watched."""
        return Keepalive(self.reactor, WORKER_PING_SECONDS, WORKER_SILENCE_SECONDS)

    def keep_connected(self, host: str, port: int, factory: IProtocolFactory) -> ClientService:
        """Return a service that keeps a connection while it runs."""
        endpoint = self.endpoints.client(host, port)
        return ClientService(endpoint, factory, retryPolicy=self.retry_delay, clock=self.reactor)


def tcp_network(reactor: IReactorTime) -> Network:
    """Return the real network, with exponential backoff and jitter between attempts."""
    retry_delay = backoffPolicy(
        initialDelay=INITIAL_RETRY_DELAY_SECONDS,
        maxDelay=MAXIMUM_RETRY_DELAY_SECONDS,
        factor=RETRY_GROWTH_FACTOR,
    )
    return Network(reactor, TcpEndpoints(reactor), retry_delay)
