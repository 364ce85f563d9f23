"""Nodes in virtual time over stand-ins for everything outside them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from msgspec.structs import replace

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy, ResourceVector
from onyxspoke.core.jobs.policy import PolicySet, ServicePolicy
from onyxspoke.core.placement.worker_record import WorkerListing, WorkerRecord
from onyxspoke.core.shard.calls import Call, CallReply
from onyxspoke.core.shard.context import ShardOptions
from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.core.tenants.keys import KeyRing
from onyxspoke.core.tenants.policy import TenantName, TenantPolicy
from onyxspoke.kit.jobs.audit import JobAudit, Violation
from onyxspoke.kit.jobs.platform import (
    FakeAdvice,
    FakeAdviceClient,
    FakeConfiguration,
    FakeConfigurationClient,
    FakeDirectory,
    FakeDirectoryClient,
)
from onyxspoke.kit.jobs.store import FakeStore, FakeStoreClient
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
from onyxspoke.kit.jobs.workers import FakeWorker, FakeWorkerPool, WorkOptions
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.node import Node
from onyxspoke.node.node_ports import NodePorts
from onyxspoke.node.planned_stop import PlannedStop
from onyxspoke.node.settings import Address, NodeSettings
from onyxspoke.ports.configuration import CellConfiguration
from onyxspoke.sim.virtual_network import LinkOptions, VirtualNetwork
from onyxspoke.sim.virtual_reactor import VirtualNode, VirtualTime

PEER_PORT = 7_700
SERVICE = "service"
DELAY_SECONDS = 0.0005
START_SECONDS = 0.25
#: A configuration is in force everywhere after so long, longer where the store is disturbed.
APPLY_SECONDS = 12.0
LARGE_WEIGHT = 4.0
WORKER_CAPACITY = ResourceVector(16_000, 32_768, 0)
#: Workers on which every step may run, so that none waits for good.
ALWAYS_GOOD = ("w0.", "w1.", "w2.", "w3.")
#: A worker that a task crashed is back, as another life, after so long.
REBIRTH_SECONDS = 3.0
#: Time of day at the first virtual second, in milliseconds from 1970.
EPOCH_MS = 1_700_000_000_000
#: The directory drops the entry of a life that is silent after so long.
ENTRY_SECONDS = 4.5
_MILLISECONDS = 1_000.0


@dataclass(slots=True)
class ClusterOptions:
    """Size and nature of a simulated cluster.

    ``kinds`` holds one letter a kind of worker; ``large_nodes`` of the nodes, the first ones, have
    four times the processor of the others.  Workers that ``keep_names`` start again under the name
    that they had, and tell when they started; others come back under a new name.
    ``maximum_hold_ms`` is the longest lease that a worker grants.
    """

    seed: int = 1
    nodes: int = 4
    workers: int = 8
    with_advice: bool = True
    work: WorkOptions | None = None
    rack_size: int = 4
    kinds: str = "ab"
    workers_per_shard: int = 400
    store_budget: StoreBudget = field(default_factory=StoreBudget)
    always_good: tuple[str, ...] = ALWAYS_GOOD
    large_nodes: int = 0
    tenants: tuple[TenantPolicy, ...] = ()
    keep_names: bool = False
    load: LoadOptions = field(default_factory=LoadOptions)
    maximum_hold_ms: int = 6_000


class SimulatedPath:
    """The way between one node's life and the stand-ins; implements ``Path``."""

    def __init__(self, cluster: JobCluster, node: VirtualNode, host: str) -> None:
        self._cluster = cluster
        self._node = node
        self._host = host

    def to_outside(self, target: str, function: Callable[[], Any]) -> None:
        """Run a function at a stand-in, unless the way to it is cut.

        What a process that stands still has decided leaves as it goes on.
        """
        if self._node.pause_at_call_to == target:
            self._node.pause_at_call_to = None
            self._node.pause()
        if self._node.paused:
            self._node.run(partial(self.to_outside, target, function))
        elif self._node.alive and not self._cluster.is_cut(self._host, target):
            self._cluster.time.schedule(DELAY_SECONDS, function)

    def to_node(self, source: str, function: Callable[[], Any]) -> None:
        """Run a function in the node, unless the way from there is cut."""
        if not self._cluster.is_cut(self._host, source):
            self._cluster.time.schedule(DELAY_SECONDS, lambda: self._node.run(function))


