"""Differential tests of job scheduling against naive models."""

from __future__ import annotations

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxspoke.core.jobs.job_registry import JobRegistry
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.records import (
    decode_progress,
    decode_spec,
    encode_progress,
    encode_spec,
    restore_progress,
)
from onyxspoke.core.jobs.states import JobState, RunEnd, TaskState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.calls import CancelCall, StateCall
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_callers import JobCallers
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

QUEUE = QueuePolicy(name="normal", service="service", max_attempts=2)

_steps = st.lists(
    st.tuples(st.integers(1, 3), st.booleans(), st.booleans()), min_size=1, max_size=3
)
_jobs = st.lists(st.tuples(_steps, st.booleans(), st.booleans()), min_size=1, max_size=4)


def _make_job(number: int, shapes: list[tuple[int, bool, bool]]) -> JobSpec:
    steps = tuple(
        StepSpec(
            task_count=count,
            processors_milli=500,
            memory_mb=100,
            estimated_ms=300,
            gang=is_gang,
            depends_on=(index - 1,) if index and depends else (),
        )
        for index, (count, is_gang, depends) in enumerate(shapes)
    )
    return JobSpec(job_id=f"{number:016x}", queue=QUEUE, payload="p", steps=steps)


class NaiveCluster:
    """Predicts the final state of a job on a cluster without faults."""

    def __init__(self, failing_jobs: set[str], cancelled: set[str]) -> None:
        self._failing_jobs = failing_jobs
        self._cancelled = cancelled

    def final_state(self, job: JobSpec) -> str:
        if job.job_id in self._cancelled:
            return "cancelled"
        return "failed" if job.job_id in self._failing_jobs else "completed"

    def done_tasks(self, job: JobSpec) -> int | None:
        if self.final_state(job) != "completed":
            return None
        return sum(step.task_count for step in job.steps)


@when("{count:d} random sets of jobs are run on a cluster and on the naive model")
def _play_both(context: Any, count: int) -> None:
    context.disagreements = []
    context.compared = 0

    @settings(max_examples=count)
    @given(_jobs)
    def check(drawn: list[Any]) -> None:
        _compare(context, drawn)

    check()


def _compare(context: Any, drawn: list[Any]) -> None:
    jobs = [_make_job(number + 1, shapes) for number, (shapes, _, _) in enumerate(drawn)]
    failing_jobs = {job.job_id for job, item in zip(jobs, drawn, strict=True) if item[1]}
    cancelled = {job.job_id for job, item in zip(jobs, drawn, strict=True) if item[2]}
    work = WorkOptions(seed=5, shortest_seconds=0.6, hopeless=failing_jobs)
    cluster = JobCluster(ClusterOptions(seed=5, nodes=2, workers=4, with_advice=False, work=work))
    cluster.start()
    cluster.run(2.0)
    callers = JobCallers(cluster, 1.0)
    node = next(iter(cluster.nodes.values()))
    for job in jobs:
        callers.submit(job)
    cluster.run(0.2)
    for job_id in cancelled:
        cluster.audit.handle_cancel_sent(job_id)
        cluster.call(node, job_id, CancelCall(job_id), lambda _reply: None)
    cluster.run(20.0)
    naive = NaiveCluster(failing_jobs, cancelled)
    assert not cluster.audit.findings, cluster.audit.findings
    for job in jobs:
        _compare_job(context, cluster, node, naive, job)


def _compare_job(context: Any, cluster: Any, node: Any, naive: NaiveCluster, job: JobSpec) -> None:
    reported_states: list[str] = []
    cluster.call(
        node, job.job_id, StateCall(job.job_id), lambda reply: reported_states.append(reply.state)
    )
    cluster.run(1.0)
    done = sum(
        1
        for key, facts in cluster.audit.tasks.items()
        if key.job_id == job.job_id and facts.is_done
    )
    expected = naive.final_state(job)
    assert reported_states == [expected], (job, reported_states, expected)
    if naive.done_tasks(job) is not None:
        assert done == naive.done_tasks(job), (job, done)
    context.compared += 1


