"""Steps about a full cell and a flood over a tenant's share: calls for advice, and job starts."""

from __future__ import annotations

from typing import Any

from advice_cell import LARGE_WORKER, LARGE_WORKER_JOBS, SimulatedCell
from behave import given, then, when


@given("a full cell of {workers:d} large workers with fair shares")
def _full_cell(context: Any, workers: int) -> None:
    context.cell = cell = SimulatedCell(
        workers, 4, LARGE_WORKER_JOBS, LARGE_WORKER, 2_000.0, uses_fair_shares=True
    )
    for _number in range(workers):
        cell.submit_job("patient")
    cell.run(0.8)


@when(
    "{flood:d} patient jobs over a tenant's share and then {entitled:d} entitled job are submitted"
)
def _submit_flood_and_entitled_job(context: Any, flood: int, entitled: int) -> None:
    cell = context.cell
    context.flood = [cell.submit_job("patient", is_over_share=True).job for _number in range(flood)]
    [context.entitled] = [cell.submit_job("patient").job for _number in range(entitled)]
    cell.advice_dispatcher.take_log_events(cell.now)
    cell.run(0.3)


@then("no call about the flood is made at first, and the log gives the reason")
def _check_flood_is_deferred(context: Any) -> None:
    cell = context.cell
    called_job_ids = {call.step.job_id for call in cell.calls}
    assert not called_job_ids & {job.job_id for job in context.flood}
    deferrals = [
        item
        for item in cell.advice_dispatcher.take_log_events(cell.now)
        if item.event == "advice_put_off"
    ]
    deferred_job_ids = {str(item.fields["step"]).partition(".")[0] for item in deferrals}
    assert {job.job_id for job in context.flood} <= deferred_job_ids, deferred_job_ids


@then("the first call about the entitled job is made before all calls about the flood")
def _check_entitled_job_goes_first(context: Any) -> None:
    cell = context.cell
    cell.run(30.0)
    first_calls: dict[str, float] = {}
    for call in cell.calls:
        first_calls.setdefault(call.step.job_id, call.started_at)
    first_call_at = first_calls[context.entitled.job_id]
    assert first_call_at < min(first_calls[job.job_id] for job in context.flood)


@then("all jobs start eventually")
def _check_all_jobs_started(context: Any) -> None:
    cell = context.cell
    assert cell.steps.keys() == cell.first_start_at.keys()


@given("two full cells of {workers:d} large workers with fair shares, equal except for a flood")
def _make_equal_cells(context: Any, workers: int) -> None:
    context.cells = []
    for _name in ("with the flood", "without"):
        _full_cell(context, workers)
        context.cells.append(context.cell)


@when(
    "an entitled job is submitted to both cells, and {count:d} jobs over a tenant's share to"
    " one of them"
)
def _submit_to_both_cells(context: Any, count: int) -> None:
    for cell, flood in zip(context.cells, (count, 0), strict=True):
        for _number in range(flood):
            cell.submit_job("patient", is_over_share=True)
        context.entitled = cell.submit_job("patient").job
        cell.run(30.0)


def _start_times(cell: SimulatedCell, job_id: str) -> list[float]:
    return sorted(start.at for start in cell.starts if start.job_id == job_id)


@then("each task of the entitled job starts no later with the flood than without")
def _check_no_task_starts_later(context: Any) -> None:
    with_flood, without_flood = (
        _start_times(cell, context.entitled.job_id) for cell in context.cells
    )
    assert len(with_flood) == len(without_flood) == LARGE_WORKER_JOBS["patient"].task_count
    late_starts = [(a, b) for a, b in zip(without_flood, with_flood, strict=True) if b > a]
    assert not late_starts, late_starts[:3]


@then("meanwhile the flood starts on workers that are not approved for the entitled job")
def _check_flood_uses_unapproved_workers(context: Any) -> None:
    [cell, _without_flood] = context.cells
    last_at = _start_times(cell, context.entitled.job_id)[-1]
    flood_starts = [s for s in cell.starts if s.job_id.startswith("flood") and s.at <= last_at]
    step = cell.steps[context.entitled.job_id].key
    assert any(not cell.is_approved(step, start.worker_id, "patient") for start in flood_starts)
