"""Steps about tasks that crash the workers that start them, in virtual time."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from onyxspoke.core.jobs.model import JobId, JobSpec, StepSpec, TaskKey
from onyxspoke.core.shard.calls import CallReply, ReplyCode, StateCall, SubmitCall
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import REBIRTH_SECONDS, ClusterOptions, JobCluster

SETTLE_SECONDS = 2.0
CRASHING_JOB = "00000000000000c1"


@given("a cell of {count:d} workers that are back 3 seconds after a crash")
def _cell(context: Any, count: int) -> None:
    assert REBIRTH_SECONDS == 3.0
    work = WorkOptions(seed=7, shortest_seconds=1.0, longest_seconds=1.0)
    context.cluster = JobCluster(
        ClusterOptions(seed=7, workers=count, with_advice=False, work=work)
    )
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


def make_job(context: Any, job_id: JobId, step: StepSpec) -> JobSpec:
    """Return a job of one step in the normal queue."""
    queue = context.cluster.configuration.configuration.policy.queues["normal"]
    return JobSpec(job_id=job_id, queue=queue, payload=f"payload-{job_id}", steps=(step,))


def submit(context: Any, spec: JobSpec) -> None:
    """Hand a job in, and see it accepted."""
    cluster = context.cluster
    cluster.pool.specs[spec.job_id] = spec
    cluster.audit.handle_submitted(spec)
    replies: list[CallReply | None] = []
    cluster.call(cluster.holder(), spec.job_id, SubmitCall(spec), replies.append)
    cluster.run(0.2)
    assert replies and replies[0] is not None and replies[0].code is ReplyCode.OK, replies
    cluster.audit.handle_submit_reply(spec.job_id, replies[0])


def state_of(context: Any, job_id: JobId) -> str:
    """Return the state in which a job is shown."""
    cluster = context.cluster
    replies: list[CallReply | None] = []
    cluster.call(cluster.holder(), job_id, StateCall(job_id), replies.append)
    cluster.run(1.0)
    reply = replies[0]
    assert reply is not None
    cluster.audit.handle_state_reply(job_id, reply)
    return reply.state


def _submit_crashing(context: Any, step: StepSpec) -> None:
    context.cluster.pool.work.crashing.add(TaskKey(CRASHING_JOB, 0, 0, 0))
    submit(context, make_job(context, CRASHING_JOB, step))


@when("a job of one task that crashes its workers is handed in")
def _crashing_job(context: Any) -> None:
    _submit_crashing(context, StepSpec(task_count=1, processors_milli=1_000, memory_mb=512))


@when("a job of one lasting task that crashes its workers is handed in")
def _lasting_job(context: Any) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512, long_running=True)
    _submit_crashing(context, step)


@when("the holder dies at each crash, for {seconds:g} seconds")
def _holder_dies(context: Any, seconds: float) -> None:
    """The holder's process ends 1 ms after each crash, before it can have heard of it."""
    cluster = context.cluster
    crash = cluster.crash_worker

    def crash_both(worker_id: str) -> None:
        crash(worker_id)
        holder = cluster.holder()
        if holder is not None:
            cluster.time.schedule(0.001, lambda: cluster.kill_node(holder.name))
            cluster.time.schedule(1.0, lambda: cluster.start_node(holder.name))

    cluster.pool.on_crash = crash_both
    cluster.run(seconds)


@then("the job that crashes workers is shown as failed")
def _shown_failed(context: Any) -> None:
    state = state_of(context, CRASHING_JOB)
    assert state == "failed", state
    assert not context.cluster.audit.findings, context.cluster.audit.findings
