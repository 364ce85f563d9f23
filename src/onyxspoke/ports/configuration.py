"""Port to the operator's configuration: versions that only rise, each one whole."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.routing import RouteEntry
from onyxspoke.core.tenants.keys import KeyRing


class IngressLimits(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Bounds on what callers may send, and how slowly."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class CellConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's configuration.

    ``raw`` is the configuration as it was read, so that it can be passed on to peers.
    """

    policy: PolicySet
    routes: tuple[RouteEntry, ...] = ()
    keys: KeyRing = KeyRing()
    limits: IngressLimits = IngressLimits()
    raw: bytes = b""

    @property
    def version(self) -> int:
        """The version; 0 before the first one."""
        return self.policy.version


class ConfigurationPort(Protocol):
    """The operator's configuration."""

    def watch(
        self,
        on_configuration: Callable[[CellConfiguration], None],
        on_contact: Callable[[bool], None],
    ) -> None:
        """Report the configuration and each later version, as soon as it is there.

        ``on_contact`` is told of every read whether the store answered it.
        """

    def look(self, on_done: Callable[[bool], None]) -> None:
        """Read the newest version now, and report it if it is new; then say if that was done."""

    def decode(self, raw: bytes) -> CellConfiguration:
        """Read a configuration that a peer passed on; raise :class:`ConfigurationError`."""


class ConfigurationError(Exception):
    """A configuration that cannot be read; the message names the field."""
