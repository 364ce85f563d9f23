"""HTTP over ``twisted.web``: bounded requests, JSON bodies and coded errors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import msgspec
from absl import logging
from twisted.internet.interfaces import IAddress, IDelayedCall, IReactorTime, ITransport
from twisted.web.http import HTTPChannel
from twisted.web.http import Request as HTTPRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from onyxspoke.core.codes import OnyxspokeError, ResultCode, http_status, outcome_of

JSON_CONTENT_TYPE = b"application/json"
IDLE_TIMEOUT_SECONDS = 60

#: Left out of JSON bodies; recognised by identity.
NO_RESULT = msgspec.Raw(b"")

_json_encoder = msgspec.json.Encoder()


class AnswerBody(msgspec.Struct, kw_only=True, omit_defaults=True):
    """JSON body of every answer and every error."""

    outcome: str
    code: int
    code_name: str
    message: str = ""
    request_id: str = ""
    job_id: str = ""
    result: msgspec.Raw = NO_RESULT
    retry_after_seconds: float = 0.0
    worker_id: str = ""


class BoundedRequest(Request):
    """A request whose body size and time to arrive are bounded."""

    reactor: IReactorTime
    maximum_body_bytes: int
    read_timeout_seconds: float

    def __init__(self, channel: HTTPChannel, *args: Any, **kwargs: Any) -> None:
        super().__init__(channel, *args, **kwargs)
        self._body_bytes = 0
        self._refused = False
        self._read_timer: IDelayedCall | None = self.reactor.callLater(
            self.read_timeout_seconds, self._handle_read_timeout
        )

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that announces more than the bound; called by Twisted."""
        if length is not None and length > self.maximum_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that turns out larger than the bound; called by Twisted."""
        if self._refused:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.maximum_body_bytes:
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
        transport = cast("ITransport", self.channel.transport)
        body = encode_error(code)
        status = f"HTTP/1.1 {http_status(code)} {code.name}\r\n".encode()
        headers = (
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        transport.write(status + headers + body)
        self.channel.loseConnection()

    def _stop_timer(self) -> None:
        timer, self._read_timer = self._read_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class BoundedSite(Site):
    """A site that refuses connections beyond a bound."""

    def __init__(self, resource: Resource, maximum_connections: int, **kwargs: Any) -> None:
        super().__init__(resource, timeout=IDLE_TIMEOUT_SECONDS, **kwargs)
        self._maximum_connections = maximum_connections
        self._connections = 0

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Return the channel of a new connection, or ``None`` to close it."""
        if self._connections >= self._maximum_connections:
            logging.warning("event=http_connection_refused limit=%d", self._maximum_connections)
            return None
        channel = super().buildProtocol(addr)
        self._connections += 1
        original = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self._connections -= 1
            original(reason)

        channel.connectionLost = connection_lost
        return channel

    def log(self, request: HTTPRequest) -> None:
        """Log no line a request: answers are counted in histograms instead."""


def make_site(
    resource: Resource,
    reactor: IReactorTime,
    *,
    maximum_body_bytes: int,
    maximum_connections: int,
    read_timeout_seconds: float,
) -> BoundedSite:
    """Return a site whose requests are bounded."""
    bounded = type(
        "ConfiguredRequest",
        (BoundedRequest,),
        {
            "reactor": reactor,
            "maximum_body_bytes": maximum_body_bytes,
            "read_timeout_seconds": read_timeout_seconds,
        },
    )
    return BoundedSite(resource, maximum_connections, requestFactory=bounded, reactor=reactor)


def encode_error(code: ResultCode, message: str = "") -> bytes:
    """Return the JSON body of an error."""
    body = AnswerBody(
        outcome=outcome_of(code).value, code=int(code), code_name=code.name, message=message
    )
    return _json_encoder.encode(body)


def write_json(request: Request, value: Any, status: int = 200) -> None:
    """Finish a request with a JSON body."""
    body = _json_encoder.encode(value)
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_CONTENT_TYPE)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def close_after(request: Request) -> None:
    """Have the connection closed after a request's answer, and say so in it."""
    request.setHeader(b"connection", b"close")
    request.channel.persistent = False


def write_error(request: Request, error: OnyxspokeError) -> None:
    """Finish a request with a coded error."""
    code = error.code
    body = AnswerBody(
        outcome=outcome_of(code).value, code=int(code), code_name=code.name, message=error.message
    )
    write_json(request, body, http_status(code))


class CodedResource(Resource):
    """A resource whose errors carry codes; its children are given at construction."""

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of an unknown path; called by Twisted."""
        return NoSuchPath()

    def render(self, request: Request) -> int:
        """Serve a request and turn errors into coded answers; called by Twisted."""
        method = request.method.decode("ascii", "replace").lower()
        handler: Callable[[Request], None] | None = getattr(self, f"handle_{method}", None)
        try:
            if handler is None:
                raise OnyxspokeError(ResultCode.METHOD_NOT_ALLOWED)
            handler(request)
        except OnyxspokeError as error:
            write_error(request, error)
        except Exception:
            logging.exception("event=request_failed path=%s", request.path)
            write_error(request, OnyxspokeError(ResultCode.INTERNAL_ERROR))
        return NOT_DONE_YET


class NoSuchPath(CodedResource):
    """What stands at every unknown path."""

    isLeaf = True

    def render(self, request: Request) -> int:
        """Answer with a coded error; called by Twisted."""
        write_error(request, OnyxspokeError(ResultCode.NO_SUCH_PATH))
        return NOT_DONE_YET


def read_json(request: Request, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Return the decoded body of a request.

    Raises
    ------
    OnyxspokeError
        With ``MALFORMED_REQUEST``, naming the field.
    """
    assert request.content is not None
    try:
        return decoder.decode(request.content.read())
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise OnyxspokeError(ResultCode.MALFORMED_REQUEST, str(error)) from error


def read_query(request: Request, name: str, default: str) -> str:
    """Return the first value of a query parameter."""
    args = cast("dict[bytes, list[bytes]]", request.args)
    values = args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else default
