"""Steps about tenants' quotas, shares and metrics, without a network."""

from __future__ import annotations

import argparse
import io
import re
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, redirect_stdout
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from job_directed_steps import SETTLE_SECONDS

from onyxspoke.cli import step_commands
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.shard import quota_coordinator
from onyxspoke.core.shard.actions import JobEnded
from onyxspoke.core.shard.calls import CallReply, ReplyCode, StateCall, SubmitCall
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.core.tenants.quota_usage import QuotaBudget, QuotaUsage
from onyxspoke.core.tenants.share_meter import ShareMeter
from onyxspoke.kit.jobs.audit import Violation
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.operator_api import describe_tenants
from onyxspoke.sim.explore_jobs import play
from onyxspoke.sim.job_cluster import (
    WORKER_CAPACITY,
    ClusterOptions,
    JobCluster,
)

TENANTS = tuple(
    TenantPolicy(name=name, weight=100.0, quota=ResourceVector(processors, 0, 0))
    for name, processors in (("large", 0), ("small", 2 * WORKER_CAPACITY.processors_milli))
)


# Quotas


@contextmanager
def _without_counting() -> Iterator[None]:
    with mock.patch.object(QuotaUsage, "add", lambda _usage, _tenant, _needs: None):
        yield


@contextmanager
def _without_counting_in_pass() -> Iterator[None]:
    with mock.patch.object(QuotaBudget, "take", lambda _budget, _tenant, _needs, _count: None):
        yield


@contextmanager
def _without_uncertain_runs() -> Iterator[None]:
    with mock.patch.object(quota_coordinator, "find_doubts", lambda *_arguments, **_fields: {}):
        yield


MECHANISM_DISABLERS = {
    "counting of runs": _without_counting,
    "counting within one pass": _without_counting_in_pass,
    "uncertain runs": _without_uncertain_runs,
}


def _play(context: Any, first: int, last: int, shards: int = 1) -> None:
    context.job_reports = [
        play(seed, shards=shards, with_tenants=True) for seed in range(first, last + 1)
    ]


@when("jobs of three tenants are played over seeds {first:d} to {last:d} with drawn faults")
def _play_tenants(context: Any, first: int, last: int) -> None:
    _play(context, first, last)


@when(
    "jobs of three tenants are played over seeds {first:d} to {last:d} with drawn faults"
    " in {shards:d} shards"
)
def _play_shards(context: Any, first: int, last: int, shards: int) -> None:
    _play(context, first, last, shards)


@when(
    "jobs of three tenants are played over seeds {first:d} to {last:d} with drawn faults,"
    ' without "{mechanism}"'
)
def _play_without(context: Any, first: int, last: int, mechanism: str) -> None:
    with MECHANISM_DISABLERS[mechanism]():
        _play(context, first, last)


@then('"{name}" is broken')
def _is_broken(context: Any, name: str) -> None:
    found = {item.violation for report in context.job_reports for item in report.findings}
    assert Violation(name) in found, found


@given("a cluster of tenants with {count:d} workers")
def _tenant_cluster(context: Any, count: int) -> None:
    work = WorkOptions(seed=5, shortest_seconds=8.0, longest_seconds=8.0)
    options = ClusterOptions(
        seed=5, workers=count, with_advice=False, work=work, tenants=TENANTS, rack_size=count
    )
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holder = context.cluster.holder()


@given('a cluster of tenants with {count:d} workers, without "{mechanism}"')
def _tenant_cluster_without(context: Any, count: int, mechanism: str) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    stack.enter_context(MECHANISM_DISABLERS[mechanism]())
    _tenant_cluster(context, count)


def _job(context: Any, number: int, tenant: str, tasks: int = 1, gang: bool = False) -> JobSpec:
    policy = context.cluster.configuration.configuration.policy
    step = StepSpec(
        task_count=tasks,
        processors_milli=WORKER_CAPACITY.processors_milli,
        memory_mb=1_024,
        estimated_ms=8_000,
        gang=gang,
    )
    job_id = f"{number:016x}"
    return JobSpec(
        job_id=job_id,
        queue=policy.queues["normal"],
        payload=f"payload-{job_id}",
        steps=(step,),
        tenant=tenant,
    )


