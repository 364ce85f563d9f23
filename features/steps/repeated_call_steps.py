"""Steps about calls of which an entry sends several copies."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when
from job_directed_steps import FIRST_JOB, _whole_worker_job

from onyxspoke.core.admission.verdict import Refusal, RefusalReason
from onyxspoke.core.shard.admission_controller import AdmissionController
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.election_actions import ElectionState
from onyxspoke.node.call_router import REPEAT_SECONDS
from onyxspoke.sim.job_cluster import SimulatedNode

STEP_SECONDS = 0.002
BOUND_SECONDS = 5.0
PATIENCE_SECONDS = 4.0
#: After this time without the store, the others know that a node cannot reach it.
STORE_LOST_SECONDS = 3.0
SLOW_STORE_SECONDS = 0.15
CODES = {"accepted": ReplyCode.OK, "refused": ReplyCode.REFUSED}


def _other_nodes(context: Any) -> list[SimulatedNode]:
    return [node for node in context.cluster.nodes.values() if node is not context.holder]


def _run_until(context: Any, is_reached: Callable[[], bool]) -> None:
    for _ in range(int(BOUND_SECONDS / STEP_SECONDS)):
        if is_reached():
            return
        context.cluster.run(STEP_SECONDS)
    raise AssertionError("the cluster did not come to this state")


@given("a holder that refuses the first copy of a submission, and accepts the next one")
def _refuse_first(context: Any) -> None:
    decisions = iter([Refusal(RefusalReason.TOO_LATE, 5.0)])

    def decide(*_arguments: Any) -> Refusal | None:
        return next(decisions, None)

    patch = mock.patch.object(AdmissionController, "decide", decide)
    patch.start()
    context.add_cleanup(patch.stop)
    context.entry = _other_nodes(context)[0]


@given("links that take {seconds:g} seconds")
def _slow_links(context: Any, seconds: float) -> None:
    network = context.cluster.network
    network.options = dataclasses.replace(network.options, delay_seconds=seconds)


@given("an entry that cannot reach the store")
def _without_store(context: Any) -> None:
    context.entry = _other_nodes(context)[0]
    context.cluster.cut(context.entry.host, ["store"])
    context.cluster.run(STORE_LOST_SECONDS)
    assert context.cluster.holder() is context.holder


@when("the holder is cut off from the store and from every other node")
def _cut_holder(context: Any) -> None:
    others = [node.host for node in _other_nodes(context) if node is not context.entry]
    context.cluster.cut(context.holder.host, ["store", *others])


@when("another node claims the shard at a slow store")
def _wait_for_claim(context: Any) -> None:
    candidates = [node for node in _other_nodes(context) if node is not context.entry]
    _run_until(
        context,
        lambda: any(
            node.node.seats[0].election.state is ElectionState.CLAIMING for node in candidates
        ),
    )
    context.cluster.store.faults.extra_seconds = SLOW_STORE_SECONDS


@when("the way between an entry and the holder is cut, and a job is submitted at that entry")
@when("the way between that entry and the holder is cut, and a job is submitted at that entry")
def _cut_and_submit(context: Any) -> None:
    cluster = context.cluster
    cluster.cut(context.entry.host, [context.holder.host])
    spec = _whole_worker_job(context, FIRST_JOB)
    cluster.pool.specs[FIRST_JOB] = spec
    cluster.audit.handle_submitted(spec)
    context.replies = []

    def take(reply: CallReply | None) -> None:
        context.replies.append(reply)
        cluster.audit.handle_submit_reply(FIRST_JOB, reply)

    cluster.call(context.entry, FIRST_JOB, SubmitCall(spec), take, PATIENCE_SECONDS)


@when("that entry reaches the store again, and has sent the submission to the new holder")
def _wait_for_successor(context: Any) -> None:
    context.cluster.heal(context.entry.host, ["store"])
    election = context.entry.node.seats[0].election
    former = context.holder.host
    _run_until(
        context,
        lambda: election.state is ElectionState.FOLLOWING and not election.is_held_by(former),
    )
    context.cluster.run(REPEAT_SECONDS)


@when("the way between that entry and the holder is restored")
def _restore(context: Any) -> None:
    context.cluster.heal(context.entry.host, [context.holder.host])


@then("the caller was {outcome}")
def _check_reply(context: Any, outcome: str) -> None:
    context.cluster.audit.check_refused()
    [reply] = context.replies
    assert reply is not None and reply.code is CODES[outcome], reply
