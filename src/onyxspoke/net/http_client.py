"""HTTP/1.1 client: kept connections, one call at a time on each, every call timed.

The parser is ``httptools``; ``twisted.web``'s agent costs several times the processor time
of a call, and a shard's holder makes some hundred calls a second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Protocol as TypingProtocol
from typing import cast

import httptools
import msgspec
from twisted.internet.interfaces import (
    IDelayedCall,
    IProtocolFactory,
    IReactorTime,
    ITCPTransport,
)
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from onyxspoke.net.network import Endpoints

#: Connections to one address at most.
MAXIMUM_CONNECTIONS = 8
#: Calls that wait for a connection to one address at most.
MAXIMUM_WAITING = 512
#: A connection that is not up after so long is given up.
CONNECT_SECONDS = 0.6
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
#: An answer of which something came within so long, in seconds, is still under way: a large one
#: takes its time on a slow link, and asked for again would take as long again.
PROGRESS_SECONDS = 0.5
#: But not for longer than this beyond the call's own time, in seconds.
LONGEST_ANSWER_SECONDS = 8.0


class HttpAnswer(msgspec.Struct, frozen=True):
    """What came of a call.

    Attributes
    ----------
    status : int
        Status of the answer; 0 where none came.
    was_sent : bool
        Whether any of the call may have reached the other side.
    other_process : int
        The call was meant for one process, and another one answers at the address: this one.
    """

    status: int
    body: bytes = b""
    was_sent: bool = True
    headers: dict[bytes, bytes] = {}
    other_process: int = 0


class MeantFor(msgspec.Struct, frozen=True):
    """The process that a call is meant for, where another may come to answer at its address.

    A connection ends with the process at its other end.  So a call that goes only where that
    process has answered before cannot reach the next one, whatever is lost or late on its way.

    Attributes
    ----------
    process : int
        What tells the process from others.
    question : bytes
        Sent first on a new connection, to learn who is there; empty where the call itself does no
        harm to another process and its answer tells.
    read_process : callable
        Returns which process an answer came from; 0 where it does not say.
    """

    process: int
    question: bytes
    read_process: Callable[[HttpAnswer], int]


_HTTP_OK = 200
NOT_SENT = HttpAnswer(0, was_sent=False)
NO_ANSWER = HttpAnswer(0)

OnAnswer = Callable[[HttpAnswer], None]
OnWritten = Callable[[], None]


class _Call:
    """One call, from the queue to its answer."""

    __slots__ = (
        "_on_answer",
        "_on_written",
        "connection",
        "data",
        "is_over",
        "is_sent",
        "latest_at",
        "meant_for",
        "sent_at",
        "timer",
    )

    def __init__(
        self,
        data: bytes,
        on_answer: OnAnswer,
        latest_at: float,
        meant_for: MeantFor | None,
        on_written: OnWritten | None,
    ) -> None:
        self.data = data
        self.latest_at = latest_at
        self.meant_for = meant_for
        self._on_answer = on_answer
        self._on_written = on_written
        self.timer: IDelayedCall | None = None
        self.connection: _Connection | None = None
        #: When it was handed to its connection, which may ask who is there first.
        self.sent_at = 0.0
        self.is_sent = False
        self.is_over = False

    def note_written(self) -> None:
        """Take note that the call leaves now."""
        self.is_sent = True
        if self._on_written is not None:
            self._on_written()

    def give_up(self) -> None:
        """End the call without an answer."""
        self.finish(NO_ANSWER if self.is_sent else NOT_SENT)

    def finish(self, answer: HttpAnswer) -> None:
        """Hand the answer over, once."""
        if self.is_over:
            return
        self.is_over = True
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()
        self._on_answer(answer)


class _Connection(Protocol):
    """One connection; it carries one call at a time."""

    def __init__(self, pool: _AddressPool) -> None:
        self._pool = pool
        self._call: _Call | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        #: A whole answer, and whether the connection may be used again, until it is handed over.
        self._complete: tuple[HttpAnswer, bool] | None = None
        self.is_open = False
        #: Which process is at the other end, once a call was meant for one; 0 before.
        self._process = 0
        self._asks_who_is_there = False
        #: When something came last, or the connection was made.
        self.data_at = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the other side."""
        return self._pool.address

    def connectionMade(self) -> None:
        """Begin to carry calls; called by Twisted."""
        self.is_open = True
        self.data_at = self._pool.now()
        cast("ITCPTransport", self.transport).setTcpNoDelay(True)
        self._pool.handle_open(self)

    def carry(self, call: _Call) -> None:
        """Send a call, where it is meant for one process only to that one."""
        self._call = call
        call.connection = self
        call.sent_at = self._pool.now()
        meant_for = call.meant_for
        if meant_for is None:
            self._send_call(call)
        elif self._process:
            self._send_or_refuse(call, meant_for)
        elif meant_for.question:
            self._asks_who_is_there = True
            self._send(meant_for.question)
        else:
            self._send_call(call)

    def _send_or_refuse(self, call: _Call, meant_for: MeantFor) -> None:
        """Send a call now that it is known which process is at the other end."""
        if self._process == meant_for.process:
            self._send_call(call)
            return
        self._call = None
        call.finish(HttpAnswer(0, was_sent=False, other_process=self._process))
        self._pool.handle_idle(self)

    def _send_call(self, call: _Call) -> None:
        call.note_written()
        self._send(call.data)

    def _send(self, data: bytes) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._headers = {}
        assert self.transport is not None
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Parse what arrived; called by Twisted."""
        if self._parser is None:
            self.abort()
            return
        self.data_at = self._pool.now()
        is_readable = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            is_readable = False
        # Outside of the parser, which would take what the receiver raises for unreadable input.
        complete, self._complete = self._complete, None
        if complete is not None:
            answer, is_kept = complete
            self._hand_over(answer, is_kept and is_readable)
        elif not is_readable:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser."""
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Keep the whole answer; called by the parser."""
        parser, self._parser = self._parser, None
        if parser is None:
            return
        answer = HttpAnswer(parser.get_status_code(), b"".join(self._body), headers=self._headers)
        self._complete = answer, parser.should_keep_alive()
        self._body, self._headers = [], {}

    def _hand_over(self, answer: HttpAnswer, is_kept: bool) -> None:
        call = self._call
        if call is None:
            return
        asked, self._asks_who_is_there = self._asks_who_is_there, False
        if call.meant_for is not None and not self._process and answer.status == _HTTP_OK:
            self._process = call.meant_for.read_process(answer)
        if asked and is_kept and self._process and call.meant_for is not None and not call.is_over:
            self._send_or_refuse(call, call.meant_for)
            return
        self._call = None
        if not is_kept:
            self.abort()
        if asked and answer.status == _HTTP_OK:
            # It does not say who it is, or ends the connection that the call was to go on.
            call.finish(NOT_SENT)
        else:
            call.finish(answer)
        if is_kept:
            self._pool.handle_idle(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the connection; called by Twisted."""
        self.is_open = False
        call, self._call = self._call, None
        self._pool.handle_lost(self)
        if call is not None:
            call.give_up()

    def abort(self) -> None:
        """Drop the connection at once; the call on it gets no answer."""
        self.is_open = False
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()


