"""Steps about exceptions that a shard's holder meets while it records, restores or decides."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from silent_connection_steps import ANSWER
from slow_store_steps import QUEUE

from onyxspoke.core.jobs.model import JobId, JobSpec, StepSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.records import (
    PROGRESS_PREFIX,
    SPEC_PREFIX,
    ProgressRecord,
    StepRecord,
    encode_divided_progress,
    encode_spec,
)
from onyxspoke.core.shard import journal
from onyxspoke.core.shard.calls import CallReply, ReplyCode, StateCall, SubmitCall
from onyxspoke.core.shard.commit import CommitQueue
from onyxspoke.core.shard.estimates_manager import EstimatesManager
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.net.http_client import encode_request
from onyxspoke.node.seat import ShardSeat
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

SETTLE_SECONDS = 2.0
ANSWER_SECONDS = 1.0
THIRD = f"{3:016x}"


class FaultError(Exception):
    """Raised where a scenario has a part of the holder fail."""


def _raise(*_arguments: Any, **_names: Any) -> Any:
    raise FaultError


def _patch(context: Any, owner: Any, name: str, replacement: Any) -> None:
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@given("a cluster whose jobs are handed in together")
def _cluster(context: Any) -> None:
    cluster = context.cluster = JobCluster(ClusterOptions(seed=5, nodes=3, with_advice=False))
    context.replies = {}
    context.step_downs = []
    context.holders = []
    step_down = ShardSeat.step_down
    handle = ShardSeat._finish_takeover

    def note_step_down(seat: ShardSeat, reason: Any) -> None:
        if seat.scheduler is not None:
            context.step_downs.append(reason.value)
        step_down(seat, reason)

    def note_takeover(seat: ShardSeat, *arguments: Any) -> None:
        context.holders.append(seat)
        handle(seat, *arguments)

    _patch(context, ShardSeat, "step_down", note_step_down)
    _patch(context, ShardSeat, "_finish_takeover", note_takeover)
    cluster.start()
    cluster.run(SETTLE_SECONDS)
    assert cluster.holder() is not None


@given("the specification of the third job cannot be encoded")
def _no_specification(context: Any) -> None:
    encode_spec = journal.encode_spec

    def encode(spec: JobSpec) -> bytes:
        if spec.job_id == THIRD:
            raise OverflowError("can't serialize ints < -2**63 or > 2**64 - 1")
        return encode_spec(spec)

    _patch(context, journal, "encode_spec", encode)


@given("the progress of the third job cannot be encoded once it runs")
def _no_progress(context: Any) -> None:
    def encode(job: JobProgress) -> Any:
        if job.job_id == THIRD and job.has_started and not job.state.is_final:
            raise FaultError
        return encode_divided_progress(job)

    _patch(context, journal, "encode_divided_progress", encode)


@given("the end of the third job cannot be encoded at first")
def _no_end(context: Any) -> None:
    context.cluster.expected_internal_errors = 1
    has_raised = False

    def encode(job: JobProgress) -> Any:
        nonlocal has_raised
        if job.job_id == THIRD and job.state.is_final and not has_raised:
            has_raised = True
            raise FaultError
        return encode_divided_progress(job)

    _patch(context, journal, "encode_divided_progress", encode)


def _commit_queue(context: Any) -> CommitQueue:
    return context.cluster.holder().node.seats[0].scheduler.context.commit


@given("the holder's next append fails at {part}")
def _append_fails(context: Any, part: str) -> None:
    owner, name = {
        "the records of workers": (WorkerRegistry, "collect_records"),
        "the records of estimates": (EstimatesManager, "collect_records"),
        "the end of collecting": (_commit_queue(context), "collect"),
    }[part]
    context.cluster.expected_internal_errors = 1
    replaced = getattr(owner, name)
    has_raised = False

    def raise_once(*arguments: Any) -> Any:
        nonlocal has_raised
        # Where jobs wait to be recorded, so that their marks and effects are at stake.
        if not has_raised and context.replies:
            has_raised = True
            replaced(*arguments)
            raise FaultError
        return replaced(*arguments)

    _patch(context, owner, name, raise_once)


@when("{count:d} jobs are handed in")
def _hand_in(context: Any, count: int) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=2, processors_milli=100, memory_mb=10, estimated_ms=300)
    node = next(node for node in cluster.nodes.values() if node.is_up)
    for number in range(1, count + 1):
        job = JobSpec(job_id=f"{number:016x}", queue=queue, payload="p", steps=(step,))
        cluster.pool.specs[job.job_id] = job
        cluster.audit.handle_submitted(job)
        context.replies[job.job_id] = None
        cluster.call(node, job.job_id, SubmitCall(job), _keep_reply(context, job.job_id))
    cluster.run(ANSWER_SECONDS)


def _keep_reply(context: Any, job_id: JobId) -> Any:
    def keep(reply: CallReply | None) -> None:
        context.replies[job_id] = reply

    return keep


def _accepted(context: Any) -> list[JobId]:
    return [
        job_id
        for job_id, reply in context.replies.items()
        if reply is not None and reply.code is ReplyCode.OK
    ]


def _states(context: Any) -> dict[JobId, str]:
    """Return what the cell tells of every job that was handed in."""
    cluster = context.cluster
    node = next(node for node in cluster.nodes.values() if node.is_up)
    states = {}

    def note(job_id: JobId) -> Any:
        return lambda reply: states.__setitem__(
            job_id, reply.state or reply.code.value if reply is not None else "no answer"
        )

    for job_id in context.replies:
        cluster.call(node, job_id, StateCall(job_id), note(job_id))
    cluster.run(ANSWER_SECONDS)
    return states


@then("the third job is refused, and the others are accepted")
def _third_refused(context: Any) -> None:
    reply = context.replies[THIRD]
    assert reply is not None and reply.code is ReplyCode.REFUSED, reply
    assert len(_accepted(context)) == len(context.replies) - 1, context.replies


@then("the third job is shown as failed, and the others as completed")
def _third_failed(context: Any) -> None:
    states = _states(context)
    third = states.pop(THIRD)
    assert third == "failed", (third, states)
    assert set(states.values()) == {"completed"}, states


@then("the shard has kept its holder")
def _kept_holder(context: Any) -> None:
    assert not context.step_downs and len(context.holders) == 1, context.step_downs


@then("the shard has changed its holder once")
def _changed_once(context: Any) -> None:
    assert len(context.holders) == 2, (len(context.holders), context.step_downs)


@then("the accepted jobs are completed")
@then("every job that was answered as accepted is completed")
def _accepted_completed(context: Any) -> None:
    accepted = _accepted(context)
    states = _states(context)
    assert {job_id: states[job_id] for job_id in accepted} == dict.fromkeys(
        accepted, "completed"
    ), states


@then("the other accepted jobs are completed")
def _others_completed(context: Any) -> None:
    states = _states(context)
    del states[THIRD]
    assert states and set(states.values()) == {"completed"}, states


@when("the shard's holder is killed, and {seconds:g} seconds pass")
def _kill_holder(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.kill_node(cluster.holder().name)
    cluster.run(seconds)


@when("{seconds:g} seconds pass in that shard")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then('the holder has given the shard up with "{reason}"')
def _given_up(context: Any, reason: str) -> None:
    assert context.step_downs == [reason], context.step_downs


@when("the holder is killed, and the next takeover raises")
def _takeover_raises(context: Any) -> None:
    recover = ShardScheduler.recover
    context.cluster.expected_internal_errors = 1
    raised = context.raised_in = []

    def raise_once(scheduler: ShardScheduler, *arguments: Any) -> Any:
        if not raised:
            raised.append(scheduler)
            raise FaultError
        return recover(scheduler, *arguments)

    _patch(context, ShardScheduler, "recover", raise_once)
    context.cluster.kill_node(context.cluster.holder().name)


@then("another node has taken the shard over")
def _taken_over(context: Any) -> None:
    assert context.step_downs == ["internal_error"], context.step_downs
    holder = context.cluster.holder()
    assert holder is not None
    assert holder.node.seats[0].scheduler is not context.raised_in[0]
    assert len({id(seat) for seat in context.holders}) == len(context.holders) == 3


@when("the holder is killed, and the third job's record tells of a task that the job does not have")
def _foreign_record(context: Any) -> None:
    cluster = context.cluster
    cluster.kill_node(cluster.holder().name)
    step = StepRecord(0, 0, b"", {7: [1]}, {}, [])
    newest = cluster.store._partitions[0].newest
    newest[SPEC_PREFIX + THIRD] = encode_spec(cluster.pool.specs[THIRD])
    newest[PROGRESS_PREFIX + THIRD] = msgspec.msgpack.encode(ProgressRecord(1, [], [step]))


@when("a call is handed in that raises at every holder")
def _call_raises(context: Any) -> None:
    on_call = ShardScheduler.on_call
    context.cluster.expected_internal_errors = 1

    def raise_for_third(scheduler: ShardScheduler, call_id: int, call: Any, now: float) -> None:
        if isinstance(call, StateCall) and call.job_id == THIRD:
            raise FaultError
        on_call(scheduler, call_id, call, now)

    _patch(context, ShardScheduler, "on_call", raise_for_third)
    cluster = context.cluster
    node = next(node for node in cluster.nodes.values() if not node.is_holding)
    cluster.call(node, THIRD, StateCall(THIRD), _keep_reply(context, THIRD))


@then("that call was answered as unknown")
def _unknown(context: Any) -> None:
    assert context.replies[THIRD].code is ReplyCode.UNKNOWN, context.replies


@when("the receiver of the next answer raises an exception")
def _receiver_raises(context: Any) -> None:
    request = encode_request("GET", "/", "store")
    context.client.call("store", 1, request, 1.0, _raise)
    [connection] = context.kept
    try:
        connection.dataReceived(ANSWER)
    except FaultError as error:
        context.error = error


@then("the exception reaches the event loop")
def _reaches_loop(context: Any) -> None:
    assert isinstance(context.error, FaultError)
