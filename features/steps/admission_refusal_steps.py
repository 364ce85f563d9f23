"""Steps about how callers and operators see refusals."""

from behave import then, when
from job_ingress_steps import SMALL_JOB, _send

from onyxspoke.core.shard.call_copies import CopyTarget
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.node.call_route import CallRoute

OPERATOR_API_JOB = '{"payload":"x","steps":[{"task_count":1}]}'


def refuse_calls(context, reason, seconds):
    """Make the node's router answer every call with a refusal, as if its holder had sent it."""
    node = context.simulated.node

    def send(copy, _call):
        reply = CallReply(code=ReplyCode.REFUSED, retry_after_seconds=seconds, reason=reason)
        node.router.handle_reply(copy, reply, node.now())

    target = CopyTarget(token=1, incarnation="holder", is_checked=True)
    node.router._find_route = lambda _shard: CallRoute(target, path=None, send=send)


@when('a job is refused there for "{reason}" and {seconds:g} seconds')
@when('a job is refused there for "" and {seconds:g} seconds')
def _refuse_at_front(context, seconds, reason=""):
    refuse_calls(context, reason, seconds)
    _send(context, "POST /normal/00000000000000a1", SMALL_JOB)


@when('a job is refused at the product\'s own interface for "{reason}" and {seconds:g} seconds')
def _refuse_at_operator_api(context, reason, seconds):
    refuse_calls(context, reason, seconds)
    _send(context, "POST /v1/queues/normal/jobs/00000000000000a1", OPERATOR_API_JOB)


@then("the front's answer has a Retry-After of {seconds:d} seconds")
def _retry_after(context, seconds):
    head = context.exchange.head.lower()
    assert f"retry-after: {seconds}\r\n" in head + "\r\n", context.exchange.head
