"""Steps for cells with many nodes and shards."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from unittest import mock

from behave import given, then, when

from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.placement.placer import Placer
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.node.messages import ConfigurationCopy, NodeMessage
from onyxspoke.node.peers import PeerLink
from onyxspoke.node.succession import Succession
from onyxspoke.sim.job_cluster import (
    ClusterOptions,
    JobCluster,
    SimulatedNode,
    make_configuration,
)

QUEUE = "normal"
WORKERS_PER_SHARD = 3
TOLERANCE_SECONDS = 0.01


@given("a new cell of {workers:d} workers, with {part:d} workers per shard")
def _new_cell(context: Any, workers: int, part: int) -> None:
    context.cluster = JobCluster(
        ClusterOptions(
            seed=5, nodes=3, workers=workers, rack_size=part, kinds="a", workers_per_shard=part
        )
    )
    context.cluster.start()


@when("{count:d} more workers join it, one every {seconds:g} seconds")
def _join_workers(context: Any, count: int, seconds: float) -> None:
    cluster = context.cluster
    for _ in range(count):
        cluster.run(seconds)
        cluster.add_worker(len(cluster.directory.records))


@when("{seconds:g} seconds pass in the large cell")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("its layout has {count:d} shards")
def _laid_out(context: Any, count: int) -> None:
    layouts = [node.node.layout for node in context.cluster.nodes.values()]
    assert all(layout and layout.shard_count == count for layout in layouts), layouts


@given(
    "a large cell of {nodes:d} nodes and {shards:d} shards, "
    "whose store serves {writes:d} writes and {reads:d} reads per second"
)
def _large_cell(context: Any, nodes: int, shards: int, writes: int, reads: int) -> None:
    context.shard_count = shards
    context.cluster = JobCluster(
        ClusterOptions(
            seed=6,
            nodes=nodes,
            workers=shards * WORKERS_PER_SHARD,
            rack_size=WORKERS_PER_SHARD,
            kinds="a",
            workers_per_shard=WORKERS_PER_SHARD,
            always_good=("w",),
            work=WorkOptions(seed=6),
            store_budget=StoreBudget(writes_per_second=writes, reads_per_second=reads),
        )
    )
    context.cluster.start()


def _holders(nodes: Iterable[SimulatedNode]) -> list[tuple[int, str]]:
    return sorted(
        (shard, node.name)
        for node in nodes
        if node.is_up
        for shard, seat in node.node.seats.items()
        if seat.is_holding
    )


@then("each of its shards has one holder, and at least {count:d} nodes hold one")
def _one_holder(context: Any, count: int) -> None:
    holders = _holders(context.cluster.nodes.values())
    assert [shard for shard, _name in holders] == list(range(context.shard_count)), holders
    assert len({name for _shard, name in holders}) >= count, holders


@then("every node of it is ready")
def _ready(context: Any) -> None:
    nodes = [node for node in context.cluster.nodes.values() if node.is_up]
    assert all(node.node.is_ready for node in nodes), [
        node.name for node in nodes if not node.node.is_ready
    ]


@then("the store rejected no write and at most {reads:d} reads")
def _check_rejected(context: Any, reads: int) -> None:
    store = context.cluster.store
    assert store.writes.turned_away == 0, store.writes.turned_away
    assert store.reads.turned_away <= reads, store.reads.turned_away


@when("three of its holders are powered off")
def _power_off_holders(context: Any) -> None:
    names = list(dict.fromkeys(name for _shard, name in _holders(context.cluster.nodes.values())))
    for name in names[:3]:
        context.cluster.power_off_node(name)


@when("all but {count:d} of its nodes are powered off, the holders first")
def _power_off_most(context: Any, count: int) -> None:
    cluster = context.cluster
    holding = {name for _shard, name in _holders(cluster.nodes.values())}
    named = {
        member.host
        for node in cluster.nodes.values()
        for seat in node.node.seats.values()
        for member in seat.election.successors
    }
    ordered = sorted(
        cluster.nodes.values(),
        key=lambda node: (node.name not in holding, node.host not in named, node.name),
    )
    for node in ordered[: len(ordered) - count]:
        cluster.power_off_node(node.name)


@when("{count:d} jobs are submitted to it over {seconds:g} seconds")
def _submit_jobs(context: Any, count: int, seconds: float) -> None:
    cluster = context.cluster
    context.replies = []
    context.expected = count
    nodes = list(cluster.nodes.values())
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=300)
    for number in range(count):
        job = JobSpec(job_id=f"{number:016x}", queue=queue, payload="p", steps=(step,))
        cluster.pool.specs[job.job_id] = job
        cluster.audit.handle_submitted(job)
        cluster.call(
            nodes[number % len(nodes)], job.job_id, SubmitCall(job), context.replies.append
        )
        cluster.run(seconds / count)


@then("all of these jobs were accepted")
def _accepted(context: Any) -> None:
    codes = [reply.code for reply in context.replies if isinstance(reply, CallReply)]
    assert codes == [ReplyCode.OK] * context.expected, codes


@then("a follower's heartbeat contains no claim, and a holder's only its own claims")
def _heartbeats(context: Any) -> None:
    for node in context.cluster.nodes.values():
        held = {shard for shard, seat in node.node.seats.items() if seat.is_holding}
        named = {shard for shard, _claim in node.node.heartbeat(1.0).claims}
        assert named == held, (node.name, named, held)


@when("its peer connections are recorded")
def _count_streams(context: Any) -> None:
    context.streams = _streams(context.cluster.nodes.values())


@then("no peer connection of it was lost")
def _no_stream_lost(context: Any) -> None:
    lost = context.streams - _streams(context.cluster.nodes.values())
    assert not lost, len(lost)


def _streams(nodes: Iterable[SimulatedNode]) -> set[PeerLink]:
    return {link for node in nodes for link in node.node.peers.all_up_links()}


def _link(number: int, weight: float) -> PeerLink:
    link = PeerLink(f"h{number}", is_outgoing=False)
    link.identity = NodeIdentity(f"n{number}.1", f"h{number}", 1, weight=weight)
    return link


@given("a holder that has notified {count:d} peers of its successors")
def _notified_holder(context: Any, count: int) -> None:
    context.links = [_link(number, 1.0) for number in range(count)]
    context.succession = Succession()
    context.succession.note_change()
    [(_message, receivers)] = context.succession.take_news([0], context.links)
    assert receivers == context.links


@when("a small node joins")
def _small_joins(context: Any) -> None:
    context.new = _link(len(context.links), 0.5)
    context.links.append(context.new)
    context.succession.note_change()


@when("a node larger than all others joins")
def _large_joins(context: Any) -> None:
    context.links.append(_link(len(context.links), 2.0))
    context.succession.note_change()


@then("only that node is notified")
def _one_notified(context: Any) -> None:
    [(_message, receivers)] = context.succession.take_news([0], context.links)
    assert receivers == [context.new]


@then("all of its peers are notified")
def _all_notified(context: Any) -> None:
    [(message, receivers)] = context.succession.take_news([0], context.links)
    assert receivers == context.links
    assert message.members[0].weight == max(node.weight for node in message.members)


@when("its configuration changes while one node is cut off from the store")
def _change_configuration(context: Any) -> None:
    cluster = context.cluster
    holding = {name for _shard, name in _holders(cluster.nodes.values())}
    lost = next(node for node in cluster.nodes.values() if node.name not in holding)
    context.lost_host = lost.host
    cluster.cut(lost.host, ["store"])
    cluster.run(3.0)
    context.copies = []
    send = PeerLink.send

    def count(link: PeerLink, message: NodeMessage) -> None:
        if isinstance(message, ConfigurationCopy):
            context.copies.append(link.host)
        send(link, message)

    patch = mock.patch.object(PeerLink, "send", count)
    patch.start()
    context.add_cleanup(patch.stop)
    cluster.configuration.put(make_configuration(2, with_advice=True))


@then("every node of it has the new configuration")
def _has_configuration(context: Any) -> None:
    versions = {node.name: node.node.configuration for node in context.cluster.nodes.values()}
    assert all(found and found.version == 2 for found in versions.values()), versions


@then("copies of it were sent to the node that was cut off, and to no other node")
def _copies(context: Any) -> None:
    assert context.copies
    assert set(context.copies) == {context.lost_host}, context.copies


@then(
    "a holder sends heartbeats to its successors every {successor_seconds:g} seconds, "
    "to other nodes every {other_seconds:g} seconds"
)
def _intervals(context: Any, successor_seconds: float, other_seconds: float) -> None:
    cluster = context.cluster
    shard, name = _holders(cluster.nodes.values())[0]
    holder = cluster.nodes[name].node
    named = {member.incarnation for member in holder.seats[shard].election.successors}
    now = cluster.time.now()
    links = holder.peers.all_up_links()
    holder._send_heartbeats(links)
    for link in links:
        expected = successor_seconds if link.identity.incarnation in named else other_seconds
        assert abs(link.heartbeat_due_at - now - expected) < TOLERANCE_SECONDS, link.host
    assert {link.identity.incarnation in named for link in links} == {True, False}


@when("one of its holders is powered off")
def _power_off_holder(context: Any) -> None:
    _shard, name = _holders(context.cluster.nodes.values())[0]
    context.cluster.power_off_node(name)


@given("a cell of {nodes:d} nodes, {large:d} of them large")
def _cell_of_sizes(context: Any, nodes: int, large: int) -> None:
    context.cluster = JobCluster(
        ClusterOptions(seed=7, nodes=nodes, workers=6, large_nodes=large, with_advice=False)
    )
    context.holders = []
    context.replies = []
    context.expected = 0
    context.cluster.start()
    # A small node may hold the shard of a new cell before a large node takes the shard over.
    context.cluster.run(6.0)
    _follow_holders(context, 0.1)


def _follow_holders(context: Any, seconds: float) -> None:
    """Let time pass and record each new holder of the shard."""
    for _ in range(int(seconds / 0.05)):
        context.cluster.run(0.05)
        holder = context.cluster.holder()
        if holder is not None and holder.process.name not in context.holders[-1:]:
            context.holders.append(holder.process.name)


@when("the large node is powered off")
def _power_off_large(context: Any) -> None:
    assert context.cluster.holder().name == "node-0"
    context.cluster.power_off_node("node-0")
    _follow_holders(context, 3.0)


@then("a small node holds the shard")
def _small_holds(context: Any) -> None:
    assert context.cluster.holder().name != "node-0"


@when("the large node starts again")
def _large_starts(context: Any) -> None:
    context.cluster.start_node("node-0")


def _submit_one(context: Any) -> None:
    cluster = context.cluster
    context.expected += 1
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=300)
    job = JobSpec(job_id=f"{context.expected:016x}", queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[job.job_id] = job
    cluster.audit.handle_submitted(job)
    nodes = [node for node in cluster.nodes.values() if node.is_up]
    node = nodes[context.expected % len(nodes)]
    cluster.call(node, job.job_id, SubmitCall(job), context.replies.append)


@when("{seconds:g} seconds pass in the large cell, with jobs submitted")
def _pass_with_jobs(context: Any, seconds: float) -> None:
    context.cluster.run(0.5)
    for _ in range(int(seconds * 10)):
        _submit_one(context)
        _follow_holders(context, 0.1)
    context.cluster.run(1.0)


@then("the large node holds the shard")
def _large_holds(context: Any) -> None:
    assert context.cluster.holder().name == "node-0", context.holders


@then("the shard has had {count:d} holder")
@then("the shard has had {count:d} holders")
def _had_holders(context: Any, count: int) -> None:
    _follow_holders(context, 0.1)
    assert len(context.holders) == count, context.holders


@when(
    "{count:d} jobs are submitted to it over {seconds:d} seconds, "
    "and the placement passes are counted"
)
def _count_passes(context: Any, count: int, seconds: int) -> None:
    context.passes = 0
    plan = Placer.plan

    def counted(placer: Placer, *arguments: Any) -> Any:
        context.passes += 1
        return plan(placer, *arguments)

    with mock.patch.object(Placer, "plan", counted):
        for _ in range(count):
            _submit_one(context)
            context.cluster.run(seconds / count)
    context.cluster.run(1.0)


@then("there were at most {count:d} placement passes")
def _passes(context: Any, count: int) -> None:
    assert 0 < context.passes <= count, context.passes
