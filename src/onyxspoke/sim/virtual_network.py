"""A network in virtual time: connections with delay, zones that are cut from each other.

Bytes keep their order on a connection.  While a link is cut its bytes are held, as a
transport would retransmit them; a connection that is cut for longer than the break
time is lost on both sides.  A connection that is silenced carries nothing more, and neither
side is told; new ones work.  A lossy network delivers some pieces late, as they are sent again;
a slow link delivers all of them late.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.interfaces import (
    IAddress,
    IListeningPort,
    IProtocol,
    IProtocolFactory,
    IStreamClientEndpoint,
    IStreamServerEndpoint,
    ITCPTransport,
    ITransport,
)
from twisted.python.failure import Failure
from zope.interface import implementer

from onyxspoke.net.network import Network
from onyxspoke.sim.virtual_reactor import VirtualNode, VirtualTime

CONNECT_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.25
_PLACEHOLDER_ADDRESS = IPv4Address("TCP", "0.0.0.0", 0)


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Behaviour of links: delays and break time in seconds."""

    delay_seconds: float = 0.0005
    jitter_seconds: float = 0.0005
    break_seconds: float = 3.0
    #: After how long a lost piece is sent again.
    resend_seconds: float = 0.2


@dataclass(slots=True)
class _Listener:
    node: VirtualNode
    factory: IProtocolFactory


