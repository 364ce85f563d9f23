"""What a node is told at its start, in the product's own terms."""

from __future__ import annotations

import msgspec

from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.shard.context import ShardOptions
from onyxspoke.core.shard.store_budget import StoreBudget


class SettingsError(OnyxspokeError):
    """Settings that are missing or out of range; ``faults`` names each one."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ResultCode.SETTINGS_FILE_INVALID, "; ".join(faults))
        self.faults = faults


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes
    ----------
    node_name : str
        Name of the machine.
    host : str
        The machine's own address.
    advertised : Address or None
        Where peers reach this node's peer port, if that is not ``host`` and ``peer_port``.
    connects_from_host : bool
        Whether outgoing connections are opened from ``host``, whatever the route prefers.
    callers : Address
        Where callers connect.
    readiness : Address
        Where the balancer asks whether to send callers.
    peer_port, metrics_port, operator_port : int
        Ports on ``host`` for peers, for metrics, and for the product's own interface.
    seeds : tuple of str
        Hosts of nodes that may be there already.
    stop_grace_seconds : float
        Time from the signal to stop until the process is killed.
    shard_options : ShardOptions
        Bounds of the platform for a shard's holder.
    weight : float
        Processor share; larger nodes are to hold shards.
    workers_per_shard : int
        A new cell gets so many shards that each has about so many workers at most.
    maximum_shards : int
        Partitions that the store gives us.
    layout_settle_seconds : float
        A new cell is laid out once no further worker has been listed for so long.
    store_budget : StoreBudget
        Calls a second that the store takes from all nodes together.
    key_trust_seconds : float
        For how long callers' keys are gone by without word that the configuration is the newest.
    """

    node_name: str
    host: str
    zone: str
    callers: Address
    readiness: Address
    peer_port: int
    metrics_port: int
    operator_port: int
    advertised: Address | None = None
    connects_from_host: bool = False
    seeds: tuple[str, ...] = ()
    stop_grace_seconds: float = 6.0
    shard_options: ShardOptions = ShardOptions()
    weight: float = 1.0
    workers_per_shard: int = 400
    maximum_shards: int = 24
    layout_settle_seconds: float = 0.4
    store_budget: StoreBudget = StoreBudget()
    key_trust_seconds: float = 9.0

    @property
    def peer_address(self) -> Address:
        """Where this node listens for peers."""
        return Address(self.host, self.peer_port)

    @property
    def told_address(self) -> Address:
        """Where peers are told to connect."""
        return self.advertised or self.peer_address
