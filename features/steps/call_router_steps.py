"""Steps about one entry's router of calls, and about the copies that a holder receives."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any
from unittest import mock

from behave import given, then, when
from job_directed_steps import FIRST_JOB, _whole_worker_job
from slow_link_steps import _Transport

from onyxspoke.core.admission.summary_cache import AdmissionSummaryCache
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, StepKey, StepSpec
from onyxspoke.core.shard.actions import RequestAdvice, StepDownReason
from onyxspoke.core.shard.call_copies import CopyTarget
from onyxspoke.core.shard.calls import Call, CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.net.stream import encode_message
from onyxspoke.node.call_route import CallRoute
from onyxspoke.node.call_router import CallRouter
from onyxspoke.node.messages import CallAnswer, CallForward, Hello
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

CALL_SECONDS = 3.0
TICK_SECONDS = 0.02
LATEST_COPY = 7
CODES = {
    "refused": ReplyCode.REFUSED,
    "accepted": ReplyCode.OK,
    "answered by no holder": ReplyCode.NOT_HOLDER,
}


class _Entry:
    """An entry whose holder and streams the scenario sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.sent: list[int] = []
        self.told: list[CallReply] = []
        self.route: CallRoute | None = None
        self.router = CallRouter(lambda _shard: self.route, AdmissionSummaryCache(5.0))

    def find(self, incarnation: str, token: int, path: object, is_checked: bool) -> None:
        target = CopyTarget(token, incarnation, is_checked)
        self.route = CallRoute(target, path, lambda copy, _call: self.sent.append(copy))
        self.router.handle_holder_found(0, self.now)

    def lose_holder(self) -> None:
        self.route = None
        self.router.handle_holder_lost(0)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.router.keep(self.now, is_cut_off=False)


def _submission() -> Call:
    queue = QueuePolicy(name="normal", service="service")
    steps = (StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=100),)
    return SubmitCall(JobSpec(job_id=FIRST_JOB, queue=queue, payload="p", steps=steps))


@given('a submission that an entry sends to process "{incarnation}" with token {token:d}')
def _submit(context: Any, incarnation: str, token: int) -> None:
    _submit_to_build(context, incarnation, token, "this build")


@given(
    'a submission that an entry sends to process "{incarnation}" with token {token:d}, of {build}'
)
def _submit_to_build(context: Any, incarnation: str, token: int, build: str) -> None:
    context.is_checked = build == "this build"
    context.entry = entry = _Entry()
    entry.find(incarnation, token, object(), context.is_checked)
    entry.router.submit(0, _submission(), entry.told.append, entry.now, entry.now + CALL_SECONDS)
    entry.run(0.1)


@when("the entry loses sight of the holder")
def _lose_holder(context: Any) -> None:
    context.entry.lose_holder()
    context.entry.run(0.1)


@when("its stream is lost")
def _lose_stream(context: Any) -> None:
    path = context.entry.route.path
    context.entry.lose_holder()
    context.entry.router.handle_path_lost(path)
    context.entry.run(0.1)


@when('it finds process "{incarnation}" with token {token:d} on another stream')
def _find(context: Any, incarnation: str, token: int) -> None:
    context.entry.find(incarnation, token, object(), context.is_checked)
    context.entry.run(0.1)


@when('it finds process "{incarnation}" with token {token:d} on the same stream')
def _find_again(context: Any, incarnation: str, token: int) -> None:
    [pending] = context.entry.router._pending.values()
    [route] = pending.routes.values()
    context.entry.find(incarnation, token, route.path, context.is_checked)
    context.entry.run(0.1)


@when("copy {copy:d} is {answer}")
def _answer(context: Any, copy: int, answer: str) -> None:
    entry = context.entry
    entry.router.handle_reply(copy, CallReply(code=CODES[answer]), entry.now)


@when("{seconds:g} seconds pass at the entry")
def _pass(context: Any, seconds: float) -> None:
    context.entry.run(seconds)


