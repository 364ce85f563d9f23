"""Orders to workers over HTTP; implements ``WorkerOrdersPort``."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from absl import logging

from onyxspoke.core.jobs.model import RunKey, TaskKey
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.shard.actions import (
    SendHold,
    SendPace,
    SendStart,
    SendStop,
    WorkerAddress,
)
from onyxspoke.core.shard.orders import (
    EndReport,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningReport,
)
from onyxspoke.net.http_client import HttpAnswer, HttpClient, MeantFor, encode_request
from onyxspoke.platform.order_ages import OrderAges
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS

ORDER_SECONDS = 0.2
#: Added to the time that an answer may wait for an end.
HOLD_SLACK_SECONDS = 0.2
#: A list of ends this long may have been cut off.
MAXIMUM_ENDS = 500
#: A longer checkpoint is not kept, so that the records of many tasks fit into the store.
MAXIMUM_CHECKPOINT_BYTES = 1_024

_HTTP_OK = 200
_HTTP_INVALID = 400
_HTTP_CONFLICT = 409
_HTTP_OTHER_LIFE = 421
_HTTP_UNHEALTHY = frozenset({429, 503})
_MILLISECONDS = 1_000.0
_REASONS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.STALE,
    "late": OrderOutcome.EXPIRED,
    "room": OrderOutcome.INSUFFICIENT_CAPACITY,
    "ticket": OrderOutcome.NO_TICKET,
}
_FIRST_COLUMNS = 4


class _StartBody(msgspec.Struct, rename="camel", omit_defaults=True):
    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _StopBody(msgspec.Struct, rename="camel"):
    task: str
    run: int
    fencing_token: int


class _PaceBody(msgspec.Struct, rename="camel"):
    task: str
    run: int
    percent: int
    fencing_token: int


class _HoldBody(msgspec.Struct, rename="camel", omit_defaults=True):
    fencing_token: int
    last_seen: int
    until_ms: int = 0
    wait_ms: int = 0


class _OrderAnswer(msgspec.Struct, rename="camel"):
    clock_ms: int = 0
    reason: str = ""


class _HoldAnswer(msgspec.Struct, rename="camel"):
    clock_ms: int = 0
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


_encoder = msgspec.json.Encoder()
_order_decoder = msgspec.json.Decoder(_OrderAnswer)
_hold_decoder = msgspec.json.Decoder(_HoldAnswer)


class WorkerOrders:
    """Sends orders to workers.

    Holds have connections of their own, because one of them may wait for an end.  A worker that
    starts again under its name takes orders that were meant for its former life: a number of ends
    that were noted then makes it drop its own ends, unread.  So each connection is used for the
    life that has answered on it, and a new one asks first, by a hold that notes nothing.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._ages = OrderAges(client.now)

    def hold(self, order: SendHold, on_result: Callable[[HoldResult], None]) -> None:
        """Fence, extend and look."""
        body = _HoldBody(order.token, order.acknowledged_through, order.until_ms, order.wait_ms)
        timeout = order.wait_ms / _MILLISECONDS + HOLD_SLACK_SECONDS
        lane = "wait" if order.wait_ms else "look"
        self._send(
            order.address,
            "hold",
            _encoder.encode(body),
            timeout,
            lambda answer: on_result(read_hold(answer, order.address.born_ms)),
            lane,
            _meant_for(order.address, order.token, is_harmless=order.acknowledged_through == 0),
            order.decided_at,
        )

    def start(self, order: SendStart, on_result: Callable[[OrderResult], None]) -> None:
        """Start a run."""
        body = _StartBody(
            encode_task(order.run.task),
            order.run.number,
            order.payload,
            order.until_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        self._send_order(order.address, order.token, "run-start", body, on_result, order.decided_at)

    def stop(self, order: SendStop, on_result: Callable[[OrderResult], None]) -> None:
        """Stop a run."""
        body = _StopBody(encode_task(order.run.task), order.run.number, order.token)
        self._send_order(order.address, order.token, "run-stop", body, on_result)

    def pace(self, order: SendPace, on_result: Callable[[OrderResult], None]) -> None:
        """Change the pace of a run."""
        task = encode_task(order.run.task)
        body = _PaceBody(task, order.run.number, order.percent, order.token)
        self._send_order(order.address, order.token, "pace", body, on_result)

    def drop(self, address: WorkerAddress) -> None:
        """Close the connections to a life that is over."""
        self._client.close(address.host, address.port)

    def _send_order(
        self,
        address: WorkerAddress,
        token: int,
        name: str,
        body: _StartBody | _StopBody | _PaceBody,
        on_result: Callable[[OrderResult], None],
        decided_at: float = 0.0,
    ) -> None:
        self._send(
            address,
            name,
            _encoder.encode(body),
            ORDER_SECONDS,
            lambda answer: on_result(read_order(answer)),
            "look",
            _meant_for(address, token, is_harmless=False),
            decided_at,
        )

    def _send(
        self,
        address: WorkerAddress,
        name: str,
        body: bytes,
        timeout: float,
        on_answer: Callable[[HttpAnswer], None],
        lane: str,
        meant_for: MeantFor | None,
        decided_at: float,
    ) -> None:
        self._client.call(
            address.host,
            address.port,
            _encode_call(address, name, body),
            timeout,
            on_answer,
            lane,
            meant_for,
            partial(self._ages.note_written, name, address.worker_id, decided_at),
        )


def _encode_call(address: WorkerAddress, name: str, body: bytes) -> bytes:
    return encode_request(
        "POST",
        f"/onyxspoke/{name}",
        f"{address.host}:{address.port}",
        body,
        f"Content-Type: application/json\r\nExpected-Instance: {address.worker_id}\r\n",
    )


def _meant_for(address: WorkerAddress, token: int, *, is_harmless: bool) -> MeantFor | None:
    """Return what keeps a call to the life of a worker that its address names.

    A harmless call does nothing at another life, and so needs no question before it.
    """
    if not address.born_ms:
        return None
    look = _encoder.encode(_HoldBody(token, last_seen=0))
    question = b"" if is_harmless else _encode_call(address, "hold", look)
    return MeantFor(address.born_ms, question, _read_born)


def _read_born(answer: HttpAnswer) -> int:
    return read_hold(answer).born_ms


def encode_task(task: TaskKey) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.task_index}"


