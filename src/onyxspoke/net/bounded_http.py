"""Bounds on what HTTP callers may send, and how slowly, over ``twisted.web``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

from absl import logging
from twisted.internet.interfaces import IAddress, IDelayedCall, IReactorTime, ITransport
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.http import Request as HTTPRequest
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from onyxspoke.core.codes import ResultCode, http_status
from onyxspoke.net.http import encode_error


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
        self._connections = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Return the channel of a new connection, or ``None`` to close it."""
        if self._connections >= self.limits.connections:
            logging.warning("event=http_connection_refused limit=%d", self.limits.connections)
            return None
        self.timeOut = self.limits.idle_seconds
        channel = super().buildProtocol(addr)
        channel.limits = self.limits
        channel.reactor = self._reactor_time
        channel.totalHeadersSize = self.limits.header_bytes
        self._connections += 1
        original = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self._connections -= 1
            original(reason)

        channel.connectionLost = connection_lost
        return channel

    def log(self, request: HTTPRequest) -> None:
        """Log no line a request: answers are counted in histograms instead."""


def refuse_and_close(channel: HTTPChannel, code: ResultCode) -> None:
    """Answer with a coded error at once and close the connection."""
    if getattr(channel.transport, "disconnecting", False):
        return
    transport = cast("ITransport", channel.transport)
    body = encode_error(code)
    status = f"HTTP/1.1 {http_status(code)} {code.name}\r\n".encode()
    headers = (
        b"Content-Type: application/json\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    )
    transport.write(status + headers + body)
    channel.loseConnection()
