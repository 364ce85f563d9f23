"""Forecasts how long a new call to the advice service waits for an entry.

The forecast is computed once after each pass, so that a query is cheap for any queue length.  It
uses a fluid approximation: the queued calls are treated as a total of seconds of work, which the
entries take on as soon as they are free.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

from onyxspoke.core.placement.advice_entries import AdviceEntryPool
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import CallLength, call_length
from onyxspoke.core.placement.queue_order import StepRank

#: Minimum number of entries that the forecast assumes for steps that are not entitled.  It applies
#: where entitled calls would take all entries.
MINIMUM_SPARE_ENTRIES = 0.25
#: A sample duration of each call length, in seconds, to look up the entries for that length.
_SAMPLE_CALL_SECONDS = {CallLength.SHORT: 0.0, CallLength.MEDIUM: 0.1, CallLength.LONG: 1.0}


class _LengthClassForecast:
    """Forecast for the queued calls of one length."""

    __slots__ = (
        "_entitled_work",
        "_free_at",
        "_free_at_sums",
        "_next_spare_at",
        "_ranks",
        "_spare_entries",
        "_work_before",
        "_work_until_free",
    )

    def __init__(
        self, length: CallLength, calls: list[AdviceCall], entries: AdviceEntryPool, now: float
    ) -> None:
        seconds = _SAMPLE_CALL_SECONDS[length]
        range_start, range_end = entries.partition.entry_range(seconds, len(entries.usable), now)
        reachable = entries.usable[range_start:]
        self._ranks = [call.rank for call in calls]
        self._work_before = list(accumulate((call.seconds for call in calls), initial=0.0))
        self._entitled_work = self._work_before[sum(call.rank.is_entitled for call in calls)]
        self._free_at = sorted(max(now, entry.free_at) for entry in reachable)
        self._free_at_sums = list(accumulate(self._free_at, initial=0.0))
        #: For each entry: seconds of work that entries which are free earlier can take on before it
        #: is free.
        self._work_until_free = [
            count * free_at - total
            for count, (free_at, total) in enumerate(
                zip(self._free_at, self._free_at_sums, strict=False)
            )
        ]
        own_range = entries.usable[range_start:range_end]
        self._spare_entries = float(entries.partition.spare_entries(length, len(own_range), now))
        taken_until = sorted(
            entry.free_at for entry in own_range if entry.carries_unentitled_call()
        )
        is_full = self._spare_entries <= len(taken_until)
        self._next_spare_at = taken_until[0] if taken_until and is_full else now

    def call_starts_at(self, rank: StepRank) -> float:
        """Return when a new call of a rank would start; infinity if no entry is usable."""
        if not self._free_at:
            return math.inf
        work_before = self._work_before[bisect_right(self._ranks, rank)]
        if rank.is_entitled:
            return self._starts_after(work_before)
        entitled_done_at = self._starts_after(self._entitled_work)
        spare_entries = max(self._spare_entries, MINIMUM_SPARE_ENTRIES)
        return (
            max(entitled_done_at, self._next_spare_at)
            + (work_before - self._entitled_work) / spare_entries
        )

    def _starts_after(self, work: float) -> float:
        """Return when the entries have taken on ``work`` seconds of calls and one is free again."""
        count = bisect_right(self._work_until_free, work)
        return max(self._free_at[0], (work + self._free_at_sums[count]) / count)


class QueueForecast:
    """Forecast of the start of new calls, from the state after one pass.

    Parameters
    ----------
    calls : list of AdviceCall
        The queued calls, in the order in which they are to be made.
    """

    def __init__(self, calls: list[AdviceCall], entries: AdviceEntryPool, now: float) -> None:
        by_length: dict[CallLength, list[AdviceCall]] = {length: [] for length in CallLength}
        for call in calls:
            by_length[call_length(call.seconds)].append(call)
        self._by_length = {
            length: _LengthClassForecast(length, queued_calls, entries, now)
            for length, queued_calls in by_length.items()
        }
        self._next_probe_at = entries.next_probe_at()

    def wait_seconds(self, call_seconds: float, rank: StepRank, now: float) -> float:
        """Return the expected time, in seconds, until an entry takes a new call of a rank."""
        call_starts_at = self._by_length[call_length(call_seconds)].call_starts_at(rank)
        if math.isinf(call_starts_at):
            call_starts_at = self._next_probe_at
        return max(0.0, call_starts_at - now) if math.isfinite(call_starts_at) else 0.0
