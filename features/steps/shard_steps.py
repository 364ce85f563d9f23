"""Steps about the layout of a cell, and about cells with several shards."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from onyxspoke.core.jobs.model import JobSpec, ResourceVector, StepSpec
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall, WaitingCountCall
from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.layout import plan_layout
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.node.messages import Members
from onyxspoke.node.peers import PeerLink
from onyxspoke.node.succession import choose_successors
from onyxspoke.sim.explore_jobs import make_options, play
from onyxspoke.sim.job_cluster import JobCluster

QUEUE = "normal"
SETTLE_SECONDS = 2.0
TOLERANCE_SECONDS = 0.01


def _worker_record(number: int, rack: str) -> WorkerRecord:
    return WorkerRecord(
        worker_id=f"w{number}",
        host=f"h{number}",
        port=1,
        service="service",
        zone="zone",
        capacity=ResourceVector(1, 1, 0),
        rack=rack,
    )


@given("{count:d} workers in racks of {size:d} over {rows:d} rows")
def _workers(context: Any, count: int, size: int, rows: int) -> None:
    racks = [f"r{number // size % rows}-{number // size // rows}" for number in range(count)]
    context.workers = [_worker_record(number, rack) for number, rack in enumerate(racks)]


@when("the layout is planned for {size:d} workers per shard and at most {most:d} shards")
def _plan_layout(context: Any, size: int, most: int) -> None:
    context.layout = plan_layout(context.workers, size, most)


@then("the layout has {count:d} shards")
def _layout_has_shards(context: Any, count: int) -> None:
    assert context.layout.shard_count == count, context.layout


@then("each shard has at least half of the average number of workers per shard")
def _shards_are_balanced(context: Any) -> None:
    layout = context.layout
    sizes = Counter(layout.shard_of_worker(worker) for worker in context.workers)
    average_size = len(context.workers) / layout.shard_count
    assert all(sizes[shard] >= average_size / 2 for shard in layout.shards()), sizes


@then("all workers of a rack belong to one shard")
def _racks_share_shard(context: Any) -> None:
    shards: dict[str, set[int]] = {}
    for worker in context.workers:
        shards.setdefault(worker.rack, set()).add(context.layout.shard_of_worker(worker))
    assert all(len(found) == 1 for found in shards.values())


@then("each shard gets between {low:d} and {high:d} of {count:d} jobs")
def _jobs_are_balanced(context: Any, count: int, low: int, high: int) -> None:
    sizes = Counter(context.layout.shard_of_job(f"{number:016x}") for number in range(count))
    assert all(low <= size <= high for size in sizes.values()), sizes


@given("a cluster of three shards")
def _cluster(context: Any) -> None:
    work = WorkOptions(seed=4)
    context.cluster = JobCluster(make_options(4, work, shards=3))
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


@then("every node has a layout of {count:d} shards")
def _nodes_know_layout(context: Any, count: int) -> None:
    layouts = [node.node.layout for node in context.cluster.nodes.values()]
    assert all(layout and layout.shard_count == count for layout in layouts), layouts


@when("all nodes of the cluster are killed and restarted")
def _restart_all_nodes(context: Any) -> None:
    names = list(context.cluster.nodes)
    for name in names:
        context.cluster.kill_node(name)
    for name in names:
        context.cluster.start_node(name)
    context.cluster.run(SETTLE_SECONDS)


@then("each shard has one holder, and at least {count:d} nodes hold a shard")
def _each_shard_has_holder(context: Any, count: int) -> None:
    holders = [
        (shard, node.name)
        for node in context.cluster.nodes.values()
        for shard, participant in node.node.seats.items()
        if participant.is_holding
    ]
    assert sorted(shard for shard, _name in holders) == [0, 1, 2], holders
    assert len({name for _shard, name in holders}) >= count, holders


@given("no node can reach a worker")
def _disconnect_workers(context: Any) -> None:
    cluster = context.cluster
    for node in cluster.nodes.values():
        cluster.cut(node.host, list(cluster.pool.workers))
    cluster.run(SETTLE_SECONDS)


def _make_job(context: Any, number: int) -> JobSpec:
    queue = context.cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=500)
    return JobSpec(job_id=f"{number:016x}", queue=queue, payload="p", steps=(step,))


@when("{count:d} jobs are submitted to one node")
def _submit_jobs(context: Any, count: int) -> None:
    cluster = context.cluster
    replies: list[CallReply | None] = []
    node = next(iter(cluster.nodes.values()))
    for number in range(count):
        job = _make_job(context, number)
        cluster.pool.specs[job.job_id] = job
        cluster.audit.handle_submitted(job)
        cluster.call(node, job.job_id, SubmitCall(job), replies.append)
    cluster.run(1.0)
    assert [reply.code for reply in replies if reply] == [ReplyCode.OK] * count, replies


@then("every node reports {count:d} waiting jobs")
def _nodes_report_waiting(context: Any, count: int) -> None:
    cluster = context.cluster
    for node in cluster.nodes.values():
        replies: list[CallReply | None] = []
        cluster.call(node, "", WaitingCountCall(QUEUE), replies.append)
        cluster.run(0.5)
        assert replies[0] is not None
        assert replies[0].waiting == count, replies


@when("a job is submitted to a node that does not know the layout")
def _submit_without_layout(context: Any) -> None:
    node = next(iter(context.cluster.nodes.values()))
    node.node.layout = None
    job = _make_job(context, 1)
    context.replies = []
    context.cluster.call(node, job.job_id, SubmitCall(job), context.replies.append)
    context.not_ready = not node.node.is_ready


@then("the node is not ready, and refuses the job with a retry time")
def _refuses_job(context: Any) -> None:
    reply = context.replies[0]
    assert reply.code is ReplyCode.REFUSED, reply
    assert reply.retry_after_seconds > 0
    assert context.not_ready


@when("a node that holds one shard loses power")
def _power_off_holder(context: Any) -> None:
    nodes = context.cluster.nodes.values()
    held = {
        node.name: sum(participant.is_holding for participant in node.node.seats.values())
        for node in nodes
    }
    context.lost = next(name for name, count in held.items() if count == 1)
    context.cluster.power_off_node(context.lost)


@when("{seconds:g} seconds pass for the other nodes")
def _pass_time(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("the other nodes are ready")
def _others_ready(context: Any) -> None:
    nodes = [node for name, node in context.cluster.nodes.items() if name != context.lost]
    assert all(node.node.is_ready for node in nodes)


@when("jobs are simulated in three shards with random faults, for seeds {first:d} to {last:d}")
def _simulate_seeds(context: Any, first: int, last: int) -> None:
    context.job_reports = [play(seed, shards=3) for seed in range(first, last + 1)]


@given("{small:d} small and {large:d} large candidate successors")
def _candidate_successors(context: Any, small: int, large: int) -> None:
    weights = [0.5] * small + [2.0] * large
    context.links = []
    for number, weight in enumerate(weights):
        link = PeerLink(f"h{number}", is_outgoing=False)
        link.identity = NodeIdentity(f"n{number}.1", f"h{number}", 1, weight=weight)
        context.links.append(link)


@then("each of {shards:d} shards has {count:d} successors, in order of decreasing weight")
def _choose_successors(context: Any, shards: int, count: int) -> None:
    context.first = set()
    for shard in range(shards):
        chosen = choose_successors(shard, context.links)
        assert len(chosen) == count
        weights = [node.weight for node in chosen]
        assert weights == sorted(weights, reverse=True)
        context.first.add(chosen[0].incarnation)


@then("at least {count:d} different nodes are the first successor of some shard")
def _first_successors_differ(context: Any, count: int) -> None:
    assert len(context.first) >= count, context.first


@given("a follower in a cell of {count:d} nodes")
def _follower(context: Any, count: int) -> None:
    _cluster(context)
    nodes = context.cluster.nodes.values()
    follower = next(
        node
        for node in nodes
        if not any(participant.is_holding for participant in node.node.seats.values())
    )
    link = PeerLink("h", is_outgoing=True)
    follower.node.handle_peer_message(link, Members(0, [], count))
    context.follower = follower


@then("it sends a heartbeat every {seconds:g} seconds")
def _heartbeat_interval(context: Any, seconds: float) -> None:
    # Read the interval now: the cluster's holders keep sending their own node count.
    context.interval = context.follower.node.heartbeat_interval()
    assert abs(context.interval - seconds) < TOLERANCE_SECONDS, context.interval


@then("its peers close the connection after {seconds:g} seconds of silence")
def _silence_timeout(context: Any, seconds: float) -> None:
    link = PeerLink("h", is_outgoing=False)
    link.note_interval(context.interval)
    assert abs(link.silence_seconds - seconds) < TOLERANCE_SECONDS, link.silence_seconds


def _shard_holders(context: Any) -> dict[int, tuple[str, int]]:
    """Return the holder and the token of each shard."""
    return {
        shard: (node.name, participant.scheduler.context.token)
        for node in context.cluster.nodes.values()
        for shard, participant in node.node.seats.items()
        if participant.is_holding and participant.scheduler is not None
    }


@given("a cell in which each of three shards has a holder")
def _three_shards(context: Any) -> None:
    context.cluster = JobCluster(make_options(11, WorkOptions(seed=11), 3))
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holdings = _shard_holders(context)
    assert len(context.holdings) == 3, context.holdings


@when("every shard participant of every node is restarted")
def _restart_participants(context: Any) -> None:
    for node in context.cluster.nodes.values():
        for participant in node.node.seats.values():
            node.process.run(participant.start)


@then("each shard has the same holder and token as before")
def _same_holders(context: Any) -> None:
    assert _shard_holders(context) == context.holdings, (_shard_holders(context), context.holdings)


@when("jobs are simulated in 3 shards for seed {seed:d}, with crashes and changing workers")
def _simulate_seed(context: Any, seed: int) -> None:
    context.job_reports = [play(seed, shards=3, with_crashes=True)]
