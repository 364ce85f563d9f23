"""Steps for tasks that crash their workers, in virtual time."""

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
CRASHING_JOB_ID = "00000000000000c1"


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
    """Submit a job, and check that it is accepted within ``seconds``; 0 skips the check."""
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


def query_job_state(context: Any, job_id: JobId) -> str:
    """Return the state of a job that the holder reports."""
    cluster = context.cluster
    replies: list[CallReply | None] = []
    cluster.call(cluster.holder(), job_id, StateCall(job_id), replies.append)
    cluster.run(1.0)
    reply = replies[0]
    assert reply is not None
    cluster.audit.handle_state_reply(job_id, reply)
    return reply.state


def _submit_crashing(context: Any, step: StepSpec) -> None:
    context.cluster.pool.work.crashing.add(TaskKey(CRASHING_JOB_ID, 0, 0, 0))
    submit(context, make_job(context, CRASHING_JOB_ID, step))


@when("a job of one task that crashes its workers is submitted")
def _crashing_job(context: Any) -> None:
    _submit_crashing(context, StepSpec(task_count=1, processors_milli=1_000, memory_mb=512))


@when("a job of one long-running task that crashes its workers is submitted")
def _lasting_job(context: Any) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512, long_running=True)
    _submit_crashing(context, step)


@given('that cell with "{mechanism}" disabled')
def _without(context: Any, mechanism: str) -> None:
    if mechanism != "nothing":
        stack = ExitStack()
        context.add_cleanup(stack.close)
        stack.enter_context(MECHANISM_DISABLERS[mechanism]())


@given("that cell, where tasks crash their workers {seconds:g} seconds after they start")
def _crash_late(context: Any, seconds: float) -> None:
    context.cluster.pool.work.crash_seconds = seconds


@when("the holder is killed after each worker crash, and {seconds:g} seconds pass")
def _holder_dies(context: Any, seconds: float) -> None:
    """Kill the holder 1 ms after each worker crash, before it can notice the crash."""
    _holder_dies_after(context, 0.001)
    context.cluster.run(seconds)


@given("that cell, whose holder is killed {delay:g} seconds after each worker crash")
def _holder_dies_after(context: Any, delay: float) -> None:
    cluster = context.cluster
    crash = cluster.crash_worker

    def kill_holder() -> None:
        holder = cluster.holder()
        if holder is not None:
            cluster.kill_node(holder.name)
            cluster.time.schedule(1.0, lambda: cluster.start_node(holder.name))

    def crash_worker_then_holder(worker_id: str) -> None:
        crash(worker_id)
        cluster.time.schedule(delay, kill_holder)

    cluster.pool.on_crash = crash_worker_then_holder


@when("a job of a gang of {count:d} tasks of which one crashes its workers is submitted")
def _crashing_gang(context: Any, count: int) -> None:
    step = StepSpec(task_count=count, processors_milli=4_000, memory_mb=512, gang=True)
    _submit_crashing(context, step)


def _submit_ordinary_jobs(context: Any, count: int) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512, estimated_ms=1_000)
    for number in range(count):
        submit(context, make_job(context, f"{number:016x}", step), seconds=0.0)


@when("{count:d} jobs of one task each are handed in")
def _submit_jobs(context: Any, count: int) -> None:
    _submit_ordinary_jobs(context, count)


@when("{count:d} jobs of one task each and one that crashes its workers are submitted")
def _submit_jobs_and_crashing_job(context: Any, count: int) -> None:
    _submit_ordinary_jobs(context, count)
    _crashing_job(context)


@when("every worker that has runs crashes after {seconds:g} seconds, twice")
def _crash_all(context: Any, seconds: float) -> None:
    cluster = context.cluster
    for _ in range(2):
        cluster.run(seconds)
        busy_worker_ids = [
            worker.worker_id for worker in cluster.pool.workers.values() if worker.runs
        ]
        assert busy_worker_ids
        for worker_id in busy_worker_ids:
            cluster.crash_worker(worker_id)
        cluster.run(REBIRTH_SECONDS + seconds)


@when(
    "a job of one task is submitted, and its worker crashes just before its start arrives,"
    " {count:d} times"
)
def _down_before(context: Any, count: int) -> None:
    """Crash the worker while the order is on its way, so that no answer arrives."""
    cluster = context.cluster
    original = FakeWorkerOrders.start
    remaining_crashes = [count]

    def start(orders: FakeWorkerOrders, order: SendStart, on_result: Any) -> None:
        if remaining_crashes[0]:
            remaining_crashes[0] -= 1
            cluster.crash_worker(order.address.worker_id)
        original(orders, order, on_result)

    patch = mock.patch.object(FakeWorkerOrders, "start", start)
    patch.start()
    context.add_cleanup(patch.stop)
    _submit_ordinary_jobs(context, 1)


