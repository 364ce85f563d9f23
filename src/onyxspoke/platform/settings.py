"""The platform's settings file, read into the node's own terms."""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.core.shard.context import ShardOptions
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.node.settings import Address, NodeSettings, SettingsError
from onyxspoke.platform.settings_reader import SettingsReader

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "ONYXSPOKE_CONFIG"
#: Ports of the internal range that the node uses, counted from its start.
PEER_PORT_INDEX = 0
METRICS_PORT_INDEX = 1
OPERATOR_PORT_INDEX = 2
PORTS_NEEDED = 3
#: Where the rules in force name it, callers compete for room.
PRESSURE_CONTRACT = "pressure"
_MILLISECONDS = 1_000.0
#: Assumed where a file doesn't tell the store's rates: the lowest that a user's sheet names.
#: Too low a figure only slows a large cell's appends; too high a one has calls turned away.
DEFAULT_WRITES_PER_SECOND = 600.0
DEFAULT_READS_PER_SECOND = 2_000.0
#: Assumed where a file doesn't tell the machine's size: the weight only ranks claimants.
DEFAULT_CPU_SHARE = 1.0
DEFAULT_CORES = 1
#: Assumed where a file doesn't tell how soon a change is to be in force, and how much later where
#: the store is disturbed: the shortest that a user's sheet names.
DEFAULT_APPLY_MS = 2_000
DEFAULT_STRETCH_MS = 5_000


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's store, and its bounds on calls."""

    address: Address
    partitions: int
    record_bytes: int
    call_bytes: int


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the settings file tells: the node's own part, and the outside systems.

    ``warnings`` names each setting that is missing and whose default was taken.
    """

    node: NodeSettings
    store: StoreSettings
    advice: Address | None
    cloud: Address | None
    heartbeat_ms: int
    warnings: tuple[str, ...] = ()


def load_settings(path: Path) -> PlatformSettings:
    """Return the checked settings of a file.

    Raises
    ------
    SettingsError
        Naming every fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError([f"{path}: {fault}" for fault in error.faults]) from error


def parse_settings(text: str) -> PlatformSettings:
    """Return the checked settings; fields that are not known are passed over."""
    reader = SettingsReader(text)
    ports = reader.ports("internalPortRange", PORTS_NEEDED)
    heartbeat_ms = reader.whole("heartbeatMs", 1, 3_600_000)
    node = NodeSettings(
        node_name=reader.text("nodeName"),
        host=reader.text("ip"),
        zone=reader.text("zone"),
        callers=reader.address("bindAddresses.front"),
        readiness=reader.address("bindAddresses.readiness"),
        peer_port=ports[PEER_PORT_INDEX],
        metrics_port=ports[METRICS_PORT_INDEX],
        operator_port=ports[OPERATOR_PORT_INDEX],
        advertised=reader.optional_reachable("advertised"),
        connects_from_host=_read_connects_from_host(reader),
        seeds=tuple(seed.rpartition(":")[0] for seed in reader.texts("seeds")),
        stop_grace_seconds=reader.fraction("bounds.graceS", 0.0, 3_600.0),
        shard_options=_read_options(reader),
        weight=reader.fraction_or("limits.cpuShare", 0.0, 1_000.0, DEFAULT_CPU_SHARE)
        * reader.whole_or("limits.cores", 1, 1_000, DEFAULT_CORES),
        maximum_shards=reader.whole("platform.parts", 1, 1_000_000),
        layout_settle_seconds=heartbeat_ms / _MILLISECONDS,
        key_trust_seconds=_read_key_trust(reader),
        store_budget=StoreBudget(
            writes_per_second=reader.fraction_or(
                "platform.writes_per_s", 1.0, 1e9, DEFAULT_WRITES_PER_SECOND
            ),
            reads_per_second=reader.fraction_or(
                "platform.reads_per_s", 1.0, 1e9, DEFAULT_READS_PER_SECOND
            ),
        ),
    )
    settings = PlatformSettings(
        node=node,
        store=_read_store(reader),
        advice=reader.optional_address("advice"),
        cloud=reader.optional_address("cloudApi.address"),
        heartbeat_ms=heartbeat_ms,
        warnings=tuple(reader.warnings),
    )
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


def _read_connects_from_host(reader: SettingsReader) -> bool:
    """Return whether connections are opened from ``ip``, which has to be an address then."""
    is_wanted = reader.flag("connectFromIp")
    if is_wanted:
        reader.host_address("ip")
    return is_wanted


def _read_options(reader: SettingsReader) -> ShardOptions:
    return ShardOptions(
        maximum_hold_ms=reader.whole("bounds.maxHoldMs", 100, 3_600_000),
        stop_grace_ms=reader.whole("bounds.stopGraceMs", 0, 600_000),
        finished_job_retention_seconds=reader.fraction("bounds.status_s", 0.0, 1e6),
        record_bytes=reader.whole("platform.record_bytes", 1_024, 1 << 30),
        load=_read_load_options(reader),
    )


def _read_load_options(reader: SettingsReader) -> LoadOptions:
    """Return what is done under load; jobs are refused only where callers compete for room."""
    contracts = {name.strip().casefold() for name in reader.texts("contracts")}
    return LoadOptions(admission=PRESSURE_CONTRACT in contracts)


def _read_key_trust(reader: SettingsReader) -> float:
    """Return for how long a node whose configuration may be behind goes by its keys."""
    apply_ms = reader.whole_or("bounds.configApplyMs", 0, 3_600_000, DEFAULT_APPLY_MS)
    stretch_ms = reader.whole_or("bounds.maxStretchMs", 0, 3_600_000, DEFAULT_STRETCH_MS)
    return (apply_ms + stretch_ms) / _MILLISECONDS


def _read_store(reader: SettingsReader) -> StoreSettings:
    return StoreSettings(
        address=reader.address("platform.address"),
        partitions=reader.whole("platform.parts", 1, 1_000_000),
        record_bytes=reader.whole("platform.record_bytes", 1_024, 1 << 30),
        call_bytes=reader.whole("platform.call_bytes", 1_024, 1 << 30),
    )
