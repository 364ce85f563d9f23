"""Reads typed values from the platform's settings file: lines of the form ``a.b=value``.

The platform spells one setting differently from deployment to deployment (``writes_per_s`` here,
``writesPerS`` there), so names are compared without case and underscores.  A second spelling with
another value is a fault: there is no telling which of the two is meant.
"""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Generic, TypeVar

import msgspec

from onyxspoke.node.settings import Address

HIGHEST_PORT = 65_535
_BROADCAST = IPv4Address("255.255.255.255")

Value = TypeVar("Value", int, float)


class Bounds(msgspec.Struct, Generic[Value], frozen=True):
    """The least and the greatest value of a number."""

    low: Value
    high: Value


class SettingsReader:
    """Reads values by name and gathers every fault and every default taken.

    Attributes
    ----------
    faults : list of str
        What is missing or wrong, each with the setting's name and what was expected.
    warnings : list of str
        Settings that are missing and for which a default was taken.
    """

    def __init__(self, text: str) -> None:
        self.faults: list[str] = []
        self.warnings: list[str] = []
        #: By the folded name: the name as the file spells it, and the value.
        self._entries: dict[str, tuple[str, str]] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._add(name.strip(), value.strip())

    def text(self, name: str, expected: str = "a text") -> str:
        """Return a text that must be there."""
        value = self._value(name)
        if not value:
            self.faults.append(f"{name}: missing, expected {expected}")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return the parts of a list, which may be empty or missing."""
        return tuple(part for part in self._value(name).split(",") if part)

    def whole(self, name: str, low: int, high: int) -> int:
        """Return a whole number that must be there."""
        return self._required(name, int, Bounds(low, high))

    def fraction(self, name: str, low: float, high: float) -> float:
        """Return a number that must be there."""
        return self._required(name, float, Bounds(low, high))

    def whole_or(self, name: str, low: int, high: int, default: int) -> int:
        """Return a whole number, or the default with a warning."""
        return self._optional(name, int, Bounds(low, high), default)

    def fraction_or(self, name: str, low: float, high: float, default: float) -> float:
        """Return a number, or the default with a warning."""
        return self._optional(name, float, Bounds(low, high), default)

    def address(self, name: str) -> Address:
        """Return an address that must be there."""
        value = self.text(name, "HOST:PORT")
        return self._parse_address(name, value) if value else Address("", 0)

    def optional_address(self, name: str) -> Address | None:
        """Return an address, or None where the deployment has none."""
        value = self._value(name)
        return self._parse_address(name, value) if value else None

    def optional_reachable(self, name: str) -> Address | None:
        """Return an address that others can connect to, or None where none is given."""
        address = self.optional_address(name)
        if address is not None and address.host and not _is_host_address(address.host):
            self.faults.append(f"{name}: expected IPV4:PORT of one host, got {self._value(name)!r}")
        return address

    def host_address(self, name: str) -> str:
        """Return the IPv4 address of one host; one that is missing is told of by others."""
        value = self._value(name)
        if value and not _is_host_address(value):
            self.faults.append(f"{name}: expected the IPv4 address of one host, got {value!r}")
        return value

    def flag(self, name: str) -> bool:
        """Return whether something is switched on; it is off where nothing is said."""
        value = self._value(name).casefold()
        if value not in ("", "true", "false"):
            self.faults.append(f"{name}: expected true or false, got {self._value(name)!r}")
        return value == "true"

    def ports(self, name: str, needed: int) -> tuple[int, ...]:
        """Return the first ports of a range given as its first and last port."""
        try:
            first, last = (int(part) for part in self.texts(name))
        except ValueError:
            self.faults.append(f"{name}: expected FIRST,LAST, got {self._value(name)!r}")
            return (0,) * needed
        if last - first + 1 < needed:
            self.faults.append(f"{name}: needs {needed} ports")
        return tuple(range(first, first + needed))

    def _add(self, name: str, value: str) -> None:
        known = self._entries.get(_fold(name))
        if known is not None and known[0] != name and known[1] != value:
            self.faults.append(f"{known[0]}: {known[1]!r}, but {name} says {value!r}")
        self._entries[_fold(name)] = (name, value)

    def _value(self, name: str) -> str:
        return self._entries.get(_fold(name), ("", ""))[1]

    def _required(self, name: str, convert: Callable[[str], Value], bounds: Bounds[Value]) -> Value:
        text = self.text(name, f"a number from {bounds.low} to {bounds.high}")
        return self._parse(name, text, convert, bounds) if text else bounds.low

    def _optional(
        self, name: str, convert: Callable[[str], Value], bounds: Bounds[Value], default: Value
    ) -> Value:
        text = self._value(name)
        if text:
            return self._parse(name, text, convert, bounds)
        self.warnings.append(f"{name}: missing, {default} is assumed")
        return default

    def _parse(
        self, name: str, text: str, convert: Callable[[str], Value], bounds: Bounds[Value]
    ) -> Value:
        try:
            value = convert(text)
        except ValueError:
            self.faults.append(f"{name}: expected a number, got {text!r}")
            return bounds.low
        if not bounds.low <= value <= bounds.high:
            self.faults.append(f"{name}: {text} is not within {bounds.low} and {bounds.high}")
            return bounds.low
        return value

    def _parse_address(self, name: str, value: str) -> Address:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= HIGHEST_PORT:
            self.faults.append(f"{name}: expected HOST:PORT, got {value!r}")
            return Address("", 0)
        return Address(host, int(port))


def _fold(name: str) -> str:
    """Return a name without what differs between its spellings."""
    return name.replace("_", "").casefold()


def _is_host_address(text: str) -> bool:
    """Return whether a text is an IPv4 address at which one host can be reached."""
    try:
        address = IPv4Address(text)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast or address == _BROADCAST)