@then("{completed_count:d} of the {count:d} jobs are shown as completed")
def _completed(context: Any, completed_count: int, count: int) -> None:
    states = [query_job_state(context, f"{number:016x}") for number in range(count)]
    assert states.count("completed") == completed_count, states
    assert not context.cluster.audit.findings, context.cluster.audit.findings


LISTINGS = {
    "ready": WorkerListing.READY,
    "draining": WorkerListing.DRAINING,
    "gone": WorkerListing.GONE,
}
END_REASONS = {
    "another incarnation answers": IncarnationEndReason.OTHER_INCARNATION,
    "its lease has expired": IncarnationEndReason.LEASE_EXPIRED,
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


@given("a worker that was {last_listing} when it last answered, and is {listing}")
def _worker(context: Any, last_listing: str, listing: str) -> None:
    worker = context.worker = _make_worker()
    worker.listing = LISTINGS[last_listing]
    worker.note_answer(100.0)
    worker.listing = LISTINGS[listing]


@when("its incarnation counts as ended because {reason}")
def _end_worker_incarnation(context: Any, reason: str) -> None:
    context.has_crashed = has_crashed(context.worker, END_REASONS[reason])


@then("it has crashed")
def _has_crashed(context: Any) -> None:
    assert context.has_crashed


@then("it was partitioned")
@then("it has left")
def _has_not_crashed(context: Any) -> None:
    assert not context.has_crashed


@given("a worker that last answered at second {second:g}")
def _heard(context: Any, second: float) -> None:
    context.worker = _make_worker()
    context.worker.note_answer(second)


@given("runs on it that were ordered at seconds {ordered_at_seconds}")
def _runs(context: Any, ordered_at_seconds: str) -> None:
    context.ordered_at_seconds = [
        float(ordered_at_second) for ordered_at_second in ordered_at_seconds.split(",")
    ]


@given("{kind} tasks")
def _kind(context: Any, kind: str) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, long_running=kind == "long-running")
    queue = QueuePolicy(name="normal", service="s")
    for number, ordered_at_second in enumerate(context.ordered_at_seconds):
        spec = JobSpec(job_id=f"{number:016x}", queue=queue, payload="", steps=(step,))
        task = JobProgress(spec, 0.0).begin_repetition(0, 0.0)[0].tasks[0]
        run = Run(task, number + 1, context.worker, ordered_at_second)
        run.move_to(RunState.STARTING)
        run.ordered_at = ordered_at_second
        if ordered_at_second < context.worker.last_answer_at:
            run.move_to(RunState.RUNNING)
            run.confirmed_at = ordered_at_second
        context.worker.add(run)


@when("the worker counts as crashed at second {second:g}")
def _blame(context: Any, second: float) -> None:
    context.blame = [blame.value for _, blame in blame_runs(context.worker, second)]


@when(
    "a job of {count:d} tasks that all crash their workers is submitted,"
    " with at most {most_per_worker:d} on a worker"
)
def _all_crash(context: Any, count: int, most_per_worker: int) -> None:
    for index in range(count):
        context.cluster.pool.work.crashing.add(TaskKey(CRASHING_JOB_ID, 0, 0, index))
    step = StepSpec(
        task_count=count, processors_milli=1_000, memory_mb=512, spread_limit=most_per_worker
    )
    submit(context, make_job(context, CRASHING_JOB_ID, step))


@then("between {fewest:d} and {count:d} workers went down")
def _went_down_between(context: Any, fewest: int, count: int) -> None:
    down_workers = [worker for worker in context.cluster.pool.workers.values() if not worker.is_up]
    assert fewest <= len(down_workers) <= count, len(down_workers)


@then("at most {count:d} workers went down")
def _went_down(context: Any, count: int) -> None:
    down_workers = [worker for worker in context.cluster.pool.workers.values() if not worker.is_up]
    assert 0 < len(down_workers) <= count, len(down_workers)


@then("the blame of its runs is {blame}")
def _blamed(context: Any, blame: str) -> None:
    assert context.blame == [word.strip() for word in blame.split(",")], context.blame


@then("the job that crashes workers is reported as failed")
def _shown_failed(context: Any) -> None:
    state = query_job_state(context, CRASHING_JOB_ID)
    assert state == "failed", state
    assert not context.cluster.audit.findings, context.cluster.audit.findings
