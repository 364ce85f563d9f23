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
    #: Submission time, answer time and reply code of each answered job.
    context.replies = []
    context.submitted = 0


def _submit_job(context: Any) -> None:
    cluster = context.cluster
    nodes = [node for node in cluster.nodes.values() if not node.node.is_stopping]
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=300)
    context.submitted += 1
    job = JobSpec(job_id=f"{context.submitted:016x}", queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[job.job_id] = job
    cluster.audit.handle_submitted(job)
    submitted_at = cluster.time.now()

    def record_reply(reply: CallReply | None) -> None:
        code = reply.code if reply is not None else None
        context.replies.append((submitted_at, cluster.time.now(), code))

    node = nodes[context.submitted % len(nodes)]
    cluster.call(node, job.job_id, SubmitCall(job), record_reply)


@when("jobs are handed in there for {seconds:g} seconds")
def _hand_in_for(context: Any, seconds: float) -> None:
    for _ in range(int(seconds * JOBS_PER_SECOND)):
        _submit_job(context)
        context.cluster.run(1.0 / JOBS_PER_SECOND)
        holder = context.cluster.holder()
        if holder is not None:
            context.holders.add(holder.process.name)
    context.ended_at = context.cluster.time.now()


@when("a planned stop of the cluster's holder begins")
def _stop_holder(context: Any) -> None:
    holder = context.cluster.holder()
    holder.process.run(holder.node.begin_stop)


@then("the shard had at most {count:d} holder")
@then("the shard had at most {count:d} holders")
def _at_most_holders(context: Any, count: int) -> None:
    assert 1 <= len(context.holders) <= count, context.holders


@then("no job of the last {seconds:g} seconds was refused")
def _none_refused(context: Any, seconds: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    late = [reply for reply in context.replies if reply[0] >= context.ended_at - seconds]
    assert late
    refused = [reply for reply in late if reply[2] is not ReplyCode.OK]
    assert not refused, refused


@then("every accepted job there was answered within {seconds:g} seconds")
def _answered_in_time(context: Any, seconds: float) -> None:
    accepted = [reply for reply in context.replies if reply[2] is ReplyCode.OK]
    slow = [reply for reply in accepted if reply[1] - reply[0] > seconds]
    assert not slow, slow


@given(
    "its store loses the answers to {share:g} of the appends,"
    " and carries these out {late:g} seconds late"
)
def _lose_answers(context: Any, share: float, late: float) -> None:
    faults = context.cluster.store.faults
    faults.loses_share, faults.late_seconds = share, late


@then("at least {share:d} percent of the submitted jobs were accepted within {seconds:g} seconds")
def _accepted_soon(context: Any, share: int, seconds: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    accepted_in_time = [
        submitted_at
        for submitted_at, answered_at, code in context.replies
        if code is ReplyCode.OK and answered_at - submitted_at <= seconds
    ]
    assert len(accepted_in_time) * 100 >= share * context.submitted, (
        len(accepted_in_time),
        context.submitted,
    )


@then("the jobs of the last {last:g} seconds were accepted within {mean:g} seconds on average")
def _accepted_on_average(context: Any, last: float, mean: float) -> None:
    context.cluster.run(FINISH_SECONDS)
    durations = [
        answered_at - submitted_at
        for submitted_at, answered_at, code in context.replies
        if submitted_at >= context.ended_at - last and code is ReplyCode.OK
    ]
    assert len(durations) >= last * JOBS_PER_SECOND, len(durations)
    assert sum(durations) / len(durations) <= mean, sum(durations) / len(durations)


@given("a commit queue whose latest call to the store took {seconds:g} seconds")
def _commit_queue(context: Any, seconds: float) -> None:
    context.dirty = []
    context.effects = []
    context.now = 10.0

    def collect(_maximum_bytes: int, _now: float) -> list[ShardRecord]:
        records, context.dirty = context.dirty, []
        return records

    context.commit_queue = CommitQueue(
        shard=0,
        epoch=1,
        next_sequence=1,
        ownership_proven_at=0.0,
        collect=collect,
        renew=lambda: ShardRecord("~claim", b"renewed"),
        is_dirty=lambda: bool(context.dirty),
        latest_call_seconds=seconds,
    )


@when("the queue sends two appends")
def _send_two_appends(context: Any) -> None:
    context.sent_appends = []
    for number in (1, 2):
        context.dirty.append(ShardRecord(f"job/{number}", b"accepted"))
        context.commit_queue.after_commit(
            lambda _now, number=number: context.effects.append(number)
        )
        append = context.commit_queue.next_append(context.now)
        assert append is not None and append.sequence == number
        context.sent_appends.append((append.sequence, context.now))
        context.now += 0.06


@when("the queue sends two appends whose effects are registered while records are collected")
def _send_two_appends_with_records(context: Any) -> None:
    collect = context.commit_queue.collect

    def collect_with_effect(maximum_bytes: int, now: float) -> list[ShardRecord]:
        records = collect(maximum_bytes, now)
        number = len(context.sent_appends) + 1
        context.commit_queue.after_commit(lambda _now: context.effects.append(number))
        return records

    context.sent_appends = []
    context.commit_queue.collect = collect_with_effect
    for number in (1, 2):
        context.dirty.append(ShardRecord(f"job/{number}", b"ended"))
        append = context.commit_queue.next_append(context.now)
        assert append is not None and append.sequence == number
        context.sent_appends.append((append.sequence, context.now))
        context.now += 0.06


def _answer(context: Any, number: int, outcome: AppendOutcome) -> bool:
    sequence, sent_at = context.sent_appends[number - 1]
    result = AppendResult(outcome, call_seconds=0.2)
    context.is_held = context.commit_queue.handle_result(sequence, sent_at, result, context.now)
    return bool(context.is_held)


@when("the store rejects the second append as out of sequence")
def _reject_second(context: Any) -> None:
    _answer(context, 2, AppendOutcome.OUT_OF_SEQUENCE)


@when("the store acknowledges the first append")
def _acknowledge_first(context: Any) -> None:
    assert _answer(context, 1, AppendOutcome.DONE)
    assert context.effects == [1]


@when("the store acknowledges the second append")
def _acknowledge_second(context: Any) -> None:
    assert _answer(context, 2, AppendOutcome.DONE)


@when("the second append is sent again and rejected as out of sequence")
def _reject_second_again(context: Any) -> None:
    context.now += 0.01
    assert _answer(context, 2, AppendOutcome.UNKNOWN)
    _resend_second(context)
    _answer(context, 2, AppendOutcome.OUT_OF_SEQUENCE)


@then("the second append is sent again")
def _resend_second(context: Any) -> None:
    context.now += 0.2
    again = context.commit_queue.next_append(context.now)
    assert again is not None and again.sequence == 2, again
    context.sent_appends[1] = (again.sequence, context.now)


@then("the queue reports that the shard is still held")
def _shard_is_held(context: Any) -> None:
    assert context.is_held


@then("the queue reports that the shard is lost")
def _shard_is_lost(context: Any) -> None:
    assert not context.is_held


@then("the effects of both appends have run in order")
def _both_effects_ran(context: Any) -> None:
    assert context.effects == [1, 2], context.effects
