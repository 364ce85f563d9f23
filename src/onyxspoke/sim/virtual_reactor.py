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
    """One call scheduled in virtual time."""

    def __init__(self, at: float, function: Callable[[], Any]) -> None:
        self._at = at
        self._function = function
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
        """Do nothing: no user of virtual time moves calls."""
        raise NotImplementedError

    def reset(self, secondsFromNow: float) -> None:
        """Do nothing: no user of virtual time moves calls."""
        raise NotImplementedError

    def fire(self) -> None:
        """Make the call, unless it was withdrawn."""
        if self.active():
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
        self._counter += 1
        heapq.heappush(self._heap, (self._now + delay, self._counter, function))

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
        call = VirtualCall(self._time.now() + delay, lambda: callable(*args, **kwargs))
        self._time.schedule(delay, lambda: self._node.run(call.fire))
        return call

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:
        """Return nothing: no user of virtual time asks."""
        return []
