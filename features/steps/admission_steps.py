"""Steps that run simulated load on holders with admission control, in virtual time."""

from __future__ import annotations

from typing import Any
from unittest import mock

from admission_callers import (
    COMPLETION_SECONDS,
    WITH,
    WITHOUT,
    Caller,
    CallerTraffic,
    run_with_and_without,
    start_cluster,
    summary_of,
)
from behave import given, then, when

from onyxspoke.core.shard import admission_controller
from onyxspoke.core.shard.context import ShardContext


@when(
    "{rate:d} jobs per second are submitted for {seconds:d} seconds, and {served:d} can be served"
)
def _submit_burst(context: Any, rate: int, seconds: int, served: int) -> None:
    def load(traffic: CallerTraffic) -> float:
        traffic.schedule_submissions(rate, seconds, "normal")
        return seconds

    run_with_and_without(context, {}, load)
    assert context.served_per_second == served


@when("{urgent:d} urgent and {patient:d} patient jobs per second arrive for {seconds:d} seconds")
def _submit_mixed(context: Any, urgent: int, patient: int, seconds: int) -> None:
    def load(traffic: CallerTraffic) -> float:
        traffic.schedule_submissions(urgent, seconds, "urgent")
        traffic.schedule_submissions(patient, seconds, "patient")
        return seconds

    run_with_and_without(context, {}, load)


@when("two tenants submit their fair share, and a third submits half of all jobs, for 20 seconds")
def _submit_flood(context: Any) -> None:
    def load(traffic: CallerTraffic) -> float:
        for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
            traffic.schedule_submissions(rate, 20, "normal", tenant)
        return 20.0

    run_with_and_without(context, {"first": 6.0, "second": 6.0, "flood": 4.0}, load)


def _count_on_time(traffic: CallerTraffic, **filters: str) -> int:
    return sum(caller.is_on_time for caller in traffic.select(**filters))


@then("every urgent job meets its objective")
def _urgent_meet_objective(context: Any) -> None:
    traffic = context.traffic_by_mode[WITH]
    assert _count_on_time(traffic, queue="urgent") == len(traffic.select(queue="urgent"))


@then("every job of the two tenants meets its objective")
def _fair_share_on_time(context: Any) -> None:
    traffic = context.traffic_by_mode[WITH]
    for tenant in ("first", "second"):
        assert _count_on_time(traffic, tenant=tenant) == len(traffic.select(tenant=tenant)), tenant


@then("no fewer jobs meet their objective than without admission control")
def _no_fewer_on_time(context: Any) -> None:
    counts = {name: _count_on_time(traffic) for name, traffic in context.traffic_by_mode.items()}
    assert counts[WITH] >= counts[WITHOUT], counts


@then("fewer jobs admitted at once expire than {percent:d} % of those without admission control")
def _fewer_expired(context: Any, percent: int) -> None:
    counts = {
        name: len(traffic.expired_after_admission)
        for name, traffic in context.traffic_by_mode.items()
    }
    assert counts[WITHOUT] > 0
    assert counts[WITH] * 100 < percent * counts[WITHOUT], counts


@then("less than {percent:d} % of the callers are refused more than once")
def _rarely_refused_twice(context: Any, percent: int) -> None:
    callers = context.traffic_by_mode[WITH].select()
    refused_twice = [caller for caller in callers if len(caller.refusals) > 1]
    assert any(caller.refusals for caller in callers)
    assert len(refused_twice) * 100 < percent * len(callers), (len(refused_twice), len(callers))


@then("a job that is submitted to the idle cell is admitted and meets its objective")
def _admitted_when_idle(context: Any) -> None:
    # The cell without admission control ran last; the other one has been idle since.
    traffic = context.traffic_by_mode[WITH]
    caller = traffic.submit("normal")
    traffic.cluster.run(COMPLETION_SECONDS)
    assert not caller.refusals and caller.is_on_time


@then("the summary of the cell names no closed queue")
def _no_closed_queue(context: Any) -> None:
    cluster = context.traffic_by_mode[WITH].cluster
    summary = summary_of(cluster)
    assert summary is not None and summary.notices == (), summary


@given("a cell with admission control and three tenants, one of which floods it")
def _flooded_cell(context: Any) -> None:
    tenants = {"first": 6.0, "second": 6.0, "flood": 4.0}
    start_cluster(context, 4, admission=True, tenants=tenants)
    context.logged = []
    log = ShardContext.log

    def record_event(shard: ShardContext, event: str, **fields: Any) -> None:
        context.logged.append((event, fields))
        log(shard, event, **fields)

    patch = mock.patch.object(ShardContext, "log", record_event)
    patch.start()
    context.add_cleanup(patch.stop)
    for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
        context.traffic.schedule_submissions(rate, 14, "normal", tenant)


@then("its summary closes the queue only for the flooding tenant")
def _closed_for_flooding_tenant(context: Any) -> None:
    summary = summary_of(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.queue == "normal" and notice.tenants == ("flood",), notice
    scheduler = context.cluster.holder().node.seats[0].scheduler
    assert summary.token == scheduler.context.token


@then("its summary closes the queue for all tenants, for at most {most:g} seconds")
def _closed_for_all_tenants(context: Any, most: float) -> None:
    summary = summary_of(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.tenants == () and 0.0 < notice.closed_seconds <= most, notice


@given("every closure lasts {seconds:g} seconds, and no call reaches the holder after a refusal")
def _long_closures(context: Any, seconds: float) -> None:
    send_call = CallerTraffic.send_call

    def call_before_refusal(traffic: CallerTraffic, caller: Caller) -> None:
        # After the first refusal no caller reaches the holder and reopens the queue.
        if not any(other.refusals for other in traffic.callers.values()):
            send_call(traffic, caller)

    for patch in (
        mock.patch.object(admission_controller, "closed_seconds", lambda *_args: seconds),
        mock.patch.object(CallerTraffic, "send_call", call_before_refusal),
    ):
        patch.start()
        context.add_cleanup(patch.stop)


@then("no queue of the cell is closed any more")
def _queue_reopened(context: Any) -> None:
    assert any(caller.refusals for caller in context.traffic.select())
    summary = summary_of(context.cluster)
    assert summary is not None and summary.notices == (), summary


@then("each refusal is logged with its inputs, and the closure of the queue is logged")
def _refusals_logged(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_refused") == events.count("job_refused") > 0
    assert events.count("admission_closed") >= 1
    fields = next(fields for event, fields in context.logged if event == "admission_refused")
    assert fields["tenant"] == "flood" and fields["beyond_share"] == 1
    inputs = {"ahead_s", "ahead_upper_s", "advice_s", "work_s", "patience_s", "view_age_s"}
    assert inputs <= fields.keys(), fields


@then("the reopening of the queue is logged")
def _reopening_logged(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_opened") == events.count("admission_closed")
    assert summary_of(context.cluster).notices == ()


@then("its metrics count each retry once, and most retries as on time")
def _retries_counted(context: Any) -> None:
    text = context.cluster.holder().node.metrics.render().decode()
    lines = [line for line in text.splitlines() if line.startswith("onyxspoke_returns_total{")]
    counts = {line.split('outcome="')[1].split('"')[0]: float(line.split()[-1]) for line in lines}
    callers = context.traffic.callers.values()
    retries = sum(len(caller.refusals) for caller in callers if caller.accepted_at)
    retries += sum(len(caller.refusals) - 1 for caller in callers if not caller.accepted_at)
    assert sum(counts.values()) == retries > 0, (counts, retries)
    assert counts["on_time"] > retries / 2, counts
