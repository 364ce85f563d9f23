"""Routes a caller's URL to a queue, by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class RouteEntry(msgspec.Struct, frozen=True):
    """One route: requests to ``host`` whose path starts with ``path_prefix``.

    With ``allows_anonymous``, callers of the route need no API key.
    """

    queue: str
    host: str
    path_prefix: str
    timeout_ms: int
    allows_anonymous: bool = False


class RouteTable:
    """All routes of one configuration version."""

    def __init__(self, routes: Iterable[RouteEntry]) -> None:
        self._by_host: dict[str, list[RouteEntry]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for entries in self._by_host.values():
            entries.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> RouteEntry | None:
        """Return the route for a host (a port is ignored) and a path, or ``None``."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
