"""Streams of typed msgpack messages over TCP.

A stream that carries anything but a valid message, or one over the size bound, is
closed; the peer on the other side then treats the connection as lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar, cast

import msgpack
import msgspec
from absl import logging
from twisted.internet import reactor
from twisted.internet.interfaces import IReactorTime, ITCPTransport
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from onyxspoke.net.messages import Message, Ping, Pong

MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024
MAXIMUM_UNSENT_BYTES = 32 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()

Incoming = TypeVar("Incoming", bound=Message)


@dataclass(frozen=True, slots=True)
class Keepalive:
    """How the opener of a stream notices that the way is gone though no one said so.

    ``timeout_seconds`` without any data from the other side ends the stream.
    """

    reactor: IReactorTime
    interval_seconds: float
    timeout_seconds: float


class Traffic:
    """Bytes on all message streams of this process."""

    received = 0
    sent = 0


class MessageStream(Protocol, Generic[Incoming]):
    """One TCP connection that carries typed messages both ways.

    Parameters
    ----------
    incoming_type : type
        The union of messages that the other side may send.
    on_message : callable
        Called with this stream and each message.
    on_connected : callable, optional
        Called with this stream once the connection is up.
    on_lost : callable, optional
        Called with this stream once the connection is gone.
    delay_seconds : float
        Emulated one-way delay of the link, for rehearsals on one machine.
    keepalive : Keepalive, optional
        Asks for signs of life and ends the stream without them.
    on_data : callable, optional
        Called whenever bytes come, also those of a message that is not whole yet.
    """

    def __init__(
        self,
        incoming_type: Any,
        on_message: Callable[[MessageStream[Incoming], Incoming], None],
        on_connected: Callable[[MessageStream[Incoming]], None] | None = None,
        on_lost: Callable[[MessageStream[Incoming]], None] | None = None,
        delay_seconds: float = 0.0,
        keepalive: Keepalive | None = None,
        on_data: Callable[[], None] | None = None,
    ) -> None:
        self._incoming_type = incoming_type | Ping | Pong
        self._keepalive = keepalive
        self._on_data = on_data
        self._data_at = 0.0
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._delay_seconds = delay_seconds
        self._delayed: deque[bytes] = deque()
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAXIMUM_MESSAGE_BYTES, raw=False)
        self.is_open = False

    def connectionMade(self) -> None:
        """Start the stream; called by Twisted."""
        self.is_open = True
        if ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        if self._keepalive is not None:
            self._data_at = self._keepalive.reactor.seconds()
            self._schedule_keepalive(self._keepalive)
        if self._on_connected is not None:
            self._on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Decode what arrived; called by Twisted."""
        Traffic.received += len(data)
        if self._on_data is not None:
            self._on_data()
        if self._keepalive is not None:
            self._data_at = self._keepalive.reactor.seconds()
        try:
            self._unpacker.feed(data)
            for raw in self._unpacker:
                message = msgspec.convert(raw, self._incoming_type)
                self._handle(message)
                if not self.is_open:
                    return
        except (msgspec.ValidationError, msgpack.UnpackException, ValueError) as error:
            logging.warning("event=stream_protocol_error error=%r", str(error))
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the stream; called by Twisted."""
        self.is_open = False
        self._delayed.clear()
        if self._on_lost is not None:
            self._on_lost(self)

    def send(self, message: Message) -> None:
        """Send one message; a stream whose reader has stalled is closed instead."""
        if self.is_open:
            self.send_encoded(encode_message(message))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that goes to many streams and was encoded once for all."""
        if not self.is_open:
            return
        Traffic.sent += len(data)
        if self._delay_seconds > 0:
            self._delayed.append(data)
            reactor.callLater(self._delay_seconds, self._write_delayed)
        else:
            self._write(data)

    def close(self) -> None:
        """Close the connection after what was sent."""
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.is_open = False
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    def _handle(self, message: Any) -> None:
        if isinstance(message, Ping):
            self.send(Pong())
        elif not isinstance(message, Pong):
            self._on_message(self, message)

    def _schedule_keepalive(self, keepalive: Keepalive) -> None:
        keepalive.reactor.callLater(keepalive.interval_seconds, self._keep_alive, keepalive)

    def _keep_alive(self, keepalive: Keepalive) -> None:
        if not self.is_open:
            return
        if keepalive.reactor.seconds() - self._data_at > keepalive.timeout_seconds:
            logging.warning("event=stream_silent seconds=%.1f", keepalive.timeout_seconds)
            self.abort()
            return
        self.send(Ping())
        self._schedule_keepalive(keepalive)

    def _write_delayed(self) -> None:
        if self._delayed:
            self._write(self._delayed.popleft())

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)
        if self._unsent_bytes() > MAXIMUM_UNSENT_BYTES:
            logging.warning("event=stream_reader_stalled unsent=%d", self._unsent_bytes())
            self.abort()

    def _unsent_bytes(self) -> int:
        transport = self.transport
        buffered = len(getattr(transport, "dataBuffer", b""))
        return buffered + int(getattr(transport, "_tempDataLen", 0))


def encode_message(message: Message) -> bytes:
    """Return a message as it goes over a stream."""
    return _encoder.encode(message)
