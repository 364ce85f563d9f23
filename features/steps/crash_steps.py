"""Steps about tasks that crash the workers that start them, in virtual time."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any
from unittest import mock

from behave import given, then, when
from job_promise_steps import MECHANISM_DISABLERS

from onyxspoke.core.jobs.model import JobId, JobSpec, QueuePolicy, ResourceVector, StepSpec, TaskKey
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.blame import IncarnationEndReason, blame_runs, has_crashed
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing, WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.core.shard.calls import CallReply, ReplyCode, StateCall, SubmitCall
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
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


def submit(context: Any, spec: JobSpec, seconds: float = 0.2) -> None:
    """Hand a job in; after so long it is to be accepted, unless that is 0."""
    cluster = context.cluster
    cluster.pool.specs[spec.job_id] = spec
    cluster.audit.handle_submitted(spec)
    replies: list[CallReply | None] = []
    cluster.call(cluster.holder(), spec.job_id, SubmitCall(spec), replies.append)
    if not seconds:
        return
    cluster.run(seconds)
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


@given('that cell without "{mechanism}"')
def _without(context: Any, mechanism: str) -> None:
    if mechanism != "nothing":
        stack = ExitStack()
        context.add_cleanup(stack.close)
        stack.enter_context(MECHANISM_DISABLERS[mechanism]())


@given("that cell, whose tasks crash their workers {seconds:g} seconds after the start")
def _crash_late(context: Any, seconds: float) -> None:
    context.cluster.pool.work.crash_seconds = seconds


@when("the holder dies at each crash, for {seconds:g} seconds")
def _holder_dies(context: Any, seconds: float) -> None:
    """The holder's process ends 1 ms after each crash, before it can have heard of it."""
    _holder_dies_after(context, 0.001)
    context.cluster.run(seconds)


@given("that cell, whose holder dies {delay:g} seconds after each crash")
def _holder_dies_after(context: Any, delay: float) -> None:
    cluster = context.cluster
    crash = cluster.crash_worker

    def kill_holder() -> None:
        holder = cluster.holder()
        if holder is not None:
            cluster.kill_node(holder.name)
            cluster.time.schedule(1.0, lambda: cluster.start_node(holder.name))

    def crash_both(worker_id: str) -> None:
        crash(worker_id)
        cluster.time.schedule(delay, kill_holder)

    cluster.pool.on_crash = crash_both


@when("a job of a gang of {count:d} of which one member crashes its workers is handed in")
def _crashing_gang(context: Any, count: int) -> None:
    step = StepSpec(task_count=count, processors_milli=4_000, memory_mb=512, gang=True)
    _submit_crashing(context, step)


def _submit_innocent(context: Any, count: int) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512, estimated_ms=1_000)
    for number in range(count):
        submit(context, make_job(context, f"{number:016x}", step), seconds=0.0)


@when("{count:d} jobs of one task each are handed in")
def _innocent(context: Any, count: int) -> None:
    _submit_innocent(context, count)


@when("{count:d} jobs of one task each are handed in together with one that crashes its workers")
def _innocent_beside(context: Any, count: int) -> None:
    _submit_innocent(context, count)
    _crashing_job(context)


@when("every worker that runs something crashes after {seconds:g} seconds, twice")
def _crash_all(context: Any, seconds: float) -> None:
    cluster = context.cluster
    for _ in range(2):
        cluster.run(seconds)
        busy = [worker.worker_id for worker in cluster.pool.workers.values() if worker.runs]
        assert busy
        for worker_id in busy:
            cluster.crash_worker(worker_id)
        cluster.run(REBIRTH_SECONDS + seconds)


@when(
    "a job of one task is handed in whose workers crash just before its start arrives,"
    " {count:d} times"
)
def _down_before(context: Any, count: int) -> None:
    """The order is on its way when the worker goes down, and no answer comes."""
    cluster = context.cluster
    original = FakeWorkerOrders.start
    left = [count]

    def start(orders: FakeWorkerOrders, order: SendStart, on_result: Any) -> None:
        if left[0]:
            left[0] -= 1
            cluster.crash_worker(order.address.worker_id)
        original(orders, order, on_result)

    patch = mock.patch.object(FakeWorkerOrders, "start", start)
    patch.start()
    context.add_cleanup(patch.stop)
    _submit_innocent(context, 1)


