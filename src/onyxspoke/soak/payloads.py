"""What a job's payload tells the workers' stand-in of it."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec, QueuePolicy, StepSpec


class _Payload(msgspec.Struct, array_like=True):
    """Number of tasks of each step, and whether they can work only together."""

    job_id: JobId
    steps: list[tuple[int, bool]]


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
