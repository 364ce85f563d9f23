"""Steps for workers that restart under their previous names, in virtual time."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when
from crash_steps import SETTLE_SECONDS, make_job, query_job_state, submit
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
    context.submitted_count = 0
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


@when("{count:d} jobs of one task each are submitted there")
@when("{count:d} more jobs of one task each are submitted")
def _submit_jobs(context: Any, count: int) -> None:
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=512)
    for _ in range(count):
        submit(context, make_job(context, f"{context.submitted_count:016x}", step))
        context.submitted_count += 1


@when("every order is executed {seconds:g} seconds late and not answered")
def _delay_orders(context: Any, seconds: float) -> None:
    for worker in context.cluster.pool.workers.values():
        worker.faults.late_share = 1.0
        worker.faults.late_seconds = seconds


@when("the directory lists the previous incarnations again")
def _list_previous_incarnations(context: Any) -> None:
    for record in context.previous_records:
        context.cluster.directory.list(record)


@when("the entries of all workers no longer contain a start time")
def _omit_start_times(context: Any) -> None:
    for worker in list(context.cluster.pool.workers.values()):
        context.cluster.directory.list(replace(worker.record, born_ms=0))


@when("all workers write their entries again")
def _write_again(context: Any) -> None:
    for worker in list(context.cluster.pool.workers.values()):
        context.cluster.directory.list(worker.record)


@when("the holder is killed, and {seconds:g} seconds pass")
def _holder_dies(context: Any, seconds: float) -> None:
    context.cluster.kill_node(context.cluster.holder().name)
    context.cluster.run(seconds)


@when("every worker crashes, and restarts after {seconds:g} seconds")
def _restart_all(context: Any, seconds: float) -> None:
    cluster = context.cluster
    context.previous_records = [worker.record for worker in cluster.pool.workers.values()]
    for worker in list(cluster.pool.workers.values()):
        assert worker.is_up
        cluster.crash_worker(worker.worker_id, seconds)


@then("all {count:d} jobs are reported as completed")
def _completed(context: Any, count: int) -> None:
    states = [query_job_state(context, f"{number:016x}") for number in range(count)]
    assert states.count("completed") == count, states
    assert not context.cluster.audit.findings, context.cluster.audit.findings


@then("{count:d} tasks have started")
def _check_started_count(context: Any, count: int) -> None:
    starts = context.cluster.audit.counts["starts"]
    assert starts == count, starts


@then("{count:d} tasks are running")
def _check_running_count(context: Any, count: int) -> None:
    running_count = sum(len(worker.runs) for worker in context.cluster.pool.workers.values())
    assert running_count == count, running_count
    assert not context.cluster.audit.findings, context.cluster.audit.findings


@given("worker addresses without start times")
def _omit_start_times_in_addresses(context: Any) -> None:
    def address_of(worker: Worker) -> WorkerAddress:
        record = worker.record
        return WorkerAddress(record.worker_id, record.host, record.port)

    for module in (worker_manager, run_manager, run_starter):
        patch = mock.patch.object(module, "address_of", address_of)
        patch.start()
        context.add_cleanup(patch.stop)


@then("jobs were found waiting despite free capacity")
def _check_jobs_found_waiting(context: Any) -> None:
    found = [item for report in context.job_reports for item in report.findings]
    assert any(item.violation is Violation.IDLE for item in found), found
