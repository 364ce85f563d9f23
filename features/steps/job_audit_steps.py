"""Steps that tell the audit of jobs what workers and callers saw, event by event."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given, then, when

from onyxspoke.core.jobs.model import (
    JobSpec,
    QueuePolicy,
    ResourceVector,
    RunKey,
    StepSpec,
    TaskKey,
)
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.kit.jobs.audit import JobAudit
from onyxspoke.sim.virtual_reactor import VirtualTime

JOB = "00000000000000a1"
PAYLOAD = "payload"
PAUSE_SECONDS = 2.0
TASK = TaskKey(job_id=JOB, repetition=0, step=0, task_index=0)
FIRST_RUN = RunKey(task=TASK, number=1)
SECOND_RUN = RunKey(task=TASK, number=2)


class _SeenWorker:
    """What the audit sees of a worker; implements ``SeenWorker``."""

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.record = WorkerRecord(
            worker_id=worker_id,
            host="10.9.0.1",
            port=8_000,
            service="service",
            zone="zone",
            capacity=ResourceVector(1_000, 1_000, 0),
            kind="a",
            rack="r",
            labels=(),
        )
        self.ended: list[RunKey] = []

    def listed_runs(self) -> list[RunKey]:
        """Return the runs whose ends are not noted yet."""
        return self.ended


@given("an audited job of one task, whose run has ended done on a worker")
def _ended(context: Any) -> None:
    context.time = VirtualTime()
    context.audit = JobAudit(context.time)
    context.first, context.second = _SeenWorker("w1"), _SeenWorker("w2")
    queue = QueuePolicy(
        name="normal", service="service", priority=0, max_attempts=3, stretch=2.0, advice=None
    )
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=1_000, estimated_ms=1_000)
    audit = context.audit
    audit.handle_submitted(JobSpec(job_id=JOB, queue=queue, payload=PAYLOAD, steps=(step,)))
    audit.handle_submit_reply(JOB, CallReply(code=ReplyCode.OK))
    audit.handle_started(context.first, FIRST_RUN, PAYLOAD, "node")
    audit.handle_ended(context.first, FIRST_RUN, RunEnd.DONE)
    context.first.ended.append(FIRST_RUN)


def _start_elsewhere(context: Any) -> None:
    context.audit.handle_started(context.second, SECOND_RUN, PAYLOAD, "node")


def _note_end(context: Any) -> None:
    context.audit.handle_noted(context.first, FIRST_RUN, RunEnd.DONE)
    context.first.ended.clear()


def _lapse(context: Any) -> None:
    context.audit.handle_lapsed(context.first)


def _pass_time(context: Any) -> None:
    context.time.run_until(context.time.now() + PAUSE_SECONDS)


def _show(context: Any, state: str) -> None:
    context.audit.handle_state_reply(JOB, CallReply(code=ReplyCode.OK, state=state))


EVENTS: dict[str, Callable[[Any], None]] = {
    "it starts elsewhere": _start_elsewhere,
    "its end is noted": _note_end,
    "the lease lapses": _lapse,
    "2 seconds pass": _pass_time,
    "it is shown completed": lambda context: _show(context, "completed"),
    "it is shown running": lambda context: _show(context, "running"),
}


@when("the audit is told: {events}")
def _happen(context: Any, events: str) -> None:
    for event in events.split(", "):
        EVENTS[event](context)


@then("the audit has found {found}")
def _found(context: Any, found: str) -> None:
    names = {item.violation.value for item in context.audit.findings}
    assert names == (set() if found == "nothing" else {found}), context.audit.findings