def _send(context: Any, spec: JobSpec) -> None:
    cluster = context.cluster
    cluster.pool.specs[spec.job_id] = spec
    cluster.audit.handle_submitted(spec)
    holder = next(node for node in cluster.nodes.values() if node.is_holding)

    def take(reply: CallReply | None) -> None:
        cluster.audit.handle_submit_reply(spec.job_id, reply)

    cluster.call(holder, spec.job_id, SubmitCall(spec), take)


def _submit(context: Any, spec: JobSpec) -> None:
    cluster = context.cluster
    _send(context, spec)
    cluster.run(0.5)
    assert cluster.audit.jobs[spec.job_id].accepted_at is not None


def _has_started(context: Any, number: int) -> bool:
    return context.cluster.audit.jobs[f"{number:016x}"].has_started


@given("two jobs of a tenant with a quota of two workers are at work")
def _two_running(context: Any) -> None:
    for number in (1, 2):
        _submit(context, _job(context, number, "small"))
    context.cluster.run(1.0)
    assert _has_started(context, 1) and _has_started(context, 2)


@when("the holder is killed, and its successor cannot reach the workers that run them")
def _kill_and_cut(context: Any) -> None:
    cluster = context.cluster
    busy = [worker.worker_id for worker in cluster.pool.workers.values() if worker.runs]
    for node in cluster.nodes.values():
        cluster.cut(node.host, busy)
    cluster.kill_node(context.holder.name)
    cluster.run(2.0)


@when("two more jobs of that tenant are submitted, and {seconds:d} seconds pass")
def _two_more(context: Any, seconds: int) -> None:
    for number in (3, 4):
        _submit(context, _job(context, number, "small"))
    context.cluster.run(seconds)


@then("a job of another tenant begins")
def _another_starts(context: Any) -> None:
    _submit(context, _job(context, 5, "large"))
    context.cluster.run(1.0)
    assert _has_started(context, 5)


@when(
    "a job of {tasks:d} tasks, each as large as a worker, is submitted for a tenant"
    " with two workers"
)
def _wide_job(context: Any, tasks: int) -> None:
    _submit(context, _job(context, 1, "small", tasks))


@then("the job is done in the end, never more than {most:d} tasks at once")
def _done_within_limit(context: Any, most: int) -> None:
    cluster = context.cluster
    for _ in range(400):
        cluster.run(0.1)
        running = sum(len(worker.runs) for worker in cluster.pool.workers.values())
        assert running <= most, running
    replies: list[CallReply | None] = []
    holder = cluster.holder()
    cluster.call(holder, f"{1:016x}", StateCall(f"{1:016x}", "small"), replies.append)
    cluster.run(1.0)
    assert replies[0] is not None and replies[0].code is ReplyCode.OK
    assert replies[0].state == "completed", replies


@when(
    "{jobs:d} jobs of {tasks:d} tasks, each as large as a worker, are submitted at once"
    " for a tenant with two workers"
)
def _at_once(context: Any, jobs: int, tasks: int) -> None:
    for number in range(1, jobs + 1):
        _send(context, _job(context, number, "small", tasks))
    context.cluster.run(2.0)


@when("a gang of {tasks:d} such tasks is submitted for that tenant")
def _gang(context: Any, tasks: int) -> None:
    _submit(context, _job(context, 3, "small", tasks, gang=True))


@then("the gang begins only after both have ended")
def _gang_after(context: Any) -> None:
    cluster = context.cluster
    cluster.run(4.0)
    assert not _has_started(context, 3)
    cluster.run(10.0)
    assert _has_started(context, 3)
    assert not cluster.audit.findings, cluster.audit.findings


