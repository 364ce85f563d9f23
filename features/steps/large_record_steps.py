"""Steps about jobs whose records are large."""

from __future__ import annotations

from collections import Counter
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from commit_failure_steps import THIRD, _keep_reply, _states
from slow_store_steps import QUEUE

from onyxspoke.core.jobs import records as job_records
from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.model import JobSpec, Schedule, StepSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.shard.calls import SubmitCall
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.journal import RecordCollector, restore_records
from onyxspoke.core.shard.log_records import ClaimRecord, ShardRecord
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.shard.unrecordable_jobs import UnrecordableJobs
from onyxspoke.sim.job_cluster import make_configuration

JOB = "e" * 16
LARGE_APPEND_BYTES = 10_000_000
WORKERS = 24
RANGED_TIMES = 100_000


def _new_context() -> ShardContext:
    shard = ShardContext(ShardOptions(), 1)
    shard.policy = make_configuration(1, False).policy
    shard.commit = mock.Mock()
    shard.job_registry.starts_are_recorded = True
    return shard


def _collector(shard: ShardContext) -> RecordCollector:
    registry = mock.Mock(collect_records=list)
    estimates = mock.Mock(collect_records=list)
    claim = ClaimRecord(incarnation="a", host="h", port=1, token=1)
    return RecordCollector(
        shard, registry, estimates, claim, UnrecordableJobs(shard, RunManager(shard))
    )


def _spec(times: int, tasks: int) -> JobSpec:
    queue = make_configuration(1, False).policy.queues[QUEUE]
    step = StepSpec(task_count=tasks, processors_milli=20, estimated_ms=100_000, checkpointing=True)
    schedule = Schedule(times, 1, 1)
    return JobSpec(job_id=JOB, queue=queue, payload="p", steps=(step,), schedule=schedule)


@given("a job of {times:d} open times of {tasks:d} tasks, whose tasks keep their progress")
def _open_times(context: Any, times: int, tasks: int) -> None:
    shard = context.shard = _new_context()
    registry = shard.job_registry
    registry.submit(_spec(times, tasks), 1.0)
    registry.tick(1.0, 1e6, 0.0)
    context.job = registry.jobs[JOB]
    steps = context.job.steps()
    assert len(steps) == times
    for number, task in enumerate(task for step in steps for task in step.tasks):
        registry.task_run_confirmed(task, 1.0)
        registry.note_checkpoint(task, f"{number:016x}")
        task.placed_on = f"worker-{task.index % WORKERS}"
        if number % 7 == 0:
            registry.task_done(task, 1.0)
        elif number % 11 == 0:
            task.failed_runs = [1, 2]
        elif number % 13 == 0:
            task.crashes = task.crashes.add(CrashBlame.CONFIRMED)
    context.collector = _collector(shard)
    context.stored = {}
    context.appends = []


@given("a job of which {done:d} times are done, and {count:d} others are not")
def _many_done(context: Any, done: int, count: int) -> None:
    shard = context.shard = _new_context()
    registry = shard.job_registry
    registry.submit(_spec(RANGED_TIMES, 1), 1.0)
    context.job = registry.jobs[JOB]
    context.job.done_repetitions = set(range(done + count)) - {7, 500, done}
    for repetition in (7, 500, done):
        [step] = context.job.begin_repetition(repetition, 1.0)
        step.tasks[0].placed_on = "worker-1"
    context.collector = _collector(shard)
    context.stored = {}
    context.appends = []


def _record(context: Any, maximum_bytes: int) -> None:
    """Append until nothing of the job is left to be recorded."""
    dirty = context.shard.job_registry.dirty
    dirty[JOB] = None
    while dirty:
        append = [
            record for record in context.collector.collect(maximum_bytes, 1.0) if JOB in record.key
        ]
        context.appends.append(append)
        context.effects = context.shard.commit.after_commit.call_count
        for record in append:
            if record.value:
                context.stored[record.key] = record.value
            else:
                context.stored.pop(record.key, None)
        if dirty:
            assert context.effects == 0, "the effect runs before the job is recorded"


@given("its record has no parts yet")
def _undivided(context: Any) -> None:
    context.job.has_undivided_record = True


@then("it is recorded in {count:d} append")
def _append_count(context: Any, count: int) -> None:
    assert len(context.appends) == count, len(context.appends)


@when("its progress is recorded")
def _recorded(context: Any) -> None:
    _record(context, LARGE_APPEND_BYTES)


@when("its progress is recorded in appends of about {size:d} bytes")
def _recorded_in_appends(context: Any, size: int) -> None:
    _record(context, size)


