"""Bounds on what HTTP callers may send, and how slowly, over ``twisted.web``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

from absl import logging
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import (
    IAddress,
    IDelayedCall,
    IListeningPort,
    IReactorTime,
    IStreamServerEndpoint,
    ITransport,
)
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.http import Request as HTTPRequest
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from onyxspoke.core.codes import ResultCode, http_status
from onyxspoke.net.http import SHORTEST_RETRY_SECONDS, close_after, encode_error


@dataclass(slots=True)
class HttpLimits:
    """Bounds of a site; a change holds for what arrives from then on.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Most bytes of a request's head and body.
    header_seconds : float
        Longest time from the first byte of a request to the end of its head.
    read_seconds : float
        Longest time from the end of the request line to the end of the body.
    idle_seconds : float
        A connection on which nothing happens for so long is closed.
    connections : int
        Most connections at once.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 60.0
    read_seconds: float = 10.0
    idle_seconds: float = 60.0
    connections: int = 3_000


class BoundedChannel(HTTPChannel):
    """One connection whose requests' heads must arrive in time."""

    limits: HttpLimits
    reactor: IReactorTime
    _is_reading_head = False
    _head_timer: IDelayedCall | None = None
    #: Whether the connection ends with the next answer.
    is_closing = False

    def close(self) -> None:
        """Close the connection, but answer a request first that has come, also in part."""
        if _is_disconnecting(self):
            return
        self.is_closing = True
        for request in self.requests:
            close_after(request)
        if not self.requests and not self._is_reading_head:
            self.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Time a head from its first byte; called by Twisted."""
        if not self._is_reading_head and not self.requests:
            self._is_reading_head = True
            self._head_timer = self.reactor.callLater(
                self.limits.header_seconds, self._handle_late_head
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stop the time of a head that is whole; called by Twisted."""
        self._end_head()
        super().allHeadersReceived()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Stop all timers; called by Twisted."""
        self._end_head()
        super().connectionLost(reason)

    def _end_head(self) -> None:
        self._is_reading_head = False
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _handle_late_head(self) -> None:
        self._head_timer = None
        refuse_and_close(self, ResultCode.REQUEST_TIMEOUT)


class BoundedRequest(Request):
    """A request whose body size and time to arrive are bounded."""

    channel: BoundedChannel

    def __init__(self, channel: BoundedChannel, *args: Any, **kwargs: Any) -> None:
        super().__init__(channel, *args, **kwargs)
        self._body_bytes = 0
        self._refused = False
        self._read_timer: IDelayedCall | None = channel.reactor.callLater(
            channel.limits.read_seconds, self._handle_read_timeout
        )

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that announces more than the bound; called by Twisted."""
        if length is not None and length > self.channel.limits.body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that turns out larger than the bound; called by Twisted."""
        if self._refused:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.limits.body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Serve a request that arrived whole; called by Twisted."""
        self._stop_timer()
        if self.channel.is_closing:
            close_after(self)
        if not self._refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason: Any) -> None:
        """Forget a request whose connection is gone; called by Twisted."""
        self._stop_timer()
        super().connectionLost(reason)

    def _handle_read_timeout(self) -> None:
        self._read_timer = None
        self._refuse(ResultCode.REQUEST_TIMEOUT)

    def _refuse(self, code: ResultCode) -> None:
        """Answer at once and close: the rest of the body is not read."""
        self._stop_timer()
        self._refused = True
        refuse_and_close(self.channel, code)

    def _stop_timer(self) -> None:
        timer, self._read_timer = self._read_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class BoundedSite(Site):
    """A site whose connections and requests are bounded."""

    def __init__(self, resource: Resource, reactor: IReactorTime, limits: HttpLimits) -> None:
        super().__init__(
            resource,
            timeout=limits.idle_seconds,
            requestFactory=BoundedRequest,
            reactor=reactor,
        )
        # The plain channel in place of the one that may also speak HTTP/2.
        self.protocol = BoundedChannel  # type: ignore[method-assign,assignment]
        self._reactor_time = reactor
        self.limits = limits
        self._channels: set[BoundedChannel] = set()
        self._listening_port: IListeningPort | None = None

    def listen(self, endpoint: IStreamServerEndpoint) -> Deferred[Any]:
        """Open a server socket, which :meth:`close` closes."""
        listening: Deferred[Any] = endpoint.listen(self)
        return listening.addCallback(self._take_port)

    def _take_port(self, listening_port: IListeningPort) -> None:
        self._listening_port = listening_port

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Return the channel of a new connection, or ``None`` to close it."""
        if len(self._channels) >= self.limits.connections:
            logging.warning("event=http_connection_refused limit=%d", self.limits.connections)
            return None
        self.timeOut = self.limits.idle_seconds
        channel = super().buildProtocol(addr)
        channel.limits = self.limits
        channel.reactor = self._reactor_time
        channel.totalHeadersSize = self.limits.header_bytes
        self._channels.add(channel)
        original = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self._channels.discard(channel)
            original(reason)

        channel.connectionLost = connection_lost
        return channel

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        return len(self._channels)

    def close(self) -> None:
        """Take no new connection, and close each open one once its request is answered."""
        if self._listening_port is not None:
            self._listening_port.stopListening()
        for channel in list(self._channels):
            channel.close()

    def refuse_unread(self) -> None:
        """Answer requests that have not arrived whole, and close their connections."""
        for channel in list(self._channels):
            refuse_and_close(channel, ResultCode.ENTRY_STOPPING, SHORTEST_RETRY_SECONDS)

    def log(self, request: HTTPRequest) -> None:
        """Log no line a request: answers are counted in histograms instead."""


def refuse_and_close(
    channel: HTTPChannel, code: ResultCode, retry_after_seconds: int | None = None
) -> None:
    """Answer with a coded error at once and close the connection."""
    if _is_disconnecting(channel):
        return
    transport = cast("ITransport", channel.transport)
    body = encode_error(code)
    status = f"HTTP/1.1 {http_status(code)} {code.name}\r\n".encode()
    headers = (
        b"Content-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
    )
    if retry_after_seconds is not None:
        headers += b"Retry-After: %d\r\n" % retry_after_seconds
    transport.write(status + headers + b"\r\n" + body)
    channel.loseConnection()


def _is_disconnecting(channel: HTTPChannel) -> bool:
    """Return whether the connection ends once everything written has been sent."""
    return bool(getattr(channel.transport, "disconnecting", False))