class _AddressPool:
    """Connections to one address and the calls that wait for one."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._client = client
        self.address = (host, port)
        self._idle: list[_Connection] = []
        self._open = 0
        self._connecting = 0
        self._waiting: deque[_Call] = deque()

    def now(self) -> float:
        """Return the reactor's second."""
        return self._client.now()

    def send(self, call: _Call) -> None:
        """Send a call on an idle connection, or have it wait for one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                connection.carry(call)
                return
        if len(self._waiting) >= MAXIMUM_WAITING:
            call.finish(NOT_SENT)
            return
        self._waiting.append(call)
        if self._connecting < len(self._waiting) and self._total() < MAXIMUM_CONNECTIONS:
            self._connect()

    def handle_open(self, connection: _Connection) -> None:
        """A connection is up."""
        self._connecting -= 1
        self._open += 1
        self.handle_idle(connection)

    def handle_idle(self, connection: _Connection) -> None:
        """A connection can carry a call."""
        while self._waiting:
            call = self._waiting.popleft()
            if not call.is_over:
                connection.carry(call)
                return
        if connection.is_open:
            self._idle.append(connection)

    def handle_lost(self, connection: _Connection) -> None:
        """A connection is gone."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and self._connecting == 0:
            self._connect()

    def close(self) -> None:
        """Close idle connections."""
        self.close_unheard(math.inf)

    def close_unheard(self, since: float) -> None:
        """Close idle connections on which nothing has come since a moment."""
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.data_at <= since:
                connection.abort()
            else:
                self._idle.append(connection)

    def _total(self) -> int:
        return self._open + self._connecting

    def _connect(self) -> None:
        self._connecting += 1
        attempt = self._client.connect(*self.address, lambda: _Connection(self))
        attempt.addErrback(self._handle_failed)

    def _handle_failed(self, _failure: Failure) -> None:
        self._connecting -= 1
        if self._connecting or self._open:
            return
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            call.finish(NOT_SENT)


