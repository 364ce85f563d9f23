"""Fault schedules: what goes wrong, where, when and for how long."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from functools import partial

import msgspec

from onyxspoke.core.schema import WorkerListing
from onyxspoke.settings_file import PLATFORM_ZONE
from onyxspoke.sim.cell import SimulatedCell

FIRST_FAULT_SECONDS = 6.0
LAST_FAULT_SECONDS = 26.0
MAXIMUM_FAULTS = 6
MAXIMUM_DURATION_SECONDS = 15.0
SLOW_APPEND_SECONDS = 0.4


class FaultKind(Enum):
    """What can go wrong."""

    KILL_ENTRY = "kill_entry"
    PAUSE_ENTRY = "pause_entry"
    PAUSE_ENTRY_SENDING = "pause_entry_sending"
    STOP_ENTRY = "stop_entry"
    KILL_WORKER = "kill_worker"
    PAUSE_WORKER = "pause_worker"
    LEAVING_WORKER = "leaving_worker"
    CUT_ZONES = "cut_zones"
    LOG_OUTAGE = "log_outage"
    SLOW_LOG = "slow_log"
    LOST_ANSWERS = "lost_answers"


class Fault(msgspec.Struct, frozen=True):
    """One fault; ``target`` names an entry, a worker, or two zones joined by ``~``."""

    kind: FaultKind
    target: str
    at: float
    duration: float

    def describe(self) -> str:
        """Return the fault in words."""
        return f"{self.at:6.2f}s {self.kind.value} {self.target} for {self.duration:.2f}s"


ENTRY_FAULTS = frozenset(
    {
        FaultKind.KILL_ENTRY,
        FaultKind.PAUSE_ENTRY,
        FaultKind.PAUSE_ENTRY_SENDING,
        FaultKind.STOP_ENTRY,
    }
)


def draw_schedule(cell: SimulatedCell, source: random.Random) -> list[Fault]:
    """Return some random faults in the order of their moments."""
    count = source.randint(1, MAXIMUM_FAULTS)
    faults = [_draw_fault(cell, source) for _ in range(count)]
    return sorted(faults, key=lambda fault: fault.at)


def _draw_fault(cell: SimulatedCell, source: random.Random) -> Fault:
    kind = source.choice(list(FaultKind))
    return Fault(
        kind=kind,
        target=_draw_target(cell, kind, source),
        at=source.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS),
        duration=source.uniform(0.5, MAXIMUM_DURATION_SECONDS),
    )


def _draw_target(cell: SimulatedCell, kind: FaultKind, source: random.Random) -> str:
    if kind in ENTRY_FAULTS:
        return source.choice([entry.name for entry in cell.settings.entries])
    if kind in (FaultKind.KILL_WORKER, FaultKind.PAUSE_WORKER, FaultKind.LEAVING_WORKER):
        return source.choice([machine.worker_id for machine in cell.settings.machines()])
    if kind is FaultKind.CUT_ZONES:
        first, second = source.sample([*cell.settings.zones, PLATFORM_ZONE], 2)
        return f"{first}~{second}"
    return PLATFORM_ZONE


#: Stands in the bytes of every message that starts a task.
TASK_START_MARKER = b"StartTask"


class FaultInjector:
    """Carries out a schedule in a simulated cell, and mends everything in the end."""

    def __init__(self, cell: SimulatedCell) -> None:
        self._cell = cell
        self._begin: dict[FaultKind, Callable[[str], None]] = {
            FaultKind.KILL_ENTRY: self._kill_entry,
            FaultKind.PAUSE_ENTRY: self._pause_entry,
            FaultKind.PAUSE_ENTRY_SENDING: self._pause_entry_sending,
            FaultKind.STOP_ENTRY: self._stop_entry,
            FaultKind.KILL_WORKER: self._kill_worker,
            FaultKind.PAUSE_WORKER: self._pause_worker,
            FaultKind.LEAVING_WORKER: self._list_as_leaving,
            FaultKind.CUT_ZONES: self._cut,
            FaultKind.LOG_OUTAGE: self._begin_outage,
            FaultKind.SLOW_LOG: self._slow_log,
            FaultKind.LOST_ANSWERS: self._lose_answers,
        }
        self._end: dict[FaultKind, Callable[[str], None]] = {
            FaultKind.KILL_ENTRY: self._restart_entry,
            FaultKind.PAUSE_ENTRY: self._resume_entry,
            FaultKind.PAUSE_ENTRY_SENDING: self._resume_entry,
            FaultKind.STOP_ENTRY: self._restart_entry,
            FaultKind.KILL_WORKER: self._restart_worker,
            FaultKind.PAUSE_WORKER: self._resume_worker,
            FaultKind.LEAVING_WORKER: self._list_as_live,
            FaultKind.CUT_ZONES: self._heal,
            FaultKind.LOG_OUTAGE: self._end_outage,
            FaultKind.SLOW_LOG: self._restore_log,
            FaultKind.LOST_ANSWERS: self._restore_log,
        }

    def schedule(self, faults: list[Fault]) -> None:
        """Plan the beginning and the end of every fault."""
        time = self._cell.time
        for fault in faults:
            begin, end = self._begin[fault.kind], self._end[fault.kind]
            time.schedule_at(fault.at, partial(begin, fault.target))
            time.schedule_at(fault.at + fault.duration, partial(end, fault.target))

    def _kill_entry(self, name: str) -> None:
        if self._cell.entries[name].is_up:
            self._cell.kill_entry(name)

    def _pause_entry(self, name: str) -> None:
        if self._cell.entries[name].is_up:
            self._cell.pause_entry(name)

    def _pause_entry_sending(self, name: str) -> None:
        """Pause with a task decided on, checked against the lease, and not yet sent."""
        if self._cell.entries[name].is_up:
            self._cell.pause_entry_at_write(name, TASK_START_MARKER)

    def _stop_entry(self, name: str) -> None:
        if self._cell.entries[name].is_up:
            self._cell.stop_entry(name)

    def _restart_entry(self, name: str) -> None:
        entry = self._cell.entries[name]
        if entry.is_up and entry.stop_ordered:
            # A planned stop takes as long as it takes; look again later.
            self._cell.time.schedule(1.0, lambda: self._restart_entry(name))
        elif not entry.is_up:
            self._cell.start_entry(entry.settings)

    def _resume_entry(self, name: str) -> None:
        node = self._cell.entries[name].node
        node.pause_at_write_of = None
        node.resume()

    def _kill_worker(self, worker_id: str) -> None:
        if self._cell.workers[worker_id].node.alive:
            self._cell.kill_worker(worker_id)
            self._cell.set_listing(worker_id, None)

    def _restart_worker(self, worker_id: str) -> None:
        worker = self._cell.workers[worker_id]
        if not worker.node.alive:
            self._cell.start_worker(worker.machine)
            self._cell.set_listing(worker_id, WorkerListing.LIVE)

    def _pause_worker(self, worker_id: str) -> None:
        self._cell.workers[worker_id].node.pause()

    def _resume_worker(self, worker_id: str) -> None:
        self._cell.workers[worker_id].node.resume()

    def _list_as_leaving(self, worker_id: str) -> None:
        if self._cell.workers[worker_id].node.alive:
            self._cell.set_listing(worker_id, WorkerListing.LEAVING)

    def _list_as_live(self, worker_id: str) -> None:
        if self._cell.workers[worker_id].node.alive:
            self._cell.set_listing(worker_id, WorkerListing.LIVE)

    def _cut(self, target: str) -> None:
        first, second = target.split("~")
        self._cell.network.cut(first, second)

    def _heal(self, target: str) -> None:
        first, second = target.split("~")
        self._cell.network.heal(first, second)

    def _begin_outage(self, _target: str) -> None:
        self._cell.platform.begin_outage()

    def _end_outage(self, _target: str) -> None:
        self._cell.platform.end_outage()

    def _slow_log(self, _target: str) -> None:
        self._cell.platform.faults.extra_append_seconds = SLOW_APPEND_SECONDS

    def _lose_answers(self, _target: str) -> None:
        self._cell.platform.faults.loses_answers = True

    def _restore_log(self, _target: str) -> None:
        self._cell.platform.faults.extra_append_seconds = 0.0
        self._cell.platform.faults.loses_answers = False
