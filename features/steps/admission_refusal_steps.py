"""Steps about what callers and operators see of refusals."""

from behave import then, when
from job_ingress_steps import SMALL_JOB, _send

from onyxspoke.core.shard.calls import CallReply, ReplyCode

OPERATORS_JOB = '{"payload":"x","steps":[{"task_count":1}]}'


def refuse_by(context, reason, seconds):
    """Have the node's holder, wherever it is, refuse what is sent to it."""
    node = context.simulated.node

    def send(_shard, call_id, _call):
        reply = CallReply(code=ReplyCode.REFUSED, retry_after_seconds=seconds, reason=reason)
        node.router.handle_reply(call_id, reply, node.now())
        return True

    node.router._send = send


@when('a job is refused there for "{reason}" and {seconds:g} seconds')
@when('a job is refused there for "" and {seconds:g} seconds')
def _refused_there(context, seconds, reason=""):
    refuse_by(context, reason, seconds)
    _send(context, "POST /normal/00000000000000a1", SMALL_JOB)


@when('a job is refused at the product\'s own interface for "{reason}" and {seconds:g} seconds')
def _refused_at_own(context, reason, seconds):
    refuse_by(context, reason, seconds)
    _send(context, "POST /v1/queues/normal/jobs/00000000000000a1", OPERATORS_JOB)


@then("the front's answer tells to come back after {seconds:d} seconds")
def _come_back(context, seconds):
    head = context.exchange.head.lower()
    assert f"retry-after: {seconds}\r\n" in head + "\r\n", context.exchange.head
