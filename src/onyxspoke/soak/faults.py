"""Faults of a soaked cell: schedules drawn from a seed, and what carries them out."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Protocol

import msgspec

from onyxspoke.soak.events import (
    AnyCommand,
    CrashWorker,
    LinkMode,
    SetLateOrders,
    SetStoreFaults,
    StrikeLinks,
)
from onyxspoke.soak.links import (
    choose_links,
    choose_workers,
    cut_peers,
    cut_store,
    cut_zone,
)
from onyxspoke.soak.plan import SoakPlan

SHORTEST_SECONDS = 0.5
LONGEST_SECONDS = 7.0
#: A link is struck for longer: leases are to end behind it.
LONGEST_LINK_SECONDS = 14.0
#: The first fault strikes so long after the first job.
FIRST_SECONDS = 2.0
CRASHED_SHARE = 0.3
#: Targets are drawn from so many numbers, and taken modulo what there is.
TARGETS = 5_040
LATE_SHARE = 0.1
SLOW_SECONDS = 0.25
LOST_SHARE = 0.35
LATE_SECONDS = 2.0


class SoakFault(Enum):
    """What may be done to a cell."""

    KILL_NODE = "kill_node"
    PAUSE_NODE = "pause_node"
    STOP_NODE = "stop_node"
    STOP_ALL_NODES = "stop_all_nodes"
    KILL_ALL_NODES = "kill_all_nodes"
    PAUSE_ALL_NODES = "pause_all_nodes"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_LATE = "store_late"
    CRASH_WORKERS = "crash_workers"
    WORKERS_LATE = "workers_late"
    LINKS_DELAY = "links_delay"
    LINKS_RESET = "links_reset"
    LINKS_SILENCE = "links_silence"
    LINKS_CUT_OUT = "links_cut_out"
    LINKS_CUT_BACK = "links_cut_back"
    CUT_ZONE = "cut_zone"
    CUT_HOLDER_ZONE = "cut_holder_zone"
    CUT_NODE = "cut_node"
    CUT_WORKERS = "cut_workers"
    HOLDER_LOSES_STORE = "holder_loses_store"
    RESTART_HOLDER = "restart_holder"
    RESTART_OTHERS = "restart_others"
    PAUSE_OTHERS = "pause_others"
    RESTART_ALL_NODES = "restart_all_nodes"


#: Planned work only: whatever is lost under these was lost by a planned stop.
PLANNED = frozenset({SoakFault.STOP_NODE, SoakFault.STOP_ALL_NODES})
#: Drawn only where it is asked for, so that the schedules of other seeds stay as they were.
_NOT_DRAWN = frozenset(
    {
        SoakFault.STOP_ALL_NODES,
        SoakFault.CUT_ZONE,
        SoakFault.CUT_HOLDER_ZONE,
        SoakFault.CUT_NODE,
        SoakFault.CUT_WORKERS,
        SoakFault.HOLDER_LOSES_STORE,
        SoakFault.RESTART_HOLDER,
        SoakFault.RESTART_OTHERS,
        SoakFault.PAUSE_OTHERS,
        SoakFault.RESTART_ALL_NODES,
    }
)
#: Struck by links that only a cell of several zones has.
OF_ZONES = frozenset({SoakFault.CUT_ZONE, SoakFault.CUT_HOLDER_ZONE, SoakFault.CUT_NODE})
#: Lengths of faults that are as long as leases, or as short as a supervisor's restart, in seconds.
_LENGTHS = {
    SoakFault.CUT_WORKERS: (5.0, 9.0),
    SoakFault.HOLDER_LOSES_STORE: (4.0, 9.0),
    SoakFault.RESTART_HOLDER: (0.3, 0.8),
    SoakFault.RESTART_OTHERS: (0.3, 0.8),
    SoakFault.RESTART_ALL_NODES: (0.3, 0.8),
}
#: Between the stops of two nodes where all are stopped, in seconds.
STOP_GAPS = (0.0, 0.05, 0.4, 1.25)
#: A node that was stopped with all others starts again after so long.
SHORT_DOWN_SECONDS = 0.5

_STORE_FAULTS = {
    SoakFault.STORE_SILENT: SetStoreFaults(is_down=True),
    SoakFault.STORE_SLOW: SetStoreFaults(extra_seconds=SLOW_SECONDS),
    SoakFault.STORE_LOSES: SetStoreFaults(loses_share=LOST_SHARE),
    SoakFault.STORE_LATE: SetStoreFaults(loses_share=LOST_SHARE, late_seconds=LATE_SECONDS),
}


_LINK_MODES = {
    SoakFault.LINKS_DELAY: LinkMode.DELAY,
    SoakFault.LINKS_RESET: LinkMode.RESET,
    SoakFault.LINKS_SILENCE: LinkMode.SILENCE,
    SoakFault.LINKS_CUT_OUT: LinkMode.CUT_OUT,
    SoakFault.LINKS_CUT_BACK: LinkMode.CUT_BACK,
}


#: Faults that strike the node that decides, or all but that one.
_OF_HOLDER = frozenset(
    {
        SoakFault.CUT_HOLDER_ZONE,
        SoakFault.HOLDER_LOSES_STORE,
        SoakFault.RESTART_HOLDER,
        SoakFault.RESTART_OTHERS,
        SoakFault.PAUSE_OTHERS,
    }
)
_ONE_NODE = frozenset({SoakFault.KILL_NODE, SoakFault.PAUSE_NODE, SoakFault.STOP_NODE})
_ALL_NODES = frozenset(
    {SoakFault.KILL_ALL_NODES, SoakFault.PAUSE_ALL_NODES, SoakFault.RESTART_ALL_NODES}
)
_PAUSES = frozenset({SoakFault.PAUSE_NODE, SoakFault.PAUSE_ALL_NODES, SoakFault.PAUSE_OTHERS})
_CUTS = frozenset({SoakFault.CUT_ZONE, SoakFault.CUT_NODE, SoakFault.CUT_WORKERS})


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a schedule; ``target`` is the number of a node, worker or link."""

    at: float
    fault: SoakFault
    seconds: float
    target: int = 0


