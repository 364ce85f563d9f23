"""Partitions the entries among short, medium and long calls to the advice service.

The advice service handles one call per entry at a time.  Short calls are urgent and must not wait
behind long ones, so the first entries are reserved for short calls and the next for medium calls.
The number of reserved entries follows the observed load, up to a fixed share of all entries; long
calls use the rest.
"""

from __future__ import annotations

import math
from enum import IntEnum

#: Longest short call, in seconds; short calls may use any entry.
MAXIMUM_SHORT_CALL_SECONDS = 0.04
#: Longest medium call, in seconds; medium calls may not use the entries for short calls.
MAXIMUM_MEDIUM_CALL_SECONDS = 0.25
#: Largest share of the entries that is reserved for short calls, and for short and medium calls
#: together.
SHORT_ONLY_SHARE = 0.28
SHORT_OR_MEDIUM_SHARE = 0.55
#: Entries reserved for short and for medium calls, as a multiple of the entries that their load
#: keeps busy.  At a utilization of a third, few calls find all of their entries busy.
SHORT_HEADROOM = 3.0
MEDIUM_HEADROOM = 2.0
#: Limits on calls of steps that are not entitled, so that entitled calls find a free entry at once.
#: They leave this multiple of the entries that entitled calls of the same length keep busy, and use
#: at most this share of the entries for their length.
ENTITLED_HEADROOM = 1.5
MAXIMUM_UNENTITLED_SHARE = 0.5
#: Calls of steps that are not entitled may use at least one entry, unless entitled calls keep this
#: share of the entries for their length busy, or more.
SATURATED_SHARE = 0.8
#: Time constant of the load averages, and observation time before they are used, in seconds.
LOAD_AVERAGE_SECONDS = 5.0


class CallLength(IntEnum):
    """Length class of a call, which determines the entries that may carry the call."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def call_length(seconds: float) -> CallLength:
    """Return the length class of a call that is expected to take ``seconds``."""
    if seconds <= MAXIMUM_SHORT_CALL_SECONDS:
        return CallLength.SHORT
    return CallLength.MEDIUM if seconds <= MAXIMUM_MEDIUM_CALL_SECONDS else CallLength.LONG


class _LoadAverage:
    """Exponentially decaying average of the call seconds that arrive per second."""

    __slots__ = ("_average", "_updated_at")

    def __init__(self) -> None:
        self._average = 0.0
        self._updated_at = 0.0

    def add(self, seconds: float, now: float) -> None:
        self._average = self.average_at(now) + seconds / LOAD_AVERAGE_SECONDS
        self._updated_at = now

    def average_at(self, now: float) -> float:
        return self._average * math.exp((self._updated_at - now) / LOAD_AVERAGE_SECONDS)


class EntryPartition:
    """Partitions the entries among short, medium and long calls, by the observed load."""

    def __init__(self) -> None:
        self._short = _LoadAverage()
        self._medium = _LoadAverage()
        self._observed_since: float | None = None
        #: Load of the calls of entitled steps, by length.
        self._entitled = {length: _LoadAverage() for length in CallLength}

    def record_call(self, seconds: float, now: float) -> None:
        """Add a new call to the load of its length class."""
        if self._observed_since is None:
            self._observed_since = now
        if seconds <= MAXIMUM_SHORT_CALL_SECONDS:
            self._short.add(seconds, now)
        elif seconds <= MAXIMUM_MEDIUM_CALL_SECONDS:
            self._medium.add(seconds, now)

    def record_entitled_call(self, seconds: float, now: float) -> None:
        """Add a new call of an entitled step to the load of entitled calls."""
        self._entitled[call_length(seconds)].add(seconds, now)

    def entitled_load(self, length: CallLength, now: float) -> float:
        """Return how many entries the entitled calls of a length keep busy on average."""
        return self._entitled[length].average_at(now)

    def spare_entries(self, length: CallLength, count: int, now: float) -> int:
        """Return how many entries may at one time carry calls of steps that are not entitled.

        Parameters
        ----------
        count : int
            Number of entries for calls of the length.
        """
        load = self.entitled_load(length, now)
        spare = min(int(MAXIMUM_UNENTITLED_SHARE * count), int(count - ENTITLED_HEADROOM * load))
        return max(spare, int(load < SATURATED_SHARE * count))

    def entry_range(self, seconds: float, count: int, now: float) -> tuple[int, int]:
        """Return the start and the end of the range of entries for calls of a length.

        Entries before the range carry no calls of this length; entries after the range carry them
        when the range is busy.

        Parameters
        ----------
        seconds : float
            Expected duration of the call.
        count : int
            Number of usable entries.
        """
        short_only, short_or_medium = self._range_bounds(count, now)
        if seconds > MAXIMUM_MEDIUM_CALL_SECONDS:
            return short_or_medium, count
        if seconds > MAXIMUM_SHORT_CALL_SECONDS:
            return short_only, max(short_or_medium, short_only + 1)
        return 0, max(short_only, 1)

    def _range_bounds(self, count: int, now: float) -> tuple[int, int]:
        """Return the positions at which the entries for medium and for long calls begin."""
        short_only = int(SHORT_ONLY_SHARE * count)
        medium = int(SHORT_OR_MEDIUM_SHARE * count) - short_only
        if self._observed_since is not None and now - self._observed_since > LOAD_AVERAGE_SECONDS:
            short_only = min(short_only, math.ceil(SHORT_HEADROOM * self._short.average_at(now)))
            medium = min(medium, math.ceil(MEDIUM_HEADROOM * self._medium.average_at(now)))
        return short_only, short_only + medium
