"""Steps about lists of a worker that pass each other on their way."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from job_directed_steps import FIRST_JOB, SECOND_JOB, _other_holder, _send, _whole_worker_job
from msgspec.structs import replace

from onyxspoke.core.jobs.model import RunKey, TaskKey
from onyxspoke.core.jobs.states import JobState, RunEnd, TaskState
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.orders import EndReport, HoldResult, OrderOutcome, RunningReport

#: How much earlier the older list was written, by the worker's clock, and how long both took.
OLDER_MS = 5
WAY_SECONDS = 0.02
#: For how long the lease of a worker that tells a late end is certainly kept.
KEPT_MS = 3_000


@given("the holder has been replaced by one that cannot reach the worker that runs the job")
def _replace_holder(context: Any) -> None:
    cluster = context.cluster
    cluster.kill_node(context.holder.name)
    for node in cluster.nodes.values():
        cluster.cut(node.host, context.busy)
    _other_holder(context)


@when("that worker's list that was cut short comes before an older one that is whole")
def _lists_pass(context: Any) -> None:
    scheduler = context.successor.node.seats[0].scheduler
    (worker_id,) = context.busy
    worker = scheduler.context.table.workers[worker_id]
    assert worker.contact is WorkerContact.UNRECONCILED, worker.contact
    now = context.cluster.time.now()
    clock_ms = context.cluster.pool.workers[worker_id].clock_ms()
    latest = HoldResult(OrderOutcome.DONE, clock_ms, is_complete=False)
    older = HoldResult(OrderOutcome.DONE, clock_ms - OLDER_MS)
    for result in (latest, older):
        scheduler.workers._process_answer(worker, result, now - WAY_SECONDS, now)


@then("the task of the first job is still in doubt")
def _in_doubt(context: Any) -> None:
    registry = context.successor.node.seats[0].scheduler.context.job_registry
    task = registry.find_task(TaskKey(FIRST_JOB, 0, 0, 0))
    assert task.state is TaskState.IN_DOUBT, task.state


@given("a job of two steps, of whose first task 2 runs have failed and a third is under way")
def _two_steps(context: Any) -> None:
    job = _whole_worker_job(context, SECOND_JOB)
    (step,) = job.steps
    _send(context, replace(job, steps=(step, replace(step, depends_on=(0,)))), 0.6)
    scheduler = context.holder.node.seats[0].scheduler
    context.job = scheduler.context.job_registry.jobs[SECOND_JOB]
    context.task = context.job.steps()[0].tasks[0]
    context.task.failed_runs[:] = [1, 2]
    assert context.job.spec.queue.max_attempts == len(context.task.failed_runs) + 1


@when("an end of an earlier run completes that task late, and then the third run fails")
def _end_late(context: Any) -> None:
    scheduler = context.holder.node.seats[0].scheduler
    run = context.task.run
    workers = scheduler.context.table.workers.values()
    other = next(worker for worker in workers if worker is not run.worker)
    now = context.cluster.time.now()
    earlier = RunKey(run.key.task, run.number - 1)
    other.note_ended(earlier, RunEnd.NOT_STARTED)
    other.kept_lease_until_ms = other.clock.estimate_ms(now) + KEPT_MS
    _tell_end(context, other, EndReport(other.processed_through + 1, earlier, RunEnd.DONE))
    assert context.task.state is TaskState.DONE, context.task.state
    end = EndReport(run.worker.processed_through + 1, run.key, RunEnd.FAILED)
    _tell_end(context, run.worker, end)


def _tell_end(context: Any, worker: Worker, end: EndReport) -> None:
    now = context.cluster.time.now()
    running = [RunningReport(key) for key in worker.runs if key != end.run]
    clock_ms = worker.clock.estimate_ms(now) + 1
    result = HoldResult(OrderOutcome.DONE, clock_ms, running, [end])
    reconciler = context.holder.node.seats[0].scheduler.workers._reconciler
    reconciler.reconcile(worker, result, now, now)


@then("that job is still running")
def _still_running(context: Any) -> None:
    assert context.job.state is JobState.RUNNING, context.job.state
