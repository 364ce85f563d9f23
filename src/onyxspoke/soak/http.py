"""HTTP of the stand-ins: one function for all calls, answers that may be left out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import msgspec
from absl import logging
from twisted.internet.interfaces import IAddress, ITCPTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from onyxspoke.platform.counterpart.answers import HTTP_BAD_REQUEST, HTTP_OK, Answer
from onyxspoke.soak.timers import DueTimers


class Exchange:
    """One call; it is answered once, or not at all."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._is_open = True
        request.notifyFinish().addErrback(self._handle_gone)
        assert request.content is not None
        self.body: bytes = request.content.read()
        self.name = request.path.decode("ascii", "replace").rpartition("/")[2]
        self.machine = str(request.getClientAddress().host)

    def header(self, name: str) -> str:
        """Return a header, or nothing."""
        return self._request.getHeader(name) or ""

    def query(self, name: str, default: str = "") -> str:
        """Return a parameter."""
        values = cast("dict[bytes, list[bytes]]", self._request.args).get(name.encode())
        return values[0].decode() if values else default

    def send(self, answer: Answer | None) -> None:
        """Answer, or leave it at silence where there is none."""
        if answer is not None:
            self.answer(answer.value, answer.status)

    def answer(self, value: object, status: int = HTTP_OK) -> None:
        """Answer in JSON."""
        self.answer_raw(msgspec.json.encode(value), status)

    def answer_raw(self, body: bytes, status: int = HTTP_OK) -> None:
        """Answer with a body as it is."""
        if not self._is_open:
            return
        self._is_open = False
        self._request.setResponseCode(status)
        self._request.setHeader(b"content-length", str(len(body)).encode())
        self._request.write(body)
        self._request.finish()

    def _handle_gone(self, _failure: object) -> None:
        self._is_open = False


class _Calls(Resource):
    isLeaf = True

    def __init__(self, timers: DueTimers, handle: Callable[[Exchange], None]) -> None:
        super().__init__()
        self._timers = timers
        self._handle = handle

    def render(self, request: Request) -> int:
        """Pass a call on; called by Twisted."""
        exchange = Exchange(request)
        self._timers.catch_up()
        try:
            self._handle(exchange)
        except (msgspec.MsgspecError, ValueError) as error:
            logging.error("event=call_unreadable name=%s error=%r", exchange.name, str(error))
            exchange.answer({}, HTTP_BAD_REQUEST)
        return NOT_DONE_YET


class StandInSite(Site):
    """A server whose connections can all be reset, as by a crash of its process."""

    def __init__(self, timers: DueTimers, handle: Callable[[Exchange], None]) -> None:
        super().__init__(_Calls(timers, handle))
        self._connections: list[Any] = []

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Keep a connection; called by Twisted."""
        protocol = super().buildProtocol(addr)
        self._connections = [item for item in self._connections if _transport_of(item) is not None]
        self._connections.append(protocol)
        return protocol

    def log(self, request: Any) -> None:
        """Write no line for each call."""

    def reset_connections(self) -> None:
        """Reset every connection."""
        connections, self._connections = self._connections, []
        for connection in connections:
            transport = _transport_of(connection)
            if transport is not None:
                transport.abortConnection()


def _transport_of(connection: Any) -> ITCPTransport | None:
    transport = getattr(connection, "transport", None)
    return transport if getattr(transport, "connected", False) else None
