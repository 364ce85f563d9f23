"""Jobs as callers put them on the wire, and what they are told."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.net.http_client import HttpAnswer
from onyxspoke.platform.counterpart.answers import (
    HTTP_GONE,
    HTTP_OK,
    HTTP_TOO_MANY,
    HTTP_UNAVAILABLE,
)
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS

#: Where the balancer asks whether a node takes callers.
READY_TARGET = "/onyxspoke/ready"


class _StateAnswer(msgspec.Struct):
    state: str = ""


def encode_patience(patience_ms: int) -> str:
    """Return the header line that tells how long a caller waits."""
    return f"Request-Deadline-Ms: {patience_ms}\r\n"


def encode_job(spec: JobSpec) -> bytes:
    """Return the body that hands a job in."""
    steps = [
        {
            "count": step.task_count,
            "cpu": step.processors_milli,
            "memMb": step.memory_mb,
            "estimatedMs": step.estimated_ms,
            "dependsOn": list(step.depends_on),
            "checkpointing": step.checkpointing,
            "gang": step.gang,
            "requirements": step.required_label,
            "antiAffinity": step.spread_limit,
        }
        for step in spec.steps
    ]
    shown = [{name: value for name, value in step.items() if value} for step in steps]
    return msgspec.json.encode({"spec": spec.payload, "steps": shown})


def read_reply(answer: HttpAnswer) -> CallReply | None:
    """Return what a caller was told; None where it is left in the dark."""
    if answer.status == HTTP_OK:
        try:
            state = msgspec.json.decode(answer.body or b"{}", type=_StateAnswer).state
        except UNREADABLE_ERRORS:
            return None
        return CallReply(code=ReplyCode.OK, state=state)
    if answer.status == HTTP_GONE:
        return CallReply(code=ReplyCode.NO_SUCH_JOB)
    if answer.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
        return CallReply(code=ReplyCode.REFUSED)
    return None
