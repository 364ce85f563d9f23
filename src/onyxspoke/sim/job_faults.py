"""Faults of a simulated cluster, and schedules of them drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.placement.worker_record import EntryFault
from onyxspoke.sim.call_faults import STORE, CallFaults
from onyxspoke.sim.job_cluster import JobCluster, SimulatedNode, worker_index
from onyxspoke.sim.restart_faults import RestartFaults
from onyxspoke.sim.return_faults import ROUND_SECONDS as RETURN_ROUND_SECONDS
from onyxspoke.sim.return_faults import ReturnFaults
from onyxspoke.sim.stop_faults import StopFaults
from onyxspoke.sim.zone_faults import CUT_SECONDS, ZoneFaults

#: Share of the faults of nodes that strike one which decides for a shard.
HOLDER_SHARE = 0.7
#: Share of the connections between nodes that are reset at once.
RESET_SHARE = 0.55
#: Share of the pieces between nodes that are lost on their way at first.
LOSS_SHARE = 0.05
#: What is left of a worker's room, or what it grows to.
ROOM_SHARES = (0.3, 0.6, 1.5)
#: Of tenants' first quotas, what is left after a fall, and what there is after a rise.
FALLEN_QUOTA = 0.7
RISEN_QUOTA = 1.5


class JobFault(Enum):
    """What may be done to a cluster; the targets are drawn, most often the holder."""

    KILL_NODE = "kill_node"
    POWER_OFF_NODE = "power_off_node"
    PAUSE_NODE = "pause_node"
    STOP_NODE = "stop_node"
    CUT_NODE_FROM_STORE = "cut_node_from_store"
    CUT_NODE_FROM_NODES = "cut_node_from_nodes"
    CUT_NODE_FROM_WORKERS = "cut_node_from_workers"
    CUT_NODE_FROM_ALL = "cut_node_from_all"
    KILL_ALL_NODES = "kill_all_nodes"
    SILENCE_CONNECTIONS = "silence_connections"
    RESET_CONNECTIONS = "reset_connections"
    LOSSY_LINKS = "lossy_links"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_REFUSES = "store_refuses"
    STORE_LOSES = "store_loses"
    STORE_LATE = "store_late"
    KILL_WORKER = "kill_worker"
    DRAIN_WORKER = "drain_worker"
    WORKERS_LATE = "workers_late"
    WORKERS_HANG = "workers_hang"
    WORKERS_FAIL = "workers_fail"
    QUOTAS_FALL = "quotas_fall"
    QUOTAS_RISE = "quotas_rise"
    RESIZE_WORKERS = "resize_workers"
    DAMAGE_ENTRIES = "damage_entries"
    SUSPEND_ALL = "suspend_all"
    CRASH_WORKERS_AND_HOLDER = "crash_workers_and_holder"
    RESTART = "restart"
    RESTART_TWICE = "restart_twice"
    RESTART_BEHIND_CUT = "restart_behind_cut"
    RESTART_WITH_LATE_ORDERS = "restart_with_late_orders"
    LIST_FORMER_LIVES = "list_former_lives"
    LIST_WITHOUT_BIRTH = "list_without_birth"
    SLOW_LINKS = "slow_links"
    SLOW_LINKS_OF_NODE = "slow_links_of_node"
    CUT_ZONE_FROM_STORE = "cut_zone_from_store"
    STOP_ALL_NODES = "stop_all_nodes"
    CUT_WHILE_OTHERS_START = "cut_while_others_start"
    CUT_BEFORE_NODE_IS_ADDED = "cut_before_node_is_added"
    CUT_FROM_UNMET_NODE = "cut_from_unmet_node"
    CHANGE_HOLDERS_BEHIND_CUT = "change_holders_behind_cut"
    CLAIM_AGAIN = "claim_again"
    PASS_ON_AND_RETURN = "pass_on_and_return"


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a schedule."""

    at: float
    fault: JobFault
    seconds: float


#: What only a cell with tenants can be struck by.
OF_TENANTS = (JobFault.QUOTAS_FALL, JobFault.QUOTAS_RISE)
#: What happens to workers beyond kills: drawn only where it is asked for, so that schedules that
#: once broke something stay as they were.
OF_WORKERS = (
    JobFault.RESIZE_WORKERS,
    JobFault.DAMAGE_ENTRIES,
    JobFault.SUSPEND_ALL,
    JobFault.CRASH_WORKERS_AND_HOLDER,
)

