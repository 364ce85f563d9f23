"""A planned stop: no request is cut off, and the process ends as soon as none can come."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.shard.calls import CALL_NAMES, job_id_of
from onyxspoke.node.node import Node

#: The balancer needs so long to see that the node is not ready, and to send nobody any more.
BALANCER_SECONDS = 2.6
#: Kept back of the time to stop, for the process to end in.
RESERVE_SECONDS = 0.7
POLL_SECONDS = 0.1
#: Calls without a reply that are logged one by one as the process ends.
MAXIMUM_CALLS_LOGGED = 20
_MILLISECONDS = 1_000.0


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
        logging.info(
            "event=stopping requests=%d held=%d peers=%d",
            self._count_requests(),
            sum(seat.is_holding for seat in self._node.seats.values()),
            len(self._node.peers.up_links()),
        )
        self._node.begin_stop()
        self._poll()

    def _poll(self) -> None:
        assert self._began_at is not None
        elapsed = self._reactor.seconds() - self._began_at
        requests = self._count_requests()
        is_quiet = elapsed >= BALANCER_SECONDS and requests == 0
        if is_quiet or elapsed >= self._node.settings.stop_grace_seconds - RESERVE_SECONDS:
            self._log_cut_calls()
            logging.info(
                "event=stopped seconds=%.1f requests=%d keys=%d",
                elapsed,
                requests,
                len(self._node.keys),
            )
            self._on_stopped()
        else:
            self._reactor.callLater(POLL_SECONDS, self._poll)

    def _log_cut_calls(self) -> None:
        """Log the calls whose callers get no answer, the oldest first."""
        open_calls = self._node.router.open_calls(self._node.now())
        for item in islice(open_calls, MAXIMUM_CALLS_LOGGED):
            claim = self._node.claim_of(item.shard)
            logging.warning(
                "event=call_cut shard=%d call=%s job=%s progress=%s age_ms=%d token=%d",
                item.shard,
                CALL_NAMES[type(item.call)],
                job_id_of(item.call),
                item.progress.value,
                item.age_seconds * _MILLISECONDS,
                claim.token if claim is not None else 0,
            )
