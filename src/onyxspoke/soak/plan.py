"""What all processes of one run agree on: addresses, sizes and lengths of time."""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.node.settings import Address
from onyxspoke.platform.counterpart.settings import NodePlace, encode_settings

HOST_HEADER = "soak.example"
CALLER_PORT = 18_160
READINESS_PORT = 18_161
PEER_PORTS = (18_170, 18_179)
STORE_PORT = 18_180
ADVICE_PORT = 18_181
WORKER_PORT = 18_190
#: Where workers listen behind the proxy.
INNER_WORKER_PORT = 18_191
HEARTBEAT_MS = 1_500
#: A stopping node is killed after so long.
STOP_GRACE_SECONDS = 6.0
#: Last parts of the loopback addresses.
FIRST_NODE = 1
FIRST_PROXY = 50
FIRST_WORKER = 100
SERVICES = 250
#: Loopback networks that runs may have at once on one machine.
NETWORKS = 16_000
NETWORK_SIZE = 256
#: Second part of the first loopback network.
FIRST_NETWORK = 64


class SoakPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One run.

    Attributes
    ----------
    network : str
        First three parts of the loopback addresses, so that runs side by side do not meet.
    fault_seconds : float
        For so long jobs are handed in and faults strike.
    settle_seconds : float
        So long after the last fault every accepted job is to have ended.
    with_proxy : bool
        Calls of callers, and of nodes to all but nodes, pass a proxy.
    kinds : tuple of str
        Faults of these kinds only; empty for all.
    zones : int
        Nodes and workers stand in so many zones in turn.  With more than one, nodes reach each
        other and workers through links of the proxy that can be cut for single nodes.
    task_seconds : tuple of float
        Least and greatest length of a task, but for the few that outlast a lease.
    maximum_hold_ms : int
        Longest lease that a worker grants.
    node_path : str
        Directory from which the nodes' processes load the product; empty for the runner's own.
    """

    seed: int
    network: str
    nodes: int = 4
    workers: int = 10
    jobs_per_second: float = 5.0
    fault_seconds: float = 30.0
    settle_seconds: float = 60.0
    fault_count: int = 8
    with_proxy: bool = True
    kinds: tuple[str, ...] = ()
    zones: int = 1
    task_seconds: tuple[float, float] = (0.2, 1.5)
    maximum_hold_ms: int = 6_000
    node_path: str = ""

    @property
    def with_zones(self) -> bool:
        """Whether the ways between nodes pass the proxy."""
        return self.with_proxy and self.zones > 1

    def zone_name(self, index: int) -> str:
        """Return the zone of a node or a worker."""
        return f"zone-{index % self.zones}" if self.zones > 1 else "zone"

    def peer_address(self, index: int) -> Address:
        """Return where a node listens for its peers."""
        return Address(self.node_host(index), PEER_PORTS[0])

    def told_address(self, index: int) -> Address:
        """Return where a node's peers connect."""
        host = self.proxy_host(index) if self.with_zones else self.node_host(index)
        return Address(host, PEER_PORTS[0])

    def node_host(self, index: int) -> str:
        """Return the address of a node."""
        return f"{self.network}.{FIRST_NODE + index}"

    def worker_host(self, index: int) -> str:
        """Return the address of a worker."""
        return f"{self.network}.{FIRST_WORKER + index}"

    def proxy_host(self, index: int) -> str:
        """Return the address at which a node's outside systems, and callers, reach the proxy."""
        return f"{self.network}.{FIRST_PROXY + index}"

    def caller_address(self, index: int) -> Address:
        """Return where callers reach a node."""
        host = self.proxy_host(index) if self.with_proxy else self.node_host(index)
        return Address(host, CALLER_PORT)

    def seen_by(self, index: int, service: Address) -> Address:
        """Return where a node reaches the store or the advice service."""
        return Address(self.proxy_host(index), service.port) if self.with_proxy else service

    @property
    def worker_port(self) -> int:
        """Port on which workers listen."""
        return INNER_WORKER_PORT if self.with_proxy else WORKER_PORT

    @property
    def store(self) -> Address:
        """Where the store listens."""
        return Address(f"{self.network}.{SERVICES}", STORE_PORT)

    @property
    def advice(self) -> Address:
        """Where the advice service listens."""
        return Address(f"{self.network}.{SERVICES}", ADVICE_PORT)


def choose_network(number: int) -> str:
    """Return a loopback network for a process number."""
    number %= NETWORKS
    return f"127.{FIRST_NETWORK + number // NETWORK_SIZE}.{number % NETWORK_SIZE}"


def load_plan(path: Path) -> SoakPlan:
    """Return the plan in a file."""
    return msgspec.json.decode(path.read_bytes(), type=SoakPlan)


def make_settings(plan: SoakPlan, index: int) -> str:
    """Return the settings file of a node."""
    place = NodePlace(
        name=f"node-{index}",
        host=plan.node_host(index),
        caller_port=CALLER_PORT,
        readiness_port=READINESS_PORT,
        peer_ports=PEER_PORTS,
        seeds=tuple(plan.told_address(other) for other in range(plan.nodes)),
        store=plan.seen_by(index, plan.store),
        advice=plan.seen_by(index, plan.advice),
        heartbeat_ms=HEARTBEAT_MS,
        stop_grace_seconds=STOP_GRACE_SECONDS,
        zone=plan.zone_name(index),
        advertised=plan.told_address(index) if plan.with_zones else None,
        maximum_hold_ms=plan.maximum_hold_ms,
    )
    return encode_settings(place)