@then("no append has more than {size:d} bytes")
def _append_size(context: Any, size: int) -> None:
    sizes = [sum(record.size for record in append) for append in context.appends]
    assert len(sizes) > 1 and max(sizes) <= size, sizes


@then("the job counts as recorded only with the last append")
def _effect_last(context: Any) -> None:
    assert context.effects == 1, context.effects


@when("one of its tasks ends, and its progress is recorded again")
def _one_ends(context: Any) -> None:
    task = next(
        task
        for step in context.job.steps()
        for task in step.tasks
        if task.state is not TaskState.DONE
    )
    context.shard.job_registry.task_done(task, 2.0)
    context.appends.clear()
    _record(context, LARGE_APPEND_BYTES)


@when("the job is cancelled, and its progress is recorded again")
def _cancelled(context: Any) -> None:
    context.shard.job_registry.cancel(JOB, "", 2.0)
    _record(context, LARGE_APPEND_BYTES)


@then("the second append has {count:d} records of it")
def _record_count(context: Any, count: int) -> None:
    [append] = context.appends
    assert len(append) == count, [record.key for record in append]


@then("the store keeps {count:d} record of it")
def _kept(context: Any, count: int) -> None:
    assert len(context.stored) == count, list(context.stored)


@then("each of its records has at most {size:d} bytes")
def _record_size(context: Any, size: int) -> None:
    sizes = [record.size for append in context.appends for record in append]
    assert sizes and max(sizes) <= size, max(sizes)


@then("a new holder restores the same progress")
def _restores(context: Any) -> None:
    shard = _new_context()
    stored = [ShardRecord(key, value) for key, value in sorted(context.stored.items())]
    restore_records(shard, mock.Mock(), stored, 5.0)
    before, after = context.job, shard.job_registry.jobs[JOB]
    assert after.done_repetitions == before.done_repetitions
    assert _facts(after) == _facts(before)
    unchanged = _collector(shard)
    shard.job_registry.dirty[JOB] = None
    records = [item for item in unchanged.collect(LARGE_APPEND_BYTES, 5.0) if JOB in item.key]
    assert [record.key for record in records] == [job_records.progress_key(JOB)]


def _facts(job: JobProgress) -> dict[Any, Any]:
    """Return what is to be kept of each task, except of those that are done."""
    facts: dict[Any, Any] = {}
    for step in job.steps():
        for task in step.tasks:
            is_done = task.state is TaskState.DONE
            kept = (task.placed_on, task.checkpoint, task.failed_runs, task.crashes)
            facts[task.key] = None if is_done else kept
    return facts


@given("the store accepts records of {size:d} bytes at most")
def _small_records(context: Any, size: int) -> None:
    scheduler = context.cluster.holder().node.seats[0].scheduler
    scheduler.context.options = msgspec.structs.replace(
        scheduler.context.options, record_bytes=size
    )


@given("the third job has a text of {text:d} bytes and names of {names:d} bytes")
def _large_specification(context: Any, text: int, names: int) -> None:
    submit = context.cluster.call

    def call(node: Any, job_id: str, sent: Any, *arguments: Any) -> None:
        if job_id == THIRD and isinstance(sent, SubmitCall):
            step = msgspec.structs.replace(sent.job.steps[0], image="x" * names)
            job = msgspec.structs.replace(sent.job, payload="x" * text, steps=(step,))
            sent = SubmitCall(job)
        submit(node, job_id, sent, *arguments)

    patch = mock.patch.object(context.cluster, "call", call)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a job of {tasks:d} tasks is handed in there")
def _hand_in_large(context: Any, tasks: int) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=tasks, processors_milli=50, memory_mb=10, estimated_ms=800)
    job = JobSpec(job_id=JOB, queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[JOB] = job
    cluster.audit.handle_submitted(job)
    context.replies[JOB] = None
    node = next(node for node in cluster.nodes.values() if not node.is_holding)
    cluster.call(node, JOB, SubmitCall(job), _keep_reply(context, JOB))
    cluster.run(0.8)
    registry = cluster.holder().node.seats[0].scheduler.context.job_registry
    states = Counter(task.state for step in registry.jobs[JOB].steps() for task in step.tasks)
    assert len(states) > 1 and registry.jobs[JOB].recorded_parts, states


@then("the job of {tasks:d} tasks is completed, and no task ran twice")
def _completed(context: Any, tasks: int) -> None:
    states = _states(context)
    assert states[JOB] == JobState.COMPLETED.name.lower(), states
    assert not context.cluster.audit.findings, context.cluster.audit.findings[:3]
    assert context.cluster.audit.counts["run_done"] >= tasks