@then("{done:d} of the {count:d} jobs are shown as completed")
def _completed(context: Any, done: int, count: int) -> None:
    states = [state_of(context, f"{number:016x}") for number in range(count)]
    assert states.count("completed") == done, states
    assert not context.cluster.audit.findings, context.cluster.audit.findings


LISTINGS = {
    "ready": WorkerListing.READY,
    "draining": WorkerListing.DRAINING,
    "gone": WorkerListing.GONE,
}
SIGNS = {
    "another life answers": IncarnationEndReason.OTHER_INCARNATION,
    "its lease is over": IncarnationEndReason.LEASE_EXPIRED,
}


def _make_worker() -> Worker:
    record = WorkerRecord(
        worker_id="w1",
        host="10.9.0.1",
        port=8_000,
        service="s",
        zone="z",
        capacity=ResourceVector(64_000),
    )
    return Worker(record, previous_lease_expires_at=0.0)


@given("a worker that was {last} when it was last heard of, and is {listed}")
def _worker(context: Any, last: str, listed: str) -> None:
    worker = context.worker = _make_worker()
    worker.listing = LISTINGS[last]
    worker.note_answer(100.0)
    worker.listing = LISTINGS[listed]


@when("its life is taken for over because {sign}")
def _over(context: Any, sign: str) -> None:
    context.has_crashed = has_crashed(context.worker, SIGNS[sign])


@then("it has crashed")
def _has_crashed(context: Any) -> None:
    assert context.has_crashed


@then("it was cut off")
@then("it has left")
def _has_not_crashed(context: Any) -> None:
    assert not context.has_crashed


@given("a worker that was last heard of at second {second:g}")
def _heard(context: Any, second: float) -> None:
    context.worker = _make_worker()
    context.worker.note_answer(second)


@given("runs on it that were ordered at {moments}")
def _runs(context: Any, moments: str) -> None:
    context.moments = [float(moment) for moment in moments.split(",")]


@given("{kind} tasks")
def _kind(context: Any, kind: str) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, long_running=kind == "lasting")
    queue = QueuePolicy(name="normal", service="s")
    for number, moment in enumerate(context.moments):
        spec = JobSpec(job_id=f"{number:016x}", queue=queue, payload="", steps=(step,))
        task = JobProgress(spec, 0.0).begin_repetition(0, 0.0)[0].tasks[0]
        run = Run(task, number + 1, context.worker, moment)
        run.move_to(RunState.STARTING)
        run.ordered_at = moment
        if moment < context.worker.last_answer_at:
            run.move_to(RunState.RUNNING)
            run.confirmed_at = moment
        context.worker.add(run)


@when("the worker is taken for crashed at second {second:g}")
def _blame(context: Any, second: float) -> None:
    context.blame = [blame.value for _, blame in blame_runs(context.worker, second)]


@when(
    "a job of {count:d} tasks that all crash their workers is handed in,"
    " {most:d} on a worker at most"
)
def _all_crash(context: Any, count: int, most: int) -> None:
    for index in range(count):
        context.cluster.pool.work.crashing.add(TaskKey(CRASHING_JOB, 0, 0, index))
    step = StepSpec(task_count=count, processors_milli=1_000, memory_mb=512, spread_limit=most)
    submit(context, make_job(context, CRASHING_JOB, step))


@then("between {least:d} and {count:d} workers went down")
def _went_down_between(context: Any, least: int, count: int) -> None:
    down = [worker for worker in context.cluster.pool.workers.values() if not worker.is_up]
    assert least <= len(down) <= count, len(down)


@then("at most {count:d} workers went down")
def _went_down(context: Any, count: int) -> None:
    down = [worker for worker in context.cluster.pool.workers.values() if not worker.is_up]
    assert 0 < len(down) <= count, len(down)


@then("the blame of its runs is {blame}")
def _blamed(context: Any, blame: str) -> None:
    assert context.blame == [word.strip() for word in blame.split(",")], context.blame


@then("the job that crashes workers is shown as failed")
def _shown_failed(context: Any) -> None:
    state = state_of(context, CRASHING_JOB)
    assert state == "failed", state
    assert not context.cluster.audit.findings, context.cluster.audit.findings
