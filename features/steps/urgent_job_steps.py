"""Steps about urgent jobs in a running cell that is full of less urgent work."""

from __future__ import annotations

from functools import partial
from typing import Any
from unittest import mock

from admission_callers import (
    COMPLETION_SECONDS,
    OBJECTIVE_SECONDS,
    PROCESSORS_MILLI,
    TASKS_PER_WORKER,
    start_cluster,
)
from behave import given, then, when

from onyxspoke.core.jobs.model import QueuePolicy, ResourceVector, TaskKey
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.kit.jobs.workers import FakeWorkerPool
from onyxspoke.sim import job_cluster

WORKERS = 4
TENANT = "tenant"
#: Jobs per second within the share of the tenant, more than it submits.
WEIGHT = 100.0
#: Tasks that run at a time within the quota of the tenant.
QUOTA_TASKS = 8
LESS_URGENT_TASK_MS = 8_000
#: Tasks of jobs that have 2.5 seconds to spare, less than a restart takes.
PRESSED_TASK_MS = 20_000
PRESSED_STRETCH = 1.1
#: How often the less urgent work fills the whole cell, or the whole quota.
LESS_URGENT_ROUNDS = 2.5


def _estimated_seconds(pool: FakeWorkerPool, task: TaskKey) -> float:
    """Stand in for random durations, as if every task took as long as its caller estimated."""
    return pool.specs[task.job_id].steps[task.step].estimated_ms / 1_000.0


@given("a cell with admission control, full of less urgent work with checkpoints")
def _full_cell(context: Any) -> None:
    start_cluster(context, WORKERS, admission=True, tenants={})
    _submit_less_urgent(context, WORKERS * TASKS_PER_WORKER, "")


@given("a cell with admission control, full of less urgent work that barely meets its objective")
def _punctual_cell(context: Any) -> None:
    def make_queue(name: str, **fields: Any) -> QueuePolicy:
        if name == "patient":
            fields["stretch"] = PRESSED_STRETCH
        return QueuePolicy(name=name, **fields)

    patch = mock.patch.object(job_cluster, "QueuePolicy", make_queue)
    patch.start()
    context.add_cleanup(patch.stop)
    start_cluster(context, WORKERS, admission=True, tenants={})
    slots = WORKERS * TASKS_PER_WORKER
    _submit_less_urgent(context, slots, "", rounds=1.0, task_ms=PRESSED_TASK_MS)


@given("a cell with admission control, and a tenant whose less urgent work holds its whole quota")
def _full_quota(context: Any) -> None:
    quota = ResourceVector(QUOTA_TASKS * PROCESSORS_MILLI, 0, 0)
    start_cluster(context, WORKERS, admission=True, tenants={TENANT: WEIGHT}, quota=quota)
    _submit_less_urgent(context, QUOTA_TASKS, TENANT)


def _submit_less_urgent(
    context: Any,
    slots: int,
    tenant: str,
    rounds: float = LESS_URGENT_ROUNDS,
    task_ms: int = LESS_URGENT_TASK_MS,
) -> None:
    """Fill a number of slots, and run the cell until the tasks there are half done."""
    patch = mock.patch.object(FakeWorkerPool, "seconds_of", _estimated_seconds)
    patch.start()
    context.add_cleanup(patch.stop)
    context.tenant = tenant
    for _ in range(int(rounds * slots)):
        context.traffic.submit("patient", tenant, estimated_ms=task_ms)
    context.cluster.run(task_ms / 2_000.0)
    running = sum(len(worker.runs) for worker in context.cluster.pool.workers.values())
    assert running == slots, running


@when(
    "{rate:d} urgent jobs of {tasks:d} task per second are submitted to it for {seconds:d} seconds"
)
@when(
    "{rate:d} urgent jobs of {tasks:d} tasks per second are submitted to it for {seconds:d} seconds"
)
def _submit_urgent_jobs(context: Any, rate: int, tasks: int, seconds: int) -> None:
    traffic = context.traffic
    for index in range(rate * seconds):
        submit = partial(traffic.submit, "urgent", context.tenant, task_count=tasks)
        traffic.cluster.time.schedule(index / rate, submit)
    traffic.cluster.run(seconds + COMPLETION_SECONDS)
    assert len(traffic.select("urgent")) == rate * seconds


def _check_urgent(context: Any, most_seconds: float) -> None:
    callers = context.traffic.select("urgent")
    refused = [caller.refusals for caller in callers if caller.refusals]
    assert not refused, (len(refused), refused[0])
    seconds = [
        caller.done_at - caller.first_submitted_at if caller.done_at is not None else None
        for caller in callers
    ]
    late = [item for item in seconds if item is None or item > most_seconds]
    assert not late, (len(late), len(callers), late)


@then("every urgent job is admitted at once, and meets its objective")
def _urgent_on_time(context: Any) -> None:
    _check_urgent(context, OBJECTIVE_SECONDS)


@then("every urgent job is admitted at once, and finishes before it expires")
def _urgent_before_expiry(context: Any) -> None:
    _check_urgent(context, EXPIRY_FACTOR * OBJECTIVE_SECONDS)


@then("the less urgent jobs are done after {seconds:d} seconds, and the audit finds no violation")
def _less_urgent_done(context: Any, seconds: int) -> None:
    context.cluster.run(seconds)
    callers = context.traffic.select("patient")
    not_done = [caller for caller in callers if caller.done_at is None]
    assert callers and not not_done, (len(not_done), len(callers))
    assert not context.cluster.audit.findings, context.cluster.audit.findings
