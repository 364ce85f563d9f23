"""Steps about connections that fall silent without being closed."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when
from slow_link_steps import _Endpoints
from slow_store_steps import FINISH_SECONDS, QUEUE, _hand_in_for
from twisted.internet.task import Clock

from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.net.http_client import HttpClient, encode_request
from onyxspoke.node.peers import PeerLinks
from onyxspoke.sim.job_cluster import PEER_PORT

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
JOB = "00000000000000b1"


def _call(context: Any, seconds: float) -> None:
    request = encode_request("GET", "/", "store")
    context.client.call("store", 1, request, seconds, context.answers.append)


@given("{count:d} kept connections to one address, each of which has carried a call")
def _kept(context: Any, count: int) -> None:
    context.clock = Clock()
    context.endpoints = _Endpoints()
    context.client = HttpClient(context.clock, context.endpoints)
    context.answers = []
    for _ in range(count):
        _call(context, 1.0)
    context.clock.advance(0.01)
    for protocol in context.endpoints.protocols:
        protocol.dataReceived(ANSWER)
    assert [answer.status for answer in context.answers] == [200] * count
    context.clock.advance(0.1)
    context.kept = list(context.endpoints.protocols)


@when("all of them fall silent, and a call is made with {seconds:g} seconds to go")
def _fall_silent(context: Any, seconds: float) -> None:
    context.answers.clear()
    _call(context, seconds)
    context.clock.advance(seconds + 0.01)


@when(
    "one of them falls silent under a call with {seconds:g} seconds to go, "
    "and the others carry calls meanwhile"
)
def _one_silent(context: Any, seconds: float) -> None:
    context.answers.clear()
    for _ in context.kept:
        _call(context, seconds)
    context.clock.advance(seconds / 2)
    silent = context.kept[-1]
    for protocol in context.kept[:-1]:
        protocol.dataReceived(ANSWER)
    context.clock.advance(seconds / 2 + 0.01)
    context.answers = [answer for answer in context.answers if answer.status != 200]
    assert silent.transport.was_aborted


@then("the call is not answered")
def _not_answered(context: Any) -> None:
    [answer] = context.answers
    assert answer.status == 0 and answer.was_sent


@when("the next call is made there")
def _next_call(context: Any) -> None:
    context.written = {id(item): len(item.transport.value()) for item in context.kept}
    _call(context, 0.2)


def _has_carried(context: Any, protocol: Any) -> bool:
    return len(protocol.transport.value()) > context.written.get(id(protocol), 0)


@then("it goes over a new connection")
def _over_new(context: Any) -> None:
    assert not any(_has_carried(context, protocol) for protocol in context.kept)
    assert _has_carried(context, context.endpoints.protocols[-1])


@then("it goes over a kept connection")
def _over_kept(context: Any) -> None:
    assert any(_has_carried(context, protocol) for protocol in context.kept)
    assert context.endpoints.protocols == context.kept


@given("its nodes never end a stream that is silent")
def _never_end(context: Any) -> None:
    patch = mock.patch.object(PeerLinks, "end_silent", lambda _links, _now: None)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "all connections between nodes fall silent {times:d} times, {pause:g} seconds apart, under jobs"
)
def _silence(context: Any, times: int, pause: float) -> None:
    for _ in range(times):
        context.cluster.network.silence_connections()
        _hand_in_for(context, pause)


@then("every job there was answered")
def _all_answered(context: Any) -> None:
    assert len(context.replies) == context.submitted
    assert all(code is ReplyCode.OK for _since, _at, code in context.replies)


@then("some job there was not answered")
def _some_unanswered(context: Any) -> None:
    context.cluster.run(FINISH_SECONDS)
    assert any(code is not ReplyCode.OK for _since, _at, code in context.replies)


@given("a node that has two streams with the holder")
def _two_streams(context: Any) -> None:
    cluster = context.cluster
    holder = cluster.holder()
    node = next(item for item in cluster.nodes.values() if item is not holder)
    for first, second in ((holder, node), (node, holder)):
        first.process.run(
            lambda first=first, second=second: first.node.peers.connect(second.host, PEER_PORT)
        )
    cluster.run(0.5)
    links = node.node.peers
    assert holder.host in links.outgoing and holder.host in links.incoming
    context.node, context.holder = node, holder


@when("a job is handed in at that node, and the stream that carries it is lost on its way")
def _lost_on_way(context: Any) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=300)
    job = JobSpec(job_id=JOB, queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[JOB] = job
    cluster.audit.handle_submitted(job)
    context.since = cluster.time.now()
    context.replies = []

    def take(reply: CallReply | None) -> None:
        context.replies.append((cluster.time.now(), reply))

    link = context.node.node.peers.link_to(context.holder.host)
    cluster.call(context.node, JOB, SubmitCall(job), take)
    cluster.time.schedule(0.0001, lambda: context.node.process.run(link.abort))
    cluster.run(2.0)


@then("the job is accepted within {seconds:g} seconds")
def _accepted_within(context: Any, seconds: float) -> None:
    [(answered_at, reply)] = context.replies
    assert reply is not None and reply.code is ReplyCode.OK, reply
    assert answered_at - context.since <= seconds, answered_at - context.since