def draw_schedule(plan: SoakPlan) -> list[ScheduledFault]:
    """Return the schedule of a plan; the same one gives the same."""
    source = random.Random(f"soak/{plan.seed}")
    drawn = [fault for fault in SoakFault if fault not in _NOT_DRAWN]
    kinds = [SoakFault(kind) for kind in plan.kinds] or drawn
    kinds = [fault for fault in kinds if plan.with_proxy or fault not in _LINK_MODES]
    faults = []
    for _ in range(plan.fault_count):
        kind = source.choice(kinds)
        seconds = source.uniform(*_lengths_of(kind))
        at = source.uniform(FIRST_SECONDS, max(FIRST_SECONDS, plan.fault_seconds - seconds))
        target = source.randrange(TARGETS)
        faults.append(ScheduledFault(round(at, 2), kind, round(seconds, 2), target))
    return sorted(faults, key=lambda item: item.at)


def _lengths_of(kind: SoakFault) -> tuple[float, float]:
    """Return the least and the greatest length of a fault, in seconds."""
    longest = LONGEST_LINK_SECONDS if kind in _LINK_MODES or kind in OF_ZONES else LONGEST_SECONDS
    return _LENGTHS.get(kind, (SHORTEST_SECONDS, longest))


def read_schedule(path: Path) -> list[ScheduledFault]:
    """Return the schedule that a file holds: a list of ``{"at", "fault", "seconds", "target"}``."""
    schedule = msgspec.json.decode(path.read_bytes(), type=list[ScheduledFault])
    return sorted(schedule, key=lambda item: item.at)


def is_planned_only(plan: SoakPlan) -> bool:
    """Return whether only a planned stop can end the connection of a call that was sent.

    The proxy takes calls also while a node's process is being started, and ends them then.
    """
    is_planned = bool(plan.kinds) and all(SoakFault(kind) in PLANNED for kind in plan.kinds)
    return is_planned and not plan.with_proxy


class NodeControl(Protocol):
    """The processes of the nodes; each fault says whether it met a node that was up."""

    def kill(self, index: int, down_seconds: float) -> bool:
        """Kill a node that is up, and start it again later."""

    def pause(self, index: int, seconds: float) -> bool:
        """Pause a node that is up."""

    def stop(self, index: int, down_seconds: float) -> bool:
        """Stop a node that is up as an operator does, and start it again later."""

    def holder(self) -> int | None:
        """Return the node that decides for the first shard, if it is up."""


