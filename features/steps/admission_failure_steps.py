"""Steps about admission while holders, the store or the input fail."""

from __future__ import annotations

from collections import Counter
from typing import Any
from unittest import mock

import msgspec
from admission_callers import (
    OBJECTIVE_SECONDS,
    REST_SECONDS,
    WITH,
    WITHOUT,
    WORK_SECONDS,
    Arrivals,
    Caller,
    play_both,
    start_cluster,
    summary_of,
)
from behave import given, then, when

from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.sim.explore_jobs import play
from onyxspoke.sim.job_cluster import make_configuration


@given("a cell that decides about admission")
def _deciding_cell(context: Any) -> None:
    start_cluster(context, 4, admission=True, tenants={})


@given("a cell that does not decide about admission")
def _indifferent_cell(context: Any) -> None:
    start_cluster(context, 4, admission=False, tenants={})


@given("{rate:d} jobs a second come to it for {seconds:d} seconds")
def _come(context: Any, rate: int, seconds: int) -> None:
    context.arrivals.send(rate, seconds, "normal")


@given("{rate:d} urgent jobs a second come to it for {seconds:d} seconds")
def _urgent_come(context: Any, rate: int, seconds: int) -> None:
    context.arrivals.send(rate, seconds, "urgent")


@given("the whole list of its workers has not come yet")
def _no_whole_list(context: Any) -> None:
    patch = mock.patch.object(WorkerRegistry, "knows_directory", False)
    patch.start()
    context.add_cleanup(patch.stop)


@then("nobody was refused, and nothing is told of its queues")
def _nobody_refused(context: Any) -> None:
    callers = context.arrivals.of()
    assert callers and not any(caller.refusals for caller in callers)
    assert summary_of(context.cluster) is None