def decode_task(name: str) -> TaskKey:
    """Return the task that a name on the wire stands for; raise ``ValueError``."""
    job_id, repetition, step, index = name.split(".")
    return TaskKey(job_id, int(repetition), int(step), int(index))


def read_order(answer: HttpAnswer) -> OrderResult:
    """Return what an answer to a start or a stop says."""
    outcome = _outcome_without_body(answer)
    if outcome is not None:
        return OrderResult(outcome)
    try:
        body = _order_decoder.decode(answer.body or b"{}")
    except UNREADABLE_ERRORS:
        return OrderResult(OrderOutcome.NO_ANSWER)
    if answer.status == _HTTP_OK:
        return OrderResult(OrderOutcome.DONE, body.clock_ms)
    return OrderResult(_REASONS.get(body.reason, OrderOutcome.INVALID), body.clock_ms)


def read_hold(answer: HttpAnswer, born_ms: int = 0) -> HoldResult:
    """Return what an answer to a hold says.

    Parameters
    ----------
    born_ms : int
        When the life started for which the hold was meant; 0 where that is not known.
    """
    outcome = _outcome_without_body(answer)
    if outcome is not None:
        return HoldResult(outcome, born_ms=answer.other_process)
    result = _read_lists(answer)
    if born_ms and result.born_ms and result.born_ms != born_ms:
        return HoldResult(OrderOutcome.OTHER_INCARNATION, born_ms=result.born_ms)
    return result


def _read_lists(answer: HttpAnswer) -> HoldResult:
    try:
        if answer.status != _HTTP_OK:
            reason = _order_decoder.decode(answer.body or b"{}").reason
            return HoldResult(_REASONS.get(reason, OrderOutcome.INVALID))
        body = _hold_decoder.decode(answer.body)
        return HoldResult(
            OrderOutcome.DONE,
            clock_ms=body.clock_ms,
            running=[_to_running(row) for row in body.running],
            ended=[_to_end(row) for row in body.ended],
            is_complete=len(body.ended) < MAXIMUM_ENDS,
            born_ms=body.born,
        )
    except (*UNREADABLE_ERRORS, ValueError, IndexError, TypeError):
        return HoldResult(OrderOutcome.NO_ANSWER)


def _outcome_without_body(answer: HttpAnswer) -> OrderOutcome | None:
    if answer.other_process:
        return OrderOutcome.OTHER_INCARNATION
    if answer.status == 0:
        return OrderOutcome.NO_ANSWER if answer.was_sent else OrderOutcome.NOT_SENT
    if answer.status == _HTTP_OTHER_LIFE:
        return OrderOutcome.OTHER_INCARNATION
    if answer.status in _HTTP_UNHEALTHY:
        return OrderOutcome.UNHEALTHY
    if answer.status == _HTTP_INVALID:
        return OrderOutcome.INVALID
    if answer.status not in (_HTTP_OK, _HTTP_CONFLICT):
        return OrderOutcome.NO_ANSWER
    return None


def _to_running(row: list[Any]) -> RunningReport:
    task, run, checkpoint, percent = row[:_FIRST_COLUMNS]
    usage = int(row[_FIRST_COLUMNS]) if len(row) > _FIRST_COLUMNS else 0
    checkpoint = _read_checkpoint(task, checkpoint)
    return RunningReport(RunKey(decode_task(task), run), checkpoint, int(percent), usage)


def _to_end(row: list[Any]) -> EndReport:
    number, task, run, end, checkpoint = row
    checkpoint = _read_checkpoint(task, checkpoint)
    return EndReport(number, RunKey(decode_task(task), run), RunEnd(end), checkpoint)


def _read_checkpoint(task: str, checkpoint: Any) -> str:
    """Return a checkpoint, or none if it is no text or too long to be kept."""
    if isinstance(checkpoint, str) and len(checkpoint.encode()) <= MAXIMUM_CHECKPOINT_BYTES:
        return checkpoint
    logging.warning("event=checkpoint_unusable task=%.100r", task)
    return ""
