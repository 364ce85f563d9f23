"""Orders to workers as a worker reads them, and its answers."""

from __future__ import annotations

import msgspec

from onyxspoke.core.shard.orders import HoldResult, OrderOutcome, OrderResult
from onyxspoke.platform.counterpart.answers import (
    HTTP_CONFLICT,
    HTTP_OTHER_LIFE,
    HTTP_UNAVAILABLE,
    Answer,
)
from onyxspoke.platform.workers import encode_task

#: Names the life that an order is meant for.
LIFE_HEADER = "expected-instance"
START_CALL = "run-start"
STOP_CALL = "run-stop"
PACE_CALL = "pace"
HOLD_CALL = "hold"
_REASONS = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.STALE: "old",
    OrderOutcome.EXPIRED: "late",
    OrderOutcome.INSUFFICIENT_CAPACITY: "room",
    OrderOutcome.NO_TICKET: "ticket",
}


class OrderBody(msgspec.Struct, rename="camel"):
    """Body of any order; each call uses some of it."""

    fencing_token: int = 0
    task: str = ""
    run: int = 0
    spec: str = ""
    until_ms: int = 0
    checkpoint: str = ""
    ticket: str = ""
    last_seen: int = 0
    wait_ms: int = 0
    percent: int = 0


_decoder = msgspec.json.Decoder(OrderBody)


def read_order(data: bytes) -> OrderBody:
    """Return an order's body.

    Raises
    ------
    msgspec.MsgspecError
        Where it cannot be read.
    """
    return _decoder.decode(data)


def encode_order_result(result: OrderResult) -> Answer | None:
    """Return the answer to a start, a stop or a pace; None where none is sent."""
    if result.outcome is OrderOutcome.DONE:
        return Answer({"clockMs": result.clock_ms})
    return _encode_refusal(result.outcome, result.clock_ms)


def encode_hold_result(result: HoldResult) -> Answer | None:
    """Return the answer to a hold; None where none is sent."""
    if result.outcome is not OrderOutcome.DONE:
        return _encode_refusal(result.outcome, result.clock_ms)
    running = [
        [encode_task(report.run.task), report.run.number, "", report.percent]
        for report in result.running
    ]
    ended = [
        [report.number, encode_task(report.run.task), report.run.number, report.end.value, ""]
        for report in result.ended
    ]
    return Answer({"clockMs": result.clock_ms, "running": running, "ended": ended})


def _encode_refusal(outcome: OrderOutcome, clock_ms: int) -> Answer | None:
    reason = _REASONS.get(outcome)
    if reason is not None:
        return Answer({"clockMs": clock_ms, "reason": reason}, HTTP_CONFLICT)
    if outcome is OrderOutcome.OTHER_INCARNATION:
        return Answer({}, HTTP_OTHER_LIFE)
    if outcome is OrderOutcome.NO_ANSWER:
        return None
    return Answer({}, HTTP_UNAVAILABLE)
