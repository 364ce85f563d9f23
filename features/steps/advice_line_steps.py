"""Steps that simulate the load of a busy cell on the placer and the advice queue."""

from __future__ import annotations

from typing import Any
from unittest import mock

from advice_cell import LARGE_WORKER, LARGE_WORKER_JOBS, JobKind, SimulatedCell
from behave import given, then, when

from onyxspoke.core.placement.advice_targets import AdviceTargetSelector

NEARLY_ALL_SHARE = 0.95
#: Jobs per second of the usual load of a cell of large workers.
USUAL_JOBS_PER_SECOND = {"urgent": 52.0, "patient": 9.6, "gang": 2.2}
DRAIN_SECONDS = 4.0
#: Number of workers in each call about a gang.
GANG_WORKERS_PER_CALL = 59


@given("a cell of {workers:d} workers and {entries:d} entries")
def _make_cell(context: Any, workers: int, entries: int) -> None:
    context.cell = SimulatedCell(workers, entries)


def _first_by_name(selector: AdviceTargetSelector, _most: int, advice: Any) -> list[str]:
    return sorted(worker.worker_id for worker in selector._unqueried_workers(advice))[:100]


@when(
    "{gangs:d} gangs and {steps:d} {kind} jobs per second are submitted for {seconds:d}"
    " seconds, and calls name workers with free capacity"
)
def _run_mixed_load(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    cell = context.cell
    for rate, name in ((gangs, "gang"), (steps, kind)):
        for number in range(rate * seconds):
            cell.schedule(number / rate, lambda name=name: cell.submit_job(name))
    cell.run(seconds + 6.0)


@when(
    "{gangs:d} gangs and {steps:d} {kind} jobs per second are submitted for {seconds:d}"
    " seconds, and calls name the first hundred workers by name"
)
def _run_mixed_load_by_name(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    with mock.patch.object(AdviceTargetSelector, "first_targets", _first_by_name):
        _run_mixed_load(context, gangs, steps, kind, seconds)


@then("nearly all of the {kind} steps start within {seconds:g} seconds")
def _check_nearly_all_start(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_started_within(kind, seconds)
    assert share >= NEARLY_ALL_SHARE, share


@then("less than half of the {kind} steps start within {seconds:g} seconds")
def _check_less_than_half_start(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_started_within(kind, seconds)
    assert share < 0.5, share


@then("no entry handled two calls at the same time")
def _check_one_call_at_a_time(context: Any) -> None:
    assert context.cell.busy_until


@then("more than half of the entries have carried calls about gangs")
def _check_entries_carried_gangs(context: Any) -> None:
    assert len(context.cell.entries_by_queue["gang"]) > 15, context.cell.entries_by_queue["gang"]


@given(
    "a cell of {workers:d} large workers and {entries:d} entries, simulated with and without"
    " fair shares"
)
def _make_cells(context: Any, workers: int, entries: int) -> None:
    context.unshared_cell, context.cell = (
        SimulatedCell(workers, entries, LARGE_WORKER_JOBS, LARGE_WORKER, 2_000.0, uses_fair_shares)
        for uses_fair_shares in (False, True)
    )


@when(
    "the usual load is submitted for {seconds:d} seconds, the same load over a tenant's share"
    " from second {from_second:d} on, and {entry_count:d} entries are disconnected from second"
    " {disconnected_at:d} to {reconnected_at:d}"
)
def _run_with_flood(
    context: Any,
    seconds: int,
    from_second: int,
    entry_count: int,
    disconnected_at: int,
    reconnected_at: int,
) -> None:
    for cell in (context.unshared_cell, context.cell):
        cell.disconnect_entries(
            entry_count, float(disconnected_at), float(reconnected_at - disconnected_at)
        )
        for kind, rate in USUAL_JOBS_PER_SECOND.items():
            cell.submit_evenly(kind, rate, 0.0, float(seconds))
            cell.submit_evenly(
                kind, rate, float(from_second), float(seconds - from_second), is_over_share=True
            )
        cell.run(seconds + DRAIN_SECONDS)


@when("the usual load is submitted for {seconds:d} seconds")
def _run_usual_load(context: Any, seconds: int, share: float = 1.0) -> None:
    for cell in (context.unshared_cell, context.cell):
        for kind, rate in USUAL_JOBS_PER_SECOND.items():
            cell.submit_evenly(kind, share * rate, 0.0, float(seconds))
        cell.run(seconds + DRAIN_SECONDS)


@when(
    "eight tenths of the usual load, more than the cell's capacity, are submitted for"
    " {seconds:d} seconds"
)
def _run_overload(context: Any, seconds: int) -> None:
    _run_usual_load(context, seconds, 0.8)
    for cell in (context.unshared_cell, context.cell):
        cell.run(2 * DRAIN_SECONDS)


@then(
    "entitled {kind} steps wait for advice on average at most {factor:g} times as long as"
    " without fair shares"
)
def _check_mean_wait_falls(context: Any, kind: str, factor: float) -> None:
    before, after = (
        sum(cell.wait_seconds(kind, cell.first_answer_at))
        for cell in (context.unshared_cell, context.cell)
    )
    assert after <= factor * before, (before, after)


@then(
    "the longest wait of an entitled {kind} step for advice falls from over {before:g} seconds"
    " to under {after:g}"
)
def _check_longest_wait_falls(context: Any, kind: str, before: float, after: float) -> None:
    longest = [
        cell.wait_seconds(kind, cell.first_answer_at)[-1]
        for cell in (context.unshared_cell, context.cell)
    ]
    assert longest[0] > before, longest
    assert longest[1] < after, longest


@then("every step of the flood starts eventually")
def _check_flood_starts(context: Any) -> None:
    cell = context.cell
    cell.run(6.0)
    names = [
        name for group, jobs in cell.submissions.items() for name, _at in jobs if "flood" in group
    ]
    assert names
    assert not set(names) - cell.first_start_at.keys()


@then("both simulations made the same calls through the same entries at the same times")
def _check_same_calls(context: Any) -> None:
    assert context.unshared_cell.sent_calls
    assert context.unshared_cell.sent_calls == context.cell.sent_calls


def _mean_wait(cell: SimulatedCell, kind: str, end_times: dict[str, float]) -> float:
    waits = cell.wait_seconds(kind, end_times)
    return sum(waits) / len(waits)


@then("{kind} steps make at most {factor:g} times as many calls as without fair shares")
def _check_fewer_calls(context: Any, kind: str, factor: float) -> None:
    before, after = (
        sum(call.queue == kind for call in cell.calls)
        for cell in (context.unshared_cell, context.cell)
    )
    assert after <= factor * before, (before, after)


@then("{kind} jobs end sooner on average than without fair shares")
def _check_jobs_end_sooner(context: Any, kind: str) -> None:
    before, after = (
        _mean_wait(cell, kind, cell.completed_at) for cell in (context.unshared_cell, context.cell)
    )
    assert after < before, (before, after)


@then("{kind} jobs end on average as soon as without fair shares")
def _check_jobs_end_no_later(context: Any, kind: str) -> None:
    before, after = (
        _mean_wait(cell, kind, cell.completed_at) for cell in (context.unshared_cell, context.cell)
    )
    assert after <= before + 0.001, (before, after)


@when(
    "the usual load is submitted for {seconds:d} seconds, and two floods, each of the same size"
    " over a tenant's share"
)
def _run_with_two_floods(context: Any, seconds: int) -> None:
    for cell in (context.unshared_cell, context.cell):
        for kind, rate in USUAL_JOBS_PER_SECOND.items():
            cell.submit_evenly(kind, rate, 0.0, float(seconds))
            for flood_start in (2.0, 4.0):
                cell.submit_evenly(
                    kind, rate, flood_start, seconds - flood_start, is_over_share=True
                )
        cell.run(seconds + DRAIN_SECONDS)


@when(
    "the usual load is submitted for {seconds:d} seconds, and {count:d} entries take five times"
    " as long from second {from_second:d} on"
)
def _run_with_slow_entries(context: Any, seconds: int, count: int, from_second: int) -> None:
    for cell in (context.unshared_cell, context.cell):
        slow = dict.fromkeys(cell.entries[1::2][:count], 5.0)
        cell.schedule(float(from_second), lambda cell=cell, slow=slow: cell.slowdown.update(slow))
    _run_usual_load(context, seconds)


@when(
    "{urgent:d} urgent, {patient:d} patient and {gang:d} gang jobs per second are submitted for"
    " {seconds:d} seconds, and waits are forecast"
)
def _run_and_forecast(context: Any, urgent: int, patient: int, gang: int, seconds: int) -> None:
    cell = context.cell
    forecasts: dict[Any, tuple[float, float]] = {}
    request_advice = cell.advice_dispatcher.request_advice

    def record_forecast(step: Any, policy: Any, workers: Any, rank: Any, now: float) -> None:
        if step.key not in forecasts:
            count = min(len(workers), GANG_WORKERS_PER_CALL)
            wait = cell.advice_dispatcher.wait_seconds(policy.call_seconds(count), rank, now)
            forecasts[step.key] = (wait, now)
        request_advice(step, policy, workers, rank, now)

    with mock.patch.object(cell.advice_dispatcher, "request_advice", record_forecast):
        for kind, rate in (("urgent", urgent), ("patient", patient), ("gang", gang)):
            cell.submit_evenly(kind, float(rate), 0.0, float(seconds))
        cell.run(seconds + DRAIN_SECONDS)
    started_at: dict[Any, float] = {}
    for call in cell.calls:
        started_at.setdefault(call.step, call.started_at)
    context.waits = [(wait, started_at[key] - at) for key, (wait, at) in forecasts.items()]


@then(
    "nearly all first calls start between half and twice the forecast wait, give or take"
    " {seconds:g} seconds"
)
def _check_forecasts(context: Any, seconds: float) -> None:
    close_forecasts = [
        wait / 2 - seconds <= actual <= 2 * wait + seconds for wait, actual in context.waits
    ]
    assert sum(close_forecasts) >= NEARLY_ALL_SHARE * len(close_forecasts), (
        sum(close_forecasts),
        len(close_forecasts),
    )


@then("patient steps waited for advice for more than {seconds:g} second on average")
def _check_mean_wait_exceeds(context: Any, seconds: float) -> None:
    assert _mean_wait(context.cell, "patient", context.cell.first_answer_at) > seconds


@then("no entitled {kind} step waits for advice longer than {seconds:g} seconds")
def _check_longest_wait(context: Any, kind: str, seconds: float) -> None:
    longest = context.cell.wait_seconds(kind, context.cell.first_answer_at)[-1]
    assert longest <= seconds, longest


@when(
    "long runs occupy {occupied_workers:d} of the workers, and {count:d} patient steps queue"
    " behind a step that fits no worker"
)
def _run_behind_unplaceable_job(context: Any, occupied_workers: int, count: int) -> None:
    for cell in (context.unshared_cell, context.cell):
        occupying_job = JobKind(0, 1.0, 9.0, 0.1, occupied_workers, 64_000, 1e6)
        unplaceable_job = JobKind(0, 1.0, 9.0, 0.1, 50, 65_000, 1.0)
        cell.job_kinds = {**LARGE_WORKER_JOBS, "lasting": occupying_job, "endless": unplaceable_job}
        cell.submit_job("lasting")
        cell.run(1.0)
        assert cell.first_start_at
        cell.submit_job("endless")
        cell.run(0.5)
        for _number in range(count):
            cell.submit_job("patient")


@then("in both simulations the last worker runs patient tasks within {seconds:g} seconds")
def _check_last_worker_is_used(context: Any, seconds: float) -> None:
    for cell in (context.unshared_cell, context.cell):
        cell.run(seconds)
        assert any(name.startswith("patient") for name in cell.first_start_at), cell.first_start_at