@when("a job of {tasks:d} tasks, each as large as a worker, waits for that tenant's quota")
def _waits_for_quota(context: Any, tasks: int) -> None:
    _submit(context, _job(context, 3, "small", tasks))
    context.cluster.run(0.5)


@then(
    'the holder reports for "{tenant}" {running:d} running and {waiting:d} waiting jobs,'
    " all of its quota used, and {steps:d} step held back"
)
def _reports_tenant(context: Any, tenant: str, running: int, waiting: int, steps: int) -> None:
    answer = describe_tenants(context.cluster.holder().node)
    context.tenants_answer = answer
    found = next(item for item in answer.tenants if item.tenant == tenant)
    assert (found.running_jobs, found.waiting_jobs) == (running, waiting), found
    assert found.share_of_quota == 1.0, found
    assert found.over_quota_steps == steps, found


class _Client:
    """Answers the command line's request in place of a node."""

    def __init__(self, answer: Any) -> None:
        self._answer = answer

    def get(self, path: str) -> Any:
        assert path == "/v1/tenants", path
        return msgspec.json.decode(msgspec.json.encode(self._answer))


@then(
    'the command "tenants" names "{tenant}", its quota as used up, and {entitled:d} entitled jobs'
)
def _command(context: Any, tenant: str, entitled: int) -> None:
    output = io.StringIO()
    arguments = argparse.Namespace(json=False, sort="quota")
    with redirect_stdout(output):
        step_commands._tenants(_Client(context.tenants_answer), arguments)
    lines = output.getvalue().splitlines()
    header = lines[1].split()
    row = dict(zip(header, lines[2].split(), strict=False))
    assert row["tenant"] == tenant, lines
    assert float(row["of_quota"]) == 1.0, row
    assert int(row["owed"]) == entitled, row


@when("the jobs of {count:d} tenants have ended")
def _many_tenants(context: Any, count: int) -> None:
    context.metrics = NodeMetrics()
    for number in range(count):
        context.metrics.note_ended(JobEnded("q", f"tenant-{number}", "completed", 1.0))


@then("the metrics name {count:d} tenants, the others as one")
def _metrics(context: Any, count: int) -> None:
    text = context.metrics.render().decode()
    names = set(re.findall(r'onyxspoke_job_seconds_count\{[^}]*tenant="([^"]*)"', text))
    assert len(names) == count and "(other)" in names, len(names)


# Shares


@given("a tenant of weight {weight:g}")
def _weight(context: Any, weight: float) -> None:
    context.tenant = TenantPolicy(name="one", weight=weight)


@when("it submits {count:d} jobs within {seconds:g} s in a cell of {shards:d} shards")
def _submits_many(context: Any, count: int, seconds: float, shards: int) -> None:
    meter = ShareMeter()
    moments = [seconds * (number + 1) / count for number in range(count)]
    context.entitled_count = sum(meter.consume(context.tenant, shards, 50.0 + at) for at in moments)


@then("{count:d} of them are entitled")
def _entitled(context: Any, count: int) -> None:
    assert abs(context.entitled_count - count) <= 1, context.entitled_count


@given("waiting steps")
def _waiting(context: Any) -> None:
    context.ranked = []
    for row in context.table:
        queue = QueuePolicy(
            name="q", service="s", priority=int(row["priority"]), target_latency_ms=1_000
        )
        spec = JobSpec(
            job_id=row["name"],
            queue=queue,
            payload="",
            steps=(StepSpec(task_count=1, estimated_ms=1_000),),
            is_over_share=row["beyond"] == "yes",
        )
        job = JobProgress(spec, 100.0 - float(row["late by"]))
        step = job.begin_repetition(0, 100.0)[0]
        context.ranked.append((step_rank_in_queue(step, queue, 100.0), row["name"]))


@then('they come in the order "{names}"')
def _order(context: Any, names: str) -> None:
    assert ", ".join(name for _rank, name in sorted(context.ranked)) == names