class VirtualNetwork:
    """All links of a simulation.

    Parameters
    ----------
    time : VirtualTime
        When things happen.
    source : random.Random
        Draws the jitter of delays.
    options : LinkOptions
        Delays and break time.
    """

    def __init__(self, time: VirtualTime, source: random.Random, options: LinkOptions) -> None:
        self.time = time
        self.options = options
        self._random = source
        self._listeners: dict[tuple[str, int], _Listener] = {}
        self._connections: dict[int, VirtualConnection] = {}
        self._connection_counter = 0
        self._cuts: set[frozenset[str]] = set()
        self.bytes_sent: dict[str, int] = {}
        #: Share of the pieces that are lost on their way at first.
        self.loss_share = 0.0
        #: What one way takes longer between two zones, in seconds.
        self._slow_links: dict[frozenset[str], float] = {}

    def network_of(self, node: VirtualNode) -> Network:
        """Return the network as the adapters of one process see it."""
        return Network(node.reactor, _NodeEndpoints(self, node), lambda _n: RETRY_DELAY_SECONDS)

    def cut(self, first_zone: str, second_zone: str) -> None:
        """Cut the link between two zones."""
        self._cuts.add(frozenset((first_zone, second_zone)))
        for connection in list(self._connections.values()):
            if self.is_cut(connection.client.node, connection.server.node):
                connection.begin_break()

    def heal(self, first_zone: str, second_zone: str) -> None:
        """Restore the link between two zones."""
        self._cuts.discard(frozenset((first_zone, second_zone)))
        for connection in list(self._connections.values()):
            if not self.is_cut(connection.client.node, connection.server.node):
                connection.end_break()

    def slow(self, first_zone: str, second_zone: str, seconds: float) -> None:
        """Let data between two zones take so much longer each way from now on."""
        self._slow_links[frozenset((first_zone, second_zone))] = seconds

    def slow_seconds(self, first: VirtualNode, second: VirtualNode) -> float:
        """Return how much longer data takes from one process to another."""
        return self._slow_links.get(frozenset((first.zone, second.zone)), 0.0)

    def is_cut(self, first: VirtualNode, second: VirtualNode) -> bool:
        """Return whether two processes cannot reach each other."""
        return frozenset((first.zone, second.zone)) in self._cuts

    def drop_connections_of(self, node: VirtualNode) -> None:
        """Tell the other sides that a process died, and forget its listeners."""
        for address, listener in list(self._listeners.items()):
            if listener.node is node:
                del self._listeners[address]
        for connection in list(self._connections.values()):
            if node in (connection.client.node, connection.server.node):
                connection.lose()

    def silence_connections(self) -> None:
        """Let no open connection carry anything more, without a sign; new ones work."""
        for connection in self._connections.values():
            connection.is_silent = True

    def reset_connections(self, share: float) -> None:
        """End a share of the open connections; both sides are told."""
        for connection in list(self._connections.values()):
            if self._random.random() < share:
                connection.lose()

    def draw_delay(self) -> float:
        """Return the one-way delay of one piece of data."""
        delay = self.options.delay_seconds + self._random.random() * self.options.jitter_seconds
        if self.loss_share > 0 and self._random.random() < self.loss_share:
            delay += self.options.resend_seconds
        return delay

    def listen(
        self, node: VirtualNode, address: tuple[str, int], factory: IProtocolFactory
    ) -> None:
        """Accept connections at an address."""
        self._listeners[address] = _Listener(node, factory)

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Accept no more connections at an address."""
        self._listeners.pop(address, None)

    def connect(
        self, node: VirtualNode, address: tuple[str, int], factory: IProtocolFactory
    ) -> Deferred[IProtocol]:
        """Open a connection from a process to an address."""
        attempt = _ConnectionAttempt(self, node, address, factory)
        self.time.schedule(self.draw_delay(), attempt.arrive)
        return attempt.done

    def open_connection(self, client: VirtualNode, server: VirtualNode) -> VirtualConnection:
        """Return a new connection between two processes."""
        self._connection_counter += 1
        connection = VirtualConnection(self, self._connection_counter, client, server)
        self._connections[self._connection_counter] = connection
        return connection

    def forget(self, connection_id: int) -> None:
        """Forget a connection that is gone."""
        self._connections.pop(connection_id, None)

    def listener_at(self, address: tuple[str, int]) -> _Listener | None:
        """Return who accepts connections at an address."""
        return self._listeners.get(address)


class _ConnectionAttempt:
    """One attempt to connect."""

    def __init__(
        self,
        network: VirtualNetwork,
        node: VirtualNode,
        address: tuple[str, int],
        factory: IProtocolFactory,
    ) -> None:
        self.done: Deferred[IProtocol] = Deferred(lambda _done: self._cancel())
        self._cancelled = False
        self._network = network
        self._node = node
        self._address = address
        self._factory = factory

    def arrive(self) -> None:
        """Reach the other side, or not."""
        listener = self._network.listener_at(self._address)
        time = self._network.time
        if listener is None or not listener.node.alive:
            time.schedule(self._network.draw_delay(), lambda: self._node.run(self._refuse))
        elif self._network.is_cut(self._node, listener.node):
            time.schedule(CONNECT_TIMEOUT_SECONDS, lambda: self._node.run(self._expire))
        else:
            self._accept(listener)

    def _accept(self, listener: _Listener) -> None:
        connection = self._network.open_connection(self._node, listener.node)
        delay = self._network.draw_delay()
        time = self._network.time
        # What the server says at once comes behind the word that it has accepted.
        connection.server.send_after(time.now() + delay)
        time.schedule(delay, lambda: self._node.run(lambda: self._succeed(connection)))
        listener.node.run(lambda: connection.server.start(listener.factory))

    def _succeed(self, connection: VirtualConnection) -> None:
        if self._cancelled:
            connection.lose()
            return
        if connection.is_lost:
            self._refuse()
            return
        protocol = connection.client.start(self._factory)
        if protocol is not None:
            self.done.callback(protocol)

    def _refuse(self) -> None:
        if not self._cancelled:
            self.done.errback(Failure(ConnectionRefusedError()))

    def _expire(self) -> None:
        if not self._cancelled:
            self.done.errback(Failure(ConnectTimeoutError()))

    def _cancel(self) -> None:
        self._cancelled = True


class VirtualConnection:
    """A connection between two processes."""

    def __init__(
        self,
        network: VirtualNetwork,
        connection_id: int,
        client: VirtualNode,
        server: VirtualNode,
    ) -> None:
        self.network = network
        self.is_lost = False
        self.is_held = False
        self.is_silent = False
        self._id = connection_id
        self._break_number = 0
        self.client = _End(self, client)
        self.server = _End(self, server)
        self.client.other = self.server
        self.server.other = self.client

    def begin_break(self) -> None:
        """Hold all bytes; if the cut lasts, the connection is lost."""
        if self.is_held:
            return
        self.is_held = True
        self._break_number += 1
        number = self._break_number
        self.network.time.schedule(
            self.network.options.break_seconds, lambda: self._break_if_still_held(number)
        )

    def end_break(self) -> None:
        """Deliver what was held."""
        if self.is_held and not self.is_lost:
            self.is_held = False
            self.client.flush()
            self.server.flush()

    def lose(self, closer: _End | None = None) -> None:
        """End the connection; both sides learn of it a little later.

        Of a silent one only the side that closes it learns.
        """
        if self.is_lost:
            return
        if self.is_silent and closer is not None:
            closer.notify_lost()
            return
        self.is_lost = True
        self.network.forget(self._id)
        for end in (self.client, self.server):
            end.notify_lost()

    def _break_if_still_held(self, number: int) -> None:
        if self.is_held and self._break_number == number:
            self.lose()


@implementer(ITCPTransport)
class _End:
    """One side of a connection; the transport of its protocol."""

    def __init__(self, connection: VirtualConnection, node: VirtualNode) -> None:
        self.node = node
        self.other: _End = self
        self._connection = connection
        self._protocol: IProtocol | None = None
        self._outgoing: list[bytes] = []
        self._returned: list[bytes] = []
        self._last_arrival = 0.0
        self._closing = False
        self._notified = False

    def send_after(self, moment: float) -> None:
        """Let nothing that is sent from here arrive before a moment."""
        self._last_arrival = max(self._last_arrival, moment)

    def start(self, factory: IProtocolFactory) -> IProtocol | None:
        """Make the protocol of this side."""
        protocol = factory.buildProtocol(cast("IAddress", _PLACEHOLDER_ADDRESS))
        if protocol is None:
            self._connection.lose()
            return None
        self._protocol = protocol
        protocol.makeConnection(cast("ITransport", self))
        return protocol

    def write(self, data: bytes) -> None:
        """Send bytes to the other side."""
        if self._connection.is_lost or self._closing:
            return
        sent = self._connection.network.bytes_sent
        sent[self.node.name] = sent.get(self.node.name, 0) + len(data)
        self._outgoing.append(bytes(data))
        marker = self.node.pause_at_write_of
        if marker is not None and marker in data:
            # The process stops with the bytes in its own buffer and sends them on waking.
            self.node.pause_at_write_of = None
            self.node.pause()
            self.node.run(self.flush)
        elif not self._connection.is_held:
            self.flush()

    def writeSequence(self, data: Iterable[bytes]) -> None:
        """Send pieces of bytes to the other side."""
        self.write(b"".join(data))

    def flush(self) -> None:
        """Put waiting bytes on their way."""
        if self._connection.is_held or self.node.paused:
            return
        pieces = [*self._returned, *self._outgoing]
        self._returned.clear()
        self._outgoing.clear()
        if not pieces:
            return
        if self._connection.is_silent:
            return
        network = self._connection.network
        delay = network.draw_delay() + network.slow_seconds(self.node, self.other.node)
        arrival = max(network.time.now() + delay, self._last_arrival)
        self._last_arrival = arrival
        data = b"".join(pieces)
        network.time.schedule(arrival - network.time.now(), lambda: self._arrive(data))

    def loseConnection(self, *_args: Any) -> None:
        """Close after what was sent has arrived."""
        if not self._closing:
            self._closing = True
            delay = max(0.0, self._last_arrival - self._connection.network.time.now())
            self._connection.network.time.schedule(delay, lambda: self._connection.lose(self))

    def abortConnection(self) -> None:
        """Close at once."""
        self._closing = True
        self._connection.lose(self)

    def notify_lost(self) -> None:
        """Tell the protocol, a little later, that the connection is gone."""
        network = self._connection.network
        network.time.schedule(network.draw_delay(), lambda: self.node.run(self._report_lost))

    def _report_lost(self) -> None:
        if self._protocol is not None and not self._notified:
            self._notified = True
            self._protocol.connectionLost(Failure(ConnectionLost()))

    def _arrive(self, data: bytes) -> None:
        if self._connection.is_held:
            # The cut caught these bytes on the way; they are sent again after it.
            self._returned.append(data)
            return
        if not self._connection.is_silent:
            self.other.node.run(lambda: self.other.receive(data))

    def receive(self, data: bytes) -> None:
        """Give bytes to the protocol."""
        if self._protocol is not None and not self._notified:
            self._protocol.dataReceived(data)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: virtual links never wait."""

    def getTcpNoDelay(self) -> bool:
        """Return that links never wait."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing: breaks are noticed after the break time."""

    def getTcpKeepAlive(self) -> bool:
        """Return that breaks are noticed."""
        return True

    def loseWriteConnection(self) -> None:
        """Do nothing: half-closing is not simulated."""

    def getHost(self) -> IPv4Address:
        """Return a placeholder address."""
        return _PLACEHOLDER_ADDRESS

    def getPeer(self) -> IPv4Address:
        """Return a placeholder address."""
        return _PLACEHOLDER_ADDRESS


