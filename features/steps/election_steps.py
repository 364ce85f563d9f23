"""Steps that drive the election of one node, and of a cluster of many."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from behave import given, then, when

from onyxspoke.core.shard.election import Election
from onyxspoke.core.shard.election_actions import (
    BecomeHolder,
    ConnectionLossReason,
    ConnectToHolder,
    ElectionState,
    HolderChanged,
    NodeIdentity,
    ReadClaim,
    SendClaim,
)
from onyxspoke.core.shard.log_records import AppendOutcome, AppendResult, ClaimRecord
from onyxspoke.core.shard.order_bounds import OrderBoundBasis
from onyxspoke.node.heartbeat import HEARTBEAT_SECONDS
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

OWN = NodeIdentity(incarnation="own.1", host="own", port=1)
HOLDER = NodeIdentity(incarnation="holder.1", host="holder", port=1)
OTHER_PORT = 2
OTHER = NodeIdentity(incarnation="other.1", host="other", port=1)
PARTITION_END = 100
TICK_SECONDS = 0.02


def _claim_of(node: NodeIdentity, token: int) -> ClaimRecord:
    return ClaimRecord(incarnation=node.incarnation, host=node.host, port=node.port, token=token)


@given("a follower that is successor number {place:d}")
def _follower(context: Any, place: int) -> None:
    context.now = 10.0
    election = context.election = Election(0, OWN, lambda: 0.5, 0.0)
    election.start(context.now)
    election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END, context.now)
    election.handle_peer_status(HOLDER, _claim_of(HOLDER, 7), context.now)
    earlier = [NodeIdentity(f"a{number:04}", f"a{number}", 1) for number in range(place - 1)]
    election.set_successors([*earlier, OWN])
    assert election.state is ElectionState.FOLLOWING
    context.actions = election.take_actions()


@when("its holder gives up the shard")
def _holder_gives_up(context: Any) -> None:
    context.election.handle_peer_status(HOLDER, None, context.now)
    context.election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END, context.now)
    context.actions = context.election.take_actions()


@when("{seconds:g} seconds pass for the node")
def _pass_time(context: Any, seconds: float) -> None:
    until = context.now + seconds
    context.actions = []
    while context.now < until:
        context.now += TICK_SECONDS
        context.election.tick(context.now)
        context.actions += context.election.take_actions()


@when("it reads a newer claim of another node")
def _reads_newer_claim(context: Any) -> None:
    claim = _claim_of(OTHER, PARTITION_END + 1)
    context.expected = OTHER
    context.election.handle_claim_read(True, claim, PARTITION_END + 1, context.now)
    context.actions = context.election.take_actions()


@when("it reads the same claim and a later end of the partition")
def _reads_later_end(context: Any) -> None:
    context.expected = HOLDER
    context.election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END + 3, context.now)
    context.actions = context.election.take_actions()


@when("it reads the same claim once more")
def _reads_same_claim(context: Any) -> None:
    context.election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END, context.now)
    context.actions = context.election.take_actions()


@when("it may not claim any more")
def _forbid_claims(context: Any) -> None:
    context.election.set_claims_allowed(False, context.now)


@when("it may claim again")
def _allow_claims(context: Any) -> None:
    context.election.set_claims_allowed(True, context.now)
    context.actions = context.election.take_actions()


@then("it has not claimed the shard")
def _has_not_claimed(context: Any) -> None:
    assert not any(isinstance(action, SendClaim) for action in context.actions), context.actions
    assert context.election.state is ElectionState.READING, context.election.state


@when("another node reports that it holds the shard")
def _another_node_reports_holding(context: Any) -> None:
    context.expected = OTHER
    context.election.handle_peer_status(OTHER, _claim_of(OTHER, PARTITION_END + 1), context.now)
    context.actions = context.election.take_actions()


@when("that node reports no claim")
def _reports_no_claim(context: Any) -> None:
    context.election.handle_peer_status(OTHER, None, context.now)
    if ReadClaim() in context.election.take_actions():
        # The node took the status for a release of the shard; the store still has the claim.
        claim = _claim_of(OTHER, PARTITION_END + 1)
        context.election.handle_claim_read(True, claim, PARTITION_END + 1, context.now)


@when("that node still reports no claim after {seconds:g} seconds")
def _still_reports_no_claim(context: Any, seconds: float) -> None:
    context.now += seconds
    context.election.handle_peer_status(OTHER, None, context.now)
    context.actions = context.election.take_actions()


@then("it does not claim the shard")
def _does_not_claim_shard(context: Any) -> None:
    assert not any(isinstance(action, SendClaim) for action in context.actions), context.actions


@then("it waits for its turn")
def _waits_for_turn(context: Any) -> None:
    assert context.election.state is ElectionState.WAITING_TURN


@then("it reads the claim")
def _reads_claim(context: Any) -> None:
    assert ReadClaim() in context.actions


@then("it connects to that node")
def _connects_to_node(context: Any) -> None:
    node = context.expected
    assert ConnectToHolder(node.host, node.port) in context.actions, context.actions


@then("it claims the shard")
def _claims_shard(context: Any) -> None:
    assert any(isinstance(action, SendClaim) for action in context.actions)


@then("it follows that node")
def _follows_node(context: Any) -> None:
    assert context.election.state is ElectionState.FOLLOWING
    assert context.election.claim.incarnation == context.expected.incarnation


@then("it reports that node as the new holder")
def _reports_new_holder(context: Any) -> None:
    changes = [item for item in context.actions if isinstance(item, HolderChanged)]
    assert changes
    assert changes[-1].claim is not None
    assert changes[-1].claim.incarnation == context.expected.incarnation


@given("a cluster of {count:d} nodes")
def _cluster(context: Any, count: int) -> None:
    context.cluster = JobCluster(ClusterOptions(seed=8, nodes=count, workers=2))
    context.cluster.start()
    context.cluster.run(2.0)


@when("the holder of the cluster is killed")
def _kill_holder(context: Any) -> None:
    context.killed = context.cluster.holder().name
    context.cluster.kill_node(context.killed)


@when("{seconds:g} seconds pass in that cluster")
def _pass_time_in_cluster(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("every other node of the cluster is ready")
def _other_nodes_ready(context: Any) -> None:
    nodes = [node for name, node in context.cluster.nodes.items() if name != context.killed]
    not_ready = [node.name for node in nodes if not node.node.is_ready]
    assert not not_ready, not_ready


@given("a node that is not a successor and whose connection to the holder was refused")
def _node_without_turn(context: Any) -> None:
    context.now = 10.0
    election = context.election = Election(0, OWN, lambda: 0.5, 0.0)
    election.start(context.now)
    election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END, context.now)
    election.handle_peer_status(HOLDER, _claim_of(HOLDER, 7), context.now)
    election.handle_peer_lost(HOLDER.host, ConnectionLossReason.REFUSED, context.now)
    context.actions = []


@when("{seconds:g} seconds pass for the node, and each read is answered after {delay:g} seconds")
def _pass_time_with_reads(context: Any, seconds: float, delay: float) -> None:
    election = context.election
    until = context.now + seconds
    read_answer_times = []
    while context.now < until:
        context.now += TICK_SECONDS
        election.tick(context.now)
        actions = election.take_actions()
        context.actions += actions
        read_answer_times += [
            context.now + delay for action in actions if isinstance(action, ReadClaim)
        ]
        if read_answer_times and read_answer_times[0] <= context.now:
            read_answer_times.pop(0)
            election.handle_claim_read(True, _claim_of(HOLDER, 7), PARTITION_END, context.now)


@when("it reads a claim of the next process at its holder's address")
def _reads_claim_of_next_process(context: Any) -> None:
    claim = ClaimRecord(
        incarnation="holder.2",
        host=HOLDER.host,
        port=HOLDER.port,
        token=PARTITION_END + 1,
        earlier_orders_seconds=0.0,
    )
    context.read_claim = claim
    context.now += 0.3
    context.election.handle_claim_read(True, claim, PARTITION_END + 1, context.now)
    context.known_at = context.now


@when("another process at that address reports no claim on a stream {stream}")
def _another_process_reports(context: Any, stream: str) -> None:
    context.now += 0.1
    opened_at = {
        "that it opened after it knew of the claim": context.known_at + 0.05,
        "that it opened before it knew of the claim": context.known_at - 0.05,
        "that the other process opened": -math.inf,
    }[stream]
    context.election.handle_peer_status(
        HOLDER, None, context.now, HEARTBEAT_SECONDS, stream_opened_at=opened_at
    )


@when("a process at another port of that host reports no claim")
def _process_at_other_port_reports(context: Any) -> None:
    context.now += 0.1
    other = msgspec.structs.replace(HOLDER, incarnation="neighbour.1", port=OTHER_PORT)
    context.election.handle_peer_status(
        other, None, context.now, HEARTBEAT_SECONDS, stream_opened_at=context.known_at + 0.05
    )


@given("a node that has just started")
def _has_just_started(context: Any) -> None:
    context.now = 10.0
    context.election = Election(0, OWN, lambda: 0.5, started_at=context.now)
    context.election.start(context.now)


@when("it reads a claim of a node at another port of its own host")
def _reads_claim_of_neighbour(context: Any) -> None:
    claim = ClaimRecord(
        incarnation="neighbour.1",
        host=OWN.host,
        port=OTHER_PORT,
        token=7,
        earlier_orders_seconds=0.0,
    )
    context.election.handle_claim_read(True, claim, PARTITION_END, context.now)


@when("the store accepts its claim")
def _store_accepts(context: Any) -> None:
    election = context.election
    assert election.state is ElectionState.CLAIMING, election.state
    election.handle_append_result(AppendResult(AppendOutcome.DONE), context.now + 0.01)
    context.actions = election.take_actions()


@when("it claims the shard, and the store accepts the claim")
def _claims_and_wins(context: Any) -> None:
    election = context.election
    election.handle_claim_read(True, context.read_claim, PARTITION_END + 1, context.now)
    assert election.state is ElectionState.CLAIMING, election.state
    election.handle_append_result(AppendResult(AppendOutcome.DONE), context.now + 0.01)
    context.actions = election.take_actions()


@then("the bound on earlier holders' orders rests on {basis}")
def _bound_rests_on(context: Any, basis: str) -> None:
    holding = next(item for item in context.actions if isinstance(item, BecomeHolder))
    assert holding.earlier_orders.basis is OrderBoundBasis(basis), holding.earlier_orders


@given("a node that holds the shard since the last holder's process ended, at {seconds:g} seconds")
def _holds_after_death(context: Any, seconds: float) -> None:
    context.now = seconds
    election = context.election = Election(0, OWN, lambda: 0.5, started_at=seconds)
    former = ClaimRecord(
        incarnation="own.0", host=OWN.host, port=OWN.port, token=7, earlier_orders_seconds=0.0
    )
    election.start(context.now)
    election.handle_claim_read(True, former, PARTITION_END, context.now)
    election.handle_append_result(AppendResult(AppendOutcome.DONE), context.now)
    holding = next(item for item in election.take_actions() if isinstance(item, BecomeHolder))
    assert holding.earlier_orders.basis is OrderBoundBasis.HOLDER_STOPPED
    context.stored_claim = holding.claim


@given("its record in the store tells of {seconds:g} seconds")
def _record_tells(context: Any, seconds: float) -> None:
    context.stored_claim = msgspec.structs.replace(
        context.stored_claim, earlier_orders_seconds=seconds
    )


@when("it gives the shard up at {until:g} seconds, and claims it again at {again:g} seconds")
def _claims_again(context: Any, until: float, again: float) -> None:
    election = context.election
    election.handle_step_down(until)
    election.handle_claim_read(True, context.stored_claim, PARTITION_END + 5, again)
    assert election.state is ElectionState.CLAIMING, election.state
    election.handle_append_result(AppendResult(AppendOutcome.DONE), again)
    context.actions = election.take_actions()


@then("earlier holders give orders until {until:g} seconds, by its bound")
def _bound_until(context: Any, until: float) -> None:
    holding = next(item for item in context.actions if isinstance(item, BecomeHolder))
    assert holding.earlier_orders.until == until, holding.earlier_orders
