"""Steps in which a new holder counts runs of earlier holders towards a tenant's quota."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when
from tenant_steps import _has_started, _tenant_cluster

from onyxspoke.core.shard.calls import CallReply, CancelCall
from onyxspoke.core.shard.context import ShardContext

FIRST_JOBS = (1, 2)
LATER_JOBS = (3, 4)
_MILLISECONDS = 1_000.0


@given("a cluster of tenants with {count:d} workers, whose log is kept")
def _logged_cluster(context: Any, count: int) -> None:
    context.log_lines = []
    log = ShardContext.log

    def keep(shard: ShardContext, event: str, **fields: Any) -> None:
        context.log_lines.append((event, fields))
        log(shard, event, **fields)

    patch = mock.patch.object(ShardContext, "log", keep)
    patch.start()
    context.add_cleanup(patch.stop)
    _tenant_cluster(context, count)


@when("{seconds:g} seconds pass in that cluster of tenants")
def _time_passes(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then(
    'the log tells last that {amount:d} of the {quota:d} of "{tenant}" are in doubt,'
    " for {seconds:g} seconds at most"
)
def _told(context: Any, amount: int, quota: int, tenant: str, seconds: float) -> None:
    lines = [
        fields
        for event, fields in context.log_lines
        if event == "quota_in_doubt" and fields["tenant"] == tenant
    ]
    assert lines, {event for event, _fields in context.log_lines}
    assert (lines[-1]["cpu"], lines[-1]["quota_cpu"]) == (amount, quota), lines
    assert lines[-1]["left_ms"] <= seconds * _MILLISECONDS, lines


@when("both jobs are cancelled")
def _cancel_both(context: Any) -> None:
    cluster = context.cluster
    for number in FIRST_JOBS:
        job_id = f"{number:016x}"
        cluster.audit.handle_cancel_sent(job_id)

        def take(reply: CallReply | None, job_id: str = job_id) -> None:
            assert reply is not None
            cluster.audit.handle_cancel_reply(job_id, reply)

        cluster.call(cluster.holder(), job_id, CancelCall(job_id, "small"), take)
    cluster.run(0.3)
    assert all(cluster.audit.jobs[f"{number:016x}"].cancelled_at for number in FIRST_JOBS)


@when("the workers can be reached again")
def _heal_workers(context: Any) -> None:
    cluster = context.cluster
    for node in cluster.nodes.values():
        cluster.heal(node.host, list(cluster.pool.workers))


@then("neither of them has started")
def _none_started(context: Any) -> None:
    assert not any(_has_started(context, number) for number in LATER_JOBS)


@then("both of them have started")
def _both_started(context: Any) -> None:
    assert all(_has_started(context, number) for number in LATER_JOBS)
