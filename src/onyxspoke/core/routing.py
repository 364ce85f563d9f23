"""Which queue a caller's address names: the host, and the longest prefix of the path."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class RouteEntry(msgspec.Struct, frozen=True):
    """One route: callers of ``host`` whose path begins with ``path_prefix``.

    ``allows_anonymous`` says that its callers need no key.
    """

    queue: str
    host: str
    path_prefix: str
    timeout_ms: int
    allows_anonymous: bool = False


class RouteTable:
    """All routes of one version of the configuration."""

    def __init__(self, routes: Iterable[RouteEntry]) -> None:
        self._by_host: dict[str, list[RouteEntry]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for entries in self._by_host.values():
            entries.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> RouteEntry | None:
        """Return the route of a host, with or without a port, and a path."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