#: What only workers that keep their names can be struck by.
OF_NAMES = (
    JobFault.RESTART,
    JobFault.RESTART_TWICE,
    JobFault.RESTART_BEHIND_CUT,
    JobFault.RESTART_WITH_LATE_ORDERS,
    JobFault.LIST_FORMER_LIVES,
    JobFault.LIST_WITHOUT_BIRTH,
)
#: What has nodes send calls again: drawn only for an overload.
OF_CALLS = (
    JobFault.SLOW_LINKS,
    JobFault.SLOW_LINKS_OF_NODE,
    JobFault.CUT_ZONE_FROM_STORE,
)
#: Planned stops that overlap: drawn only where they are asked for.
OF_STOPS = (JobFault.STOP_ALL_NODES,)
#: Cuts of the holder's zone: drawn only where they are asked for.
OF_ZONES = (
    JobFault.CUT_WHILE_OTHERS_START,
    JobFault.CUT_BEFORE_NODE_IS_ADDED,
    JobFault.CUT_FROM_UNMET_NODE,
    JobFault.CHANGE_HOLDERS_BEHIND_CUT,
)
#: Holders that get their shards back: drawn only where they are asked for.
OF_RETURNS = (JobFault.CLAIM_AGAIN, JobFault.PASS_ON_AND_RETURN)
#: Between two cuts of a schedule, in seconds: each is healed, and what it left is settled.
ZONE_ROUND_SECONDS = 24.0
#: What strikes a cell beside stops or cuts of zones.
SHORT_FAULTS = (
    JobFault.KILL_NODE,
    JobFault.RESET_CONNECTIONS,
    JobFault.SLOW_LINKS_OF_NODE,
    JobFault.STORE_DOWN,
    JobFault.STORE_SLOW,
    JobFault.STORE_LOSES,
)
#: Between two rounds of planned stops of a schedule, in seconds.
STOP_ROUND_SECONDS = 7.0
#: What strikes an overloaded cell beside these.
OF_OVERLOAD = (
    JobFault.PAUSE_NODE,
    JobFault.CUT_NODE_FROM_STORE,
    JobFault.CUT_NODE_FROM_NODES,
    JobFault.CUT_NODE_FROM_ALL,
    JobFault.SILENCE_CONNECTIONS,
    JobFault.RESET_CONNECTIONS,
    JobFault.LOSSY_LINKS,
    JobFault.STORE_DOWN,
    JobFault.STORE_SLOW,
)
#: Of the faults of an overloaded cell, so many have nodes send calls again.
OF_CALLS_SHARE = 0.85
#: Of those, slow links are drawn twice as often.
DRAWN_OF_CALLS = (
    *[JobFault.SLOW_LINKS] * 2,
    *[JobFault.SLOW_LINKS_OF_NODE] * 2,
    JobFault.CUT_ZONE_FROM_STORE,
)
#: Of the faults where workers keep their names, so many are of these kinds.
OF_NAMES_SHARE = 0.6


