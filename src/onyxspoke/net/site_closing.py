"""Closes a site in good order before its process ends."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.net.bounded_http import BoundedSite

#: Clients that do not read their answers hold the process up for this time at most.
LONGEST_SECONDS = 0.35
LOOK_SECONDS = 0.01


class SiteClosing:
    """Answers what has arrived in part, closes every connection, and calls back.

    Parameters
    ----------
    site : BoundedSite
        What is closed.
    reactor : IReactorTime
        Timers.
    on_closed : callable
        Called once, when the answers are sent or the time is over.
    """

    def __init__(
        self, site: BoundedSite, reactor: IReactorTime, on_closed: Callable[[], None]
    ) -> None:
        self._site = site
        self._reactor = reactor
        self._on_closed = on_closed
        self._ends_at = 0.0

    def begin(self) -> None:
        """Close the site."""
        self._ends_at = self._reactor.seconds() + LONGEST_SECONDS
        self._site.close()
        self._site.refuse_unread()
        self._look()

    def _look(self) -> None:
        if self._site.connection_count and self._reactor.seconds() < self._ends_at:
            self._reactor.callLater(LOOK_SECONDS, self._look)
            return
        logging.info("event=site_closed connections=%d", self._site.connection_count)
        self._on_closed()
