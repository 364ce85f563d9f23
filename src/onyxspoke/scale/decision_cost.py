"""Processor time of single steps of the core, by size."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from onyxspoke.core.context import CoreOptions, make_context
from onyxspoke.core.log_records import (
    ClaimItem,
    KeyIntent,
    LogBatch,
    LogRecord,
    WorkerClaim,
    decode_batch,
    encode_batch,
)
from onyxspoke.core.owned_worker import WorkerState
from onyxspoke.core.ownership import LeaseOptions, PreferenceCache, plan_ownership
from onyxspoke.core.schema import EntryIdentity, MachineRecord, Resources, RunningTask, TaskClass
from onyxspoke.core.worker_table import WorkerTable
from onyxspoke.scale.slopes import Point, Slope, fit

_MICROSECONDS = 1e6
_REPEATS = 300
_IDENTITY = EntryIdentity("entry-0.00000001", "r", "z", "127.0.0.1", 1)
_CLASS = TaskClass(service="s", name="c", resources=Resources(1, 256), patience_seconds=5)


def _microseconds(function: Callable[[], object], repeats: int = _REPEATS) -> float:
    """Return the mean processor time of one call."""
    began = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - began) / repeats * _MICROSECONDS


def _machine(index: int) -> MachineRecord:
    return MachineRecord(f"worker-{index:05d}", "10.0.0.1", 7000, "z", "r", "g")


def measure_decisions() -> list[Slope]:
    """Return the cost of one placement, and of one ownership plan, by workers."""
    placement: list[Point] = []
    plan: list[Point] = []
    for count in (24, 100, 400, 1_600):
        table = WorkerTable()
        for index in range(count):
            worker = table.add(_machine(index), 1)
            worker.load_inventory(Resources(64, 131_072, 0, 64), [])
            worker.transition(WorkerState.ACTIVE)
            table.refresh(worker)
        cost = _microseconds(partial(_place_and_release, table))
        placement.append(Point(size=count, cost=cost))
        plan.append(Point(size=count, cost=_plan_cost(count)))
    return [
        fit("CPU of one placement", "usable worker", "us", placement),
        fit("CPU of one ownership plan among 21 entries", "listed worker", "us", plan),
    ]


def _place_and_release(table: WorkerTable) -> None:
    """Choose, reserve and release, as a task's whole life does."""
    worker = table.choose(_CLASS)
    assert worker is not None
    table.reserve(worker, RunningTask("a", _CLASS.resources))
    table.release(worker.worker_id, "a")


def _plan_cost(count: int) -> float:
    context = make_context(_IDENTITY, CoreOptions())
    for number in range(21):
        batch = LogBatch(f"entry-{number}.00000001", "z", "10.0.0.1", 7000, 1, False, [])
        context.cell.apply(number + 1, batch, 0.0)
    machines = [_machine(index) for index in range(count)]
    options = LeaseOptions()
    cache = PreferenceCache()
    return _microseconds(
        lambda: plan_ownership(_IDENTITY, context.cell, machines, 0.0, options, cache, {}), 40
    )


def measure_fold() -> list[Slope]:
    """Return the cost of reading one batch, and its bytes, by the records in it."""
    cost: list[Point] = []
    size: list[Point] = []
    claims: list[Point] = []
    for count in (0, 10, 50, 200):
        records: list[LogRecord] = [
            KeyIntent(f"tenant/{index:032x}", 2**60 + index) for index in range(count)
        ]
        data = encode_batch(_batch(records))
        cost.append(Point(size=count, cost=_microseconds(partial(decode_batch, data))))
        size.append(Point(size=count, cost=float(len(data))))
        items = [ClaimItem(f"worker-{index:05d}", 123_456, 123_456) for index in range(count)]
        claims.append(
            Point(size=count, cost=float(len(encode_batch(_batch([WorkerClaim(items)])))))
        )
    return [
        fit("CPU of reading one batch", "key intent", "us", cost),
        fit("bytes of one batch", "key intent", "bytes", size),
        fit("bytes of one claim batch", "claimed worker", "bytes", claims),
    ]


def _batch(records: list[LogRecord]) -> LogBatch:
    return LogBatch("entry-000.00000001", "zone-1", "10.11.12.13", 21_201, 12_345, False, records)
