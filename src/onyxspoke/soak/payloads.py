"""Jobs as callers put them on the wire, and what the payload tells the workers' stand-in."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec, QueuePolicy, StepSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.net.http_client import HttpAnswer
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS
from onyxspoke.soak.http import HTTP_OK, HTTP_UNAVAILABLE

_HTTP_GONE = 410
_HTTP_TOO_MANY = 429


class _Payload(msgspec.Struct, array_like=True):
    """Number of tasks of each step, and whether they can work only together."""

    job_id: JobId
    steps: list[tuple[int, bool]]


class _StateAnswer(msgspec.Struct):
    state: str = ""


def make_job(job_id: JobId, queue: str, service: str, steps: tuple[StepSpec, ...]) -> JobSpec:
    """Return a job whose payload tells workers what they need of it."""
    payload = _Payload(job_id, [(step.task_count, step.gang) for step in steps])
    return JobSpec(
        job_id=job_id,
        queue=QueuePolicy(name=queue, service=service, max_attempts=3),
        payload=msgspec.json.encode(payload).decode(),
        steps=steps,
    )


def read_payload(text: str) -> JobSpec:
    """Return as much of a job as its payload tells."""
    payload = msgspec.json.decode(text, type=_Payload)
    steps = tuple(StepSpec(task_count=count, gang=is_gang) for count, is_gang in payload.steps)
    return JobSpec(
        job_id=payload.job_id, queue=QueuePolicy(name="", service=""), payload=text, steps=steps
    )


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
    if answer.status == _HTTP_GONE:
        return CallReply(code=ReplyCode.NO_SUCH_JOB)
    if answer.status in (_HTTP_TOO_MANY, HTTP_UNAVAILABLE):
        return CallReply(code=ReplyCode.REFUSED)
    return None