@when("the entry stands still until the call's time is over")
def _stand_still(context: Any) -> None:
    context.entry.now += CALL_SECONDS + 1.0


@then('the caller is told "{answer}", after {count:d} copies')
def _told(context: Any, answer: str, count: int) -> None:
    told = [reply.code.value for reply in context.entry.told]
    assert told == ([] if answer == "nothing" else [answer]), told
    assert context.entry.sent == list(range(1, count + 1)), context.entry.sent


# Holder


class _Link:
    def __init__(self, link: Any) -> None:
        self.identity = link.identity
        self.answers: list[Any] = []

    def send(self, message: Any) -> None:
        self.answers.append(message)


@when("the holder gets copy {number:d} of a submission from an entry, meant for {token}")
def _get_copy(context: Any, number: int, token: str) -> None:
    cluster = context.cluster
    node = context.holder.node
    held = node.seats[0].held_claim.token
    tokens = {"its token": held, "another token": held + 1, "a holder not told": 0}
    spec = _whole_worker_job(context, FIRST_JOB)
    cluster.pool.specs[FIRST_JOB] = spec
    cluster.audit.handle_submitted(spec)
    context.link = link = _Link(node.peers.up_links()[0])
    earlier = CallForward(0, LATEST_COPY, SubmitCall(spec), held)
    late = CallForward(0, number, SubmitCall(spec), tokens[token])
    for message in (earlier, late):
        context.holder.process.run(partial(node.handle_peer_message, link, message))
        cluster.run(0.2)
    context.number = number


@then('that copy is answered by "{answer}"')
def _check_answer(context: Any, answer: str) -> None:
    answers = {
        message.call_id: message.reply.code.value
        for message in context.link.answers
        if isinstance(message, CallAnswer)
    }
    assert answers[LATEST_COPY] == "ok", answers
    assert answers[context.number] == answer, answers


@when("the peer opens another stream, and the first one closes")
def _replace_stream(context: Any) -> None:
    links = context.links
    [context.first_link] = links.incoming.values()
    stream = links._build_incoming()
    stream.makeConnection(_Transport())
    stream.dataReceived(encode_message(Hello(context.first_link.identity)))
    context.stream.connectionLost()


@then("the first stream is told to have ended, and the peer is not lost")
def _check_ended(context: Any) -> None:
    assert context.listener.ended == [context.first_link]
    assert not context.listener.lost


# Advice


class _AdvicePort:
    def __init__(self) -> None:
        self.answers: list[Callable[[AdviceResult], None]] = []

    def ask(self, step: StepKey, worker_ids: tuple[str, ...], on_result: Any) -> None:
        self.answers.append(on_result)


@given("a cell of a single node")
def _single_node(context: Any) -> None:
    context.cluster = JobCluster(ClusterOptions(nodes=1, workers=2, with_advice=False))
    context.cluster.start()
    context.cluster.run(2.0)
    assert context.cluster.holder() is not None


@when("that node asks for advice, and the answer comes in {term} term")
def _ask_advice(context: Any, term: str) -> None:
    cluster, holder = context.cluster, context.cluster.holder()
    seat = holder.node.seats[0]
    port = holder.node._advice._port = _AdvicePort()
    action = RequestAdvice(1, holder.node.identity.incarnation, StepKey(FIRST_JOB, 0, 0), ("w0",))
    holder.process.run(lambda: seat._carry_out(action))
    if term == "the second":
        holder.process.run(lambda: seat.step_down(StepDownReason.PLANNED))
        cluster.run(2.0)
    assert seat.is_holding
    context.counted = []
    result = AdviceResult(AdviceOutcome.NO_ANSWER)
    with mock.patch.object(
        ShardScheduler, "on_advice_result", lambda *arguments: context.counted.append(arguments)
    ):
        holder.process.run(lambda: port.answers[0](result))


@then("the answer counts {times:d} times")
def _check_counted(context: Any, times: int) -> None:
    assert len(context.counted) == times, context.counted
