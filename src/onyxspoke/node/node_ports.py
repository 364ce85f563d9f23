"""What a node reaches outside itself."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.ports.advice import AdvicePort
from onyxspoke.ports.configuration import ConfigurationPort
from onyxspoke.ports.shard_log import ShardLogPort
from onyxspoke.ports.worker_directory import WorkerDirectoryPort
from onyxspoke.ports.worker_orders import WorkerOrdersPort


@dataclass(slots=True)
class NodePorts:
    """The outside systems, each behind its port."""

    store: ShardLogPort
    orders: WorkerOrdersPort
    directory: WorkerDirectoryPort
    advice: AdvicePort
    configuration: ConfigurationPort
