"""Steps in which holders are cut off with a worker, and others take their shard over."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from behave import given, then, when
from job_directed_steps import FIRST_JOB, SECOND_JOB, _send, _submit, _whole_worker_job

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.log_records import ClaimRecord, decode_claim, encode_claim
from onyxspoke.core.shard.order_bounds import ReplacedHolder, bound_earlier_orders
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.call_faults import STORE
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

NODES = 4
WORKERS = 3
SETTLE_SECONDS = 2.0
#: For how long, in how many steps, a start is waited for.
STEP_SECONDS = 0.0005
LONGEST_HAND_IN_STEPS = 400
#: For how long, in how many steps, a change of holder is waited for.
TAKEOVER_STEP_SECONDS = 0.02
LONGEST_TAKEOVER_STEPS = 250
#: A node that was killed starts again after so long.
RESTART_SECONDS = 0.3


@given("a cell with a task that runs for {seconds:g} seconds on one worker")
def _cell(context: Any, seconds: float) -> None:
    work = WorkOptions(seed=5, shortest_seconds=seconds, longest_seconds=seconds)
    options = ClusterOptions(seed=5, nodes=NODES, workers=WORKERS, with_advice=False, work=work)
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holder = context.cluster.holder()
    _submit(context, FIRST_JOB)
    context.busy = [
        worker.worker_id for worker in context.cluster.pool.workers.values() if worker.runs
    ]
    assert len(context.busy) == 1
    context.starts_before = _start_count(context)


def _start_count(context: Any) -> int:
    return int(context.cluster.audit.counts["starts"])


def _other_names(context: Any) -> list[str]:
    return [name for name in context.cluster.nodes if name != context.holder.name]


def _cut_zone(context: Any, inside: list[str], outside: list[str]) -> None:
    """Cut nodes and the busy worker off from other nodes, the store and the other workers."""
    cluster = context.cluster
    host_of = {name: f"host-{name}" for name in (*inside, *outside)}
    idle = [worker for worker in cluster.pool.workers if worker not in context.busy]
    for name in inside:
        cluster.cut(host_of[name], [STORE, *(host_of[other] for other in outside), *idle])
    for name in outside:
        cluster.cut(host_of[name], context.busy)


def _restart(context: Any, names: list[str]) -> None:
    cluster = context.cluster

    def start(name: str) -> None:
        # An earlier restart may have started it; an address has one process at a time.
        if not cluster.nodes[name].process.alive:
            cluster.start_node(name)

    for name in names:
        cluster.kill_node(name)
        cluster.time.schedule(RESTART_SECONDS, partial(start, name))


def _by_starting_nodes(context: Any) -> None:
    others = _other_names(context)
    _restart(context, others)
    context.cluster.run(0.2)
    _cut_zone(context, [context.holder.name], others)


def _by_added_node(context: Any) -> None:
    _cut_zone(context, [context.holder.name, *_other_names(context)], ["node-9"])
    context.cluster.start_node("node-9")


def _by_node_cut_off_from_holder(context: Any) -> None:
    *inside, outsider = _other_names(context)
    context.cluster.cut(context.holder.host, [f"host-{outsider}"])
    context.cluster.run(3.0)
    _cut_zone(context, [context.holder.name, *inside], [outsider])


def _by_restarted_node(context: Any) -> None:
    *inside, outsider = _other_names(context)
    _restart(context, [outsider])
    context.cluster.run(0.15)
    _cut_zone(context, [context.holder.name, *inside], [outsider])


def _by_node_behind_relay(context: Any) -> None:
    *inside, outsider = _other_names(context)
    context.cluster.cut(context.holder.host, [f"host-{outsider}"])
    context.cluster.run(3.0)
    # The holder reaches the store through its peers, too briefly to hand over to them.
    context.cluster.cut(context.holder.host, [STORE])
    context.cluster.run(0.6)
    _cut_zone(context, [context.holder.name, *inside], [outsider])


WAYS: dict[str, Callable[[Any], None]] = {
    "a node that starts": _by_starting_nodes,
    "a node that is added": _by_added_node,
    "cut off from the holder only": _by_node_cut_off_from_holder,
    "restarted under its address": _by_restarted_node,
    "known only to a relaying peer": _by_node_behind_relay,
}


@when("the holder and that worker are cut off, and the next holder is {way}")
def _cut_and_replace(context: Any, way: str) -> None:
    WAYS[way](context)


@then("another node has started the task again")
def _started_again(context: Any) -> None:
    assert _start_count(context) > context.starts_before, context.cluster.audit.counts


@when("the store stops answering while the start of a second job is being recorded")
def _stop_store_during_start(context: Any) -> None:
    cluster = context.cluster
    _send(context, _whole_worker_job(context, SECOND_JOB), 0.0)
    scheduler = context.holder.node.seats[0].scheduler
    for _ in range(LONGEST_HAND_IN_STEPS):
        cluster.run(STEP_SECONDS)
        runs = [run for worker in scheduler.context.table.workers.values() for run in worker.runs]
        if any(run.task.job_id == SECOND_JOB for run in runs):
            break
    else:
        raise AssertionError("the second job's start was not planned")
    cluster.store.faults.is_down = True


@then("no start was withdrawn")
def _none_withdrawn(context: Any) -> None:
    decisions = context.holder.node.metrics.decisions
    assert decisions.labels("start_withdrawn")._value.get() == 0


@then("the holder may plan starts, but not order them")
def _may_plan_only(context: Any) -> None:
    shard = context.holder.node.seats[0].scheduler.context
    now = context.cluster.time.now()
    assert shard.may_plan(now)
    assert not shard.may_send_orders(now)


@then("the holder may order starts")
def _may_order(context: Any) -> None:
    shard = context.holder.node.seats[0].scheduler.context
    assert shard.may_send_orders(context.cluster.time.now())


@when("the holder and that worker are cut off, and another node holds the shard")
def _cut_off(context: Any) -> None:
    context.outside = _other_names(context)
    _cut_zone(context, [context.holder.name], context.outside)
    _wait_for_holder(context, without=None)


def _wait_for_holder(context: Any, without: str | None) -> None:
    """Let time pass until a node outside holds the shard, other than one life."""
    cluster = context.cluster
    for _ in range(LONGEST_TAKEOVER_STEPS):
        cluster.run(TAKEOVER_STEP_SECONDS)
        for name in context.outside:
            node = cluster.nodes[name]
            if node.is_holding and node.process.name != without:
                context.successor = node
                return
    raise AssertionError("no other node holds the shard")


@when("the holder changes again because of {changes}")
def _change_again(context: Any, changes: str) -> None:
    for change in changes.split(", "):
        former = context.successor
        struck = context.outside if change == "a restart of all" else [former.name]
        _restart(context, list(struck))
        _wait_for_holder(context, without=former.process.name)


@when("the worker that runs the job is cut off, and all nodes restart")
def _restart_all(context: Any) -> None:
    cluster = context.cluster
    for node in cluster.nodes.values():
        cluster.cut(node.host, context.busy)
    _restart(context, list(cluster.nodes))


@given("a claim that is sent at {seconds:g} seconds")
def _claim_sent(context: Any, seconds: float) -> None:
    context.claim_sent_at = seconds


@given("the last holder has stopped by {stopped} seconds, and its record tells {told} seconds")
def _last_holder(context: Any, stopped: str, told: str) -> None:
    replaced = ReplacedHolder(
        token=7,
        stopped_by=None if stopped == "no" else float(stopped),
        earlier_orders_seconds=None if told == "unknown" else float(told),
    )
    context.bound = bound_earlier_orders(context.claim_sent_at, replaced)


@then("earlier holders give orders until {until:g} seconds at the latest")
def _bounded(context: Any, until: float) -> None:
    assert context.bound.until == until, context.bound


@then("the new holder's record tells {seconds:g} seconds")
def _tells(context: Any, seconds: float) -> None:
    assert context.bound.seconds_after(context.claim_sent_at) == seconds, context.bound


class _EarlierClaimRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The claim's record of builds that tell nothing of earlier holders."""

    incarnation: str
    host: str
    port: int
    token: int
    renewal: int = 0


