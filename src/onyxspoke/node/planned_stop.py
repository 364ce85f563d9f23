"""A planned stop: no request is cut off, and the process ends as soon as none can come."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.node.node import Node

#: The balancer needs so long to see that the node is not ready, and to send nobody any more.
BALANCER_SECONDS = 2.6
#: Kept back of the time to stop, for the process to end in.
RESERVE_SECONDS = 0.7
POLL_SECONDS = 0.1


class PlannedStop:
    """Ends a node's process once its last request is answered.

    Parameters
    ----------
    node : Node
        What is stopped.
    reactor : IReactorTime
        Timers.
    count_requests : callable
        Returns how many requests of callers are in progress or may still come.
    on_stopped : callable
        Ends the process.
    """

    def __init__(
        self,
        node: Node,
        reactor: IReactorTime,
        count_requests: Callable[[], int],
        on_stopped: Callable[[], None],
    ) -> None:
        self._node = node
        self._reactor = reactor
        self._count_requests = count_requests
        self._on_stopped = on_stopped
        self._began_at: float | None = None

    def begin(self) -> None:
        """Hand the shards over, and wait for the last request."""
        if self._began_at is not None:
            return
        self._began_at = self._reactor.seconds()
        logging.info("event=stopping requests=%d", self._count_requests())
        self._node.begin_stop()
        self._poll()

    def _poll(self) -> None:
        assert self._began_at is not None
        elapsed = self._reactor.seconds() - self._began_at
        requests = self._count_requests()
        is_quiet = elapsed >= BALANCER_SECONDS and requests == 0
        if is_quiet or elapsed >= self._node.settings.stop_grace_seconds - RESERVE_SECONDS:
            logging.info("event=stopped seconds=%.1f requests=%d", elapsed, requests)
            self._on_stopped()
        else:
            self._reactor.callLater(POLL_SECONDS, self._poll)
