"""Faults of a soaked cell: schedules drawn from a seed, and what carries them out."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Protocol

from onyxspoke.soak.events import (
    AnyCommand,
    CrashWorker,
    LinkMode,
    SetLateOrders,
    SetStoreFaults,
    StrikeLinks,
)
from onyxspoke.soak.links import choose_links
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


#: Planned work only: whatever is lost under these was lost by a planned stop.
PLANNED = frozenset({SoakFault.STOP_NODE, SoakFault.STOP_ALL_NODES})
#: Drawn only where it is asked for, so that the schedules of other seeds stay as they were.
_NOT_DRAWN = frozenset({SoakFault.STOP_ALL_NODES})
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


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a schedule; ``target`` is the number of a node, worker or link."""

    at: float
    fault: SoakFault
    seconds: float
    target: int


def draw_schedule(plan: SoakPlan) -> list[ScheduledFault]:
    """Return the schedule of a plan; the same one gives the same."""
    source = random.Random(f"soak/{plan.seed}")
    drawn = [fault for fault in SoakFault if fault not in _NOT_DRAWN]
    kinds = [SoakFault(kind) for kind in plan.kinds] or drawn
    kinds = [fault for fault in kinds if plan.with_proxy or fault not in _LINK_MODES]
    faults = []
    for _ in range(plan.fault_count):
        kind = source.choice(kinds)
        longest = LONGEST_LINK_SECONDS if kind in _LINK_MODES else LONGEST_SECONDS
        seconds = source.uniform(SHORTEST_SECONDS, longest)
        at = source.uniform(FIRST_SECONDS, max(FIRST_SECONDS, plan.fault_seconds - seconds))
        target = source.randrange(TARGETS)
        faults.append(ScheduledFault(round(at, 2), kind, round(seconds, 2), target))
    return sorted(faults, key=lambda item: item.at)


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
        match item.fault:
            case SoakFault.KILL_NODE | SoakFault.PAUSE_NODE | SoakFault.STOP_NODE:
                return self._strike_nodes(item, [item.target % self._plan.nodes])
            case SoakFault.KILL_ALL_NODES | SoakFault.PAUSE_ALL_NODES:
                return self._strike_nodes(item, list(range(self._plan.nodes)))
            case SoakFault.STOP_ALL_NODES:
                self._stop_all_nodes(STOP_GAPS[item.target % len(STOP_GAPS)])
            case SoakFault.CRASH_WORKERS:
                self._crash_workers(item)
            case SoakFault.WORKERS_LATE:
                self._change_late_orders(1)
                self._later(item.seconds, partial(self._change_late_orders, -1))
            case fault if fault in _LINK_MODES:
                names = choose_links(self._plan, item.target)
                self._send("proxy", StrikeLinks(names, _LINK_MODES[fault], item.seconds))
            case _:
                self._strike_store(_STORE_FAULTS[item.fault], item.seconds)
        return True

    def _strike_nodes(self, item: ScheduledFault, indices: list[int]) -> bool:
        strikes = {
            SoakFault.KILL_NODE: self._nodes.kill,
            SoakFault.KILL_ALL_NODES: self._nodes.kill,
            SoakFault.PAUSE_NODE: self._nodes.pause,
            SoakFault.PAUSE_ALL_NODES: self._nodes.pause,
            SoakFault.STOP_NODE: self._nodes.stop,
        }
        return any([strikes[item.fault](index, item.seconds) for index in indices])

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
