"""Exploration: random fault schedules, every promise checked, failures made small."""

from __future__ import annotations

import random

import msgspec

from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.load.audit import AuditReport
from onyxspoke.settings_file import CellSettings
from onyxspoke.sim.callers import Callers
from onyxspoke.sim.cell import SchedulerFactory, SimulatedCell
from onyxspoke.sim.faults import Fault, FaultInjector, draw_schedule
from onyxspoke.sim.operators import RacingOperators
from onyxspoke.sim.promises import PromiseChecker

START_SECONDS = 4.0
LOAD_SECONDS = 26.0
END_SECONDS = 75.0
REQUESTS_PER_SECOND = 14.0
CROWDED_SLOTS = 2
DUPLICATE_SHARE = 0.3
WORK_FACTOR = 10.0
BATCH_WORK_FACTOR = 20.0
MAXIMUM_BREAK_SECONDS = 40.0


def make_crowded(settings: CellSettings) -> CellSettings:
    """Return the deployment with few slots and long tasks, so that work queues."""
    assert settings.load is not None
    groups = [
        group.model_copy(
            update={"capacity": group.capacity.model_copy(update={"slots": CROWDED_SLOTS})}
        )
        for group in settings.workers
    ]
    classes = {
        service: {
            name: item.model_copy(
                update={
                    "work_ms": item.work_ms
                    * (BATCH_WORK_FACTOR if _is_batch(settings, service, name) else WORK_FACTOR)
                }
            )
            for name, item in items.items()
        }
        for service, items in settings.load.classes.items()
    }
    load = settings.load.model_copy(update={"classes": classes, "duplicate_share": DUPLICATE_SHARE})
    return settings.model_copy(update={"workers": groups, "load": load})


def _is_batch(settings: CellSettings, service: str, name: str) -> bool:
    return settings.services[service].classes[name].batch


class RunResult(msgspec.Struct, frozen=True):
    """What one run came to."""

    seed: int
    faults: list[Fault]
    report: AuditReport
    events: int
    checks: int
    violations: list[str]


def run_schedule(
    settings: CellSettings,
    seed: int,
    faults: list[Fault] | None = None,
    make_scheduler: SchedulerFactory = EntryScheduler,
) -> RunResult:
    """Run one schedule; without one, draw it from the seed."""
    settings = make_crowded(settings)
    assert settings.load is not None
    break_seconds = random.Random(seed + 3).uniform(1.0, MAXIMUM_BREAK_SECONDS)
    cell = SimulatedCell(settings, seed, make_scheduler, break_seconds=break_seconds)
    if faults is None:
        faults = draw_schedule(cell, random.Random(seed))
    callers = Callers(cell, settings.load, random.Random(seed + 1))
    operators = RacingOperators(cell, random.Random(seed + 2))
    checker = PromiseChecker(cell, operators)
    FaultInjector(cell).schedule(faults)
    cell.start()
    checker.watch()
    cell.time.run_until(START_SECONDS)
    callers.submit_for(LOAD_SECONDS, REQUESTS_PER_SECOND)
    operators.submit_for(LOAD_SECONDS)
    cell.time.run_until(END_SECONDS)
    callers.close()
    report = checker.judge(callers.records)
    return RunResult(seed, faults, report, cell.time.events, checker.checks, checker.violations)


def shrink(
    settings: CellSettings, failing: RunResult, make_scheduler: SchedulerFactory = EntryScheduler
) -> RunResult:
    """Return the failing run with as few faults as still make it fail."""
    smallest = failing
    index = 0
    while index < len(smallest.faults):
        fewer = [*smallest.faults[:index], *smallest.faults[index + 1 :]]
        attempt = run_schedule(settings, failing.seed, fewer, make_scheduler)
        if attempt.violations:
            smallest = attempt
        else:
            index += 1
    return smallest
