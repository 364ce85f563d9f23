"""Time of a stand-in's process: what was due first happens first, however late the process is."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from onyxspoke.net.reactor_clock import boot_seconds


class DueTimers:
    """Timers on the machine's steady clock, which all processes share; implements ``Timers``.

    A function sees the moment at which it was due as the present one.  So a lease ends exactly in
    its time, also where the process that keeps it gets no processor just then.
    """

    def __init__(
        self, reactor: IReactorTime, read_clock: Callable[[], float] = boot_seconds
    ) -> None:
        self._reactor = reactor
        self._read_clock = read_clock
        self._heap: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = count()
        self._due_at: float | None = None
        self._wake: IDelayedCall | None = None

    def now(self) -> float:
        """Return the time in seconds."""
        return self._read_clock() if self._due_at is None else self._due_at

    def schedule(self, delay: float, function: Callable[[], Any]) -> None:
        """Run a function after a delay."""
        due_at = self.now() + max(0.0, delay)
        heapq.heappush(self._heap, (due_at, next(self._numbers), function))
        self._arm()

    def catch_up(self) -> None:
        """Run what is due; to be called before anything else is taken in."""
        while self._heap and self._heap[0][0] <= self._read_clock():
            self._due_at, _, function = heapq.heappop(self._heap)
            try:
                function()
            finally:
                self._due_at = None

    def _arm(self) -> None:
        if self._due_at is not None:
            return
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        if self._heap:
            delay = max(0.0, self._heap[0][0] - self._read_clock())
            self._wake = self._reactor.callLater(delay, self._handle_wake)

    def _handle_wake(self) -> None:
        self._wake = None
        self.catch_up()
        self._arm()


class LocalPath:
    """The way within one process, which is never cut; implements ``Path``."""

    def to_outside(self, target: str, function: Callable[[], Any]) -> None:
        """Run a function at a stand-in at once."""
        function()

    def to_node(self, source: str, function: Callable[[], Any]) -> None:
        """Run the function that takes the answer at once."""
        function()