@given("a claim's record of a build that tells nothing of earlier holders")
def _record_of_earlier_build(context: Any) -> None:
    claim = _EarlierClaimRecord(incarnation="a.1", host="a", port=1, token=7, renewal=3)
    context.record = msgspec.msgpack.encode(claim)


@then("this build reads it, and knows nothing of earlier holders")
def _this_build_reads(context: Any) -> None:
    claim = decode_claim(context.record)
    assert claim is not None
    assert (claim.token, claim.renewal, claim.earlier_orders_seconds) == (7, 3, None)


@given("a claim's record of this build")
def _record_of_this_build(context: Any) -> None:
    claim = ClaimRecord(
        incarnation="a.1", host="a", port=1, token=7, renewal=3, earlier_orders_seconds=4.0
    )
    context.record = encode_claim(claim)


@then("a build that tells nothing of earlier holders reads it")
def _earlier_build_reads(context: Any) -> None:
    claim = msgspec.msgpack.decode(context.record, type=_EarlierClaimRecord)
    assert (claim.token, claim.renewal) == (7, 3)


@given("a new holder whose predecessors may give orders until {until:g} seconds")
def _new_holder(context: Any, until: float) -> None:
    context.shard = ShardContext(ShardOptions(), token=7)
    context.registry = WorkerRegistry(context.shard, until)


@when("one of its workers starts again at {now:g} seconds")
def _starts_again(context: Any, now: float) -> None:
    record = WorkerRecord(
        worker_id="w",
        host="10.9.0.1",
        port=8_000,
        service="service",
        zone="zone",
        capacity=ResourceVector(1_000, 1_000, 0),
        kind="a",
        rack="r",
        labels=(),
        born_ms=1_000,
    )
    context.registry.restore(record, now)
    former = context.shard.table.workers["w"]
    context.worker = context.registry.begin_next_incarnation(former, 2_000, now)


@then("its leases are over at {until:g} seconds at the earliest")
def _leases_over(context: Any, until: float) -> None:
    assert abs(context.worker.lease_over_at() - until) < 1e-6, context.worker.lease_over_at()
