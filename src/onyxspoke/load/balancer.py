"""Stand-in for the platform's balancer: sends work only where the health check succeeds."""

from __future__ import annotations

import random

from twisted.application.internet import TimerService
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from onyxspoke.load.http_client import CallerClient

CHECK_INTERVAL_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0


class Balancer:
    """Chooses entries among the healthy ones.

    Parameters
    ----------
    clients : dict
        A client for each entry's name.
    source : random.Random
        Draws the choices.
    """

    def __init__(self, clients: dict[str, CallerClient], source: random.Random) -> None:
        self._clients = clients
        self._random = source
        self._healthy = dict.fromkeys(clients, True)
        self._checks = TimerService(CHECK_INTERVAL_SECONDS, self._check_all)

    def start(self) -> None:
        """Begin to check."""
        self._checks.startService()

    def stop(self) -> None:
        """Stop to check."""
        self._checks.stopService()

    def choose(self, count: int) -> list[str]:
        """Return that many different entries, or fewer if fewer are healthy."""
        healthy = [name for name, is_healthy in self._healthy.items() if is_healthy]
        names = healthy or list(self._healthy)
        return self._random.sample(names, min(count, len(names)))

    def note_unreachable(self, name: str) -> None:
        """Take an entry out that refused a connection, until its check succeeds again."""
        self._healthy[name] = False

    def _check_all(self) -> None:
        for name in self._clients:
            ensureDeferred(self._check(name))

    async def _check(self, name: str) -> None:
        checking = ensureDeferred(self._clients[name].is_serving())
        checking.addTimeout(CHECK_TIMEOUT_SECONDS, reactor)
        try:
            self._healthy[name] = await checking
        except Exception:
            # Refused, reset or silent: whatever it is, the entry is not healthy.
            self._healthy[name] = False
