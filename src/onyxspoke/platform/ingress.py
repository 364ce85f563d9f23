"""The platform's callers over HTTP: jobs handed in, asked for, cancelled and counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta
from twisted.web.server import NOT_DONE_YET, Request

from onyxspoke.core.admission.verdict import is_load_refusal
from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, Schedule, StepSpec
from onyxspoke.core.jobs.validation import (
    MAXIMUM_AMOUNT,
    MAXIMUM_NAME_BYTES,
    MAXIMUM_REPETITIONS,
    MAXIMUM_STEPS,
    MAXIMUM_TASKS,
    MAXIMUM_TIME_MS,
    check_job,
)
from onyxspoke.core.routing import RouteEntry
from onyxspoke.core.shard.calls import (
    Call,
    CallReply,
    CancelCall,
    ReplyCode,
    StateCall,
    SubmitCall,
    WaitingCountCall,
)
from onyxspoke.core.tenants.keys import Credential, KeyVerdict
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.net.http import (
    CodedResource,
    close_after,
    set_retry_after,
    write_error,
    write_json,
)
from onyxspoke.node.node import Node
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS

DEADLINE_HEADER = "request-deadline-ms"
AUTHORIZATION_HEADER = "authorization"
KEY_SCHEME = "token"
MAXIMUM_KEY_LENGTH = 512
#: When a caller whose key cannot be judged here is told to come back, in seconds.
UNPROVEN_RETRY_SECONDS = 1.0
_KEY_CODES = {
    KeyVerdict.MISSING: ResultCode.MISSING_KEY,
    KeyVerdict.UNKNOWN: ResultCode.UNKNOWN_KEY,
    KeyVerdict.CONFIGURATION_STALE: ResultCode.KEYS_UNPROVEN,
}
#: An answer is sent so long before the caller's time is over.
DEADLINE_SLACK_SECONDS = 0.1
_MILLISECONDS = 1_000.0
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_TOO_MANY = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


# The decoder's error names the field by its name on the wire.
_Amount = Annotated[int, Meta(ge=0, le=MAXIMUM_AMOUNT)]
_TimeMs = Annotated[int, Meta(ge=0, le=MAXIMUM_TIME_MS)]
_EstimateMs = Annotated[float, Meta(ge=0, le=MAXIMUM_TIME_MS)]
_Name = Annotated[str, Meta(max_length=MAXIMUM_NAME_BYTES)]
_StepNumber = Annotated[int, Meta(ge=0, lt=MAXIMUM_STEPS)]


class _StepBody(msgspec.Struct, rename="camel"):
    count: Annotated[int, Meta(ge=0, le=MAXIMUM_TASKS)] = 0
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimated_ms: _EstimateMs = 0
    depends_on: list[_StepNumber] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: _Name = ""
    affinity: _Name = ""
    anti_affinity: _Amount = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: _Name = ""
    target_ms: _EstimateMs = 0
    fills: bool = False
    may_miss: _Amount | None = None


class _JobBody(msgspec.Struct, rename="camel"):
    spec: str
    steps: list[_StepBody]
    repeat_count: Annotated[int, Meta(ge=0, le=MAXIMUM_REPETITIONS)] = 0
    start_at_ms: _TimeMs = 0
    interval_ms: _TimeMs = 0


class _StateAnswer(msgspec.Struct):
    state: str


class _WaitingAnswer(msgspec.Struct):
    waiting: int


class _EmptyAnswer(msgspec.Struct):
    """An answer without anything to tell."""


_decoder = msgspec.json.Decoder(_JobBody)
_EMPTY = _EmptyAnswer()


class IngressResource(CodedResource):
    """Everything under the callers' address."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def render(self, request: Request) -> int:
        """Find the route and pass the call on; called by Twisted."""
        if not self._node.is_ready:
            # The caller is to come back through the balancer, to a node that is.
            close_after(request)
        if self._node.configuration is None:
            _write_later(request, 1.0, _UNAVAILABLE)
            return NOT_DONE_YET
        path = request.path.decode("ascii", "replace")
        host = request.getHeader("host") or ""
        route = self._node.configurations.routes.find(host, path)
        if route is None:
            write_error(request, OnyxspokeError(ResultCode.NO_SUCH_PATH))
            return NOT_DONE_YET
        return self._render_route(request, route, path[len(route.path_prefix) :])

    def _render_route(self, request: Request, route: RouteEntry, name: str) -> int:
        try:
            call = self._read_call(request, route, name)
        except OnyxspokeError as error:
            write_error(request, error)
            return NOT_DONE_YET
        exchange = _Exchange(self._node, request, call)
        seconds = _patience(request, route)
        if route.allows_anonymous or not self._node.configurations.keys.is_required:
            self._node.submit_call(name, call, exchange.finish, seconds)
            return NOT_DONE_YET

        def take(verdict: KeyVerdict, tenant: TenantName) -> None:
            if verdict is KeyVerdict.ADMITTED:
                owned = _for_tenant(call, tenant)
                self._node.submit_call(name, owned, exchange.finish, seconds)
            else:
                exchange.refuse(verdict)

        self._node.keys.admit(read_credential(request), route.queue, take)
        return NOT_DONE_YET

    def _read_call(self, request: Request, route: RouteEntry, name: str) -> Call:
        method = request.method
        if method == b"GET":
            return StateCall(name) if name else WaitingCountCall(route.queue)
        if not name:
            raise OnyxspokeError(ResultCode.METHOD_NOT_ALLOWED)
        if method == b"DELETE":
            return CancelCall(name)
        if method == b"POST":
            assert request.content is not None
            assert self._node.configuration is not None
            queue = self._node.configuration.policy.queues[route.queue]
            return SubmitCall(decode_job(name, queue, request.content.read()))
        raise OnyxspokeError(ResultCode.METHOD_NOT_ALLOWED)


