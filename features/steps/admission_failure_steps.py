"""Steps about admission control while holders or the store fail, or the input is unusual."""

from __future__ import annotations

from collections import Counter
from typing import Any
from unittest import mock

import msgspec
from admission_callers import (
    COMPLETION_SECONDS,
    OBJECTIVE_SECONDS,
    WITH,
    WITHOUT,
    WORK_SECONDS,
    Caller,
    CallerTraffic,
    run_with_and_without,
    start_cluster,
    summary_of,
)
from behave import given, then, when

from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.sim.explore_jobs import play
from onyxspoke.sim.job_cluster import make_configuration

OUTAGE_STARTS_AFTER_SECONDS = 2.0


@given("a cell with admission control")
def _cell_with_admission(context: Any) -> None:
    start_cluster(context, 4, admission=True, tenants={})


@given("a cell without admission control")
def _cell_without_admission(context: Any) -> None:
    start_cluster(context, 4, admission=False, tenants={})


@given("{rate:d} jobs per second are submitted to it for {seconds:d} seconds")
def _submit_jobs(context: Any, rate: int, seconds: int) -> None:
    context.traffic.schedule_submissions(rate, seconds, "normal")


@given("{rate:d} urgent jobs per second are submitted to it for {seconds:d} seconds")
def _submit_urgent_jobs(context: Any, rate: int, seconds: int) -> None:
    context.traffic.schedule_submissions(rate, seconds, "urgent")


@given("its holder has not received the full list of workers yet")
def _workers_not_listed(context: Any) -> None:
    patch = mock.patch.object(WorkerRegistry, "knows_directory", False)
    patch.start()
    context.add_cleanup(patch.stop)


@then("no job was refused, and there is no summary of its queues")
def _no_job_refused(context: Any) -> None:
    callers = context.traffic.select()
    assert callers and not any(caller.refusals for caller in callers)
    assert summary_of(context.cluster) is None