class FaultInjector:
    """Carries a schedule out."""

    def __init__(
        self,
        plan: SoakPlan,
        nodes: NodeControl,
        send: Callable[[str, AnyCommand], None],
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self._plan = plan
        self._nodes = nodes
        self._send = send
        self._later = later
        self._store_faults: list[SetStoreFaults] = []
        self._late_orders = 0
        self.injected = 0

    def inject(self, item: ScheduledFault) -> None:
        """Have one fault happen now; one that meets no node that is up does not count."""
        if self._strike(item):
            self.injected += 1

    def _strike(self, item: ScheduledFault) -> bool:
        if item.fault in _OF_HOLDER:
            holder = self._nodes.holder()
            return holder is not None and self._strike_holder(item, holder)
        if item.fault in _ONE_NODE:
            return self._strike_nodes(item, [item.target % self._plan.nodes])
        if item.fault in _ALL_NODES:
            return self._strike_nodes(item, list(range(self._plan.nodes)))
        if item.fault in _CUTS or item.fault in _LINK_MODES:
            self._strike_links(self._choose_strikes(item))
        else:
            self._strike_cell(item)
        return True

    def _strike_cell(self, item: ScheduledFault) -> None:
        """Strike what is not a single node, nor the way to one."""
        match item.fault:
            case SoakFault.STOP_ALL_NODES:
                self._stop_all_nodes(STOP_GAPS[item.target % len(STOP_GAPS)])
            case SoakFault.CRASH_WORKERS:
                self._crash_workers(item)
            case SoakFault.WORKERS_LATE:
                self._change_late_orders(1)
                self._later(item.seconds, partial(self._change_late_orders, -1))
            case _:
                self._strike_store(_STORE_FAULTS[item.fault], item.seconds)

    def _choose_strikes(self, item: ScheduledFault) -> list[StrikeLinks]:
        plan = self._plan
        match item.fault:
            case SoakFault.CUT_ZONE:
                return cut_zone(plan, item.target % plan.zones, item.seconds)
            case SoakFault.CUT_NODE:
                return cut_peers(plan, [item.target % plan.nodes], item.seconds)
            case SoakFault.CUT_WORKERS:
                names = choose_workers(plan, item.target)
                return [StrikeLinks(names, LinkMode.CUT, item.seconds)]
            case _:
                names = choose_links(plan, item.target)
                return [StrikeLinks(names, _LINK_MODES[item.fault], item.seconds)]

    def _strike_holder(self, item: ScheduledFault, holder: int) -> bool:
        """Strike the node that decides, or all others."""
        plan = self._plan
        match item.fault:
            case SoakFault.HOLDER_LOSES_STORE:
                self._strike_links(cut_store(holder, item.seconds))
            case SoakFault.CUT_HOLDER_ZONE:
                self._strike_links(cut_zone(plan, holder % plan.zones, item.seconds))
            case SoakFault.RESTART_HOLDER:
                return self._strike_nodes(item, [holder])
            case _:
                others = [index for index in range(plan.nodes) if index != holder]
                return self._strike_nodes(item, others)
        return True

    def _strike_links(self, strikes: list[StrikeLinks]) -> None:
        for strike in strikes:
            self._send("proxy", strike)

    def _strike_nodes(self, item: ScheduledFault, indices: list[int]) -> bool:
        strike: Callable[[int, float], bool] = self._nodes.kill
        if item.fault in _PAUSES:
            strike = self._nodes.pause
        elif item.fault is SoakFault.STOP_NODE:
            strike = self._nodes.stop
        return any([strike(index, item.seconds) for index in indices])

    def _stop_all_nodes(self, gap_seconds: float) -> None:
        for index in range(self._plan.nodes):
            self._later(index * gap_seconds, partial(self._stop_node, index))

    def _stop_node(self, index: int) -> None:
        self._nodes.stop(index, SHORT_DOWN_SECONDS)

    def _crash_workers(self, item: ScheduledFault) -> None:
        for number in range(max(1, int(self._plan.workers * CRASHED_SHARE))):
            index = (item.target + number) % self._plan.workers
            self._send("workers", CrashWorker(index, item.seconds))

    def _change_late_orders(self, change: int) -> None:
        self._late_orders += change
        self._send("workers", SetLateOrders(LATE_SHARE if self._late_orders else 0.0))

    def _strike_store(self, faults: SetStoreFaults, seconds: float) -> None:
        self._store_faults.append(faults)
        self._tell_store()
        self._later(seconds, partial(self._heal_store, faults))

    def _heal_store(self, faults: SetStoreFaults) -> None:
        self._store_faults.remove(faults)
        self._tell_store()

    def _tell_store(self) -> None:
        active = [SetStoreFaults(), *self._store_faults]
        command = SetStoreFaults(
            is_down=any(item.is_down for item in active),
            extra_seconds=max(item.extra_seconds for item in active),
            loses_share=max(item.loses_share for item in active),
            late_seconds=max(item.late_seconds for item in active),
        )
        self._send("store", command)