def draw_schedule(
    seed: int,
    length: float,
    count: int,
    with_tenants: bool = False,
    with_crashes: bool = False,
    with_restarts: bool = False,
) -> list[ScheduledFault]:
    """Return a schedule; the same seed gives the same one."""
    left_out = (() if with_tenants else OF_TENANTS) + (() if with_crashes else OF_WORKERS)
    left_out += OF_NAMES + OF_CALLS + OF_STOPS + OF_ZONES + OF_RETURNS
    kinds = [fault for fault in JobFault if fault not in left_out]
    source = random.Random(f"schedule/{seed}")
    if with_restarts:
        # Of all kinds, but mostly of those that this is about.
        weight = int(len(kinds) * OF_NAMES_SHARE / (1.0 - OF_NAMES_SHARE) / len(OF_NAMES))
        kinds += OF_NAMES * weight
    faults = [
        ScheduledFault(
            round(source.uniform(1.0, length), 2),
            source.choice(kinds),
            round(source.uniform(0.5, 7.0), 2),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda item: item.at)


def draw_overload_schedule(seed: int, length: float, count: int) -> list[ScheduledFault]:
    """Return a schedule of short faults for an overloaded cell; the same seed gives the same."""
    source = random.Random(f"overload/{seed}")
    faults = []
    for _ in range(count):
        kinds = DRAWN_OF_CALLS if source.random() < OF_CALLS_SHARE else OF_OVERLOAD
        at = round(source.uniform(0.5, length), 2)
        faults.append(ScheduledFault(at, source.choice(kinds), round(source.uniform(0.3, 2.5), 2)))
    return sorted(faults, key=lambda item: item.at)


def draw_stop_schedule(seed: int, length: float, count: int) -> list[ScheduledFault]:
    """Return rounds of planned stops and other faults beside; the same seed gives the same."""
    source = random.Random(f"stops/{seed}")
    rounds = int(length // STOP_ROUND_SECONDS)
    faults = [
        ScheduledFault(
            round(index * STOP_ROUND_SECONDS + source.uniform(0.5, 2.0), 2),
            JobFault.STOP_ALL_NODES,
            STOP_ROUND_SECONDS,
        )
        for index in range(rounds)
    ]
    faults += _draw_beside(source, length, count)
    return sorted(faults, key=lambda item: item.at)


def draw_zone_schedule(seed: int, length: float, count: int) -> list[ScheduledFault]:
    """Return cuts of the holder's zone and other faults beside; the same seed gives the same."""
    source = random.Random(f"zones/{seed}")
    faults = [
        ScheduledFault(
            round(index * ZONE_ROUND_SECONDS + source.uniform(2.0, 4.0), 2),
            source.choice(OF_ZONES),
            CUT_SECONDS[1],
        )
        for index in range(int(length // ZONE_ROUND_SECONDS))
    ]
    faults += _draw_beside(source, length, count)
    return sorted(faults, key=lambda item: item.at)


def draw_return_schedule(seed: int, length: float, count: int) -> list[ScheduledFault]:
    """Return holders that get their shards back, and other faults; a seed gives the same."""
    source = random.Random(f"returns/{seed}")
    faults = [
        ScheduledFault(
            round(index * RETURN_ROUND_SECONDS + source.uniform(1.0, 3.0), 2),
            source.choice(OF_RETURNS),
            RETURN_ROUND_SECONDS,
        )
        for index in range(int(length // RETURN_ROUND_SECONDS))
    ]
    faults += _draw_beside(source, length, count)
    return sorted(faults, key=lambda item: item.at)


def _draw_beside(source: random.Random, length: float, count: int) -> list[ScheduledFault]:
    """Return short faults beside those that a schedule is about."""
    return [
        ScheduledFault(
            round(source.uniform(0.5, length), 2),
            source.choice(SHORT_FAULTS),
            round(source.uniform(0.3, 2.5), 2),
        )
        for _ in range(count)
    ]


class FaultInjector:
    """Carries a schedule out."""

    def __init__(self, cluster: JobCluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f"targets/{seed}")
        self._actions: dict[JobFault, Callable[[float], None]] = {
            JobFault.KILL_NODE: self._kill_node,
            JobFault.POWER_OFF_NODE: self._power_off_node,
            JobFault.PAUSE_NODE: self._pause_node,
            JobFault.STOP_NODE: self._stop_node,
            JobFault.CUT_NODE_FROM_STORE: partial(self._cut_node, [STORE], False, False),
            JobFault.CUT_NODE_FROM_NODES: partial(self._cut_node, [], True, False),
            JobFault.CUT_NODE_FROM_WORKERS: partial(self._cut_node, [], False, True),
            JobFault.CUT_NODE_FROM_ALL: partial(self._cut_node, [STORE], True, True),
            JobFault.KILL_ALL_NODES: self._kill_all_nodes,
            JobFault.SILENCE_CONNECTIONS: self._silence_connections,
            JobFault.RESET_CONNECTIONS: self._reset_connections,
            JobFault.LOSSY_LINKS: self._lose_pieces,
            JobFault.STORE_DOWN: self._store_down,
            JobFault.STORE_SLOW: self._store_slow,
            JobFault.STORE_REFUSES: self._store_refuses,
            JobFault.STORE_LOSES: partial(self._store_loses, 0.0),
            JobFault.STORE_LATE: partial(self._store_loses, 2.0),
            JobFault.KILL_WORKER: self._kill_worker,
            JobFault.DRAIN_WORKER: self._drain_worker,
            JobFault.WORKERS_LATE: self._workers_late,
            JobFault.WORKERS_HANG: self._workers_hang,
            JobFault.WORKERS_FAIL: self._workers_fail,
            JobFault.QUOTAS_FALL: partial(self._change_quotas, FALLEN_QUOTA),
            JobFault.QUOTAS_RISE: partial(self._change_quotas, RISEN_QUOTA),
            JobFault.RESIZE_WORKERS: self._resize_workers,
            JobFault.DAMAGE_ENTRIES: self._damage_entries,
            JobFault.SUSPEND_ALL: self._suspend_all,
            JobFault.CRASH_WORKERS_AND_HOLDER: self._crash_workers_and_holder,
        }
        restarts = RestartFaults(cluster, self._random)
        self._actions |= {
            JobFault.RESTART: restarts.restart,
            JobFault.RESTART_TWICE: restarts.restart_twice,
            JobFault.RESTART_BEHIND_CUT: restarts.restart_behind_cut,
            JobFault.RESTART_WITH_LATE_ORDERS: restarts.restart_with_late_orders,
            JobFault.LIST_FORMER_LIVES: restarts.list_former_lives,
            JobFault.LIST_WITHOUT_BIRTH: restarts.list_without_birth,
        }
        calls = CallFaults(cluster, self._random, self._choose_node)
        self._actions |= {
            JobFault.SLOW_LINKS: calls.slow_links,
            JobFault.SLOW_LINKS_OF_NODE: calls.slow_links_of_node,
            JobFault.CUT_ZONE_FROM_STORE: calls.cut_zone_from_store,
        }
        self._actions[JobFault.STOP_ALL_NODES] = StopFaults(cluster, self._random).stop_all
        zones = ZoneFaults(cluster, self._random, self._choose_node)
        self._actions |= {
            JobFault.CUT_WHILE_OTHERS_START: zones.cut_while_others_start,
            JobFault.CUT_BEFORE_NODE_IS_ADDED: zones.cut_before_node_is_added,
            JobFault.CUT_FROM_UNMET_NODE: zones.cut_from_unmet_node,
            JobFault.CHANGE_HOLDERS_BEHIND_CUT: zones.change_holders_behind_cut,
        }
        returns = ReturnFaults(cluster, self._random, self._choose_node)
        self._actions[JobFault.CLAIM_AGAIN] = returns.claim_again
        self._actions[JobFault.PASS_ON_AND_RETURN] = returns.pass_on_and_return

    def schedule(self, faults: list[ScheduledFault]) -> None:
        """Have the faults happen in their time."""
        for fault in faults:
            self._cluster.time.schedule(fault.at, partial(self.inject, fault.fault, fault.seconds))

    def inject(self, fault: JobFault, seconds: float) -> None:
        """Have one fault happen now."""
        self._actions[fault](seconds)

    # Nodes

    def _choose_node(self) -> SimulatedNode | None:
        """Return a holder in most cases, else any node that is up."""
        holders = self._cluster.holders()
        if holders and self._random.random() < HOLDER_SHARE:
            return holders[0] if len(holders) == 1 else self._random.choice(holders)
        up = [node for node in self._cluster.nodes.values() if node.is_up]
        return self._random.choice(up) if up else None

    def _kill_node(self, seconds: float) -> None:
        node = self._choose_node()
        if node is not None:
            self._cluster.kill_node(node.name)
            self._later(0.5, partial(self._restart, node))

    def _power_off_node(self, seconds: float) -> None:
        node = self._choose_node()
        if node is not None:
            self._cluster.power_off_node(node.name)
            self._later(seconds, partial(self._restart, node))

    def _pause_node(self, seconds: float) -> None:
        node = self._choose_node()
        if node is not None:
            node.process.pause()
            self._later(seconds, node.process.resume)

    def _stop_node(self, seconds: float) -> None:
        node = self._choose_node()
        if node is None:
            return
        node.process.run(node.node.begin_stop)
        self._later(3.0, partial(self._cluster.kill_node, node.name))
        self._later(3.5, partial(self._restart, node))

    def _kill_all_nodes(self, seconds: float) -> None:
        for node in list(self._cluster.nodes.values()):
            if node.process.alive:
                self._cluster.kill_node(node.name)
                self._later(seconds, partial(self._restart, node))

    def _cut_node(
        self, places: list[str], from_nodes: bool, from_workers: bool, seconds: float
    ) -> None:
        node = self._choose_node()
        if node is None:
            return
        cut = list(places)
        if from_nodes:
            cut += [other.host for other in self._cluster.nodes.values() if other is not node]
        if from_workers:
            cut += [worker_id for worker_id in self._cluster.pool.workers]
        self._cluster.cut(node.host, cut)
        self._later(seconds, partial(self._cluster.heal, node.host, cut))

    # Connections between nodes

    def _silence_connections(self, seconds: float) -> None:
        self._cluster.network.silence_connections()

    def _reset_connections(self, seconds: float) -> None:
        self._cluster.network.reset_connections(RESET_SHARE)

    def _lose_pieces(self, seconds: float) -> None:
        network = self._cluster.network
        network.loss_share = LOSS_SHARE
        self._later(seconds, lambda: setattr(network, "loss_share", 0.0))

    def _restart(self, node: SimulatedNode) -> None:
        present = self._cluster.nodes[node.name]
        if present is node or not present.process.alive:
            if present.process.alive:
                self._cluster.kill_node(node.name)
            self._cluster.start_node(node.name)

    # Store

    def _store_down(self, seconds: float) -> None:
        faults = self._cluster.store.faults
        faults.is_down = True
        self._later(seconds, lambda: setattr(faults, "is_down", False))

    def _store_slow(self, seconds: float) -> None:
        faults = self._cluster.store.faults
        faults.extra_seconds = 0.25
        self._later(seconds, lambda: setattr(faults, "extra_seconds", 0.0))

    def _store_refuses(self, seconds: float) -> None:
        node = self._choose_node()
        if node is None:
            return
        refuses = self._cluster.store.faults.refuses
        refuses.add(node.name)
        self._later(seconds, lambda: refuses.discard(node.name))

    def _store_loses(self, late_seconds: float, seconds: float) -> None:
        faults = self._cluster.store.faults
        faults.loses_share = 0.35
        faults.late_seconds = late_seconds
        self._later(seconds, lambda: setattr(faults, "loses_share", 0.0))

    # Workers

    def _choose_workers(self, share: float) -> list[str]:
        up = [worker.worker_id for worker in self._cluster.pool.workers.values() if worker.is_up]
        return self._random.sample(up, max(1, int(len(up) * share)))

    def _kill_worker(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.2):
            self._cluster.kill_worker(worker_id)
            self._later(seconds, partial(self._add_worker, worker_id))

    def _drain_worker(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.2):
            self._cluster.drain_worker(worker_id, 2.5)
            self._later(2.5 + seconds, partial(self._add_worker, worker_id))

    def _add_worker(self, worker_id: str) -> None:
        if not self._cluster.pool.workers[worker_id].is_up:
            self._cluster.add_worker(worker_index(worker_id))

    def _workers_late(self, seconds: float) -> None:
        for worker in list(self._cluster.pool.workers.values()):
            worker.faults.late_share = 0.1
            self._later(seconds, partial(setattr, worker.faults, "late_share", 0.0))

    def _workers_hang(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.2):
            worker = self._cluster.pool.workers[worker_id]
            worker.faults.hangs = True
            # What stands still does so for good; the worker is replaced.
            self._later(seconds, partial(self._cluster.kill_worker, worker_id))
            self._later(seconds + 0.5, partial(self._add_worker, worker_id))

    def _workers_fail(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.2):
            worker = self._cluster.pool.workers[worker_id]
            worker.faults.fails_all = True
            self._later(seconds, partial(setattr, worker.faults, "fails_all", False))

    def _resize_workers(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.4):
            former = self._cluster.pool.workers[worker_id].record.capacity
            share = self._random.choice(ROOM_SHARES)
            self._cluster.resize_worker(
                worker_id, ResourceVector(*(int(share * item) for item in former))
            )
            self._later(seconds, partial(self._restore_room, worker_id, former))

    def _restore_room(self, worker_id: str, former: ResourceVector) -> None:
        if self._cluster.pool.workers[worker_id].is_up:
            self._cluster.resize_worker(worker_id, former)

    def _damage_entries(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.4):
            fault = self._random.choice(list(EntryFault))
            self._cluster.directory.damage(worker_id, fault)
            self._later(seconds, partial(self._write_entry, worker_id))

    def _write_entry(self, worker_id: str) -> None:
        worker = self._cluster.pool.workers[worker_id]
        if worker.is_up:
            self._cluster.directory.list(worker.record)

    def _suspend_all(self, seconds: float) -> None:
        """Suspend all machines of the scheduler, within 0.2 s of each other."""
        for node in list(self._cluster.nodes.values()):
            if node.process.alive:
                self._later(self._random.uniform(0.0, 0.2), node.process.pause)
                self._later(seconds + self._random.uniform(0.3, 1.0), node.process.resume)

    def _crash_workers_and_holder(self, seconds: float) -> None:
        for worker_id in self._choose_workers(0.3):
            self._cluster.crash_worker(worker_id)
        self._kill_node(seconds)

    # Operators

    def _change_quotas(self, factor: float, seconds: float) -> None:
        self._cluster.change_quotas(factor)

    def _later(self, seconds: float, function: Callable[[], object]) -> None:
        self._cluster.time.schedule(seconds, function)