@when("its holder is killed {seconds:g} seconds later")
def _kill(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    cluster.kill_node(cluster.holder().name)


@when("the store is unreachable from second {first:g} to second {last:g}")
def _store_unreachable(context: Any, first: float, last: float) -> None:
    cluster = context.cluster
    cluster.run(first)
    cluster.store.faults.is_down = True
    cluster.run(last - first)
    cluster.store.faults.is_down = False
    context.reachable_at = cluster.time.now()


@when("the cell runs for {seconds:g} seconds")
def _run_cell(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("the next holder refuses no job before it knows the waiting jobs")
def _next_holder_refuses_none(context: Any) -> None:
    cluster = context.cluster
    load_known_at = None
    for _ in range(200):
        cluster.run(0.05)
        holder = cluster.holder()
        if holder is not None and summary_of(cluster) is not None:
            load_known_at = cluster.time.now()
            break
        if holder is not None:
            context.taken_over_at = getattr(context, "taken_over_at", cluster.time.now())
    assert load_known_at is not None
    started_at = getattr(context, "taken_over_at", load_known_at)
    early_refusals = [
        moment
        for caller in context.traffic.select()
        for moment, _seconds, reason in caller.refusals
        if started_at <= moment < load_known_at - 0.05 and reason != "store_in_trouble"
    ]
    assert not early_refusals, early_refusals


@then("the audit finds no violation, and every accepted job is done")
def _no_audit_violation(context: Any) -> None:
    cluster = context.cluster
    cluster.run(COMPLETION_SECONDS)
    assert not cluster.audit.findings, cluster.audit.findings
    lost_job_ids = [
        caller.spec.job_id
        for caller in context.traffic.select()
        if caller.accepted_at is not None and caller.done_at is None
    ]
    assert not lost_job_ids, lost_job_ids


def _store_refusals(context: Any) -> list[tuple[Caller, float]]:
    """Return the callers refused because the store was unreachable, and their retry times."""
    return [
        (caller, seconds)
        for caller in context.traffic.select()
        for _moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]


@when(
    "the store is unreachable for {seconds:g} seconds while {rate:d} urgent jobs per second"
    " are submitted"
)
def _urgent_during_outage(context: Any, seconds: float, rate: int) -> None:
    context.outage_seconds, context.urgent_rate = seconds, rate
    context.without_normal = _run_outage(context, normal_rate=0)


def _run_outage(context: Any, normal_rate: int) -> list[Caller]:
    """Return the urgent callers of a cell whose store is unreachable for a time."""
    start_cluster(context, 4, admission=True, tenants={})
    seconds = OUTAGE_STARTS_AFTER_SECONDS + context.outage_seconds + WORK_SECONDS
    context.traffic.schedule_submissions(normal_rate, seconds, "normal")
    context.traffic.schedule_submissions(context.urgent_rate, seconds, "urgent")
    end_seconds = OUTAGE_STARTS_AFTER_SECONDS + context.outage_seconds
    _store_unreachable(context, OUTAGE_STARTS_AFTER_SECONDS, end_seconds)
    context.cluster.run(COMPLETION_SECONDS)
    assert not context.cluster.audit.findings, context.cluster.audit.findings
    return list(context.traffic.select("urgent"))


@then("the urgent callers get the same retry times as beside {rate:d} normal jobs per second")
def _same_retry_times(context: Any, rate: int) -> None:
    context.with_normal = _run_outage(context, normal_rate=rate)
    without, beside = (
        sorted(seconds for caller in callers for _moment, seconds, _reason in caller.refusals)
        for callers in (context.without_normal, context.with_normal)
    )
    assert without, context.without_normal
    assert beside == without, (Counter(beside), Counter(without))


@then("as many urgent jobs finish before they expire")
def _as_many_in_time(context: Any) -> None:
    without, beside = (
        sum(caller.is_done_before_expiry for caller in callers)
        for callers in (context.without_normal, context.with_normal)
    )
    assert beside >= without > 0, (beside, without)


@then("of the flooding tenant's refused jobs, no more are entitled than its weight allows")
def _flood_not_entitled(context: Any) -> None:
    admission = context.cluster.holder().node.seats[0].scheduler._admission
    flood_callers = {caller.spec.job_id: caller for caller, _seconds in _store_refusals(context)}
    specs = [caller.spec for caller in flood_callers.values() if caller.spec.tenant == "flood"]
    refused_jobs = [admission.find_refused_job(spec) for spec in specs]
    entitled_count = sum(refused is not None and refused.is_entitled for refused in refused_jobs)
    # The share of a tenant of weight 4 in 2 seconds, plus what one tenant may save up.
    assert len(specs) > 12 >= entitled_count, (len(specs), entitled_count)


@when("a job that was refused once is submitted, and the store fails before its append is sent")
def _withdrawn_job(context: Any) -> None:
    cluster = context.cluster
    scheduler = cluster.holder().node.seats[0].scheduler
    admission = scheduler._admission
    with mock.patch.object(CallerTraffic, "send_call", lambda *_args: None):
        context.spec = context.traffic.submit("normal").spec
    now = cluster.time.now()
    admission.refuse_for_unreachable_store([context.spec], now)
    context.first_submitted_at = admission.find_refused_job(context.spec).first_submitted_at
    cluster.run(1.0)
    now = cluster.time.now()
    scheduler._call_handler._submit(-1, context.spec, now)
    assert admission.find_refused_job(context.spec) is None
    scheduler._call_handler._refuse_unsent(now)


@then("the time of its first submission is still remembered")
def _first_submission_kept(context: Any) -> None:
    admission = context.cluster.holder().node.seats[0].scheduler._admission
    assert admission.find_refused_job(context.spec).first_submitted_at == context.first_submitted_at


@then("each of them gets a retry time at which it can still finish before it expires")
def _retry_before_expiry(context: Any) -> None:
    refused = [
        (caller.first_submitted_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS - moment, seconds)
        for caller in context.traffic.select()
        for moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]
    assert len(refused) > 100, len(refused)
    # A retry time must leave the job time for its work, unless less than a second is left for it.
    late_retries = [item for item in refused if item[1] > max(1.0, item[0] - WORK_SECONDS)]
    assert not late_retries, (len(late_retries), len(refused), late_retries[:3])


@then("the jobs refused meanwhile get at least {count:d} different retry times in whole seconds")
def _retries_spread(context: Any, count: int) -> None:
    retry_times = {seconds for _caller, seconds in _store_refusals(context)}
    assert len(retry_times) >= count, retry_times
    assert all(seconds >= 1.0 and seconds == int(seconds) for seconds in retry_times), retry_times


@then("urgent jobs get shorter retry times on average than the others")
def _urgent_retry_sooner(context: Any) -> None:
    waits: dict[str, list[float]] = {}
    for caller, seconds in _store_refusals(context):
        waits.setdefault(caller.spec.queue.name, []).append(seconds)
    means = {queue: sum(retry_times) / len(retry_times) for queue, retry_times in waits.items()}
    assert means["urgent"] < means["normal"], means


def _max_retries_per_second(callers: list[Caller]) -> int:
    """Return the largest number of refused callers whose retry falls in the same second."""
    due = Counter(
        int(moment + seconds) for caller in callers for moment, seconds, _why in caller.refusals
    )
    return max(due.values())


@when(
    "the store is unreachable for {seconds:d} seconds while {rate:d} jobs per second are submitted"
)
def _outage(context: Any, seconds: int, rate: int) -> None:
    def load(traffic: CallerTraffic) -> float:
        traffic.schedule_submissions(rate, seconds + 3.0, "normal")
        traffic.cluster.run(2.0)
        traffic.cluster.store.faults.is_down = True
        traffic.cluster.run(seconds)
        traffic.cluster.store.faults.is_down = False
        return 1.0

    run_with_and_without(context, {}, load)


@then("at most {share:g} times as many callers retry in one second as without admission control")
def _fewer_simultaneous_retries(context: Any, share: float) -> None:
    max_retries = {
        name: _max_retries_per_second(traffic.select())
        for name, traffic in context.traffic_by_mode.items()
    }
    assert max_retries[WITH] <= share * max_retries[WITHOUT], max_retries


@then("no fewer jobs finish before they expire than without admission control")
def _no_fewer_done_before_expiry(context: Any) -> None:
    counts = {
        name: sum(caller.is_done_before_expiry for caller in traffic.select())
        for name, traffic in context.traffic_by_mode.items()
    }
    assert counts[WITH] >= counts[WITHOUT], counts


@then("every refused job got a retry time of {seconds:g} second")
def _equal_retry_times(context: Any, seconds: float) -> None:
    retry_times = {
        wait for caller in context.traffic.select() for _at, wait, _why in caller.refusals
    }
    assert retry_times == {seconds}, retry_times


@when("an overload with random faults is simulated with seeds {first:d} to {last:d}")
def _simulate_faults(context: Any, first: int, last: int) -> None:
    context.job_reports = [
        play(seed, with_tenants=bool(seed % 2), shards=1 + seed % 3 // 2, with_admission=True)
        for seed in range(first, last + 1)
    ]


@then("jobs were refused, and the audit finds no violation in any simulation")
def _refused_without_violation(context: Any) -> None:
    findings = [finding for report in context.job_reports for finding in report.findings]
    assert not findings, findings[:3]
    refused = [report.counts.get("submit_refused", 0) for report in context.job_reports]
    assert sum(refused) > 100, refused


# Bad input


@when("jobs with estimates of {estimates} ms are submitted to it")
def _submit_estimates(context: Any, estimates: str) -> None:
    context.unusual_callers = [
        context.traffic.submit("normal", estimated_ms=int(text)) for text in estimates.split(", ")
    ]


@then("each of them is answered, and every accepted one is done")
def _all_answered(context: Any) -> None:
    context.cluster.run(COMPLETION_SECONDS)
    for caller in context.unusual_callers:
        assert caller.accepted_at or caller.refusals, caller
        assert caller.accepted_at is None or caller.done_at is not None, caller


@when("admission control is switched on and off every {seconds:g} seconds for {total:d} seconds")
def _toggle_admission(context: Any, seconds: float, total: int) -> None:
    for number in range(int(total / seconds)):
        for node in context.cluster.nodes.values():
            scheduler = node.node.seats[0].scheduler
            if scheduler is not None:
                load = LoadOptions(admission=bool(number % 2))
                options = scheduler.context.options
                scheduler.context.options = msgspec.structs.replace(options, load=load)
        context.cluster.run(seconds)


@given("a cell with admission control, a tenant of weight 0 and a tenant of weight {weight:g}")
def _cell_with_weight_0(context: Any, weight: float) -> None:
    start_cluster(context, 4, admission=True, tenants={"none": 0.0, "some": weight})


@given("{rate:d} jobs per second of each tenant are submitted to it for {seconds:d} seconds")
def _submit_for_both(context: Any, rate: int, seconds: int) -> None:
    for tenant in ("none", "some"):
        context.traffic.schedule_submissions(rate, seconds, "normal", tenant)


@when("the tenant of weight 0 is removed {seconds:g} seconds later")
def _remove_tenant(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    left = tuple(tenant for tenant in cluster.options.tenants if tenant.name != "none")
    cluster.configuration.put(make_configuration(2, False, left))
