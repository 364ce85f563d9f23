"""Steps about a full cell and a flood beyond a share: who is asked about, who begins."""

from __future__ import annotations

from typing import Any

from advice_cell import LARGE_WORKER, REPAIR, Cell
from behave import given, then, when


@given("a full repair cell of {workers:d} workers with shares")
def _full_cell(context: Any, workers: int) -> None:
    context.cell = cell = Cell(workers, 4, REPAIR, LARGE_WORKER, 2_000.0, uses_fair_shares=True)
    for _number in range(workers):
        cell.hand_in("patient")
    cell.run(0.8)


@when("{flood:d} patient jobs beyond a tenant's share and then {owed:d} owed one are handed in")
def _hand_in_both(context: Any, flood: int, owed: int) -> None:
    cell = context.cell
    context.flood = [cell.hand_in("patient", is_over_share=True).job for _number in range(flood)]
    [context.owed] = [cell.hand_in("patient").job for _number in range(owed)]
    cell.advice_dispatcher.take_log_events(cell.now)
    cell.run(0.3)


@then("none of the flood is asked about at first, and the log tells why")
def _flood_waits(context: Any) -> None:
    cell = context.cell
    asked = {call.step.job_id for call in cell.calls}
    assert not asked & {job.job_id for job in context.flood}
    told = [
        item
        for item in cell.advice_dispatcher.take_log_events(cell.now)
        if item.event == "advice_put_off"
    ]
    named = {str(item.fields["step"]).partition(".")[0] for item in told}
    assert {job.job_id for job in context.flood} <= named, named


@then("the owed one is asked about before all of the flood")
def _owed_first(context: Any) -> None:
    cell = context.cell
    cell.run(30.0)
    first: dict[str, float] = {}
    for call in cell.calls:
        first.setdefault(call.step.job_id, call.begun_at)
    asked_at = first[context.owed.job_id]
    assert asked_at < min(first[job.job_id] for job in context.flood)


@then("all have begun in the end")
def _all_begun(context: Any) -> None:
    cell = context.cell
    assert cell.steps.keys() == cell.begun.keys()


@given("full repair cells of {workers:d} workers with shares, alike but for a flood")
def _alike_cells(context: Any, workers: int) -> None:
    context.cells = []
    for _name in ("with the flood", "without"):
        _full_cell(context, workers)
        context.cells.append(context.cell)


@when("an owed step is handed in to both, and {count:d} jobs beyond a share to one")
def _to_both(context: Any, count: int) -> None:
    for cell, flood in zip(context.cells, (count, 0), strict=True):
        for _number in range(flood):
            cell.hand_in("patient", is_over_share=True)
        context.owed = cell.hand_in("patient").job
        cell.run(30.0)


def _begun(cell: Cell, job_id: str) -> list[float]:
    return sorted(start.at for start in cell.starts if start.job_id == job_id)


@then("each task of the owed step begins no later beside the flood")
def _no_later(context: Any) -> None:
    beside, alone = (_begun(cell, context.owed.job_id) for cell in context.cells)
    assert len(beside) == len(alone) == REPAIR["patient"].tasks
    late = [(a, b) for a, b in zip(alone, beside, strict=True) if b > a]
    assert not late, late[:3]


@then("the flood begins meanwhile where the owed step may not run")
def _elsewhere(context: Any) -> None:
    [cell, _alone] = context.cells
    last_at = _begun(cell, context.owed.job_id)[-1]
    early = [s for s in cell.starts if s.job_id.startswith("flood") and s.at <= last_at]
    step = cell.steps[context.owed.job_id].key
    assert any(not cell.is_good(step, start.worker_id, "patient") for start in early)
