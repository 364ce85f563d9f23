"""How long a call for advice would wait, by what waits and what is under way.

Made anew after each pass, so that a look costs little however long the line is.  Calls are taken
for a fluid: an entry takes on what comes next as soon as it is free.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

from onyxspoke.core.placement.advice_entries import AdviceEntries
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import CallLength, length_of
from onyxspoke.core.placement.queue_order import StepRank

#: Entries that are left for what is not owed, at least, where owed calls would take them all.
FEWEST_LEFT = 0.25
#: A call as long as each length, in seconds, to find its entries.
_TYPICAL_SECONDS = {CallLength.SHORT: 0.0, CallLength.MEDIUM: 0.1, CallLength.LONG: 1.0}


class _LengthForecast:
    """The line of calls of one length."""

    __slots__ = (
        "_ahead",
        "_capacity",
        "_free_at",
        "_free_sums",
        "_left",
        "_next_left_at",
        "_owed",
        "_ranks",
    )

    def __init__(
        self, length: CallLength, calls: list[AdviceCall], entries: AdviceEntries, now: float
    ) -> None:
        seconds = _TYPICAL_SECONDS[length]
        first, behind = entries.places.places_for(seconds, len(entries.usable), now)
        reached = entries.usable[first:]
        self._ranks = [call.rank for call in calls]
        self._ahead = list(accumulate((call.seconds for call in calls), initial=0.0))
        self._owed = self._ahead[sum(call.rank.is_entitled for call in calls)]
        self._free_at = sorted(max(now, entry_name.free_at) for entry_name in reached)
        self._free_sums = list(accumulate(self._free_at, initial=0.0))
        #: Work that the entries take on until each of them becomes free, in seconds.
        self._capacity = [
            count * free_at - total
            for count, (free_at, total) in enumerate(
                zip(self._free_at, self._free_sums, strict=False)
            )
        ]
        own = entries.usable[first:behind]
        self._left = float(entries.places.left_over(length, len(own), now))
        taken = sorted(entry_name.free_at for entry_name in own if entry_name.carries_others())
        is_full = self._left <= len(taken)
        self._next_left_at = taken[0] if taken and is_full else now

    def begins_at(self, rank: StepRank) -> float:
        """Return when a call of a rank would begin; infinity while no entry answers."""
        if not self._free_at:
            return math.inf
        ahead = self._ahead[bisect_right(self._ranks, rank)]
        if rank.is_entitled:
            return self._level(ahead)
        owed_done_at = self._level(self._owed)
        left = max(self._left, FEWEST_LEFT)
        return max(owed_done_at, self._next_left_at) + (ahead - self._owed) / left

    def _level(self, work: float) -> float:
        """Return when the entries have taken on so many seconds of work, and one is free."""
        count = bisect_right(self._capacity, work)
        return max(self._free_at[0], (work + self._free_sums[count]) / count)


class LineForecast:
    """When calls begin, as it looks after one pass.

    Parameters
    ----------
    calls : list of AdviceCall
        Those that wait, the one to be made first in front.
    """

    def __init__(self, calls: list[AdviceCall], entries: AdviceEntries, now: float) -> None:
        by_length: dict[CallLength, list[AdviceCall]] = {length: [] for length in CallLength}
        for call in calls:
            by_length[length_of(call.seconds)].append(call)
        self._by_length = {
            length: _LengthForecast(length, waiting, entries, now)
            for length, waiting in by_length.items()
        }
        self._next_trial_at = entries.next_trial_at()

    def wait_seconds(self, call_seconds: float, rank: StepRank, now: float) -> float:
        """Return about how long a call of a rank would wait until an entry takes it."""
        begins_at = self._by_length[length_of(call_seconds)].begins_at(rank)
        if math.isinf(begins_at):
            begins_at = self._next_trial_at
        return max(0.0, begins_at - now) if math.isfinite(begins_at) else 0.0
