"""Which entries carry which calls for advice: short, medium and long ones keep apart.

The advice service works for each entry on one call at a time, so a short call, which is an urgent
one, that went where a long one is under way would wait for it.  The first entries are kept for
short calls and the next for medium ones: as many as their load asks for, as it was observed, and
no more than a fixed share, so that long calls get the rest.
"""

from __future__ import annotations

import math

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
#: Over how long the load is averaged, and how long it is observed before it counts, in seconds.
LOAD_SECONDS = 5.0


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


class AdvicePlaces:
    """Divides the entries among short, medium and long calls."""

    def __init__(self) -> None:
        self._short = _Load()
        self._medium = _Load()
        self._observed_since: float | None = None

    def note_call(self, seconds: float, now: float) -> None:
        """A call of a length is wanted."""
        if self._observed_since is None:
            self._observed_since = now
        if seconds <= SHORT_CALL_SECONDS:
            self._short.note(seconds, now)
        elif seconds <= MEDIUM_CALL_SECONDS:
            self._medium.note(seconds, now)

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
