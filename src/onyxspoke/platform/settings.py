"""Reads the platform's settings file: lines of the form ``a.b=value``."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from onyxspoke.core.shard.context import ShardOptions
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.node.settings import Address, NodeSettings, SettingsError

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "ONYXSPOKE_CONFIG"
#: Ports of the internal range that the node uses, counted from its start.
PEER_PORT_INDEX = 0
METRICS_PORT_INDEX = 1
OPERATOR_PORT_INDEX = 2
PORTS_NEEDED = 3
HIGHEST_PORT = 65_535
_MILLISECONDS = 1_000.0

Value = TypeVar("Value")


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's store, and its bounds on calls."""

    address: Address
    partitions: int
    record_bytes: int
    call_bytes: int


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the settings file tells: the node's own part, and the outside systems."""

    node: NodeSettings
    store: StoreSettings
    advice: Address | None
    cloud: Address | None
    heartbeat_ms: int


class _Reader:
    """Reads typed values by their names and gathers every fault."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            self.faults.append(f"{name}: missing")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        value = self._values.get(name, "")
        return tuple(part for part in value.split(",") if part)

    def whole(self, name: str, low: int, high: int) -> int:
        return self._number(name, int, low, high)

    def fraction(self, name: str, low: float, high: float) -> float:
        return self._number(name, float, low, high)

    def address(self, name: str) -> Address:
        return self._parse_address(name, self.text(name))

    def optional_address(self, name: str) -> Address | None:
        value = self._values.get(name, "")
        return self._parse_address(name, value) if value else None

    def ports(self, name: str) -> tuple[int, ...]:
        parts = self.texts(name)
        try:
            first, last = (int(part) for part in parts)
        except ValueError:
            self.faults.append(f"{name}: expected FIRST,LAST")
            return (0,) * PORTS_NEEDED
        if last - first + 1 < PORTS_NEEDED:
            self.faults.append(f"{name}: needs {PORTS_NEEDED} ports")
        return tuple(range(first, first + PORTS_NEEDED))

    def _number(self, name: str, convert: Callable[[str], Value], low: Value, high: Value) -> Value:
        text = self.text(name)
        if not text:
            return low
        try:
            value = convert(text)
        except ValueError:
            self.faults.append(f"{name}: expected a number, got {text!r}")
            return low
        if not low <= value <= high:  # type: ignore[operator]
            self.faults.append(f"{name}: {text} is not within {low} and {high}")
            return low
        return value

    def _parse_address(self, name: str, value: str) -> Address:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= HIGHEST_PORT:
            if value:
                self.faults.append(f"{name}: expected HOST:PORT, got {value!r}")
            return Address("", 0)
        return Address(host, int(port))


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
    return parse_settings(text)


def parse_settings(text: str) -> PlatformSettings:
    """Return the checked settings; fields that are not known are passed over."""
    reader = _Reader(_split_lines(text))
    ports = reader.ports("internalPortRange")
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
        seeds=tuple(seed.rpartition(":")[0] for seed in reader.texts("seeds")),
        stop_grace_seconds=reader.fraction("bounds.graceS", 0.0, 3_600.0),
        shard_options=_read_options(reader),
        weight=reader.fraction("limits.cpuShare", 0.0, 1_000.0)
        * reader.whole("limits.cores", 1, 1_000),
        most_shards=reader.whole("platform.parts", 1, 1_000_000),
        layout_settle_seconds=heartbeat_ms / _MILLISECONDS,
        store_budget=StoreBudget(
            writes_per_second=reader.fraction("platform.writes_per_s", 1.0, 1e9),
            reads_per_second=reader.fraction("platform.reads_per_s", 1.0, 1e9),
        ),
    )
    settings = PlatformSettings(
        node=node,
        store=_read_store(reader),
        advice=reader.optional_address("advice"),
        cloud=reader.optional_address("cloudApi.address"),
        heartbeat_ms=heartbeat_ms,
    )
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


def _read_options(reader: _Reader) -> ShardOptions:
    return ShardOptions(
        maximum_hold_ms=reader.whole("bounds.maxHoldMs", 100, 3_600_000),
        stop_grace_ms=reader.whole("bounds.stopGraceMs", 0, 600_000),
        status_seconds=reader.fraction("bounds.status_s", 0.0, 1e6),
    )


def _read_store(reader: _Reader) -> StoreSettings:
    return StoreSettings(
        address=reader.address("platform.address"),
        partitions=reader.whole("platform.parts", 1, 1_000_000),
        record_bytes=reader.whole("platform.record_bytes", 1_024, 1 << 30),
        call_bytes=reader.whole("platform.call_bytes", 1_024, 1 << 30),
    )


def _split_lines(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values
