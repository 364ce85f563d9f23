"""Steps in which a new holder counts runs of earlier holders towards a tenant's quota."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from job_directed_steps import SETTLE_SECONDS
from tenant_steps import TENANTS, _has_started, _tenant_cluster

from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.records import (
    ProgressRecord,
    decode_progress,
    encode_progress,
    progress_key,
)
from onyxspoke.core.jobs.states import JobState
from onyxspoke.core.shard.actions import ReplyToCall, RequestQuota
from onyxspoke.core.shard.calls import CallReply, CancelCall, QuotaCall
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.quota_coordinator import QuotaCoordinator
from onyxspoke.core.tenants.ended_job_usage import EndedJobUsage
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.core.tenants.quota_lender import QuotaRequest, home_shard
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.explore_jobs import play_zones
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

FIRST_JOBS = (1, 2)
LATER_JOBS = (3, 4)
_MILLISECONDS = 1_000.0


@given("a cluster of tenants with {count:d} workers, whose log is kept")
def _logged_cluster(context: Any, count: int) -> None:
    context.log_lines = []
    log = ShardContext.log

    def keep(shard: ShardContext, event: str, **fields: Any) -> None:
        context.log_lines.append((event, fields))
        log(shard, event, **fields)

    patch = mock.patch.object(ShardContext, "log", keep)
    patch.start()
    context.add_cleanup(patch.stop)
    _tenant_cluster(context, count)


@when("{seconds:g} seconds pass in that cluster of tenants")
def _time_passes(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then(
    'the log tells last that {amount:d} of the {quota:d} of "{tenant}" are in doubt,'
    " for {seconds:g} seconds at most"
)
def _told(context: Any, amount: int, quota: int, tenant: str, seconds: float) -> None:
    lines = [
        fields
        for event, fields in context.log_lines
        if event == "quota_in_doubt" and fields["tenant"] == tenant
    ]
    assert lines, {event for event, _fields in context.log_lines}
    assert (lines[-1]["cpu"], lines[-1]["quota_cpu"]) == (amount, quota), lines
    assert lines[-1]["left_ms"] <= seconds * _MILLISECONDS, lines


@when("both jobs are cancelled")
def _cancel_both(context: Any) -> None:
    cluster = context.cluster
    for number in FIRST_JOBS:
        job_id = f"{number:016x}"
        cluster.audit.handle_cancel_sent(job_id)

        def take(reply: CallReply | None, job_id: str = job_id) -> None:
            assert reply is not None
            cluster.audit.handle_cancel_reply(job_id, reply)

        cluster.call(cluster.holder(), job_id, CancelCall(job_id, "small"), take)
    cluster.run(0.3)
    assert all(cluster.audit.jobs[f"{number:016x}"].cancelled_at for number in FIRST_JOBS)


@when("the workers can be reached again")
def _heal_workers(context: Any) -> None:
    cluster = context.cluster
    for node in cluster.nodes.values():
        cluster.heal(node.host, list(cluster.pool.workers))


@then("neither of them has started")
def _none_started(context: Any) -> None:
    assert not any(_has_started(context, number) for number in LATER_JOBS)


@then("both of them have started")
def _both_started(context: Any) -> None:
    assert all(_has_started(context, number) for number in LATER_JOBS)


@when("the rooms of their workers shrink to {factor:g} of what they were")
def _shrink_rooms(context: Any, factor: float) -> None:
    cluster = context.cluster
    for worker in list(cluster.pool.workers.values()):
        if worker.runs:
            capacity = (int(amount * factor) for amount in worker.record.capacity)
            cluster.resize_worker(worker.worker_id, ResourceVector(*capacity))
    cluster.run(0.5)


@then("one of them has started")
def _one_started(context: Any) -> None:
    assert sum(_has_started(context, number) for number in LATER_JOBS) == 1


@then("both runs of the cancelled jobs have lapsed, which no holder was told")
def _both_lapsed(context: Any) -> None:
    assert context.cluster.audit.counts["run_lapsed"] == len(FIRST_JOBS)


@when("all quotas fall to {factor:g} of what they were")
def _quotas_fall(context: Any, factor: float) -> None:
    context.cluster.change_quotas(factor)
    context.cluster.run(1.0)


@given("a cluster of tenants with {count:d} workers that keep their names")
def _cluster_with_names(context: Any, count: int) -> None:
    work = WorkOptions(seed=5, shortest_seconds=8.0, longest_seconds=8.0)
    options = ClusterOptions(
        seed=5,
        workers=count,
        with_advice=False,
        work=work,
        tenants=TENANTS,
        rack_size=count,
        keep_names=True,
    )
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holder = context.cluster.holder()


@when("those workers start again and can be reached")
def _restart_workers(context: Any) -> None:
    for worker_id in context.busy:
        context.cluster.crash_worker(worker_id, 0.2)
    _heal_workers(context)


class _ImmediateCommit:
    """Commits at once."""

    def after_commit(self, effect: Callable[[float], None]) -> None:
        effect(1.0)


@given(
    "a shard whose earlier holder left runs of a cancelled job with {left:d}"
    " of a quota of {quota:d}"
)
def _left_runs(context: Any, left: int, quota: int) -> None:
    policy = TenantPolicy(name="small", weight=1.0, quota=ResourceVector(quota, 0, 0))
    context.home = home_shard("small", 2)
    record = ProgressRecord(
        int(JobState.CANCELLED),
        [],
        [],
        tenant="small",
        left_running={"w": ResourceVector(left, 0, 0)},
    )

    def build(shard: int) -> QuotaCoordinator:
        shard_context = ShardContext(ShardOptions(), token=7, shard=shard)
        shard_context.policy = PolicySet(tenants={"small": policy})
        shard_context.shard_count = 2
        shard_context.commit = _ImmediateCommit()
        shard_context.job_registry.restore_finished("a", record, 0.0)
        context.shard_context = shard_context
        return QuotaCoordinator(shard_context)

    context.build = build


@when("the shard borrows the quota from another shard")
def _borrows(context: Any) -> None:
    context.build(1 - context.home).begin_pass(1.0)


@then("it asks for {amount:d}, and keeps {retained:d} until the answer")
def _asks(context: Any, amount: int, retained: int) -> None:
    requests = [
        item.request for item in context.shard_context.actions if isinstance(item, RequestQuota)
    ]
    assert [item.amount.processors_milli for item in requests] == [amount], requests
    assert [item.retained.processors_milli for item in requests] == [retained], requests


@when("another shard asks it for {amount:d} of the quota")
def _asked(context: Any, amount: int) -> None:
    request = QuotaRequest(
        tenant="small",
        shard=1 - context.home,
        token=1,
        number=1,
        amount=ResourceVector(amount, 0, 0),
    )
    context.build(context.home).handle_call(1, QuotaCall(request), 1.0)


@then("it lends {amount:d}")
def _lends(context: Any, amount: int) -> None:
    replies = [
        item.reply for item in context.shard_context.actions if isinstance(item, ReplyToCall)
    ]
    assert [reply.granted.processors_milli for reply in replies] == [amount], replies


@when("cuts of the holder's zone are played with tenants and seed {seed:d}, with every mechanism")
def _play_cuts(context: Any, seed: int) -> None:
    context.job_reports = [play_zones(seed, with_tenants=True)]


@when(
    "cuts of the holder's zone are played with tenants and seed {seed:d},"
    " without counting runs of ended jobs"
)
def _play_cuts_without(context: Any, seed: int) -> None:
    with mock.patch.object(EndedJobUsage, "add", lambda *_arguments: None):
        _play_cuts(context, seed)


def _cut_busy_workers(context: Any) -> None:
    cluster = context.cluster
    busy = [worker.worker_id for worker in cluster.pool.workers.values() if worker.runs]
    context.busy = getattr(context, "busy", busy) or busy
    for node in cluster.nodes.values():
        cluster.cut(node.host, context.busy)


def _kill_holder(context: Any) -> None:
    context.cluster.kill_node(context.cluster.holder().name)
    context.cluster.run(2.0)
    assert context.cluster.holder() is not None


CHANGES: dict[str, Callable[[Any], None]] = {
    "their workers are cut off": _cut_busy_workers,
    "both jobs are cancelled": _cancel_both,
    "the holder dies": _kill_holder,
}


@when("their workers are cut off, {changes}")
def _change(context: Any, changes: str) -> None:
    _cut_busy_workers(context)
    for change in changes.split(", "):
        CHANGES[change](context)


@then("the records of both tell of no runs that are left")
def _records_tell_none(context: Any) -> None:
    cluster = context.cluster
    cluster.run(1.0)
    page = cluster.store.read_newest(0, "")
    stored = {record.key: record.value for record in page.records}
    for number in FIRST_JOBS:
        key = progress_key(f"{number:016x}")
        record = decode_progress(key, stored[key])
        assert record.state == JobState.CANCELLED, record
        assert record.left_running == {}, record


class _EarlierProgressRecord(msgspec.Struct, array_like=True):
    """The progress record of builds that tell nothing of the runs of ended jobs."""

    state: int
    done_repetitions: list[int]
    steps: list[dict[str, int]]
    was_submitted: bool = True
    tenant: str = ""


@given("the record of a cancelled job as builds write it that tell nothing of its runs")
def _earlier_record(context: Any) -> None:
    record = _EarlierProgressRecord(int(JobState.CANCELLED), [], [], tenant="small")
    context.record = msgspec.msgpack.encode(record)


@then("this build reads it, and knows of no runs that are left")
def _reads_earlier(context: Any) -> None:
    record = decode_progress("record", context.record)
    assert (record.state, record.tenant) == (JobState.CANCELLED, "small"), record
    assert record.left_running == {}, record


@given("the record of a cancelled job whose runs are left on a worker")
def _present_record(context: Any) -> None:
    queue = QueuePolicy(name="q", service="s")
    job = JobProgress(JobSpec(job_id="a", queue=queue, payload="", steps=(), tenant="small"), 1.0)
    job.move_to(JobState.CANCELLED, 2.0)
    job.left_running = {"w": ResourceVector(1_000, 64, 0)}
    context.record = encode_progress(job)
    assert decode_progress("record", context.record).left_running == job.left_running


@then("a build that tells nothing of its runs reads it")
def _earlier_build_reads(context: Any) -> None:
    record = msgspec.msgpack.decode(context.record, type=_EarlierProgressRecord)
    assert (record.state, record.tenant) == (JobState.CANCELLED, "small"), record