class _Attempt(TypingProtocol):
    def addErrback(self, callback: Callable[[Failure], None]) -> object:
        """Call back if the connection does not come about."""


class HttpClient:
    """Calls to any number of addresses.

    Parameters
    ----------
    reactor : IReactorTime
        Times calls.
    endpoints : Endpoints
        Makes connections.
    """

    def __init__(self, reactor: IReactorTime, endpoints: Endpoints) -> None:
        self._reactor = reactor
        self._endpoints = endpoints
        self._pools: dict[tuple[str, int, str], _AddressPool] = {}

    def call(
        self,
        host: str,
        port: int,
        request: bytes,
        timeout_seconds: float,
        on_answer: OnAnswer,
        lane: str = "",
        meant_for: MeantFor | None = None,
        on_written: OnWritten | None = None,
    ) -> None:
        """Make a call; ``on_answer`` is called once.

        That is within the timeout, or later where an answer has begun by then and goes on coming.

        A call that is not answered in time ends its connection, because whatever comes on it
        later would be taken for the answer to another call.

        Parameters
        ----------
        request : bytes
            The whole request, as :func:`encode_request` returns it.
        lane : str
            Calls of different lanes share no connection.
        meant_for : MeantFor
            The process at the address that the call is to reach, and no other.
        on_written : callable
            Called as the call leaves, if it does: it may wait for a connection first.
        """
        key = (host, port, lane)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _AddressPool(self, host, port)
        latest_at = self.now() + timeout_seconds + LONGEST_ANSWER_SECONDS
        call = _Call(request, on_answer, latest_at, meant_for, on_written)
        call.timer = self._reactor.callLater(timeout_seconds, self._expire, call)
        pool.send(call)

    def now(self) -> float:
        """Return the reactor's second."""
        return self._reactor.seconds()

    def close(self, host: str, port: int) -> None:
        """Forget an address."""
        for key in [key for key in self._pools if key[:2] == (host, port)]:
            self._pools.pop(key).close()

    def connect(self, host: str, port: int, build: Callable[[], _Connection]) -> _Attempt:
        """Open one connection."""
        factory = cast("IProtocolFactory", Factory.forProtocol(build))
        return self._endpoints.client(host, port).connect(factory)

    def _expire(self, call: _Call) -> None:
        call.timer = None
        if call.is_over:
            return
        connection = call.connection
        if connection is not None and self._is_coming(call, connection):
            call.timer = self._reactor.callLater(PROGRESS_SECONDS, self._expire, call)
            return
        if connection is not None:
            connection.abort()
            if connection.data_at <= call.sent_at:
                self._close_unheard(connection, call.sent_at)
        call.give_up()

    def _close_unheard(self, silent: _Connection, since: float) -> None:
        """Close what else may have fallen silent with a connection, without a sign.

        Otherwise each kept connection would cost one call its time, one after the other.
        """
        address = silent.address
        for key, pool in self._pools.items():
            if key[:2] == address:
                pool.close_unheard(since)

    def _is_coming(self, call: _Call, connection: _Connection) -> bool:
        """Return whether an answer is under way."""
        now = self.now()
        has_begun = connection.data_at > call.sent_at
        return has_begun and now < call.latest_at and now - connection.data_at < PROGRESS_SECONDS


def encode_request(
    method: str, target: str, host: str, body: bytes | None = None, headers: str = ""
) -> bytes:
    """Return a whole request.

    Parameters
    ----------
    target : str
        Path and query.
    headers : str
        Further header lines, each with its line end.
    """
    if body is None:
        return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{headers}\r\n".encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
