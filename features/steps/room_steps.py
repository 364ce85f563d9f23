"""Steps about workers whose capacity changes, in virtual time and over random histories."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from crash_steps import make_job, submit
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors, subtract_vectors
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

MEMORY_MB = 32_768
CORE = 1_000
MAXIMUM_RUNS = 12


def _capacity(cores: int) -> ResourceVector:
    return ResourceVector(cores * CORE, MEMORY_MB, 0)


@given("a cell of {count:d} workers of {cores:d} cores whose tasks take 1 second")
def _cell(context: Any, count: int, cores: int) -> None:
    work = WorkOptions(seed=9, shortest_seconds=1.0, longest_seconds=1.0)
    options = ClusterOptions(seed=9, workers=count, with_advice=False, work=work)
    context.cluster = JobCluster(options)
    context.cluster.start()
    _resize(context, cores)
    context.cluster.run(2.0)


def _resize(context: Any, cores: int) -> None:
    for worker_id in context.cluster.pool.workers:
        context.cluster.resize_worker(worker_id, _capacity(cores))


@when("both workers shrink to {cores:d} cores")
def _shrink(context: Any, cores: int) -> None:
    _resize(context, cores)


@when("both workers grow to {cores:d} cores")
def _grow(context: Any, cores: int) -> None:
    _resize(context, cores)


@when("{count:d} tasks of {cores:d} cores are handed in")
def _tasks(context: Any, count: int, cores: int) -> None:
    step = StepSpec(task_count=1, processors_milli=cores * CORE, memory_mb=64, estimated_ms=1_000)
    for number in range(count):
        submit(context, make_job(context, f"{number:016x}", step), seconds=0.0)


@when("the store takes {seconds:g} seconds to answer")
def _slow_store(context: Any, seconds: float) -> None:
    context.cluster.store.faults.extra_seconds = seconds


@then("no task was started")
def _none_started(context: Any) -> None:
    assert context.cluster.audit.counts["starts"] == 0, context.cluster.audit.counts


def _make_runs(worker: Worker, needs: list[ResourceVector]) -> list[Run]:
    runs = []
    queue = QueuePolicy(name="normal", service="s")
    for number, amount in enumerate(needs):
        step = StepSpec(
            task_count=1,
            processors_milli=amount.processors_milli,
            memory_mb=amount.memory_mb,
            accelerators=amount.accelerators,
        )
        spec = JobSpec(job_id=f"{number:016x}", queue=queue, payload="", steps=(step,))
        task = JobProgress(spec, 0.0).begin_repetition(0, 0.0)[0].tasks[0]
        runs.append(Run(task, 1, worker, 0.0))
    return runs


_needs = st.builds(
    ResourceVector, st.integers(0, 20_000), st.integers(0, 40_000), st.integers(0, 4)
)
_capacity_or_run_changes = st.one_of(_needs, st.integers(0, MAXIMUM_RUNS - 1))


@when("workers gain and lose runs and change their capacity at random in {count:d} histories")
def _random_histories(context: Any, count: int) -> None:
    context.checked = 0

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @for_all(
        st.lists(_needs, min_size=MAXIMUM_RUNS, max_size=MAXIMUM_RUNS),
        st.lists(_capacity_or_run_changes, max_size=40),
    )
    def play(needs: list[ResourceVector], changes: list[ResourceVector | int]) -> None:
        record = WorkerRecord(
            worker_id="w1", host="h", port=1, service="s", zone="z", capacity=_capacity(16)
        )
        worker = Worker(record, 0.0)
        runs = _make_runs(worker, needs)
        for change in changes:
            if isinstance(change, ResourceVector):
                worker.record = replace(worker.record, capacity=change)
            elif runs[change].key in worker.runs:
                worker.remove(runs[change])
            else:
                worker.add(runs[change])
            _compare(worker)
            context.checked += 1

    play()


def _compare(worker: Worker) -> None:
    """Compare the derived free capacity with a plain sum over the runs."""
    held = ResourceVector()
    for run in worker.runs.values():
        held = add_vectors(held, run.task.step.spec.needs)
    free = subtract_vectors(worker.record.capacity, held)
    assert (worker.free_processors, worker.free_memory, worker.free_accelerators) == free
    assert worker.is_over_capacity == (min(free) < 0)
    assert not worker.fits(ResourceVector(1, 1, 1)) or min(free) > 0


@then("their free capacity was always the current capacity less what their runs hold")
def _checked(context: Any) -> None:
    assert context.checked > 0