@then("both agree on the final state of every job and its number of completed tasks")
def _agree(context: Any) -> None:
    assert context.compared > 0


@when("{count:d} random sequences of starts, ends and stops are applied to a worker")
def _room(context: Any, count: int) -> None:
    operations = st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=40)
    context.compared = 0

    @settings(max_examples=count)
    @given(operations)
    def check(drawn: list[tuple[bool, int]]) -> None:
        _check_room(context, drawn)

    check()


def _check_room(context: Any, drawn: list[tuple[bool, int]]) -> None:
    capacity = ResourceVector(10_000, 10_000, 4)
    record = WorkerRecord(worker_id="w", host="h", port=1, service="s", zone="z", capacity=capacity)
    worker = Worker(record, 0.0)
    job = JobProgress(_make_job(1, [(10, False, False)]), 0.0)
    [step] = job.begin_repetition(0, 0.0)
    active_runs: dict[int, Run] = {}
    for number, (starts, index) in enumerate(drawn, start=1):
        if starts and index not in active_runs:
            active_runs[index] = Run(step.tasks[index], number, worker, 0.0)
            worker.add(active_runs[index])
        elif not starts and index in active_runs:
            run = active_runs.pop(index)
            worker.remove(run)
            worker.remove(run)
            worker.note_ended(run.key, RunEnd.DONE)
        needs = step.spec.needs
        assert worker.free_processors == 10_000 - len(active_runs) * needs.processors_milli
        assert worker.free_memory == 10_000 - len(active_runs) * needs.memory_mb
        assert set(worker.runs) == {run.key for run in active_runs.values()}
        context.compared += 1


@then("the free capacity always equals the capacity minus the needs of active runs")
def _free_capacity_exact(context: Any) -> None:
    assert context.compared > 0


@when("{count:d} random jobs make progress, are written as records and are read back")
def _records(context: Any, count: int) -> None:
    moves = st.lists(st.tuples(st.integers(0, 8), st.sampled_from(["done", "failed", "save"])))
    context.compared = 0

    @settings(max_examples=count)
    @given(_steps, moves)
    def check(shapes: list[Any], drawn: list[Any]) -> None:
        _check_records(context, shapes, drawn)

    check()


def _check_records(context: Any, shapes: list[Any], drawn: list[Any]) -> None:
    registry = JobRegistry(120.0)
    spec = _make_job(7, shapes)
    registry.submit(spec, 1.0)
    job = registry.jobs[spec.job_id]
    tasks = [task for step in job.steps() for task in step.tasks]
    for number, (index, move) in enumerate(drawn, start=1):
        task = tasks[index % len(tasks)]
        if job.state.is_final or task.state is TaskState.DONE:
            continue
        if move == "done":
            registry.task_done(task, 2.0)
        elif move == "failed":
            registry.task_failed(task, number, 2.0)
        else:
            registry.note_checkpoint(task, f"save-{number}")
    restored = JobProgress(decode_spec("k", encode_spec(spec)), 5.0)
    restored.begin_repetition(0, 5.0)
    restore_progress(restored, decode_progress("k", encode_progress(job)), 5.0)
    assert restored.spec == spec
    assert restored.state is job.state
    if job.state is JobState.QUEUED:
        _assert_same_tasks(job, restored)
    context.compared += 1


def _assert_same_tasks(job: JobProgress, restored: JobProgress) -> None:
    for before, after in zip(job.steps(), restored.steps(), strict=True):
        assert before.done_count == after.done_count
        assert before.failed_gang_runs == after.failed_gang_runs
        for task, other in zip(before.tasks, after.tasks, strict=True):
            if task.state is TaskState.DONE:
                assert other.state is TaskState.DONE
                continue
            assert task.failed_runs == other.failed_runs
            assert task.checkpoint == other.checkpoint


@then("the recorded progress is the same")
def _same(context: Any) -> None:
    assert context.compared > 0
