"""Steps that drive the election of one node, and of a cluster of many."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from onyxspoke.core.shard.election import Election
from onyxspoke.core.shard.election_actions import (
    ConnectionLossReason,
    ConnectToHolder,
    ElectionState,
    HolderChanged,
    NodeIdentity,
    ReadClaim,
    SendClaim,
)
from onyxspoke.core.shard.log_records import ClaimRecord
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

OWN = NodeIdentity(incarnation="own.1", host="own", port=1)
HOLDER = NodeIdentity(incarnation="holder.1", host="holder", port=1)
OTHER = NodeIdentity(incarnation="other.1", host="other", port=1)
END = 100
TICK_SECONDS = 0.02


def _claim_of(node: NodeIdentity, token: int) -> ClaimRecord:
    return ClaimRecord(incarnation=node.incarnation, host=node.host, port=node.port, token=token)


@given("a follower that comes {place:d}th among those who could take over")
def _follower(context: Any, place: int) -> None:
    context.now = 10.0
    election = context.election = Election(0, OWN, lambda: 0.5, 0.0)
    election.start(context.now)
    election.handle_claim_read(True, _claim_of(HOLDER, 7), END, context.now)
    election.handle_peer_status(HOLDER, _claim_of(HOLDER, 7), context.now)
    earlier = [NodeIdentity(f"a{number:04}", f"a{number}", 1) for number in range(place - 1)]
    election.set_successors([*earlier, OWN])
    assert election.state is ElectionState.FOLLOWING
    context.actions = election.take_actions()


@when("its holder lets go")
def _lets_go(context: Any) -> None:
    context.election.handle_peer_status(HOLDER, None, context.now)
    context.election.handle_claim_read(True, _claim_of(HOLDER, 7), END, context.now)
    context.actions = context.election.take_actions()


@when("{seconds:g} seconds pass for the node")
def _pass(context: Any, seconds: float) -> None:
    until = context.now + seconds
    context.actions = []
    while context.now < until:
        context.now += TICK_SECONDS
        context.election.tick(context.now)
        context.actions += context.election.take_actions()


@when("the claim that it reads is another node's")
def _another_claims(context: Any) -> None:
    claim = _claim_of(OTHER, END + 1)
    context.expected = OTHER
    context.election.handle_claim_read(True, claim, END + 1, context.now)
    context.actions = context.election.take_actions()


@when("the partition that it reads has grown")
def _has_grown(context: Any) -> None:
    context.expected = HOLDER
    context.election.handle_claim_read(True, _claim_of(HOLDER, 7), END + 3, context.now)
    context.actions = context.election.take_actions()


@when("another node tells that it holds the shard")
def _told(context: Any) -> None:
    context.expected = OTHER
    context.election.handle_peer_status(OTHER, _claim_of(OTHER, END + 1), context.now)
    context.actions = context.election.take_actions()


@when("that node says nothing of a claim")
def _says_nothing(context: Any) -> None:
    context.election.handle_peer_status(OTHER, None, context.now)
    if ReadClaim() in context.election.take_actions():
        # It was taken for letting go: the store still has its claim.
        claim = _claim_of(OTHER, END + 1)
        context.election.handle_claim_read(True, claim, END + 1, context.now)


@when("that node says nothing of a claim for {seconds:g} seconds")
def _says_nothing_for(context: Any, seconds: float) -> None:
    context.now += seconds
    context.election.handle_peer_status(OTHER, None, context.now)
    context.actions = context.election.take_actions()


@then("it does not claim")
def _does_not_claim(context: Any) -> None:
    assert not any(isinstance(action, SendClaim) for action in context.actions), context.actions


@then("it waits for its turn")
def _waits(context: Any) -> None:
    assert context.election.state is ElectionState.WAITING_TURN


@then("it reads the claim")
def _reads(context: Any) -> None:
    assert ReadClaim() in context.actions


@then("it connects to that node")
def _connects(context: Any) -> None:
    node = context.expected
    assert ConnectToHolder(node.host, node.port) in context.actions, context.actions


@then("it claims")
def _claims(context: Any) -> None:
    assert any(isinstance(action, SendClaim) for action in context.actions)


@then("it follows that node")
def _follows(context: Any) -> None:
    assert context.election.state is ElectionState.FOLLOWING
    assert context.election.claim.incarnation == context.expected.incarnation


@then("calls go to that node from now on")
def _calls_go(context: Any) -> None:
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
def _kill(context: Any) -> None:
    context.killed = context.cluster.holder().name
    context.cluster.kill_node(context.killed)


@when("{seconds:g} seconds pass in that cluster")
def _pass_in_cluster(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("every other node of it is ready")
def _all_ready(context: Any) -> None:
    nodes = [node for name, node in context.cluster.nodes.items() if name != context.killed]
    late = [node.name for node in nodes if not node.node.is_ready]
    assert not late, late


@given("a node that nobody named and that takes the holder for lost")
def _unnamed(context: Any) -> None:
    context.now = 10.0
    election = context.election = Election(0, OWN, lambda: 0.5, 0.0)
    election.start(context.now)
    election.handle_claim_read(True, _claim_of(HOLDER, 7), END, context.now)
    election.handle_peer_status(HOLDER, _claim_of(HOLDER, 7), context.now)
    election.handle_peer_lost(HOLDER.host, ConnectionLossReason.REFUSED, context.now)
    context.actions = []


@when("{seconds:g} seconds pass for it, each look being answered after {delay:g} seconds")
def _pass_with_looks(context: Any, seconds: float, delay: float) -> None:
    election = context.election
    until = context.now + seconds
    answers = []
    while context.now < until:
        context.now += TICK_SECONDS
        election.tick(context.now)
        actions = election.take_actions()
        context.actions += actions
        answers += [context.now + delay for action in actions if isinstance(action, ReadClaim)]
        if answers and answers[0] <= context.now:
            answers.pop(0)
            election.handle_claim_read(True, _claim_of(HOLDER, 7), END, context.now)
