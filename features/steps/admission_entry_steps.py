"""Steps about entries that go by the holders' summaries of closed queues."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any
from unittest import mock

from behave import given, then, when

from onyxspoke.core.admission.summary import AdmissionSummary, QueueNotice
from onyxspoke.core.admission.summary_cache import AdmissionSummaryCache
from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.kit.jobs.audit import JobAudit
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.node.heartbeat import HEARTBEAT_SECONDS
from onyxspoke.sim.explore_jobs import make_options, play
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster, SimulatedNode

SETTLE_SECONDS = 3.0
#: The span in which an entry waits for the next holder, and two ticks of a node.
REFUSED_FROM, REFUSED_BY = 0.5, 0.54
#: For how long callers wait by default.
PATIENCE_SECONDS = 3.0
TRUST_SECONDS = 5.0


def _close(holder: SimulatedNode, shard: ShardId, queue: str, seconds: float) -> None:
    """Have a holder tell that a queue is closed until so many seconds from now."""
    scheduler = holder.node.seats[shard].scheduler
    until = holder.process.reactor.seconds() + seconds

    def summarise(now: float) -> AdmissionSummary:
        notice = QueueNotice(queue=queue, closed_seconds=until - now)
        return AdmissionSummary(token=scheduler.context.token, notices=(notice,))

    scheduler.admission_summary = summarise


def _start(context: Any, options: ClusterOptions) -> None:
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


@given("a cluster whose holder has closed nothing")
def _open_cluster(context: Any) -> None:
    work = WorkOptions(seed=3)
    _start(context, ClusterOptions(seed=3, nodes=4, with_advice=False, work=work))
    context.holder = context.cluster.holder()
    context.entry = next(
        node for node in context.cluster.nodes.values() if node is not context.holder
    )


@given('a cluster whose holder has closed "{queue}" for {seconds:g} seconds')
def _closed_cluster(context: Any, queue: str, seconds: float) -> None:
    _open_cluster(context)
    _close(context.holder, 0, queue, seconds + HEARTBEAT_SECONDS)
    context.cluster.run(HEARTBEAT_SECONDS)


@given('a cluster of three shards of which the holder of one has closed "{queue}" for 4 seconds')
def _closed_shard(context: Any, queue: str) -> None:
    _start(context, make_options(4, WorkOptions(seed=4), shards=3))
    nodes = context.cluster.nodes.values()
    held = {
        shard: node for node in nodes for shard, seat in node.node.seats.items() if seat.is_holding
    }
    # The first whose shards others hold, with an entry that holds nothing or another's.
    context.closed_shard, context.holder = next(iter(held.items()))
    context.entry = next(
        node
        for node in nodes
        if node is not context.holder and not node.node.seats[context.closed_shard].is_holding
    )
    context.lost_shards = {shard for shard, node in held.items() if node is context.holder}
    _close(context.holder, context.closed_shard, queue, 4 + HEARTBEAT_SECONDS)
    context.cluster.run(HEARTBEAT_SECONDS)


def _hand_in(context: Any, count: int, queue: str, patience: float = PATIENCE_SECONDS) -> None:
    """Hand jobs in at an entry, and gather each reply with its seconds."""
    cluster = context.cluster
    context.replies = {}
    policy = cluster.configuration.configuration.policy.queues[queue]
    context.since = cluster.time.now()
    for number in range(count):
        job_id = f"{0xAD000000 + number:016x}"
        step = StepSpec(task_count=1, processors_milli=100, memory_mb=64, estimated_ms=200)
        job = JobSpec(job_id=job_id, queue=policy, payload="x", steps=(step,))

        def take(reply: CallReply | None, job_id: str = job_id) -> None:
            context.replies[job_id] = (reply, cluster.time.now() - context.since)

        cluster.call(context.entry, job_id, SubmitCall(job), take, patience)


@when('{count:d} jobs for "{queue}" come at another entry')
def _come(context: Any, count: int, queue: str) -> None:
    _hand_in(context, count, queue)
    context.cluster.run(4.0)


@when(
    'the holder is killed, another takes over, and {count:d} jobs for "{queue}" come at another'
    " entry"
)
def _take_over_and_come(context: Any, count: int, queue: str) -> None:
    _take_over(context)
    _come(context, count, queue)


def _take_over(context: Any) -> None:
    """Kill the holder, and wait until the others have heard of the next one."""
    cluster = context.cluster
    cluster.kill_node(context.holder.name)
    for _ in range(200):
        cluster.run(0.01)
        if cluster.holder() is not None:
            break
    context.holder = cluster.holder()
    assert context.holder is not None
    others = [node for node in cluster.nodes.values() if node is not context.holder]
    context.entry = next(node for node in others if node.is_up)
    cluster.run(0.02)


@when(
    "the holder is killed, the next one too, the one after needs {seconds:g} seconds, and"
    ' {count:d} jobs for "{queue}" come at another entry'
)
def _both_killed(context: Any, seconds: float, count: int, queue: str) -> None:
    _take_over(context)
    _change_and_come(context, "killed", seconds, count, queue)


@when("the holder is killed, and another takes over")
def _only_take_over(context: Any) -> None:
    assert all(_knows_closed(context, node) for node in _others(context))
    _take_over(context)


@then("no node knows of a closed queue")
def _nobody_knows(context: Any) -> None:
    context.cluster.run(0.1)
    nodes = [node for node in context.cluster.nodes.values() if node.is_up]
    assert len(nodes) == 3
    assert not any(_knows_closed(context, node) for node in nodes)


@when('the holder tells one peer alone that "{queue}" is closed, in shards 0 and 7')
def _tell_one(context: Any, queue: str) -> None:
    node = context.holder.node
    notices = (QueueNotice(queue=queue, closed_seconds=9.0),)
    summary = AdmissionSummary(token=node.seats[0].held_claim.token, notices=notices)
    told = [(0, summary), (7, summary)]
    news = mock.patch.object(
        node._admission_news,
        "take_for",
        lambda link, _now: told if link.host == context.entry.host else [],
    )
    with news:
        context.cluster.run(3 * HEARTBEAT_SECONDS)


@then("that peer alone knows of a closed queue, in shard 0")
def _one_knows(context: Any) -> None:
    knowing = [node for node in context.cluster.nodes.values() if _knows_closed(context, node)]
    assert knowing == [context.entry], knowing
    assert not _knows_closed(context, context.entry, shard=7)


def _others(context: Any) -> list[SimulatedNode]:
    return [node for node in context.cluster.nodes.values() if node is not context.holder]


def _knows_closed(context: Any, node: SimulatedNode, shard: ShardId = 0) -> bool:
    return bool(node.node.summary_cache.closed_queues(shard, context.cluster.time.now()))


@when("an entry forgets what it was told")
def _forget(context: Any) -> None:
    node = context.entry.node
    node.router._summary_cache = node.summary_cache = AdmissionSummaryCache(TRUST_SECONDS)


@when(
    "an entry is cut off from everything for {seconds:g} seconds, and"
    ' {count:d} jobs for "{queue}" come there'
)
def _cut_and_come(context: Any, seconds: float, count: int, queue: str) -> None:
    cluster = context.cluster
    others = [node.host for node in cluster.nodes.values() if node is not context.entry]
    cluster.cut(context.entry.host, [*others, "store"])
    cluster.run(seconds)
    _come(context, count, queue)


@when(
    "the holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere'
)
@when(
    "that holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere'
)
def _change_and_come(context: Any, ended: str, seconds: float, count: int, queue: str) -> None:
    _change_holder(context, ended, seconds)
    _come(context, count, queue)


@when(
    "the holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere for {patience:g} seconds'
)
def _change_and_come_briefly(
    context: Any, ended: str, seconds: float, count: int, queue: str, patience: float
) -> None:
    _change_holder(context, ended, seconds)
    _hand_in(context, count, queue, patience=patience)
    context.cluster.run(4.0)


@when(
    '{count:d} jobs for "{queue}" come at another entry, the holder is killed before it answers'
    " them, and the next one needs {seconds:g} seconds"
)
def _come_and_change(context: Any, count: int, queue: str, seconds: float) -> None:
    _hand_in(context, count, queue)
    assert not context.replies, context.replies
    _change_holder(context, "killed", seconds)
    context.cluster.run(4.0)


@then("all of them are told at the end of their time that nothing is known")
def _told_unknown(context: Any) -> None:
    assert context.replies
    for reply, seconds in context.replies.values():
        assert reply is not None and reply.code is ReplyCode.UNKNOWN, context.replies
        assert seconds >= PATIENCE_SECONDS, seconds


def _change_holder(context: Any, ended: str, seconds: float) -> None:
    """End a holder; nobody else claims its shards for a while."""
    cluster = context.cluster
    elections = [
        seat.election
        for node in cluster.nodes.values()
        if node is not context.holder
        for seat in node.node.seats.values()
    ]

    def let_claim() -> None:
        for election in elections:
            election.defer_claims_until(cluster.time.now())
            # Those who rest look again rarely.
            election._due_at = cluster.time.now()

    for election in elections:
        election.defer_claims_until(math.inf)
    cluster.time.schedule(seconds, let_claim)
    if ended == "killed":
        cluster.kill_node(context.holder.name)
    else:
        assert ended == "stopped as planned", ended
        context.holder.process.run(context.holder.node.begin_stop)
    # The end of its connections, or its word, has to arrive.
    cluster.run(0.002)


@when("its holder opens every queue")
def _open(context: Any) -> None:
    scheduler = context.holder.node.seats[0].scheduler
    token = scheduler.context.token
    scheduler.admission_summary = lambda _now: AdmissionSummary(token=token)


@then("the other entries know of no closed queue after {seconds:g} seconds")
def _know_open(context: Any, seconds: float) -> None:
    cluster = context.cluster
    others = [node for node in cluster.nodes.values() if node is not context.holder]

    def closed() -> list[Any]:
        now = cluster.time.now()
        return [found for node in others for found in node.node.summary_cache.closed_queues(0, now)]

    assert len(closed()) == len(others)
    cluster.run(seconds)
    assert not closed()


def _refusals(context: Any, reason: str) -> list[tuple[CallReply, float]]:
    found = list(context.replies.values())
    assert found
    for reply, _seconds in found:
        assert reply is not None and reply.code is ReplyCode.REFUSED, found
        assert reply.reason == reason, found
    return found


@then('all of them are refused as "{reason}" after half a second')
def _refused_after_span(context: Any, reason: str) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(REFUSED_FROM < seconds <= REFUSED_BY for seconds in times), times


@then('all of them are refused as "{reason}" by {most:g} seconds')
def _refused_by(context: Any, reason: str, most: float) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(seconds <= most + 0.02 for seconds in times), times


@then('all of them are refused as "{reason}" after a quarter of a second')
def _refused_later(context: Any, reason: str) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(0.25 <= seconds < 0.35 for seconds in times), times


@then("they are told {least:g} seconds at least to come back, spread over {span:g} seconds or more")
def _told(context: Any, least: float, span: float) -> None:
    told = [reply.retry_after_seconds for reply, _seconds in context.replies.values()]
    assert min(told) >= least, told
    assert max(told) - min(told) >= span, told


@then("they are told exactly 1 second to come back")
def _told_default(context: Any) -> None:
    assert all(reply.retry_after_seconds == 1.0 for reply, _ in context.replies.values())


@then("none of them ever runs")
def _none_runs(context: Any) -> None:
    context.cluster.run(6.0)
    assert context.cluster.audit.counts["starts"] == 0, context.cluster.audit.counts


@then("all of them are accepted")
def _accepted(context: Any) -> None:
    codes = {reply and reply.code for reply, _seconds in context.replies.values()}
    assert codes == {ReplyCode.OK}, context.replies


@then("all of them are accepted, after {least:g} to {most:g} seconds")
def _accepted_within(context: Any, least: float, most: float) -> None:
    _accepted(context)
    times = [seconds for _reply, seconds in context.replies.values()]
    # They come a moment after the end of the holder.
    assert least - 0.002 < min(times) and max(times) <= most, times


@then("the jobs of its closed shard are refused after half a second and the others are not")
def _by_shard(context: Any) -> None:
    layout = context.entry.node.layout
    seen = set()
    for job_id, (reply, seconds) in context.replies.items():
        shard = layout.shard_of_job(job_id)
        seen.add(shard)
        if shard == context.closed_shard:
            assert (reply.code, reply.reason) == (ReplyCode.REFUSED, "queue_closed"), reply
            assert REFUSED_FROM < seconds <= REFUSED_BY
        else:
            assert reply.code is ReplyCode.OK, (shard, reply)
    assert len(seen) == 3


# Explorations

ALL_QUEUES = ("urgent", "normal", "patient")


def _all_closed(scheduler: ShardScheduler, _now: float) -> AdmissionSummary:
    notices = tuple(QueueNotice(queue=queue, closed_seconds=3.0) for queue in ALL_QUEUES)
    return AdmissionSummary(token=scheduler.context.token, notices=notices)


@when(
    "seeds {first:d} to {last:d} are played with one shard and {more:d} to {most:d} with three,"
    " every queue closed by word"
)
def _explore(context: Any, first: int, last: int, more: int, most: int) -> None:
    context.reasons = Counter()
    heard = JobAudit.handle_submit_reply

    def take(audit: JobAudit, job_id: str, reply: CallReply | None) -> None:
        if reply is not None and reply.code is ReplyCode.REFUSED:
            context.reasons[reply.reason] += 1
        heard(audit, job_id, reply)

    with (
        mock.patch.object(ShardScheduler, "admission_summary", _all_closed),
        mock.patch.object(JobAudit, "handle_submit_reply", take),
    ):
        context.reports = [play(seed) for seed in range(first, last + 1)]
        context.reports += [play(seed, shards=3) for seed in range(more, most + 1)]


@then("no job that only was refused ever ran, and none was doubled or lost")
def _no_findings(context: Any) -> None:
    assert not [finding for report in context.reports for finding in report.findings]


@then('some jobs were refused as "{reason}"')
def _some_refused(context: Any, reason: str) -> None:
    assert context.reasons[reason] > 0, context.reasons
