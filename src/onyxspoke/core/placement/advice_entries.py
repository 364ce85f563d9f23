"""Tracks the entries that carry calls to the advice service, and chooses an entry for each call.

The service handles one call per entry at a time, so each entry has at most two calls in flight: one
that is handled and one that waits.  An entry that does not answer in time is suspected.  It gets no
calls for a backoff that doubles each time, up to a limit, and then a single call as a probe.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import (
    MAXIMUM_SHORT_CALL_SECONDS,
    CallLength,
    EntryPartition,
    call_length,
)
from onyxspoke.core.shard.log_records import ShardId

#: Maximum number of calls in flight through one entry.
MAXIMUM_CALLS_PER_ENTRY = 2
#: A call is overdue after this multiple of its expected duration, plus a margin in seconds.  It is
#: then made through another entry, but a late answer is still used.
OVERDUE_FACTOR = 1.5
OVERDUE_MARGIN_SECONDS = 0.3
#: Lower limit, in seconds, of a margin that is derived from the lateness of earlier answers;
#: ``OVERDUE_MARGIN_SECONDS`` is the upper limit.
MINIMUM_OVERDUE_MARGIN_SECONDS = 0.08
#: A derived margin is the average lateness of answers plus this multiple of the mean deviation.
TOLERATED_DEVIATIONS = 4.0
#: Weight of the previous average when an answer updates the average lateness.
LATENESS_HISTORY_WEIGHT = 0.9
#: First and longest backoff, in seconds, of an entry that did not answer a call.
SUSPECT_SECONDS = 1.0
MAXIMUM_SUSPECT_SECONDS = 4.0
#: Limit on the exponent of the backoff, which would overflow after a long outage.
MAXIMUM_DOUBLINGS = 8
#: Backoff, in seconds, while all entries are suspected.
ALL_SUSPECTED_RETRY_SECONDS = 0.1
#: Slowness is the duration of calls as a multiple of their expected duration.  An entry counts as
#: slow above the first value.  A measured slowness is capped at the second value, so that one very
#: late answer does not dominate.
SLOW_ENTRY_FACTOR = 1.5
MAXIMUM_ENTRY_SLOWNESS = 4.0
#: Calls shorter than this, in seconds, are treated as this long when slowness is measured, so that
#: one late answer to a short call does not make its entry slow.
MINIMUM_SLOWNESS_SAMPLE_SECONDS = 0.1
#: Upper limit on the slowness of the service as a whole, as a multiple of the expected duration.
MAXIMUM_SERVICE_SLOWNESS = 2.0
#: Number of tries of a call with the normal timeout; later tries get twice the timeout.
TRIES_BEFORE_LONGER_TIMEOUT = 2


@dataclass(slots=True)
class AdviceEntry:
    """An entry that carries calls to the advice service.

    Attributes
    ----------
    name : str
        Name of the entry.
    tie_break : int
        Order among equally suitable entries; the lowest is chosen.
    position : int
        Index among the usable entries.
    free_at : float
        When the entry is expected to have finished its calls.
    in_flight : dict of int to AdviceCall
        Calls that the entry carries, by call id.
    suspected_until : float
        When the backoff of a suspected entry ends.
    suspected_at : float
        When the entry was last suspected.
    suspect_count : int
        Number of times that the entry was suspected since its last answer.
    slowness : float
        Average duration of the entry's calls, as a multiple of their expected duration.
    """

    name: str
    tie_break: int
    position: int
    free_at: float = 0.0
    in_flight: dict[int, AdviceCall] = field(default_factory=dict)
    suspected_until: float = 0.0
    suspected_at: float = -math.inf
    suspect_count: int = 0
    slowness: float = 1.0

    def carries_unentitled_call(self) -> bool:
        """Return whether the entry carries a call of a step that is not entitled."""
        return any(not call.rank.is_entitled for call in self.in_flight.values())


class AdviceEntryPool:
    """Tracks the state of all entries, and chooses an entry for each call.

    Parameters
    ----------
    shard : int
        The shard whose holder makes the calls; holders of other shards use the same entries.
    uses_fair_shares : bool
        Whether tenants share the entries fairly.  If so, steps that are not entitled use only the
        entries that entitled steps leave free, and suspected entries carry no calls.
    """

    def __init__(self, shard: ShardId, uses_fair_shares: bool) -> None:
        self._shard = shard
        self._has_shares = uses_fair_shares
        self._by_name: dict[str, AdviceEntry] = {}
        #: The entries that may carry calls in this pass, in order of position.
        self.usable: list[AdviceEntry] = []
        self.partition = EntryPartition()
        #: Duration of the latest answered call, as a multiple of its expected duration.
        self._service_slowness = 1.0
        #: Average lateness of answers, and the mean deviation from that average, in seconds.
        self._lateness = OVERDUE_MARGIN_SECONDS / TOLERATED_DEVIATIONS
        self._deviation = OVERDUE_MARGIN_SECONDS / TOLERATED_DEVIATIONS
        #: By length and entitlement: the duration in seconds of the longest call that found no
        #: entry in this pass.
        self._longest_rejected: dict[tuple[CallLength, bool], float] = {}

    def set_entries(self, names: list[str]) -> None:
        """Replace the entries, given the holder first; known entries keep their state."""
        previous = self._by_name
        self._by_name = {}
        for position, name in enumerate(names):
            entry = previous.get(name) or AdviceEntry(name, 0, position)
            entry.position = position
            entry.tie_break = self._tie_break(name, position)
            self._by_name[name] = entry
        self.usable = list(self._by_name.values())

    def find(self, name: str) -> AdviceEntry | None:
        """Return the entry with a name, or ``None`` if no entry has that name."""
        return self._by_name.get(name)

    def begin_pass(self, now: float) -> None:
        """Determine which entries may carry calls in this pass."""
        self._longest_rejected.clear()
        all_entries = list(self._by_name.values())
        if not self._has_shares:
            self.usable = all_entries
            return
        responsive = [entry for entry in all_entries if now >= entry.suspected_until]
        self.usable = responsive or [
            entry
            for entry in all_entries
            if now >= entry.suspected_at + ALL_SUSPECTED_RETRY_SECONDS
        ]
        for position, entry in enumerate(self.usable):
            entry.position = position

    def choose_entry(self, call: AdviceCall, now: float) -> AdviceEntry | None:
        """Return the entry that takes a call now, or ``None`` if the call has to wait."""
        if not self._has_shares:
            return self._choose_earliest_free(call, now)
        call_class = (call_length(call.seconds), call.rank.is_entitled)
        if call.seconds <= self._longest_rejected.get(call_class, -1.0):
            return None
        chosen = (
            self._choose_earliest_free(call, now)
            if call.rank.is_entitled
            else self._choose_idle(call, now)
        )
        if chosen is None:
            self._longest_rejected[call_class] = call.seconds
        return chosen

    def start_call(self, call: AdviceCall, entry: AdviceEntry, now: float) -> None:
        """Record that an entry now carries a call."""
        call.entry_name = entry.name
        call.started_at = max(entry.free_at, now)
        entry.free_at = call.started_at + self._expected_seconds(call, entry)
        entry.in_flight[call.call_id] = call
        call.overdue_at = self._overdue_at(call, entry)

    def finish_call(self, call: AdviceCall, now: float) -> None:
        """Record that a call has ended, whether answered or not."""
        entry = self._by_name.get(call.entry_name)
        if entry is None or entry.in_flight.pop(call.call_id, None) is None:
            return
        if not entry.in_flight:
            entry.free_at = now
        elif self._has_shares:
            self._restart_next_call(entry, now)

    def record_answer(self, call: AdviceCall, now: float) -> None:
        """Update the measured slowness and lateness from a call that was answered in time."""
        elapsed = max(0.0, now - call.started_at)
        self._service_slowness = elapsed / max(call.seconds, MAXIMUM_SHORT_CALL_SECONDS)
        self.record_slowness(call, now)
        lateness = max(0.0, elapsed - call.seconds)
        self._deviation += (1.0 - LATENESS_HISTORY_WEIGHT) * (
            abs(lateness - self._lateness) - self._deviation
        )
        self._lateness += (1.0 - LATENESS_HISTORY_WEIGHT) * (lateness - self._lateness)

    def record_slowness(self, call: AdviceCall, now: float) -> None:
        """Update the slowness of an entry from an answered call, even if the answer was late."""
        entry = self._by_name.get(call.entry_name)
        if entry is not None:
            ratio = (now - call.started_at) / max(call.seconds, MINIMUM_SLOWNESS_SAMPLE_SECONDS)
            entry.slowness += 0.5 * (min(max(ratio, 1.0), MAXIMUM_ENTRY_SLOWNESS) - entry.slowness)

    def suspect(self, entry: AdviceEntry, now: float) -> bool:
        """Suspect an entry that did not answer a call; return whether a new backoff has begun.

        Without fair shares the result is always false.
        """
        if not self._has_shares:
            entry.suspected_until = now + SUSPECT_SECONDS
            return False
        if now < entry.suspected_until and now < entry.suspected_at + ALL_SUSPECTED_RETRY_SECONDS:
            return False
        doublings = min(entry.suspect_count, MAXIMUM_DOUBLINGS)
        backoff_seconds = min(SUSPECT_SECONDS * 2.0**doublings, MAXIMUM_SUSPECT_SECONDS)
        entry.suspect_count += 1
        entry.suspected_at = now
        entry.suspected_until = now + backoff_seconds
        return True

    def clear_suspicion(self, entry: AdviceEntry, now: float) -> int:
        """End the backoff of an entry that has answered; return its previous suspect count."""
        suspect_count, entry.suspect_count = entry.suspect_count, 0
        entry.suspected_until = min(entry.suspected_until, now)
        return suspect_count

    def next_probe_at(self) -> float:
        """Return the earliest end of any entry's backoff; infinity if there are no entries."""
        return min((entry.suspected_until for entry in self._by_name.values()), default=math.inf)

    def _choose_earliest_free(self, call: AdviceCall, now: float) -> AdviceEntry | None:
        """Return the entry that is free first.

        Return ``None`` if the wait for that entry is longer than the call itself.
        """
        range_start, range_end = self.partition.entry_range(call.seconds, len(self.usable), now)
        best: AdviceEntry | None = None
        best_score = (1, math.inf, 0, 0, 0)
        for entry in self.usable:
            if entry.position < range_start or not self._has_call_slot(entry):
                continue
            is_suspected = int(now < entry.suspected_until)
            # Add the extra time that a slow entry takes, so that faster entries are preferred.
            extra_seconds = self._expected_seconds(call, entry) - call.seconds
            free_at = max(entry.free_at, now) + extra_seconds
            is_outside_range = int(entry.position >= range_end)
            is_probed = int(self._has_shares and entry.suspect_count > 0)
            score = (is_suspected, free_at, is_probed, is_outside_range, entry.tie_break)
            if score < best_score:
                best, best_score = entry, score
        if best is None or best.free_at - now > call.seconds:
            return None
        return best

    def _choose_idle(self, call: AdviceCall, now: float) -> AdviceEntry | None:
        """Return an idle entry for a call of a step that is not entitled.

        Only the entries for calls of this length are considered, and only part of them may carry
        calls of such steps at the same time.
        """
        range_start, range_end = self.partition.entry_range(call.seconds, len(self.usable), now)
        own_range = self.usable[range_start:range_end]
        max_unentitled = self.partition.spare_entries(
            call_length(call.seconds), len(own_range), now
        )
        if sum(entry.carries_unentitled_call() for entry in own_range) >= max_unentitled:
            return None
        idle = [entry for entry in own_range if not entry.in_flight]
        return min(idle, key=_idle_order, default=None)

    def _has_call_slot(self, entry: AdviceEntry) -> bool:
        is_probed = self._has_shares and entry.suspect_count > 0
        return len(entry.in_flight) < (1 if is_probed else MAXIMUM_CALLS_PER_ENTRY)

    def _restart_next_call(self, entry: AdviceEntry, now: float) -> None:
        """Set the start of the entry's next call to now, because the call before it has ended."""
        entry.free_at = now
        for call in entry.in_flight.values():
            call.started_at = entry.free_at
            entry.free_at += self._expected_seconds(call, entry)
            call.overdue_at = self._overdue_at(call, entry)

    def _expected_seconds(self, call: AdviceCall, entry: AdviceEntry) -> float:
        is_slow = self._has_shares and entry.slowness > SLOW_ENTRY_FACTOR
        return call.seconds * entry.slowness if is_slow else call.seconds

    def _overdue_at(self, call: AdviceCall, entry: AdviceEntry) -> float:
        expected = call.seconds * max(1.0, self._service_slowness)
        if not self._has_shares:
            return call.started_at + OVERDUE_FACTOR * expected + OVERDUE_MARGIN_SECONDS
        expected = min(expected, call.seconds * MAXIMUM_SERVICE_SLOWNESS)
        expected = max(expected, self._expected_seconds(call, entry))
        tolerated = self._lateness + TOLERATED_DEVIATIONS * self._deviation
        lateness = min(max(tolerated, MINIMUM_OVERDUE_MARGIN_SECONDS), OVERDUE_MARGIN_SECONDS)
        # Later tries wait longer, so that an overloaded service does not receive more calls than
        # it answers.
        timeout_factor = 1.0 if call.previous_tries < TRIES_BEFORE_LONGER_TIMEOUT else 2.0
        return call.started_at + (OVERDUE_FACTOR * expected + lateness) * timeout_factor

    def _tie_break(self, name: str, position: int) -> int:
        """Return an entry's place among equally suitable entries; the lowest is chosen.

        The holder itself comes first, because it is local.  The other entries have a different
        order for each shard, because holders of different shards do not see each other's calls.
        """
        return zlib.crc32(f"{self._shard}/{name}".encode()) if position else -1


def _idle_order(entry: AdviceEntry) -> tuple[bool, int]:
    return entry.suspect_count > 0, entry.tie_break