class _Exchange:
    """One HTTP request that waits for its reply."""

    def __init__(self, node: Node, request: Request, call: Call) -> None:
        self._node = node
        self._request = request
        self._call = call
        self._is_gone = False
        request.notifyFinish().addErrback(self._handle_gone)

    def finish(self, reply: CallReply) -> None:
        """Write the answer."""
        if self._is_gone:
            return
        request = self._request
        if self._node.is_stopping:
            close_after(request)
        if reply.code is ReplyCode.OK:
            write_json(request, self._body(reply))
        elif reply.code is ReplyCode.NO_SUCH_JOB:
            write_json(request, _EMPTY, _GONE)
        elif reply.code is ReplyCode.REFUSED:
            status = _TOO_MANY if is_load_refusal(reply.reason) else _UNAVAILABLE
            _write_later(request, reply.retry_after_seconds, status)
        else:
            _write_later(request, reply.retry_after_seconds, _GATEWAY_TIMEOUT)

    def refuse(self, verdict: KeyVerdict) -> None:
        """Answer that the caller's key does not admit it."""
        if self._is_gone:
            return
        if verdict is KeyVerdict.CONFIGURATION_STALE:
            set_retry_after(self._request, UNPROVEN_RETRY_SECONDS)
        write_error(self._request, OnyxspokeError(_KEY_CODES[verdict]))

    def _body(self, reply: CallReply) -> msgspec.Struct:
        if isinstance(self._call, StateCall):
            return _StateAnswer(reply.state)
        if isinstance(self._call, WaitingCountCall):
            return _WaitingAnswer(reply.waiting)
        return _EMPTY

    def _handle_gone(self, _failure: object) -> None:
        self._is_gone = True


def _for_tenant(call: Call, tenant: TenantName) -> Call:
    """Return a call as one of the tenant whose key came with it."""
    if isinstance(call, SubmitCall):
        return SubmitCall(msgspec.structs.replace(call.job, tenant=tenant))
    if isinstance(call, WaitingCountCall):
        return call
    return msgspec.structs.replace(call, tenant=tenant)


def read_credential(request: Request) -> Credential:
    """Return the key that came with a request; an empty one where none can be read."""
    scheme, _, key = (request.getHeader(AUTHORIZATION_HEADER) or "").strip().partition(" ")
    key = key.strip()
    is_readable = scheme.lower() == KEY_SCHEME and key.isascii() and key.isprintable()
    return Credential(key if is_readable and len(key) <= MAXIMUM_KEY_LENGTH else "")


class ReadinessResource(CodedResource):
    """Answers the balancer's question whether to send callers here."""

    isLeaf = True

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def handle_get(self, request: Request) -> None:
        """Answer."""
        write_json(request, _EMPTY, _OK if self._is_ready() else _UNAVAILABLE)


def decode_job(job_id: str, queue: QueuePolicy, data: bytes) -> JobSpec:
    """Return the checked job in a body.

    Raises
    ------
    OnyxspokeError
        With ``MALFORMED_REQUEST``, naming the field.
    """
    try:
        body = _decoder.decode(data)
    except UNREADABLE_ERRORS as error:
        raise OnyxspokeError(ResultCode.MALFORMED_REQUEST, str(error)) from error
    job = JobSpec(
        job_id=job_id,
        queue=queue,
        payload=body.spec,
        steps=tuple(_to_step(step) for step in body.steps),
        schedule=Schedule(body.repeat_count, body.start_at_ms, body.interval_ms),
    )
    check_job(job)
    return job


def _to_step(body: _StepBody) -> StepSpec:
    return StepSpec(
        task_count=body.count,
        processors_milli=body.cpu,
        memory_mb=body.mem_mb,
        accelerators=body.gpu,
        estimated_ms=int(body.estimated_ms),
        depends_on=tuple(body.depends_on),
        checkpointing=body.checkpointing,
        gang=body.gang,
        same_rack=body.same_rack,
        required_label=body.requirements,
        preferred_rack=body.affinity,
        spread_limit=body.anti_affinity,
        allow_duplicates=body.allow_duplicates,
        long_running=body.long_running,
        image=body.image,
        target_ms=int(body.target_ms),
        fills=body.fills,
        disruption_budget=-1 if body.may_miss is None else body.may_miss,
    )


def _patience(request: Request, route: RouteEntry) -> float:
    """Return for how many seconds the call may take."""
    text = request.getHeader(DEADLINE_HEADER) or ""
    milliseconds = float(route.timeout_ms)
    if text.isdigit():
        milliseconds = min(milliseconds, float(text))
    return max(milliseconds / _MILLISECONDS - DEADLINE_SLACK_SECONDS, DEADLINE_SLACK_SECONDS)


def _write_later(request: Request, retry_after_seconds: float, status: int) -> None:
    """Answer that the caller is to come back."""
    set_retry_after(request, retry_after_seconds)
    write_json(request, _EMPTY, status)
