"""Steps that play callers' load on holders that decide about admission, in virtual time."""

from __future__ import annotations

from typing import Any
from unittest import mock

from admission_callers import (
    REST_SECONDS,
    WITH,
    WITHOUT,
    Arrivals,
    Caller,
    play_both,
    start_cluster,
    summary_of,
)
from behave import given, then, when

from onyxspoke.core.shard import admission_controller
from onyxspoke.core.shard.context import ShardContext


@when("{rate:d} jobs a second come for {seconds:d} seconds, {served:d} of which are served")
def _burst(context: Any, rate: int, seconds: int, served: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(rate, seconds, "normal")
        return seconds

    play_both(context, {}, load)
    assert context.capacity == served


@when("{urgent:d} urgent and {patient:d} patient jobs a second come for {seconds:d} seconds")
def _mixed(context: Any, urgent: int, patient: int, seconds: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(urgent, seconds, "urgent")
        arrivals.send(patient, seconds, "patient")
        return seconds

    play_both(context, {}, load)


@when("two tenants send what they are owed, and a third sends half of all jobs, for 20 seconds")
def _flood(context: Any) -> None:
    def load(arrivals: Arrivals) -> float:
        for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
            arrivals.send(rate, 20, "normal", tenant)
        return 20.0

    play_both(context, {"first": 6.0, "second": 6.0, "flood": 4.0}, load)


def _on_time(arrivals: Arrivals, **which: str) -> int:
    return sum(caller.is_on_time for caller in arrivals.of(**which))


@then("every urgent job is on time")
def _urgent_on_time(context: Any) -> None:
    arrivals = context.played[WITH]
    assert _on_time(arrivals, queue="urgent") == len(arrivals.of(queue="urgent"))


@then("every job of the two tenants is on time")
def _owed_on_time(context: Any) -> None:
    arrivals = context.played[WITH]
    for tenant in ("first", "second"):
        assert _on_time(arrivals, tenant=tenant) == len(arrivals.of(tenant=tenant)), tenant


@then("no fewer jobs are on time than without")
def _no_fewer_on_time(context: Any) -> None:
    figures = {name: _on_time(arrivals) for name, arrivals in context.played.items()}
    assert figures[WITH] >= figures[WITHOUT], figures


@then("of jobs taken at once less than {percent:d} in 100 of those without come too late")
def _fewer_broken(context: Any, percent: int) -> None:
    figures = {name: len(arrivals.broken) for name, arrivals in context.played.items()}
    assert figures[WITHOUT] > 0
    assert figures[WITH] * 100 < percent * figures[WITHOUT], figures


@then("less than {percent:d} in 100 of the callers are refused twice in a row")
def _rarely_twice(context: Any, percent: int) -> None:
    callers = context.played[WITH].of()
    twice = [caller for caller in callers if len(caller.refusals) > 1]
    assert any(caller.refusals for caller in callers)
    assert len(twice) * 100 < percent * len(callers), (len(twice), len(callers))


@then("a job that comes when the cell is empty again is taken and on time")
def _taken_again(context: Any) -> None:
    # The cell played last is the one without; the other has been left as it was.
    arrivals = context.played[WITH]
    caller = arrivals.hand_in("normal")
    arrivals.cluster.run(REST_SECONDS)
    assert not caller.refusals and caller.is_on_time


@then("no queue of the cell is told to be closed")
def _all_open(context: Any) -> None:
    cluster = context.played[WITH].cluster
    summary = summary_of(cluster)
    assert summary is not None and summary.notices == (), summary


@given("a cell of tenants that decides about admission, one of which floods")
def _flooded(context: Any) -> None:
    tenants = {"first": 6.0, "second": 6.0, "flood": 4.0}
    start_cluster(context, 4, admission=True, tenants=tenants)
    context.logged = []
    log = ShardContext.log

    def note(shard: ShardContext, event: str, **fields: Any) -> None:
        context.logged.append((event, fields))
        log(shard, event, **fields)

    patch = mock.patch.object(ShardContext, "log", note)
    patch.start()
    context.add_cleanup(patch.stop)
    for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
        context.arrivals.send(rate, 14, "normal", tenant)


@then("its summary closes the queue for the flooding tenant alone")
def _closed_for_flood(context: Any) -> None:
    summary = summary_of(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.queue == "normal" and notice.tenants == ("flood",), notice
    scheduler = context.cluster.holder().node.seats[0].scheduler
    assert summary.token == scheduler.context.token


@then("its summary closes the queue for everybody, for no longer than {most:g} seconds")
def _closed_for_all(context: Any, most: float) -> None:
    summary = summary_of(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.tenants == () and 0.0 < notice.closed_seconds <= most, notice


@given(
    "a queue that is closed is told to be so for {seconds:g} seconds, and nobody reaches its holder"
)
def _closed_for_long(context: Any, seconds: float) -> None:
    try_again = Arrivals.try_again

    def reach_holder(arrivals: Arrivals, caller: Caller) -> None:
        # From the first refusal on nobody comes who would open the queue.
        if not any(other.refusals for other in arrivals.callers.values()):
            try_again(arrivals, caller)

    for patch in (
        mock.patch.object(admission_controller, "closed_seconds", lambda *_args: seconds),
        mock.patch.object(Arrivals, "try_again", reach_holder),
    ):
        patch.start()
        context.add_cleanup(patch.stop)


@then("no queue of the cell is closed any more")
def _open_again(context: Any) -> None:
    assert any(caller.refusals for caller in context.arrivals.of())
    summary = summary_of(context.cluster)
    assert summary is not None and summary.notices == (), summary


@then("refusals are logged with all their inputs, and with when the queue closed")
def _logged(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_refused") == events.count("job_refused") > 0
    assert events.count("admission_closed") >= 1
    fields = next(fields for event, fields in context.logged if event == "admission_refused")
    assert fields["tenant"] == "flood" and fields["beyond_share"] == 1
    inputs = {"ahead_s", "ahead_upper_s", "advice_s", "work_s", "patience_s", "view_age_s"}
    assert inputs <= fields.keys(), fields


@then("it is logged that the queue is open again")
def _logged_open(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_opened") == events.count("admission_closed")
    assert summary_of(context.cluster).notices == ()


@then("its figures count each return of a caller once, most of them on time")
def _returns_counted(context: Any) -> None:
    text = context.cluster.holder().node.metrics.render().decode()
    lines = [line for line in text.splitlines() if line.startswith("onyxspoke_returns_total{")]
    counts = {line.split('outcome="')[1].split('"')[0]: float(line.split()[-1]) for line in lines}
    callers = context.arrivals.callers.values()
    returns = sum(len(caller.refusals) for caller in callers if caller.accepted_at)
    returns += sum(len(caller.refusals) - 1 for caller in callers if not caller.accepted_at)
    assert sum(counts.values()) == returns > 0, (counts, returns)
    assert counts["on_time"] > returns / 2, counts
