"""Steps that play the load of a busy cell on the placer and the line for advice."""

from __future__ import annotations

from typing import Any
from unittest import mock

from advice_cell import LARGE_WORKER, REPAIR, Cell, Kind
from behave import given, then, when

from onyxspoke.core.placement.advice_targets import AdviceTargetSelector

NEARLY_ALL = 0.95
#: Jobs a second on a usual day of the repair cell.
USUAL = {"urgent": 52.0, "patient": 9.6, "gang": 2.2}
AFTERMATH_SECONDS = 4.0
#: Workers in each of a gang's calls.
GANG_BATCH = 59


@given("a cell of {workers:d} workers and {entries:d} entries")
def _cell(context: Any, workers: int, entries: int) -> None:
    context.cell = Cell(workers, entries)


def _first_by_name(chooser: AdviceTargetSelector, _most: int, advice: Any) -> list[str]:
    return sorted(worker.worker_id for worker in chooser._not_asked(advice))[:100]


@when(
    "{gangs:d} gangs and {steps:d} {kind} steps a second are handed in for {seconds:d} seconds,"
    " asking about those with room"
)
def _play(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    cell = context.cell
    for rate, name in ((gangs, "gang"), (steps, kind)):
        for number in range(rate * seconds):
            cell.later(number / rate, lambda name=name: cell.hand_in(name))
    cell.run(seconds + 6.0)


@when(
    "{gangs:d} gangs and {steps:d} {kind} steps a second are handed in for {seconds:d} seconds,"
    " asking about the first hundred by name"
)
def _play_by_name(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    with mock.patch.object(AdviceTargetSelector, "unknown", _first_by_name):
        _play(context, gangs, steps, kind, seconds)


@then("nearly all of the {kind} steps begin within {seconds:g} seconds")
def _nearly_all(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_begun(kind, seconds)
    assert share >= NEARLY_ALL, share


@then("not half of the {kind} steps begin within {seconds:g} seconds")
def _not_half(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_begun(kind, seconds)
    assert share < 0.5, share


@then("no entry worked on two calls at once")
def _one_at_once(context: Any) -> None:
    assert context.cell.busy_until


@then("more than half of the entries have carried calls of gangs")
def _many_carried(context: Any) -> None:
    assert len(context.cell.carried["gang"]) > 15, context.cell.carried["gang"]


@given(
    "a repair cell of {workers:d} workers and {entries:d} entries,"
    " played with and without shares of the line"
)
def _repair_cells(context: Any, workers: int, entries: int) -> None:
    context.plain, context.cell = (
        Cell(workers, entries, REPAIR, LARGE_WORKER, 2_000.0, uses_fair_shares)
        for uses_fair_shares in (False, True)
    )


@when(
    "its usual jobs come for {seconds:d} seconds, from {since:d} on as many beyond a tenant's"
    " share, and {cut:d} entries are cut off from {cut_at:d} to {mended_at:d}"
)
def _play_flood(
    context: Any, seconds: int, since: int, cut: int, cut_at: int, mended_at: int
) -> None:
    for cell in (context.plain, context.cell):
        cell.cut(cut, float(cut_at), float(mended_at - cut_at))
        for kind, rate in USUAL.items():
            cell.hand_in_evenly(kind, rate, 0.0, float(seconds))
            cell.hand_in_evenly(kind, rate, float(since), float(seconds - since), beyond=True)
        cell.run(seconds + AFTERMATH_SECONDS)


@when("its usual jobs come for {seconds:d} seconds")
def _play_usual(context: Any, seconds: int, share: float = 1.0) -> None:
    for cell in (context.plain, context.cell):
        for kind, rate in USUAL.items():
            cell.hand_in_evenly(kind, share * rate, 0.0, float(seconds))
        cell.run(seconds + AFTERMATH_SECONDS)


@when("eight tenths of its usual jobs come for {seconds:d} seconds, more than it has room for")
def _play_full(context: Any, seconds: int) -> None:
    _play_usual(context, seconds, 0.8)
    for cell in (context.plain, context.cell):
        cell.run(2 * AFTERMATH_SECONDS)


@then(
    "owed {kind} steps wait for advice at most {factor:g} times as long"
    " as without shares on average"
)
def _shorter(context: Any, kind: str, factor: float) -> None:
    before, after = (sum(cell.waits(kind, cell.advised)) for cell in (context.plain, context.cell))
    assert after <= factor * before, (before, after)


@then(
    "the longest wait of an owed {kind} step falls from over {before:g} seconds to under {after:g}"
)
def _longest(context: Any, kind: str, before: float, after: float) -> None:
    longest = [cell.waits(kind, cell.advised)[-1] for cell in (context.plain, context.cell)]
    assert longest[0] > before, longest
    assert longest[1] < after, longest


@then("every step of the flood begins in the end")
def _flood_begins(context: Any) -> None:
    cell = context.cell
    cell.run(6.0)
    names = [
        name for group, jobs in cell.handed_in.items() for name, _at in jobs if "flood" in group
    ]
    assert names
    assert not set(names) - cell.begun.keys()


@then("both plays made the same calls through the same entries at the same moments")
def _same_calls(context: Any) -> None:
    assert context.plain.sent
    assert context.plain.sent == context.cell.sent


def _mean(cell: Cell, kind: str, moments: dict[str, float]) -> float:
    waits = cell.waits(kind, moments)
    return sum(waits) / len(waits)


@then("{kind} steps make at most {factor:g} times as many calls as without shares")
def _fewer_calls(context: Any, kind: str, factor: float) -> None:
    before, after = (
        sum(call.queue == kind for call in cell.calls) for cell in (context.plain, context.cell)
    )
    assert after <= factor * before, (before, after)


@then("{kind} jobs are done sooner than without shares on average")
def _sooner(context: Any, kind: str) -> None:
    before, after = (_mean(cell, kind, cell.done) for cell in (context.plain, context.cell))
    assert after < before, (before, after)


@then("{kind} jobs are done as soon as without shares")
def _as_soon(context: Any, kind: str) -> None:
    before, after = (_mean(cell, kind, cell.done) for cell in (context.plain, context.cell))
    assert after <= before + 0.001, (before, after)


@when(
    "its usual jobs come for {seconds:d} seconds, and two floods, each as many beyond a tenant's"
    " share"
)
def _play_two_floods(context: Any, seconds: int) -> None:
    for cell in (context.plain, context.cell):
        for kind, rate in USUAL.items():
            cell.hand_in_evenly(kind, rate, 0.0, float(seconds))
            for begin in (2.0, 4.0):
                cell.hand_in_evenly(kind, rate, begin, seconds - begin, beyond=True)
        cell.run(seconds + AFTERMATH_SECONDS)


@when(
    "its usual jobs come for {seconds:d} seconds, and {count:d} entries take five times as long"
    " from {since:d} on"
)
def _play_slow(context: Any, seconds: int, count: int, since: int) -> None:
    for cell in (context.plain, context.cell):
        slow = dict.fromkeys(cell.entries[1::2][:count], 5.0)
        cell.later(float(since), lambda cell=cell, slow=slow: cell.slow.update(slow))
    _play_usual(context, seconds)


@when(
    "{urgent:d} urgent, {patient:d} patient and {gang:d} gang jobs a second come for {seconds:d}"
    " seconds, and waits are foretold"
)
def _play_foretold(context: Any, urgent: int, patient: int, gang: int, seconds: int) -> None:
    cell = context.cell
    foretold: dict[Any, tuple[float, float]] = {}
    want = cell.advice_dispatcher.want

    def foretell(step: Any, policy: Any, workers: Any, rank: Any, now: float) -> None:
        if step.key not in foretold:
            count = min(len(workers), GANG_BATCH)
            wait = cell.advice_dispatcher.wait_seconds(policy.call_seconds(count), rank, now)
            foretold[step.key] = (wait, now)
        want(step, policy, workers, rank, now)

    with mock.patch.object(cell.advice_dispatcher, "want", foretell):
        for kind, rate in (("urgent", urgent), ("patient", patient), ("gang", gang)):
            cell.hand_in_evenly(kind, float(rate), 0.0, float(seconds))
        cell.run(seconds + AFTERMATH_SECONDS)
    begun_at: dict[Any, float] = {}
    for call in cell.calls:
        begun_at.setdefault(call.step, call.begun_at)
    context.waits = [(wait, begun_at[key] - at) for key, (wait, at) in foretold.items()]


@then(
    "nearly all first calls begin within half and twice the wait that was foretold, or"
    " {seconds:g} seconds of it"
)
def _as_foretold(context: Any, seconds: float) -> None:
    alike = [wait / 2 - seconds <= real <= 2 * wait + seconds for wait, real in context.waits]
    assert sum(alike) >= NEARLY_ALL * len(alike), (sum(alike), len(alike))


@then("patient steps waited for more than {seconds:g} second on average")
def _waited(context: Any, seconds: float) -> None:
    assert _mean(context.cell, "patient", context.cell.advised) > seconds


@then("no owed {kind} step waits for advice longer than {seconds:g} seconds")
def _bounded(context: Any, kind: str, seconds: float) -> None:
    longest = context.cell.waits(kind, context.cell.advised)[-1]
    assert longest <= seconds, longest


@when(
    "work that lasts takes {taken:d} of them, and {count:d} patient steps come behind one"
    " that fits nowhere"
)
def _play_behind(context: Any, taken: int, count: int) -> None:
    for cell in (context.plain, context.cell):
        lasting = Kind(0, 1.0, 9.0, 0.1, taken, 64_000, 1e6)
        endless = Kind(0, 1.0, 9.0, 0.1, 50, 65_000, 1.0)
        cell.kinds = {**REPAIR, "lasting": lasting, "endless": endless}
        cell.hand_in("lasting")
        cell.run(1.0)
        assert cell.begun
        cell.hand_in("endless")
        cell.run(0.5)
        for _number in range(count):
            cell.hand_in("patient")


@then("in both plays the last worker runs patient tasks within {seconds:g} seconds")
def _last_runs(context: Any, seconds: float) -> None:
    for cell in (context.plain, context.cell):
        cell.run(seconds)
        assert any(name.startswith("patient") for name in cell.begun), cell.begun
