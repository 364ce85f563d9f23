"""Steps in which a peer hears the process before the holder's late."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import when
from order_bound_steps import _cut_zone, _other_names

#: The holder has held for longer than earlier ones may order.
TERM_SECONDS = 5.0
#: What the holder's host sends to one of the peers takes so long, at last longer than a peer waits
#: for a heartbeat: so the peer looks for the holder, and hears the last words only after that.
SLOW_SECONDS = (0.25, 0.5, 0.75, 1.0, 1.6)
LAST_WORDS_SECONDS = 1.0
#: The holder's next process is there so soon; the end of the former one is not heard.
NEXT_PROCESS_SECONDS = 0.05
STEP_SECONDS = 0.0005
LONGEST_WAIT_SECONDS = 6.0


def _wait_until(context: Any, what: str, is_so: Callable[[], bool]) -> None:
    for _ in range(int(LONGEST_WAIT_SECONDS / STEP_SECONDS)):
        context.cluster.run(STEP_SECONDS)
        if is_so():
            return
    raise AssertionError(f"it never came about that {what}")


@when("the holder's next process holds the shard, and a peer knows that while it hears the former")
def _next_process_holds(context: Any) -> None:
    cluster = context.cluster
    cluster.run(TERM_SECONDS)
    former = context.holder
    context.listener = _other_names(context)[-1]
    listener = cluster.nodes[context.listener]
    for seconds in SLOW_SECONDS:
        cluster.network.slow(former.host, listener.host, seconds)
        cluster.run(LAST_WORDS_SECONDS)
    assert former.is_holding
    cluster.power_off_node(former.name)
    cluster.run(NEXT_PROCESS_SECONDS)
    context.holder = cluster.start_node(former.name)
    _wait_until(context, "the next process holds", lambda: context.holder.is_holding)
    token = context.holder.node.seats[0].held_claim.token
    election = listener.node.seats[0].election
    _wait_until(context, "the peer knows", lambda: election.claim.token == token)


@when("that holder and that worker are cut off, and the peer claims the shard at once")
def _cut_off_next_process(context: Any) -> None:
    cluster = context.cluster
    others = [name for name in _other_names(context) if name != context.listener]
    _cut_zone(context, [context.holder.name], others)
    listener = cluster.nodes[context.listener]
    cluster.cut(listener.host, context.busy)
    cluster.cut(context.holder.host, [w for w in cluster.pool.workers if w not in context.busy])
    # What is on its way from the former process still arrives.
    _wait_until(context, "the peer holds", lambda: listener.is_holding)
    cluster.cut(context.holder.host, [listener.host])