@when("its holder is killed {seconds:g} seconds later")
def _kill(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    cluster.kill_node(cluster.holder().name)


@when("the store is away from second {first:g} to second {last:g}")
def _store_away(context: Any, first: float, last: float) -> None:
    cluster = context.cluster
    cluster.run(first)
    cluster.store.faults.is_down = True
    cluster.run(last - first)
    cluster.store.faults.is_down = False
    context.back_at = cluster.time.now()


@when("{seconds:g} seconds pass for its callers")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("its successor refuses nothing before it knows what waits")
def _successor(context: Any) -> None:
    cluster = context.cluster
    known_at = None
    for _ in range(200):
        cluster.run(0.05)
        holder = cluster.holder()
        if holder is not None and summary_of(cluster) is not None:
            known_at = cluster.time.now()
            break
        if holder is not None:
            context.taken_over_at = getattr(context, "taken_over_at", cluster.time.now())
    assert known_at is not None
    began_at = getattr(context, "taken_over_at", known_at)
    early = [
        moment
        for caller in context.arrivals.of()
        for moment, _seconds, reason in caller.refusals
        if began_at <= moment < known_at - 0.05 and reason != "store_in_trouble"
    ]
    assert not early, early


@then("no promise of the cell is broken")
def _no_violation(context: Any) -> None:
    cluster = context.cluster
    cluster.run(REST_SECONDS)
    assert not cluster.audit.findings, cluster.audit.findings
    lost = [
        caller.spec.job_id
        for caller in context.arrivals.of()
        if caller.accepted_at is not None and caller.done_at is None
    ]
    assert not lost, lost


def _away_refusals(context: Any) -> list[tuple[Caller, float]]:
    """Return who was refused because the store was away, and for how many seconds."""
    return [
        (caller, seconds)
        for caller in context.arrivals.of()
        for _moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]


@then("the flood's jobs that were refused meanwhile are owed no more than the weight of its tenant")
def _flood_not_owed(context: Any) -> None:
    desk = context.cluster.holder().node.seats[0].scheduler._admission
    flood = {caller.spec.job_id: caller for caller, _seconds in _away_refusals(context)}
    specs = [caller.spec for caller in flood.values() if caller.spec.tenant == "flood"]
    remembered = [desk.find_refused_job(spec) for spec in specs]
    owed = sum(refused is not None and refused.is_entitled for refused in remembered)
    # 2 seconds of a weight of 4, and what is saved up for one.
    assert len(specs) > 12 >= owed, (len(specs), owed)


@when("a job that was refused once is taken, and the store is in trouble before its append is sent")
def _taken_back(context: Any) -> None:
    cluster = context.cluster
    scheduler = cluster.holder().node.seats[0].scheduler
    desk = scheduler._admission
    with mock.patch.object(Arrivals, "try_again", lambda *_args: None):
        context.spec = context.arrivals.hand_in("normal").spec
    now = cluster.time.now()
    desk.refuse_for_unreachable_store([context.spec], now)
    context.first_submitted_at = desk.find_refused_job(context.spec).first_submitted_at
    cluster.run(1.0)
    now = cluster.time.now()
    scheduler._calls._submit(-1, context.spec, now)
    assert desk.find_refused_job(context.spec) is None
    scheduler._calls._refuse_unsent(now)


@then("its first hand-in is remembered as before")
def _first_hand_in(context: Any) -> None:
    desk = context.cluster.holder().node.seats[0].scheduler._admission
    assert desk.find_refused_job(context.spec).first_submitted_at == context.first_submitted_at


@then("each of them is told to come back while it can still be of use")
def _told_in_use(context: Any) -> None:
    refused = [
        (caller.first_submitted_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS - moment, seconds)
        for caller in context.arrivals.of()
        for moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]
    assert len(refused) > 100, len(refused)
    # Whoever has a second left at which it may come, and do its work, is told none after that.
    past_use = [item for item in refused if item[1] > max(1.0, item[0] - WORK_SECONDS)]
    assert not past_use, (len(past_use), len(refused), past_use[:3])


@then("those refused meanwhile are told at least {count:d} different whole seconds")
def _spread(context: Any, count: int) -> None:
    told = {seconds for _caller, seconds in _away_refusals(context)}
    assert len(told) >= count, told
    assert all(seconds >= 1.0 and seconds == int(seconds) for seconds in told), told


@then("the urgent are told to come back sooner than the others")
def _urgent_sooner(context: Any) -> None:
    waits: dict[str, list[float]] = {}
    for caller, seconds in _away_refusals(context):
        waits.setdefault(caller.spec.queue.name, []).append(seconds)
    means = {queue: sum(told) / len(told) for queue, told in waits.items()}
    assert means["urgent"] < means["normal"], means


def _most_in_a_second(callers: list[Caller]) -> int:
    """Return how many callers who were refused come back within the same second at most."""
    due = Counter(
        int(moment + seconds) for caller in callers for moment, seconds, _why in caller.refusals
    )
    return max(due.values())


@when("the store is away for {seconds:d} seconds while {rate:d} jobs a second come")
def _outage(context: Any, seconds: int, rate: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(rate, seconds + 3.0, "normal")
        arrivals.cluster.run(2.0)
        arrivals.cluster.store.faults.is_down = True
        arrivals.cluster.run(seconds)
        arrivals.cluster.store.faults.is_down = False
        return 1.0

    play_both(context, {}, load)


@then("at most {share:g} times as many come back in one second as without")
def _less_thunder(context: Any, share: float) -> None:
    most = {name: _most_in_a_second(arrivals.of()) for name, arrivals in context.played.items()}
    assert most[WITH] <= share * most[WITHOUT], most


@then("no fewer jobs are of use than without")
def _no_fewer_of_use(context: Any) -> None:
    figures = {
        name: sum(caller.is_of_use for caller in arrivals.of())
        for name, arrivals in context.played.items()
    }
    assert figures[WITH] >= figures[WITHOUT], figures


@then("all who were refused were told {seconds:g} second")
def _told_alike(context: Any, seconds: float) -> None:
    told = {wait for caller in context.arrivals.of() for _at, wait, _why in caller.refusals}
    assert told == {seconds}, told


@when("more jobs than are served are played over seeds {first:d} to {last:d} with drawn faults")
def _play_faults(context: Any, first: int, last: int) -> None:
    context.job_reports = [
        play(seed, with_tenants=bool(seed % 2), shards=1 + seed % 3 // 2, with_admission=True)
        for seed in range(first, last + 1)
    ]


@then("jobs were refused, and no promise is broken in any of them")
def _refused_unbroken(context: Any) -> None:
    findings = [finding for report in context.job_reports for finding in report.findings]
    assert not findings, findings[:3]
    refused = [report.counts.get("submit_refused", 0) for report in context.job_reports]
    assert sum(refused) > 100, refused


# Bad input


@when("jobs with estimates of {estimates} ms are handed in there")
def _estimates(context: Any, estimates: str) -> None:
    context.odd = [
        context.arrivals.hand_in("normal", estimated_ms=int(text)) for text in estimates.split(", ")
    ]


@then("each of them is answered, and those that are taken are done")
def _answered(context: Any) -> None:
    context.cluster.run(REST_SECONDS)
    for caller in context.odd:
        assert caller.accepted_at or caller.refusals, caller
        assert caller.accepted_at is None or caller.done_at is not None, caller


@when("the part is switched on and off every {seconds:g} seconds for {total:d} seconds")
def _toggle(context: Any, seconds: float, total: int) -> None:
    for number in range(int(total / seconds)):
        for node in context.cluster.nodes.values():
            scheduler = node.node.seats[0].scheduler
            if scheduler is not None:
                load = LoadOptions(admission=bool(number % 2))
                options = scheduler.context.options
                scheduler.context.options = msgspec.structs.replace(options, load=load)
        context.cluster.run(seconds)


@given("a cell of a tenant with a weight of 0 and one of {weight:g}, that decides about admission")
def _weightless(context: Any, weight: float) -> None:
    start_cluster(context, 4, admission=True, tenants={"none": 0.0, "some": weight})


@given("{rate:d} jobs a second of each come to it for {seconds:d} seconds")
def _both_come(context: Any, rate: int, seconds: int) -> None:
    for tenant in ("none", "some"):
        context.arrivals.send(rate, seconds, "normal", tenant)


@when("the tenant with a weight of 0 goes {seconds:g} seconds later")
def _goes(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    left = tuple(tenant for tenant in cluster.options.tenants if tenant.name != "none")
    cluster.configuration.put(make_configuration(2, False, left))
