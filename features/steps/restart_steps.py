"""Steps about workers that start again under the names that they had, in virtual time."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when
from crash_steps import SETTLE_SECONDS, make_job, state_of, submit
from msgspec.structs import replace

from onyxspoke.core.jobs.model import StepSpec
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard import run_manager, run_starter, worker_manager
from onyxspoke.core.shard.actions import WorkerAddress
from onyxspoke.kit.jobs.audit import Violation
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster


@given(
    "a cell of {count:d} workers that keep their names, and whose tasks take {seconds:g} seconds"
)
@given("a cell of {count:d} workers that keep their names, and whose tasks take {seconds:g} second")
def _cell(context: Any, count: int, seconds: float) -> None:
    work = WorkOptions(seed=11, shortest_seconds=seconds, longest_seconds=seconds)
    options = ClusterOptions(seed=11, workers=count, with_advice=False, work=work, keep_names=True)
    context.cluster = JobCluster(options)
    context.handed_in = 0
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


@when("{count:d} jobs of one task each are handed in there")
@when("{count:d} more jobs of one task each are handed in")
def _hand_in(context: Any, count: int) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512)
    for _ in range(count):
        submit(context, make_job(context, f"{context.handed_in:016x}", step))
        context.handed_in += 1


@when("every order is carried out {seconds:g} seconds late and not answered")
def _late(context: Any, seconds: float) -> None:
    for worker in context.cluster.pool.workers.values():
        worker.faults.late_share = 1.0
        worker.faults.late_seconds = seconds


@when("the directory tells of the former lives once more")
def _former_lives(context: Any) -> None:
    for record in context.former_records:
        context.cluster.directory.list(record)


@when("entries of all workers no longer say when they were born")
def _no_birth(context: Any) -> None:
    for worker in list(context.cluster.pool.workers.values()):
        context.cluster.directory.list(replace(worker.record, born_ms=0))


@when("all workers write their entries again")
def _write_again(context: Any) -> None:
    for worker in list(context.cluster.pool.workers.values()):
        context.cluster.directory.list(worker.record)


@when("the holder dies, and {seconds:g} seconds pass")
def _holder_dies(context: Any, seconds: float) -> None:
    context.cluster.kill_node(context.cluster.holder().name)
    context.cluster.run(seconds)


@when("every worker goes down, and starts again after {seconds:g} seconds")
def _restart_all(context: Any, seconds: float) -> None:
    cluster = context.cluster
    context.former_records = [worker.record for worker in cluster.pool.workers.values()]
    for worker in list(cluster.pool.workers.values()):
        assert worker.is_up
        cluster.crash_worker(worker.worker_id, seconds)


@then("all {count:d} jobs are shown as completed")
def _completed(context: Any, count: int) -> None:
    states = [state_of(context, f"{number:016x}") for number in range(count)]
    assert states.count("completed") == count, states
    assert not context.cluster.audit.findings, context.cluster.audit.findings


@then("{count:d} tasks have begun")
def _begun(context: Any, count: int) -> None:
    starts = context.cluster.audit.counts["starts"]
    assert starts == count, starts


@then("{count:d} tasks are at work")
def _at_work(context: Any, count: int) -> None:
    at_work = sum(len(worker.runs) for worker in context.cluster.pool.workers.values())
    assert at_work == count, at_work
    assert not context.cluster.audit.findings, context.cluster.audit.findings


@given("addresses of workers that do not name a life")
def _no_life(context: Any) -> None:
    def address_of(worker: Worker) -> WorkerAddress:
        record = worker.record
        return WorkerAddress(record.worker_id, record.host, record.port)

    for module in (worker_manager, run_manager, run_starter):
        patch = mock.patch.object(module, "address_of", address_of)
        patch.start()
        context.add_cleanup(patch.stop)


@then("jobs were found idle on free room")
def _idle(context: Any) -> None:
    found = [item for report in context.job_reports for item in report.findings]
    assert any(item.violation is Violation.IDLE for item in found), found
