"""Delays between attempts to reach another process."""

from __future__ import annotations

from twisted.application.internet import backoffPolicy

INITIAL_DELAY_SECONDS = 0.1
MAXIMUM_DELAY_SECONDS = 2.0
_GROWTH_FACTOR = 1.5

#: Exponential backoff with jitter, as Twisted's client service expects it.
reconnect_delay = backoffPolicy(
    initialDelay=INITIAL_DELAY_SECONDS, maxDelay=MAXIMUM_DELAY_SECONDS, factor=_GROWTH_FACTOR
)
