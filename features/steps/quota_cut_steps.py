"""Steps in which a new holder counts runs of earlier holders towards a tenant's quota."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when
from tenant_steps import _tenant_cluster

from onyxspoke.core.shard.context import ShardContext

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
