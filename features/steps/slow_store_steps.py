"""Steps about a store that answers slowly."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.commit import CommitQueue
from onyxspoke.core.shard.log_records import AppendOutcome, AppendResult, ShardRecord
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

QUEUE = "normal"
JOBS_PER_SECOND = 10
SETTLE_SECONDS = 2.0
FINISH_SECONDS = 3.0


@given("a cluster of {count:d} nodes whose store takes {seconds:g} seconds an answer")
def _cluster(context: Any, count: int, seconds: float) -> None:
    context.cluster = JobCluster(ClusterOptions(seed=3, nodes=count, workers=6))
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.cluster.store.faults.extra_seconds = seconds
    context.holders = set()
    #: When each job was handed in, when it was answered, and how.
    context.replies = []
    context.submitted = 0


def _hand_in(context: Any) -> None:
    cluster = context.cluster
    nodes = [node for node in cluster.nodes.values() if not node.node.is_stopping]
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=300)
    context.submitted += 1
    job = JobSpec(job_id=f"{context.submitted:016x}", queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[job.job_id] = job
    cluster.audit.handle_submitted(job)
    since = cluster.time.now()

    def take(reply: CallReply | None) -> None:
        code = reply.code if reply is not None else None
        context.replies.append((since, cluster.time.now(), code))

    node = nodes[context.submitted % len(nodes)]
    cluster.call(node, job.job_id, SubmitCall(job), take)


@when("jobs are handed in there for {seconds:g} seconds")
def _hand_in_for(context: Any, seconds: float) -> None:
    for _ in range(int(seconds * JOBS_PER_SECOND)):
        _hand_in(context)
        context.cluster.run(1.0 / JOBS_PER_SECOND)
        holder = context.cluster.holder()
        if holder is not None:
            context.holders.add(holder.process.name)
    context.ended_at = context.cluster.time.now()


@when("the holder there is stopped as planned")
def _stop_holder(context: Any) -> None:
    holder = context.cluster.holder()
    holder.process.run(holder.node.begin_stop)


@then("the shard had no more than {count:d} holder")
@then("the shard had no more than {count:d} holders")
def _holders(context: Any, count: int) -> None:
    assert 1 <= len(context.holders) <= count, context.holders


@then("no job of the last {seconds:g} seconds was refused")
def _none_refused(context: Any, seconds: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    late = [reply for reply in context.replies if reply[0] >= context.ended_at - seconds]
    assert late
    refused = [reply for reply in late if reply[2] is not ReplyCode.OK]
    assert not refused, refused


@then("every accepted job there was answered within {seconds:g} seconds")
def _in_time(context: Any, seconds: float) -> None:
    accepted = [reply for reply in context.replies if reply[2] is ReplyCode.OK]
    slow = [reply for reply in accepted if reply[1] - reply[0] > seconds]
    assert not slow, slow


@given("its store loses {share:g} of the answers to appends, and does those {late:g} seconds later")
def _loses(context: Any, share: float, late: float) -> None:
    faults = context.cluster.store.faults
    faults.loses_share, faults.late_seconds = share, late


@then("{share:d} of 100 jobs there were accepted within {seconds:g} seconds")
def _accepted_soon(context: Any, share: int, seconds: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    soon = [
        since
        for since, answered_at, code in context.replies
        if code is ReplyCode.OK and answered_at - since <= seconds
    ]
    assert len(soon) * 100 >= share * context.submitted, (len(soon), context.submitted)


@then("the jobs of the last {last:g} seconds were accepted within {mean:g} seconds on average")
def _accepted_on_average(context: Any, last: float, mean: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    taken = [
        answered_at - since
        for since, answered_at, code in context.replies
        if since >= context.ended_at - last and code is ReplyCode.OK
    ]
    assert len(taken) >= last * JOBS_PER_SECOND, len(taken)
    assert sum(taken) / len(taken) <= mean, sum(taken) / len(taken)


@given("a holder's commits to a store that took {seconds:g} seconds for its latest answer")
def _commits(context: Any, seconds: float) -> None:
    context.dirty = []
    context.effects = []
    context.now = 10.0

    def collect(_maximum_bytes: int) -> list[ShardRecord]:
        records, context.dirty = context.dirty, []
        return records

    context.commits = CommitQueue(
        shard=0,
        epoch=1,
        next_sequence=1,
        ownership_proven_at=0.0,
        collect=collect,
        renew=lambda: ShardRecord("~claim", b"renewed"),
        is_dirty=lambda: bool(context.dirty),
        latest_seconds=seconds,
    )


@when("two appends are on their way")
def _two_appends(context: Any) -> None:
    context.append_queues = []
    for number in (1, 2):
        context.dirty.append(ShardRecord(f"job/{number}", b"accepted"))
        context.commits.after_commit(lambda _now, number=number: context.effects.append(number))
        append = context.commits.next_append(context.now)
        assert append is not None and append.sequence == number
        context.append_queues.append((append.sequence, context.now))
        context.now += 0.06


@when("two appends are on their way, whose effects come with their records")
def _two_appends_with_records(context: Any) -> None:
    collect = context.commits.collect

    def collect_with_effect(maximum_bytes: int) -> list[ShardRecord]:
        records = collect(maximum_bytes)
        number = len(context.append_queues) + 1
        context.commits.after_commit(lambda _now: context.effects.append(number))
        return records

    context.append_queues = []
    context.commits.collect = collect_with_effect
    for number in (1, 2):
        context.dirty.append(ShardRecord(f"job/{number}", b"ended"))
        append = context.commits.next_append(context.now)
        assert append is not None and append.sequence == number
        context.append_queues.append((append.sequence, context.now))
        context.now += 0.06


def _answer(context: Any, number: int, outcome: AppendOutcome) -> bool:
    sequence, sent_at = context.append_queues[number - 1]
    result = AppendResult(outcome, call_seconds=0.2)
    context.is_held = context.commits.handle_result(sequence, sent_at, result, context.now)
    return bool(context.is_held)


@when("the store turns the second one away as out of sequence")
def _turn_away_second(context: Any) -> None:
    _answer(context, 2, AppendOutcome.OUT_OF_SEQUENCE)


@when("the store acknowledges the first one")
def _acknowledge_first(context: Any) -> None:
    assert _answer(context, 1, AppendOutcome.DONE)
    assert context.effects == [1]


@when("the store acknowledges the second one")
def _acknowledge_second(context: Any) -> None:
    assert _answer(context, 2, AppendOutcome.DONE)


@when("the second one is sent again, and turned away as out of sequence")
def _turn_away_again(context: Any) -> None:
    context.now += 0.01
    assert _answer(context, 2, AppendOutcome.UNKNOWN)
    _resend_second(context)
    _answer(context, 2, AppendOutcome.OUT_OF_SEQUENCE)


@then("the second one is sent again")
def _resend_second(context: Any) -> None:
    context.now += 0.2
    again = context.commits.next_append(context.now)
    assert again is not None and again.sequence == 2, again
    context.append_queues[1] = (again.sequence, context.now)


@then("the shard is still held")
def _still_held(context: Any) -> None:
    assert context.is_held


@then("the shard is held no more")
def _held_no_more(context: Any) -> None:
    assert not context.is_held


@then("the effects of both are had, in their order")
def _both_effects(context: Any) -> None:
    assert context.effects == [1, 2], context.effects
