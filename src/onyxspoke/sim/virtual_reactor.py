"""Virtual time: timers fire in order of their moment, and no moment takes any time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IDelayedCall)
class VirtualCall:
    """One call scheduled in virtual time, in one process."""

    def __init__(
        self, time: VirtualTime, node: VirtualNode, delay: float, function: Callable[[], Any]
    ) -> None:
        self._time = time
        self._node = node
        self._at = time.now() + delay
        self._function = function
        self._schedule()
        self._called = False
        self._cancelled = False

    def getTime(self) -> float:
        """Return the moment of the call."""
        return self._at

    def cancel(self) -> None:
        """Withdraw the call."""
        if self._cancelled:
            raise AlreadyCancelled
        if self._called:
            raise AlreadyCalled
        self._cancelled = True

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return not self._called and not self._cancelled

    def delay(self, secondsLater: float) -> None:
        """Move the call to a later moment."""
        self._at += secondsLater
        self._schedule()

    def reset(self, secondsFromNow: float) -> None:
        """Move the call to a moment counted from now."""
        self._at = self._time.now() + secondsFromNow
        self._schedule()

    def _schedule(self) -> None:
        self._time.schedule_at(self._at, lambda: self._node.run(self._fire))

    def _fire(self) -> None:
        """Make the call, unless it was withdrawn or moved to a later moment."""
        if self.active() and self._time.now() >= self._at:
            self._called = True
            self._function()


class VirtualTime:
    """All timers of a simulation."""

    def __init__(self) -> None:
        self._now = 0.0
        self._counter = 0
        self._heap: list[tuple[float, int, Callable[[], Any]]] = []
        self.events = 0

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def schedule(self, delay: float, function: Callable[[], Any]) -> None:
        """Run a function after a delay."""
        self.schedule_at(self._now + delay, function)

    def schedule_at(self, moment: float, function: Callable[[], Any]) -> None:
        """Run a function at a moment; one that has passed counts as now."""
        self._counter += 1
        heapq.heappush(self._heap, (max(self._now, moment), self._counter, function))

    def run_until(self, moment: float) -> None:
        """Let time pass up to a moment."""
        while self._heap and self._heap[0][0] <= moment:
            self._step()
        self._now = moment

    def run_next(self) -> float:
        """Run the next event and return its moment."""
        self._step()
        return self._now

    def _step(self) -> None:
        at, _, function = heapq.heappop(self._heap)
        self._now = max(self._now, at)
        self.events += 1
        function()


class VirtualNode:
    """One simulated process: it may pause, resume and die.

    What reaches a paused process waits until it resumes, in order; what reaches a dead
    one is dropped.
    """

    def __init__(self, time: VirtualTime, name: str, zone: str) -> None:
        self._time = time
        self.name = name
        self.zone = zone
        self.alive = True
        self.paused = False
        #: Pause when bytes that hold this are written, before they leave the process.
        self.pause_at_write_of: bytes | None = None
        #: Pause when this stand-in is called, before the call leaves the process.
        self.pause_at_call_to: str | None = None
        self._waiting: list[Callable[[], Any]] = []
        self.reactor = NodeReactor(time, self)

    def run(self, function: Callable[[], Any]) -> None:
        """Run a function in this process, now or when it resumes."""
        if not self.alive:
            return
        if self.paused:
            self._waiting.append(function)
        else:
            function()

    def pause(self) -> None:
        """Stop the process as a signal would."""
        self.paused = True

    def resume(self) -> None:
        """Let the process go on; what waited runs first."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for function in waiting:
            self._time.schedule(0.0, partial(self.run, function))

    def die(self) -> None:
        """End the process without any notice."""
        self.alive = False
        self._waiting.clear()


@implementer(IReactorTime)
class NodeReactor:
    """The timers of one simulated process."""

    def __init__(self, time: VirtualTime, node: VirtualNode) -> None:
        self._time = time
        self._node = node

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._time.now()

    def now(self) -> float:
        """Return the virtual time in seconds; the port :class:`Clock`."""
        return self._time.now()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> VirtualCall:
        """Schedule a call in this process."""
        return VirtualCall(self._time, self._node, delay, lambda: callable(*args, **kwargs))

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:
        """Return nothing: no user of virtual time asks."""
        return []
