"""Streams between nodes: opened towards holders, watched for silence."""

from __future__ import annotations

import math
from typing import Protocol

from twisted.application.service import Service
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from onyxspoke.core.shard.election_actions import ConnectionLossReason, NodeIdentity
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.node.messages import Hello, NodeMessage
from onyxspoke.node.settings import Address

#: A stream on which nothing is heard for so long is ended.
SILENCE_SECONDS = 0.8
#: Or for so many of its peer's intervals, where those are long.
INTERVALS_TO_SILENCE = 4.0
#: What a peer said counts for this share of the time after which its stream is ended.
FRESH_SHARE = 0.75

_Stream = MessageStream[NodeMessage]


class PeerListener(Protocol):
    """Receives what happens on the streams."""

    def handle_peer_up(self, link: PeerLink) -> None:
        """A peer has said who it is."""

    def handle_peer_message(self, link: PeerLink, message: NodeMessage) -> None:
        """A peer sent a message."""

    def handle_peer_lost(
        self, host: str, link: PeerLink | None, reason: ConnectionLossReason
    ) -> None:
        """A stream ended, or none came about."""

    def handle_stream_ended(self, link: PeerLink) -> None:
        """A stream ended, also one that another stream had replaced; perhaps told twice."""


class PeerLink:
    """One stream to a peer.

    Attributes
    ----------
    identity : NodeIdentity or None
        Who the peer is, once it has said so.
    is_outgoing : bool
        Whether this node opened the stream.
    """

    def __init__(self, host: str, is_outgoing: bool) -> None:
        self.host = host
        self.is_outgoing = is_outgoing
        self.identity: NodeIdentity | None = None
        #: When this node began to open the stream; minus infinity if the peer opened it.
        self.opened_at = -math.inf
        self.heard_at = 0.0
        #: When the peer said who it is.
        self.up_at = 0.0
        #: When bytes came last, also those of a large message that is still under way.
        self.data_at = 0.0
        #: When the next heartbeat is to be sent on the stream.
        self.heartbeat_due_at = 0.0
        #: When summaries of queues were told, and whether one of them was closed then.
        self.summaries_told_at = -math.inf
        self.was_told_closed = False
        #: Whether the peer rejects copies of calls about which it must not decide any more.
        self.checks_calls = False
        self.configuration_version = 0
        #: Since when the peer's configuration is known to be older than ours.
        self.behind_since: float | None = None
        self.can_reach_store = False
        self.may_hold = True
        self.is_isolated = False
        #: For how long the peer may be silent before the stream is ended.
        self.silence_seconds = SILENCE_SECONDS
        #: The peer's time of day less our steady clock, in milliseconds.
        self.wall_offset_ms = 0.0
        self.stream: _Stream | None = None

    @property
    def is_up(self) -> bool:
        """Whether messages can be sent."""
        return self.stream is not None and self.stream.is_open and self.identity is not None

    def note_interval(self, seconds: float) -> None:
        """The peer says that it sends something this often."""
        self.silence_seconds = max(SILENCE_SECONDS, INTERVALS_TO_SILENCE * seconds)

    def was_heard_lately(self, now: float) -> bool:
        """Return whether what the peer said last still counts."""
        return now - self.heard_at < FRESH_SHARE * self.silence_seconds

    def send(self, message: NodeMessage) -> None:
        """Send a message, if the stream is open."""
        if self.stream is not None:
            self.stream.send(message)

    def send_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for many peers."""
        if self.stream is not None:
            self.stream.send_encoded(data)

    def abort(self) -> None:
        """Drop the stream."""
        if self.stream is not None:
            self.stream.abort()


class PeerLinks(Service):
    """All streams of one node.

    Parameters
    ----------
    network : Network
        Connections and timers.
    identity : NodeIdentity
        Says to peers who this node is, and where they reach it.
    listener : PeerListener
        Receives what happens.
    listens_at : Address, optional
        Where this node listens, if peers reach it at another address.
    """

    def __init__(
        self,
        network: Network,
        identity: NodeIdentity,
        listener: PeerListener,
        listens_at: Address | None = None,
    ) -> None:
        self._network = network
        self._identity = identity
        self._listener = listener
        self._listens_at = listens_at or Address(identity.host, identity.port)
        self.outgoing: dict[str, PeerLink] = {}
        self.incoming: dict[str, PeerLink] = {}
        self._listening: IListeningPort | None = None

    def listen(self) -> Deferred[IListeningPort]:
        """Open the server for the peers' streams."""
        address = self._listens_at
        endpoint = self._network.endpoints.server(address.host, address.port)
        listening: Deferred[IListeningPort] = endpoint.listen(
            Factory.forProtocol(self._build_incoming)
        )
        listening.addCallback(self._note_listening)
        return listening

    def stopService(self) -> None:
        """Close every stream."""
        super().stopService()
        if self._listening is not None:
            self._listening.stopListening()
        for link in [*self.outgoing.values(), *self.incoming.values()]:
            link.abort()

    def connect(self, host: str, port: int) -> None:
        """Have a stream to a node, unless there is one or it is being opened."""
        if host in self.outgoing or host in (self._identity.host, self._listens_at.host):
            return
        link = PeerLink(host, is_outgoing=True)
        link.opened_at = self._network.reactor.seconds()
        self.outgoing[host] = link
        endpoint = self._network.endpoints.client(host, port)
        attempt = endpoint.connect(Factory.forProtocol(lambda: self._build_stream(link)))
        attempt.addErrback(lambda failure: self._handle_failed(link, failure))

    def up_links(self) -> list[PeerLink]:
        """Return one open link for each peer, preferring those that the peer opened."""
        links = {link.host: link for link in self.outgoing.values() if link.is_up}
        links.update({link.host: link for link in self.incoming.values() if link.is_up})
        return list(links.values())

    def all_up_links(self) -> list[PeerLink]:
        """Return every open link: two nodes that called each other at once have two."""
        return [link for link in [*self.outgoing.values(), *self.incoming.values()] if link.is_up]

    def link_to(self, host: str) -> PeerLink | None:
        """Return an open link to a host."""
        for links in (self.outgoing, self.incoming):
            link = links.get(host)
            if link is not None and link.is_up:
                return link
        return None

    def end_silent(self, now: float) -> None:
        """End streams on which nothing was heard for too long."""
        for link in [*self.outgoing.values(), *self.incoming.values()]:
            if link.heard_at and now - max(link.heard_at, link.data_at) > link.silence_seconds:
                self._forget(link, ConnectionLossReason.SILENT)
                link.abort()

    def _build_incoming(self) -> _Stream:
        return self._build_stream(PeerLink("", is_outgoing=False))

    def _build_stream(self, link: PeerLink) -> _Stream:
        return MessageStream(
            NodeMessage,
            lambda _stream, message: self._handle_message(link, message),
            lambda stream: self._handle_connected(link, stream),
            lambda _stream: self._handle_closed(link),
            on_data=lambda: self._note_data(link),
        )

    def _note_data(self, link: PeerLink) -> None:
        link.data_at = self._network.reactor.seconds()

    def _handle_connected(self, link: PeerLink, stream: _Stream) -> None:
        link.stream = stream
        link.heard_at = self._network.reactor.seconds()
        stream.send(Hello(self._identity, checks_calls=True))

    def _handle_message(self, link: PeerLink, message: NodeMessage) -> None:
        link.heard_at = self._network.reactor.seconds()
        if isinstance(message, Hello):
            self._handle_hello(link, message)
        elif link.identity is None:
            link.abort()
        else:
            self._listener.handle_peer_message(link, message)

    def _handle_hello(self, link: PeerLink, message: Hello) -> None:
        identity = link.identity = message.identity
        link.checks_calls = message.checks_calls
        link.up_at = link.heard_at
        if not link.is_outgoing:
            link.host = identity.host
            former = self.incoming.get(identity.host)
            self.incoming[identity.host] = link
            if former is not None:
                former.abort()
        self._listener.handle_peer_up(link)

    def _handle_closed(self, link: PeerLink) -> None:
        self._listener.handle_stream_ended(link)
        self._forget(link, ConnectionLossReason.CLOSED)

    def _handle_failed(self, link: PeerLink, failure: Failure) -> None:
        if failure.check(RefusedError):
            reason = ConnectionLossReason.REFUSED
        elif failure.check(ConnectTimeoutError):
            reason = ConnectionLossReason.SILENT
        else:
            reason = ConnectionLossReason.CLOSED
        self._forget(link, reason)

    def _forget(self, link: PeerLink, reason: ConnectionLossReason) -> None:
        links = self.outgoing if link.is_outgoing else self.incoming
        if links.get(link.host) is link:
            del links[link.host]
            self._listener.handle_peer_lost(link.host, link, reason)

    def _note_listening(self, listening: IListeningPort) -> IListeningPort:
        self._listening = listening
        return listening
