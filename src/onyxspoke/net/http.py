"""HTTP over ``twisted.web``: JSON bodies and coded errors."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, cast

import msgspec
from absl import logging
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from onyxspoke.core.codes import OnyxspokeError, ResultCode, http_status, outcome_of

JSON_CONTENT_TYPE = b"application/json"
IDLE_TIMEOUT_SECONDS = 60
#: No caller is told to stay away for longer, or for less.
LONGEST_RETRY_SECONDS = 3_600
SHORTEST_RETRY_SECONDS = 1

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


def set_retry_after(request: Request, seconds: float) -> None:
    """Tell a caller when to come back: whole seconds, one at least."""
    # In this order a second that is no number counts as the shortest.
    whole = math.ceil(min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, seconds)))
    request.setHeader(b"retry-after", str(whole).encode())


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