class _NodeEndpoints:
    """Endpoints of one process."""

    def __init__(self, network: VirtualNetwork, node: VirtualNode) -> None:
        self._network = network
        self._node = node

    def client(self, host: str, port: int) -> IStreamClientEndpoint:
        """Return an endpoint that connects to an address."""
        return _ClientEndpoint(self._network, self._node, (host, port))

    def server(self, host: str, port: int) -> IStreamServerEndpoint:
        """Return an endpoint that listens on an address."""
        return _ServerEndpoint(self._network, self._node, (host, port))


class _Endpoint:
    """An address, as one process sees it."""

    def __init__(
        self, network: VirtualNetwork, node: VirtualNode, address: tuple[str, int]
    ) -> None:
        self._network = network
        self._node = node
        self._address = address


@implementer(IStreamClientEndpoint)
class _ClientEndpoint(_Endpoint):
    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[IProtocol]:
        return self._network.connect(self._node, self._address, protocolFactory)


@implementer(IStreamServerEndpoint)
class _ServerEndpoint(_Endpoint):
    def listen(self, protocolFactory: IProtocolFactory) -> Deferred[IListeningPort]:
        self._network.listen(self._node, self._address, protocolFactory)
        return succeed(_VirtualPort(self._network, self._address))


@implementer(IListeningPort)
class _VirtualPort:
    def __init__(self, network: VirtualNetwork, address: tuple[str, int]) -> None:
        self._network = network
        self._address = address

    def startListening(self) -> None:
        """Do nothing: the port listens already."""

    def stopListening(self) -> Deferred[None] | None:
        self._network.stop_listening(self._address)
        return None

    def getHost(self) -> IAddress:
        host, port = self._address
        return cast("IAddress", IPv4Address("TCP", host, port))