@dataclass(slots=True)
class SimulatedNode:
    """One life of a node's process."""

    name: str
    host: str
    process: VirtualNode
    node: Node

    @property
    def is_up(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.process.alive and not self.process.paused

    @property
    def is_holding(self) -> bool:
        """Whether the node decides for the first shard."""
        return self.is_up and self.node.seats[0].is_holding


class JobCluster:
    """All nodes of a cell, and the stand-ins outside."""

    def __init__(self, options: ClusterOptions) -> None:
        self.options = options
        self.time = VirtualTime()
        self.random = random.Random(options.seed)
        self.network = VirtualNetwork(
            self.time, random.Random(options.seed + 1), LinkOptions(DELAY_SECONDS, 0.0002, 2.0)
        )
        work = options.work if options.work is not None else WorkOptions(seed=options.seed)
        self.audit = JobAudit(self.time)
        self.store = FakeStore(self.time, random.Random(options.seed + 2), options.store_budget)
        self.pool = FakeWorkerPool(
            self.time,
            random.Random(options.seed + 3),
            self.audit,
            work,
            maximum_hold_ms=options.maximum_hold_ms,
        )
        self.pool.on_crash = self.crash_worker
        self.directory = FakeDirectory(self.time)
        self.advice = FakeAdvice(
            self.time, good_share=0.5, seconds=0.01, always_good=options.always_good
        )
        self.configuration = FakeConfiguration(
            make_configuration(1, options.with_advice, options.tenants), self.store
        )
        self.audit.quotas = {tenant.name: tenant.quota for tenant in options.tenants}
        self.nodes: dict[str, SimulatedNode] = {}
        self._cuts: set[frozenset[str]] = set()
        #: Calls without a reply, by the process that took them.
        self._open_calls: dict[str, int] = {}
        self._lives = 0
        #: Metrics of every life of a node.
        self._metrics: list[NodeMetrics] = []
        #: How many exceptions the nodes' schedulers may raise before :meth:`run` fails.
        self.expected_internal_errors = 0
        self._worker_lives = 0
        #: When a worker last came or went.
        self.disturbed_at = 0.0

    # Building

    def start(self) -> None:
        """Start every worker and every node."""
        for index in range(self.options.workers):
            self.add_worker(index)
        for index in range(self.options.nodes):
            self.start_node(f"node-{index}")

    def add_worker(self, index: int) -> WorkerRecord:
        """Start a new life of a worker, under a new name or the one it had."""
        self._worker_lives += 1
        self.disturbed_at = self.time.now()
        keeps_name = self.options.keep_names
        rack = f"r1-{index // self.options.rack_size}"
        kinds = self.options.kinds
        record = WorkerRecord(
            worker_id=f"w{index}.{0 if keeps_name else self._worker_lives}",
            host=f"10.9.0.{index}",
            port=8_000,
            service=SERVICE,
            zone="zone",
            capacity=WORKER_CAPACITY,
            kind=kinds[index % len(kinds)],
            rack=rack,
            labels=(kinds[index % len(kinds)], rack),
            born_ms=EPOCH_MS + int(self.time.now() * _MILLISECONDS) if keeps_name else 0,
        )
        self.pool.add(record)
        self.directory.list(record)
        return record

    def start_node(self, name: str) -> SimulatedNode:
        """Start a life of a node."""
        self._lives += 1
        host = f"host-{name}"
        # Every host is a zone of its own, so that single hosts can be cut off.
        process = VirtualNode(self.time, f"{name}.{self._lives}", host)
        options = self.options
        path = SimulatedPath(self, process, host)
        is_large = int(name.rpartition("-")[2]) < options.large_nodes
        weight = LARGE_WEIGHT if is_large else 1.0
        identity = NodeIdentity(incarnation=process.name, host=host, port=PEER_PORT, weight=weight)
        ports = NodePorts(
            store=FakeStoreClient(self.store, name, path),
            orders=FakeWorkerOrders(self.pool, name, path),
            directory=FakeDirectoryClient(self.directory, path),
            advice=FakeAdviceClient(self.advice, path),
            configuration=FakeConfigurationClient(self.configuration, name, path),
        )
        node = Node(
            make_node_settings(name, host, options),
            identity,
            self.network.network_of(process),
            process.reactor,
            lambda: self.time.now() * _MILLISECONDS,
            random.Random(f"{self.options.seed}/{process.name}").random,
            ports,
        )
        simulated = SimulatedNode(name, host, process, node)
        self.nodes[name] = simulated
        self._metrics.append(node.metrics)
        node.listen()
        self.time.schedule(START_SECONDS, lambda: process.run(node.startService))
        return simulated

    def change_quotas(self, factor: float) -> None:
        """Put a version in force in which every tenant has so many times its first quota.

        For a while the former version may still be gone by.
        """
        former = self.configuration.configuration
        tenants = tuple(
            replace(
                tenant, quota=ResourceVector(*(int(amount * factor) for amount in tenant.quota))
            )
            for tenant in self.options.tenants
        )
        version = former.version + 1
        self.configuration.put(make_configuration(version, self.options.with_advice, tenants))
        now = {tenant.name: tenant.quota for tenant in tenants}
        for name, quota in now.items():
            before = self.audit.quotas[name]
            self.audit.quotas[name] = ResourceVector(*map(max, quota, before))
        self.time.schedule(APPLY_SECONDS, partial(self._forget_quotas, version, now))

    def _forget_quotas(self, version: int, now: dict[TenantName, ResourceVector]) -> None:
        """Go by a version alone, unless there is a later one by now."""
        if self.configuration.configuration.version == version:
            self.audit.quotas = now

    # Faults

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether nothing gets through between two places."""
        return frozenset((first, second)) in self._cuts

    def cut(self, host: str, places: list[str]) -> None:
        """Cut a host off from places: other hosts, workers, the store."""
        for place in places:
            self._cuts.add(frozenset((host, place)))
            self.network.cut(host, place)

    def heal(self, host: str, places: list[str]) -> None:
        """Restore the ways between a host and places."""
        for place in places:
            self._cuts.discard(frozenset((host, place)))
            self.network.heal(host, place)

    def kill_node(self, name: str) -> None:
        """End a node's process without notice; its connections are reset."""
        node = self.nodes[name]
        node.process.die()
        self.network.drop_connections_of(node.process)

    def stop_node(self, name: str, on_ended: Callable[[], None]) -> None:
        """Stop a node as its platform does: by a signal, and by a kill when its grace is over."""
        simulated = self.nodes[name]
        process = simulated.process
        is_over = False

        def end() -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self.kill_node(name)
                on_ended()

        def handle_stopped() -> None:
            count = self._open_calls.get(process.name, 0)
            if count:
                self.audit.note(Violation.CUT_BY_STOP, f"{count} calls at {process.name}")
            end()

        def handle_grace_over() -> None:
            if not is_over and process.alive:
                self.audit.note(Violation.STOP_OVERDUE, process.name)
                end()

        stop = PlannedStop(simulated.node, process.reactor, (), handle_stopped)
        process.run(stop.begin)
        self.time.schedule(simulated.node.settings.stop_grace_seconds, handle_grace_over)

    def power_off_node(self, name: str) -> None:
        """End a node's process and its machine; its connections fall silent."""
        self.nodes[name].process.die()

    def kill_worker(self, worker_id: str) -> None:
        """End a worker's life; the directory notices later."""
        self._end_worker(self.pool.workers[worker_id], is_planned=False)

    def crash_worker(self, worker_id: str, seconds: float = REBIRTH_SECONDS) -> None:
        """End a worker's life; after so long another one answers at its address."""
        self.kill_worker(worker_id)
        self.time.schedule(seconds, partial(self.replace_worker, worker_id))

    def replace_worker(self, worker_id: str) -> None:
        """Start the life that follows one that has ended."""
        if self.pool.workers[worker_id].is_up:
            return
        self.add_worker(worker_index(worker_id))
        if not self.options.keep_names:
            self.pool.replaced.add(worker_id)

    def _end_worker(self, worker: FakeWorker, *, is_planned: bool) -> None:
        self.disturbed_at = self.time.now()
        if worker.is_up:
            worker.die(is_planned=is_planned)
        self.time.schedule(ENTRY_SECONDS, partial(self._drop_entry, worker))

    def _drop_entry(self, worker: FakeWorker) -> None:
        """Drop the entry of a life, unless the next one has written it anew."""
        if self.pool.workers[worker.worker_id] is worker:
            self.directory.drop(worker.worker_id)

    def resize_worker(self, worker_id: str, capacity: ResourceVector) -> None:
        """Change a worker's room; the directory tells it."""
        worker = self.pool.workers[worker_id]
        former = worker.record.capacity
        worker.record = replace(worker.record, capacity=capacity)
        self.audit.handle_resized(worker, former)
        listed = self.directory.records.get(worker_id)
        if listed is not None:
            self.directory.list(replace(listed, capacity=capacity))

    def drain_worker(self, worker_id: str, seconds: float) -> None:
        """Let a worker leave."""
        record = self.directory.records.get(worker_id)
        if record is None:
            return
        remaining_ms = int(seconds * _MILLISECONDS)
        self.directory.list(
            replace(record, listing=WorkerListing.DRAINING, remaining_ms=remaining_ms)
        )
        worker = self.pool.workers[worker_id]
        self.time.schedule(seconds, partial(self._end_worker, worker, is_planned=True))

    # Looking

    def holder(self) -> SimulatedNode | None:
        """Return the node that decides for the first shard."""
        return next((node for node in self.nodes.values() if node.is_holding), None)

    def holders(self) -> list[SimulatedNode]:
        """Return the nodes that decide for some shard, once for each."""
        return [
            node
            for node in self.nodes.values()
            if node.is_up
            for seat in node.node.seats.values()
            if seat.is_holding
        ]

    def run(self, seconds: float) -> None:
        """Let time pass; raise if a node's scheduler raised an exception that is not expected."""
        self.time.run_until(self.time.now() + seconds)
        errors = sum(metrics.internal_error_count for metrics in self._metrics)
        if errors > self.expected_internal_errors:
            raise AssertionError(f"{errors} internal errors")

    def call(
        self,
        node: SimulatedNode,
        job_id: str,
        call: Call,
        on_reply: Callable[[CallReply | None], None],
        seconds: float = 3.0,
    ) -> None:
        """Make a call at a node; ``None`` is told where its process ends first."""
        is_over = False
        process = node.process.name
        self._open_calls[process] = self._open_calls.get(process, 0) + 1

        def finish(reply: CallReply | None) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._open_calls[process] -= 1
                on_reply(reply)

        node.process.run(lambda: node.node.submit_call(job_id, call, finish, seconds))
        self.time.schedule(seconds + 0.2, lambda: finish(None))


def make_configuration(
    version: int, with_advice: bool, tenants: tuple[TenantPolicy, ...] = ()
) -> CellConfiguration:
    """Return a configuration with three queues."""
    advice = AdvicePolicy(5.0, 0.2, 1_500.0) if with_advice else None
    queues = {
        name: QueuePolicy(
            name=name,
            service=SERVICE,
            priority=priority,
            max_attempts=3,
            stretch=2.0,
            target_latency_ms=500,
            advice=advice,
        )
        for priority, name in enumerate(("urgent", "normal", "patient"))
    }
    policy = PolicySet(
        version=version,
        queues=queues,
        services={SERVICE: ServicePolicy(name=SERVICE)},
        tenants={tenant.name: tenant for tenant in tenants},
    )
    keys = KeyRing({key_of(tenant.name): tenant.name for tenant in tenants}, bool(tenants))
    return CellConfiguration(policy=policy, keys=keys, raw=str(version).encode())


def worker_index(worker_id: str) -> int:
    """Return which of the cell's workers a life belongs to."""
    return int(worker_id.partition(".")[0].removeprefix("w"))


def key_of(tenant: TenantName) -> str:
    """Return the key of a simulated tenant."""
    return f"key-of-{tenant}"


def make_node_settings(name: str, host: str, options: ClusterOptions) -> NodeSettings:
    """Return the settings of a simulated node."""
    return NodeSettings(
        node_name=name,
        host=host,
        zone="zone",
        callers=Address(host, 80),
        readiness=Address(host, 81),
        peer_port=PEER_PORT,
        metrics_port=PEER_PORT + 1,
        operator_port=PEER_PORT + 2,
        shard_options=ShardOptions(
            stop_grace_ms=200, maximum_hold_ms=options.maximum_hold_ms, load=options.load
        ),
        workers_per_shard=options.workers_per_shard,
        store_budget=options.store_budget,
    )
