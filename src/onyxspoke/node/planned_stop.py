"""A planned stop: every request that was read is answered before the process ends."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import islice
from typing import Protocol

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.shard.calls import CALL_NAMES, job_id_of
from onyxspoke.node.node import Node
from onyxspoke.node.stop_schedule import OpenWork, StopPhase, StopSchedule

#: Calls that are logged one by one when they are open as the node closes.
MAXIMUM_CALLS_LOGGED = 20
_MILLISECONDS = 1_000.0


class ClientSite(Protocol):
    """A site whose clients' requests are answered before the process ends."""

    @property
    def connection_count(self) -> int:
        """How many connections are open."""

    def close(self) -> None:
        """Take no new connection, and close each open one once its request is answered."""

    def refuse_unread(self) -> None:
        """Answer requests that have not arrived whole, and close their connections."""


class PlannedStop:
    """Ends a node's process once its last request is answered.

    Parameters
    ----------
    node : Node
        What is stopped.
    reactor : IReactorTime
        Timers.
    sites : sequence of ClientSite
        Where clients connect.
    on_stopped : callable
        Ends the process.
    """

    def __init__(
        self,
        node: Node,
        reactor: IReactorTime,
        sites: Sequence[ClientSite],
        on_stopped: Callable[[], None],
    ) -> None:
        self._node = node
        self._reactor = reactor
        self._sites = sites
        self._on_stopped = on_stopped
        self._began_at: float | None = None
        self._schedule = StopSchedule()

    def begin(self) -> None:
        """Hand the shards over where another node can take them, and wait for the last request."""
        if self._began_at is not None:
            return
        self._began_at = self._reactor.seconds()
        logging.info(
            "event=stopping requests=%d held=%d peers=%d",
            self._node.open_call_count,
            self._node.held_shard_count,
            len(self._node.peers.up_links()),
        )
        self._node.begin_stop()
        self._poll()

    def _poll(self) -> None:
        assert self._began_at is not None
        elapsed = self._reactor.seconds() - self._began_at
        grace = self._node.settings.stop_grace_seconds
        while self._schedule.advance(elapsed, grace, self._open_work()):
            self._enter_phase(elapsed)
            if self._schedule.phase is StopPhase.FLUSHING:
                # What was just written, also to peers, leaves the process before it ends.
                break
        if self._schedule.phase is not StopPhase.ENDED:
            self._reactor.callLater(self._schedule.next_look_seconds(elapsed, grace), self._poll)

    def _open_work(self) -> OpenWork:
        return OpenWork(
            calls=self._node.open_call_count + self._node.undecided_call_count,
            connections=sum(site.connection_count for site in self._sites),
            is_needed=self._node.is_needed,
        )

    def _enter_phase(self, elapsed: float) -> None:
        """Do what the phase that was just entered begins with."""
        phase = self._schedule.phase
        work = self._open_work()
        logging.info(
            "event=stop_phase phase=%s seconds=%.2f requests=%d keys=%d connections=%d held=%d",
            phase.name.lower(),
            elapsed,
            self._node.open_call_count,
            len(self._node.keys),
            work.connections,
            self._node.held_shard_count,
        )
        if phase is StopPhase.CLOSING:
            self._log_open_calls()
            for site in self._sites:
                site.close()
            self._node.refuse_calls()
        elif phase is StopPhase.FLUSHING:
            self._node.answer_calls()
            for site in self._sites:
                site.refuse_unread()
        elif phase is StopPhase.ENDED:
            logging.info(
                "event=stopped seconds=%.1f requests=%d connections=%d",
                elapsed,
                self._node.open_call_count,
                work.connections,
            )
            self._on_stopped()

    def _log_open_calls(self) -> None:
        """Log the calls to which no holder has replied, the oldest first."""
        open_calls = self._node.router.open_calls(self._node.now())
        for item in islice(open_calls, MAXIMUM_CALLS_LOGGED):
            claim = self._node.claim_of(item.shard)
            logging.info(
                "event=call_open_at_stop shard=%d call=%s job=%s progress=%s age_ms=%d token=%d",
                item.shard,
                CALL_NAMES[type(item.call)],
                job_id_of(item.call),
                item.progress.value,
                item.age_seconds * _MILLISECONDS,
                claim.token if claim is not None else 0,
            )
