"""What the platform tells nodes: the settings file, the configuration, workers' entries."""

from __future__ import annotations

import msgspec

from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.node.settings import Address


class NodePlace(msgspec.Struct, frozen=True, kw_only=True):
    """Where one node runs, and whom it reaches.

    Attributes
    ----------
    peer_ports : tuple of int
        First and last port that is free for streams between nodes.
    seeds : tuple of Address
        Nodes that may be there already.
    advertised : Address or None
        Where peers are to reach the node, which connects from its own address then.
    maximum_hold_ms : int
        Longest lease that a worker grants.
    """

    name: str
    host: str
    caller_port: int
    readiness_port: int
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    store: Address
    advice: Address
    heartbeat_ms: int
    stop_grace_seconds: float
    zone: str = "zone"
    advertised: Address | None = None
    maximum_hold_ms: int = 6_000


def encode_settings(place: NodePlace) -> str:
    """Return the settings file of a node."""
    first, last = place.peer_ports
    lines = {
        "nodeName": place.name,
        "ip": place.host,
        "zone": place.zone,
        "bindAddresses.front": f"{place.host}:{place.caller_port}",
        "bindAddresses.readiness": f"{place.host}:{place.readiness_port}",
        "internalPortRange": f"{first},{last}",
        "seeds": ",".join(map(_encode_address, place.seeds)),
        "limits.cpuShare": 1,
        "limits.cores": 1,
        "heartbeatMs": place.heartbeat_ms,
        "bounds.graceS": place.stop_grace_seconds,
        "bounds.maxHoldMs": place.maximum_hold_ms,
        "bounds.stopGraceMs": 200,
        "bounds.status_s": 3_600,
        "bounds.configApplyMs": 2_000,
        "bounds.maxStretchMs": 5_000,
        "platform.address": _encode_address(place.store),
        "platform.parts": 24,
        "platform.record_bytes": 262_144,
        "platform.call_bytes": 2_097_152,
        "platform.writes_per_s": 600,
        "platform.reads_per_s": 2_000,
        "advice": _encode_address(place.advice),
    }
    if place.advertised is not None:
        lines["advertised"] = _encode_address(place.advertised)
        lines["connectFromIp"] = "true"
    return "".join(f"{name}={value}\n" for name, value in lines.items())


def encode_configuration(service: str, queues: tuple[str, ...], host: str) -> bytes:
    """Return the operator's configuration as the store holds it; the first queue is the urgent."""
    routes = [
        {
            "name": name,
            "host": host,
            "pathPrefix": f"/{name}/",
            "service": service,
            "timeoutMs": 3_000,
            "targetLatencyMs": 500,
            "priority": priority,
            "maxAttempts": 3,
            "stretch": 2.0,
            "advice": {"decideMs": 5.0, "perItemMs": 0.2, "validityMs": 1_500.0},
        }
        for priority, name in enumerate(queues)
    ]
    return msgspec.json.encode(
        {"version": 1, "routes": routes, "services": [{"name": service}], "limits": {}}
    )


def encode_entry(record: WorkerRecord, sequence: int) -> bytes:
    """Return what a worker writes of itself."""
    capacity = record.capacity
    return msgspec.json.encode(
        {
            "service": record.service,
            "address": f"{record.host}:{record.port}",
            "zone": record.zone,
            "version": "1",
            "slots": 1,
            "state": record.listing.value,
            "sequence": sequence,
            "capacity": {
                "cpu": capacity.processors_milli,
                "memMb": capacity.memory_mb,
                "gpu": capacity.accelerators,
            },
            "labels": list(record.labels),
        }
    )


def _encode_address(address: Address) -> str:
    return f"{address.host}:{address.port}"
