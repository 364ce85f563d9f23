"""Steps that cause the specific fault that one mechanism guards against, in virtual time."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from behave import given, then, when
from job_promise_steps import MECHANISM_DISABLERS

from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import (
    Call,
    CallReply,
    CancelCall,
    ReplyCode,
    StateCall,
    SubmitCall,
    WaitingCountCall,
)
from onyxspoke.kit.jobs.audit import Violation
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import WORKER_CAPACITY, ClusterOptions, JobCluster, SimulatedNode

SETTLE_SECONDS = 2.0
TOLERANCE_SECONDS = 0.1
FIRST_JOB = "00000000000000a1"
SECOND_JOB = "00000000000000a2"


def _start_cluster(context: Any, workers: int) -> None:
    work = WorkOptions(seed=5, shortest_seconds=8.0, longest_seconds=8.0)
    options = ClusterOptions(seed=5, workers=workers, with_advice=False, work=work)
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holder = context.cluster.holder()


@given("a cluster with {count:d} worker(s)")
def _cluster(context: Any, count: int) -> None:
    _start_cluster(context, count)


@given('a cluster with {count:d} worker(s), without "{mechanism}"')
def _cluster_without(context: Any, count: int, mechanism: str) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    stack.enter_context(MECHANISM_DISABLERS[mechanism]())
    _start_cluster(context, count)


def _whole_worker_job(
    context: Any, job_id: str, queue_name: str = "normal", checkpointing: bool = False
) -> JobSpec:
    """Return a job of one task that needs the whole capacity of a worker."""
    policy = context.cluster.configuration.configuration.policy
    step = StepSpec(
        task_count=1,
        processors_milli=WORKER_CAPACITY.processors_milli,
        memory_mb=WORKER_CAPACITY.memory_mb,
        estimated_ms=8_000,
        checkpointing=checkpointing,
    )
    queue = policy.queues[queue_name]
    return JobSpec(job_id=job_id, queue=queue, payload=f"payload-{job_id}", steps=(step,))


def _call(context: Any, node: SimulatedNode, job_id: str, call: Call) -> CallReply | None:
    replies: list[CallReply | None] = []
    context.cluster.call(node, job_id, call, replies.append, seconds=1.0)
    context.cluster.run(1.5)
    return replies[0]


def _submit(context: Any, job_id: str, **traits: Any) -> None:
    cluster = context.cluster
    spec = _whole_worker_job(context, job_id, **traits)
    cluster.pool.specs[job_id] = spec
    cluster.audit.handle_submitted(spec)
    reply = _call(context, cluster.holder(), job_id, SubmitCall(spec))
    cluster.audit.handle_submit_reply(job_id, reply)
    assert reply is not None
    assert reply.code is ReplyCode.OK, reply


@given("a job that needs a whole worker is running")
@when("a job that needs a whole worker is accepted")
def _first_job(context: Any) -> None:
    _submit(context, FIRST_JOB)


def _send(context: Any, spec: JobSpec, seconds: float) -> None:
    """Submit a job without waiting for the reply, and let some time pass."""
    cluster = context.cluster
    cluster.pool.specs[spec.job_id] = spec
    cluster.audit.handle_submitted(spec)

    def take(reply: CallReply | None) -> None:
        cluster.audit.handle_submit_reply(spec.job_id, reply)

    cluster.call(cluster.holder(), spec.job_id, SubmitCall(spec), take, seconds=1.0)
    cluster.run(seconds)


@given("a checkpointing job of the patient queue uses a whole worker")
def _patient_job(context: Any) -> None:
    _submit(context, FIRST_JOB, queue_name="patient", checkpointing=True)


@when("an urgent job that needs a whole worker is submitted, and {seconds:g} seconds pass")
def _urgent_job(context: Any, seconds: float) -> None:
    _send(context, _whole_worker_job(context, SECOND_JOB, "urgent"), seconds)


@when("nothing else happens")
def _nothing_else(context: Any) -> None:
    """Cause no fault."""


@when("the holder is killed, and another node holds the shard")
def _kill_and_replace(context: Any) -> None:
    _kill(context)
    _other_holder(context)


@then("both jobs eventually complete")
def _both_done(context: Any) -> None:
    context.cluster.run(25.0)
    for job_id in (FIRST_JOB, SECOND_JOB):
        reply = _call(context, context.cluster.holder(), job_id, StateCall(job_id))
        assert reply is not None
        assert reply.state == "completed", (job_id, reply)


@given("a second such job is submitted")
@when("a second such job is submitted")
def _second_job(context: Any) -> None:
    context.second_at = context.cluster.time.now()
    _submit(context, SECOND_JOB)
    context.cluster.run(2.0)


@then("the successor knows since when the second job has waited")
def _check_waiting_since(context: Any) -> None:
    scheduler = context.successor.node.seats[0].scheduler
    accepted_at = scheduler.context.job_registry.jobs[SECOND_JOB].accepted_at
    assert abs(accepted_at - context.second_at) < TOLERANCE_SECONDS, (
        accepted_at,
        context.second_at,
    )


@given("its tasks take {seconds:g} seconds")
def _set_task_seconds(context: Any, seconds: float) -> None:
    work = context.cluster.pool.work
    work.shortest_seconds = work.longest_seconds = seconds


@when("the workers handle orders {seconds:g} seconds late")
def _delay_orders(context: Any, seconds: float) -> None:
    for worker in context.cluster.pool.workers.values():
        worker.faults.late_share = 1.0
        worker.faults.late_seconds = seconds


@when("the workers handle orders without delay")
def _end_order_delay(context: Any) -> None:
    for worker in context.cluster.pool.workers.values():
        worker.faults.late_share = 0.0


@when("the first job is submitted, and {seconds:g} seconds pass")
def _submit_first(context: Any, seconds: float) -> None:
    _send(context, _whole_worker_job(context, FIRST_JOB), seconds)


@when("a job that needs a whole worker is accepted, and {seconds:g} seconds pass")
def _accepted(context: Any, seconds: float) -> None:
    _submit_first(context, seconds)
    assert context.cluster.audit.jobs[FIRST_JOB].accepted_at is not None


@when("the store stops answering calls")
def _stop_store(context: Any) -> None:
    context.cluster.store.faults.is_down = True


@when("the store answers again in that cell")
def _restore_store(context: Any) -> None:
    context.cluster.store.faults.is_down = False


@when("{seconds:g} seconds pass in that cell")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@given("its workers take {seconds:g} seconds to stop a run")
def _stop_takes(context: Any, seconds: float) -> None:
    context.cluster.pool.stop_grace_seconds = seconds


@when("the holder is killed, and its successor cannot reach the worker that runs the job")
def _kill_and_cut(context: Any) -> None:
    cluster = context.cluster
    busy = [worker.worker_id for worker in cluster.pool.workers.values() if worker.runs]
    assert len(busy) == 1
    for node in cluster.nodes.values():
        cluster.cut(node.host, busy)
    cluster.kill_node(context.holder.name)
    _other_holder(context)


@given("the other workers receive no orders")
def _no_orders(context: Any) -> None:
    workers = context.cluster.pool.workers.values()
    idle = [worker.worker_id for worker in workers if not worker.runs]
    context.idle = [(node.host, idle) for node in context.cluster.nodes.values()]
    for host, names in context.idle:
        context.cluster.cut(host, names)


@when("the other workers receive orders again")
def _orders_again(context: Any) -> None:
    for host, names in context.idle:
        context.cluster.heal(host, names)


@when("the holder is cut off from the worker that runs the job")
def _cut_worker(context: Any) -> None:
    workers = context.cluster.pool.workers.values()
    busy = [worker.worker_id for worker in workers if worker.runs]
    assert len(busy) == 1
    context.cluster.cut(context.holder.host, busy)


@when("the holder is paused")
def _pause(context: Any) -> None:
    context.holder.process.pause()


@when("the holder is cut off from the workers")
def _cut_workers(context: Any) -> None:
    context.cluster.cut(context.holder.host, list(context.cluster.pool.workers))


@when("the job is cancelled")
def _cancel(context: Any) -> None:
    cluster = context.cluster
    cluster.audit.handle_cancel_sent(FIRST_JOB)
    reply = _call(context, cluster.holder(), FIRST_JOB, CancelCall(FIRST_JOB))
    assert reply is not None
    cluster.audit.handle_cancel_reply(FIRST_JOB, reply)


@when("the holder is killed")
def _kill(context: Any) -> None:
    context.cluster.kill_node(context.holder.name)


@when("another node holds the shard")
def _other_holder(context: Any) -> None:
    cluster = context.cluster
    for _ in range(100):
        if any(node.is_holding and node is not context.holder for node in cluster.nodes.values()):
            break
        cluster.run(0.1)
    others = [node for node in cluster.nodes.values() if node is not context.holder]
    context.successor = next(node for node in others if node.is_holding)
    # The previous holder may still consider itself the holder, so calls go to the successor.
    cluster.holder = lambda: context.successor


@when("the previous holder resumes and is asked for the job")
def _ask_previous_holder(context: Any) -> None:
    context.holder.process.resume()
    reply = _call(context, context.holder, FIRST_JOB, StateCall(FIRST_JOB))
    if reply is not None:
        context.cluster.audit.handle_state_reply(FIRST_JOB, reply)


@then("the cluster has broken nothing")
def _nothing_broken(context: Any) -> None:
    assert context.cluster.audit.checks
    assert not context.cluster.audit.findings, context.cluster.audit.findings


@then('the cluster has broken "{name}"')
def _broken(context: Any, name: str) -> None:
    found = {finding.violation for finding in context.cluster.audit.findings}
    assert Violation(name) in found, found


@when("one of its idle workers is drained, and is gone after {seconds:g} second")
def _leave(context: Any, seconds: float) -> None:
    workers = context.cluster.pool.workers.values()
    idle = next(worker.worker_id for worker in workers if not worker.runs)
    context.cluster.drain_worker(idle, seconds)


@when("the store answers again, without the entries of live workers")
def _answers_without_entries(context: Any) -> None:
    for worker_id in list(context.cluster.pool.workers):
        context.cluster.directory.drop(worker_id)
    context.cluster.store.faults.is_down = False


@when("the entries of its workers are deleted while the workers keep running")
def _entries_go(context: Any) -> None:
    for worker_id in list(context.cluster.pool.workers):
        context.cluster.directory.drop(worker_id)


@then("the second job has not started")
def _has_not_begun(context: Any) -> None:
    assert not context.cluster.audit.jobs[SECOND_JOB].has_started


@then("the first job is completed")
def _first_done(context: Any) -> None:
    reply = _call(context, context.cluster.holder(), FIRST_JOB, StateCall(FIRST_JOB))
    assert reply is not None
    assert reply.state == "completed", reply


@then("the first job has {state}")
def _first_has(context: Any, state: str) -> None:
    assert context.cluster.audit.jobs[FIRST_JOB].has_started is (state == "started")


@then("the second job has started")
def _has_begun(context: Any) -> None:
    assert context.cluster.audit.jobs[SECOND_JOB].has_started


@then("the second job eventually starts")
def _runs(context: Any) -> None:
    context.cluster.run(8.0)
    assert context.cluster.audit.jobs[SECOND_JOB].has_started


@then('{count:d} job is reported as waiting in the queue "{queue}"')
@then('{count:d} jobs are reported as waiting in the queue "{queue}"')
def _said_to_wait(context: Any, count: int, queue: str) -> None:
    reply = _call(context, context.cluster.holder(), "", WaitingCountCall(queue))
    assert reply is not None and reply.code is ReplyCode.OK, reply
    assert reply.waiting == count, reply
