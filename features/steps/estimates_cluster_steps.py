"""Steps about learned durations in a cluster whose holder is killed."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from estimates_simulation import RELATIVE_TOLERANCE

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.record import (
    MAXIMUM_RECORD_BYTES,
)
from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import SubmitCall
from onyxspoke.core.shard.log_records import ESTIMATES_KEY
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.explore_jobs import make_options
from onyxspoke.sim.job_cluster import JobCluster


@given("a cluster whose tasks take {times:g} times their estimate")
def _cluster(context: Any, times: float) -> None:
    seconds = 0.5 * times
    work = WorkOptions(seed=4, shortest_seconds=seconds, longest_seconds=seconds + 0.01)
    context.cluster = cluster = JobCluster(make_options(4, work, shards=1))
    context.recorded = []
    append = cluster.store.append

    def watched(item: Any) -> Any:
        keys = [record for record in item.records if record.key == ESTIMATES_KEY]
        context.recorded += [(item.epoch, item.sequence, record) for record in keys]
        return append(item)

    cluster.store.append = watched
    context.cluster.start()
    context.cluster.run(2.0)


@when("{count:d} of its jobs have ended")
def _cluster_jobs(context: Any, count: int) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues["normal"]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=500)
    for number in range(count):
        job = JobSpec(job_id=f"{number:016x}", queue=queue, payload="p", steps=(step,))
        cluster.pool.specs[job.job_id] = job
        cluster.audit.handle_submitted(job)
        node = next(iter(cluster.nodes.values()))
        cluster.call(node, job.job_id, SubmitCall(job), lambda _reply: None)
        cluster.run(0.25)
    cluster.run(8.0)


def _holder(cluster: Any) -> Any:
    [holder] = [node for node in cluster.nodes.values() if node.is_holding]
    return holder


def _holder_durations(cluster: Any) -> DurationEstimator:
    return _holder(cluster).node.seats[0].scheduler.context.durations


@then(
    "its holder expects {times:g} times the estimate,"
    " and appended at most one record in {pause:d} seconds"
)
def _cluster_expects(context: Any, times: float, pause: int) -> None:
    expected = _holder_durations(context.cluster).expected("normal", "", 500.0)
    assert abs(expected.median_seconds / (0.5 * times) - 1.0) < RELATIVE_TOLERANCE, expected
    sent = {(epoch, sequence): record for epoch, sequence, record in context.recorded}
    seconds = context.cluster.time.now()
    assert 1 <= len(sent) <= 1 + seconds / pause, (len(sent), seconds)
    assert all(len(record.value) <= MAXIMUM_RECORD_BYTES for record in sent.values())


@when("its holder is killed")
def _kill(context: Any) -> None:
    context.cluster.kill_node(_holder(context.cluster).name)
    context.cluster.run(6.0)


@then("its next holder expects {times:g} times the estimate before any task has ended")
def _next_expects(context: Any, times: float) -> None:
    expected = _holder_durations(context.cluster).expected("normal", "", 500.0)
    assert abs(expected.median_seconds / (0.5 * times) - 1.0) < RELATIVE_TOLERANCE, expected
    assert not context.cluster.audit.findings, context.cluster.audit.findings
