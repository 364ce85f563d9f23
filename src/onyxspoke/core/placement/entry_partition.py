"""Which entries carry which calls for advice: short, medium and long ones keep apart.

The advice service works for each entry on one call at a time, so a short call, which is an urgent
one, that went where a long one is under way would wait for it.  The first entries are kept for
short calls and the next for medium ones: as many as their load asks for, as it was observed, and
no more than a fixed share, so that long calls get the rest.
"""

from __future__ import annotations

import math
from enum import IntEnum

#: Calls at most so long may go through any entry, in seconds.
SHORT_CALL_SECONDS = 0.04
#: Calls at most so long leave the first entries to the short ones.
MEDIUM_CALL_SECONDS = 0.25
#: Share of the entries at most that only short calls use, and that short and medium ones use.
SHORT_ONLY_SHARE = 0.28
SHORT_OR_MEDIUM_SHARE = 0.55
#: Entries kept for a kind of calls, as a multiple of the entries that its load keeps busy: with a
#: third of them busy, few calls find their entry taken.
SHORT_HEADROOM = 3.0
MEDIUM_HEADROOM = 2.0
#: What tenants are not owed leaves so many times the entries that owed calls of a kind keep busy,
#: and takes a share of the kind's entries at most, so that owed calls find some at once.
OWED_HEADROOM = 1.5
NOT_OWED_SHARE = 0.5
#: One entry stays for what is not owed, unless owed calls keep so much of them busy.
FULL_SHARE = 0.8
#: Over how long the load is averaged, and how long it is observed before it counts, in seconds.
LOAD_SECONDS = 5.0


class CallLength(IntEnum):
    """Which entries carry a call."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def length_of(seconds: float) -> CallLength:
    """Return how long a call counts as."""
    if seconds <= SHORT_CALL_SECONDS:
        return CallLength.SHORT
    return CallLength.MEDIUM if seconds <= MEDIUM_CALL_SECONDS else CallLength.LONG


class _Load:
    """Seconds of calls a second, averaged."""

    __slots__ = ("_noted_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._noted_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        self._value = self.at(now) + seconds / LOAD_SECONDS
        self._noted_at = now

    def at(self, now: float) -> float:
        return self._value * math.exp((self._noted_at - now) / LOAD_SECONDS)


class EntryPartition:
    """Divides the entries among short, medium and long calls."""

    def __init__(self) -> None:
        self._short = _Load()
        self._medium = _Load()
        self._observed_since: float | None = None
        #: Of the calls of steps that are owed.
        self._owed = {length: _Load() for length in CallLength}

    def note_call(self, seconds: float, now: float) -> None:
        """A call of a length is wanted."""
        if self._observed_since is None:
            self._observed_since = now
        if seconds <= SHORT_CALL_SECONDS:
            self._short.note(seconds, now)
        elif seconds <= MEDIUM_CALL_SECONDS:
            self._medium.note(seconds, now)

    def note_owed(self, seconds: float, now: float) -> None:
        """A call for a step that is owed is wanted."""
        self._owed[length_of(seconds)].note(seconds, now)

    def owed_load(self, length: CallLength, now: float) -> float:
        """Return how many entries owed calls of a length keep busy."""
        return self._owed[length].at(now)

    def left_over(self, length: CallLength, count: int, now: float) -> int:
        """Return through how many of the entries for calls of a length others may go at once."""
        load = self.owed_load(length, now)
        left = min(int(NOT_OWED_SHARE * count), int(count - OWED_HEADROOM * load))
        return max(left, int(load < FULL_SHARE * count))

    def places_for(self, seconds: float, count: int, now: float) -> tuple[int, int]:
        """Return the places, among so many entries, for calls of a length: the first, and behind.

        Entries before the first carry no such calls; those behind do when the others are busy.
        """
        short_only, short_or_medium = self._bounds(count, now)
        if seconds > MEDIUM_CALL_SECONDS:
            return short_or_medium, count
        if seconds > SHORT_CALL_SECONDS:
            return short_only, max(short_or_medium, short_only + 1)
        return 0, max(short_only, 1)

    def _bounds(self, count: int, now: float) -> tuple[int, int]:
        """Return behind how many entries those for medium and for long calls begin."""
        short_only = int(SHORT_ONLY_SHARE * count)
        medium = int(SHORT_OR_MEDIUM_SHARE * count) - short_only
        if self._observed_since is not None and now - self._observed_since > LOAD_SECONDS:
            short_only = min(short_only, math.ceil(SHORT_HEADROOM * self._short.at(now)))
            medium = min(medium, math.ceil(MEDIUM_HEADROOM * self._medium.at(now)))
        return short_only, short_only + medium
