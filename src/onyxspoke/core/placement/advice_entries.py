"""The entries that carry calls for advice: which of them answer, and which takes a call.

The service works for each entry on one call at a time, so every entry has a line of its own, of
two calls at most.  An entry that does not answer in time is doubted: it gets nothing for a while,
twice as long each time, and then one call as a trial.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import (
    SHORT_CALL_SECONDS,
    CallLength,
    EntryPartition,
    length_of,
)
from onyxspoke.core.shard.log_records import ShardId

#: Calls that may be under way through one entry.
MAXIMUM_CALLS_EACH = 2
#: A call is asked elsewhere when it takes so much longer than it should, and so many seconds more;
#: its answer is of use all the same should it come yet.
OVERDUE_FACTOR = 1.5
OVERDUE_SECONDS = 0.3
#: Such seconds at least, where answers were seen to come more promptly.
PROMPT_OVERDUE_SECONDS = 0.08
#: Lateness that is still usual, as a multiple of the mean deviation from the mean.
USUAL_DEVIATIONS = 4.0
#: Of the lateness that was seen, so much is kept at each answer.
LATENESS_KEPT = 0.9
#: An entry through which a call was not answered is not used for so long at first, and at most.
DOUBT_SECONDS = 1.0
LONGEST_DOUBT_SECONDS = 4.0
#: From so many doubts in a row on the pause grows no more; an outage may bring thousands.
MAXIMUM_DOUBLINGS = 8
#: Where no entry answers, each is tried again after so long, in seconds.
LAST_RESORT_SECONDS = 0.1
#: An entry that takes so many times as long as it should counts as slow; more is not believed.
SLOW_FACTOR = 1.5
SLOWEST_FACTOR = 4.0
#: One late answer of a shorter call than this, in seconds, does not make an entry slow.
TELLING_SECONDS = 0.1
#: What the service as a whole is believed to be slower than it should, at most.
SLOWEST_SERVICE = 2.0
#: The patience with a call is doubled from its third try on.
TRIES_ALIKE = 2


@dataclass(slots=True)
class Advisor:
    """An entry that carries calls; ``position`` is its place among those that answer."""

    name: str
    preference: int
    position: int
    free_at: float = 0.0
    out: dict[int, AdviceCall] = field(default_factory=dict)
    doubted_until: float = 0.0
    doubted_at: float = -math.inf
    #: Times in a row that it was doubted.
    doubts: int = 0
    #: How long its answers take, as a multiple of what they should.
    slowness: float = 1.0

    def carries_others(self) -> bool:
        """Return whether it carries a call of a step that is not owed."""
        return any(not call.rank.is_entitled for call in self.out.values())


class AdviceEntries:
    """Keeps the entries, and chooses which one takes a call.

    Parameters
    ----------
    shard : int
        Whose holder asks; holders of other shards use the same entries.
    uses_fair_shares : bool
        Whether steps that are not owed get only what owed ones leave, and entries that do not
        answer are left out of the count.
    """

    def __init__(self, shard: ShardId, uses_fair_shares: bool) -> None:
        self._shard = shard
        self._has_shares = uses_fair_shares
        self._all: dict[str, Advisor] = {}
        #: Those that carry calls now, in their order.
        self.usable: list[Advisor] = []
        self.places = EntryPartition()
        #: How long the latest answer took, as a share of what the policy says.
        self._slowness = 1.0
        #: How late answers come, in seconds, and by how much that differs.
        self._lateness = OVERDUE_SECONDS / USUAL_DEVIATIONS
        self._deviation = OVERDUE_SECONDS / USUAL_DEVIATIONS
        #: The longest calls of each length that found no entry in this pass.
        self._refused: dict[tuple[CallLength, bool], float] = {}

    def set_names(self, names: list[str]) -> None:
        """Take the entries through which calls can go, the holder first."""
        former = self._all
        self._all = {}
        for position, name in enumerate(names):
            entry_name = former.get(name) or Advisor(name, 0, position)
            entry_name.position = position
            entry_name.preference = self._preference(name, position)
            self._all[name] = entry_name
        self.usable = list(self._all.values())

    def find(self, name: str) -> Advisor | None:
        """Return an entry, if calls can go through it."""
        return self._all.get(name)

    def begin_pass(self, now: float) -> None:
        """Look which entries carry calls now."""
        self._refused.clear()
        everyone = list(self._all.values())
        if not self._has_shares:
            self.usable = everyone
            return
        answering = [entry_name for entry_name in everyone if now >= entry_name.doubted_until]
        self.usable = answering or [
            entry_name
            for entry_name in everyone
            if now >= entry_name.doubted_at + LAST_RESORT_SECONDS
        ]
        for position, entry_name in enumerate(self.usable):
            entry_name.position = position

    def choose(self, call: AdviceCall, now: float) -> Advisor | None:
        """Return the entry that takes a call now, if there is one."""
        if not self._has_shares:
            return self._choose_soonest(call, now)
        kind = (length_of(call.seconds), call.rank.is_entitled)
        if call.seconds <= self._refused.get(kind, -1.0):
            return None
        chosen = (
            self._choose_soonest(call, now)
            if call.rank.is_entitled
            else self._choose_idle(call, now)
        )
        if chosen is None:
            self._refused[kind] = call.seconds
        return chosen

    def begin(self, call: AdviceCall, entry_name: Advisor, now: float) -> None:
        """A call goes out through an entry."""
        call.entry_name = entry_name.name
        call.begun_at = max(entry_name.free_at, now)
        entry_name.free_at = call.begun_at + self._seconds_at(call, entry_name)
        entry_name.out[call.call_id] = call
        call.overdue_at = self._overdue_at(call, entry_name)

    def end(self, call: AdviceCall, now: float) -> None:
        """A call is out no more, whatever became of it."""
        entry_name = self._all.get(call.entry_name)
        if entry_name is None or entry_name.out.pop(call.call_id, None) is None:
            return
        if not entry_name.out:
            entry_name.free_at = now
        elif self._has_shares:
            self._begin_next(entry_name, now)

    def note_answer(self, call: AdviceCall, now: float) -> None:
        """A call was answered: learn how long that takes."""
        took = max(0.0, now - call.begun_at)
        self._slowness = took / max(call.seconds, SHORT_CALL_SECONDS)
        self.note_pace(call, now)
        late = max(0.0, took - call.seconds)
        self._deviation += (1.0 - LATENESS_KEPT) * (abs(late - self._lateness) - self._deviation)
        self._lateness += (1.0 - LATENESS_KEPT) * (late - self._lateness)

    def note_pace(self, call: AdviceCall, now: float) -> None:
        """A call was answered, in time or not: learn how slow its entry is."""
        entry_name = self._all.get(call.entry_name)
        if entry_name is not None:
            ratio = (now - call.begun_at) / max(call.seconds, TELLING_SECONDS)
            entry_name.slowness += 0.5 * (
                min(max(ratio, 1.0), SLOWEST_FACTOR) - entry_name.slowness
            )

    def doubt(self, entry_name: Advisor, now: float) -> bool:
        """A call was not answered in time; return whether the entry was not doubted before."""
        if not self._has_shares:
            entry_name.doubted_until = now + DOUBT_SECONDS
            return False
        if now < entry_name.doubted_until and now < entry_name.doubted_at + LAST_RESORT_SECONDS:
            return False
        doublings = min(entry_name.doubts, MAXIMUM_DOUBLINGS)
        pause = min(DOUBT_SECONDS * 2.0**doublings, LONGEST_DOUBT_SECONDS)
        entry_name.doubts += 1
        entry_name.doubted_at = now
        entry_name.doubted_until = now + pause
        return True

    def trust(self, entry_name: Advisor, now: float) -> int:
        """An entry has answered; return how often in a row it was doubted."""
        doubts, entry_name.doubts = entry_name.doubts, 0
        entry_name.doubted_until = min(entry_name.doubted_until, now)
        return doubts

    def next_trial_at(self) -> float:
        """Return when the next entry that is doubted may carry a call; infinity if none is."""
        return min(
            (entry_name.doubted_until for entry_name in self._all.values()), default=math.inf
        )

    def _choose_soonest(self, call: AdviceCall, now: float) -> Advisor | None:
        """Return the entry that is free first, unless that takes longer than the call."""
        first, behind = self.places.places_for(call.seconds, len(self.usable), now)
        best: Advisor | None = None
        best_score = (1, math.inf, 0, 0, 0)
        for entry_name in self.usable:
            if entry_name.position < first or not self._may_take(entry_name):
                continue
            is_doubted = int(now < entry_name.doubted_until)
            # A slow entry counts as free by so much later as it takes longer.
            extra = self._seconds_at(call, entry_name) - call.seconds
            free_at = max(entry_name.free_at, now) + extra
            is_elsewhere = int(entry_name.position >= behind)
            on_trial = int(self._has_shares and entry_name.doubts > 0)
            score = (is_doubted, free_at, on_trial, is_elsewhere, entry_name.preference)
            if score < best_score:
                best, best_score = entry_name, score
        if best is None or best.free_at - now > call.seconds:
            return None
        return best

    def _choose_idle(self, call: AdviceCall, now: float) -> Advisor | None:
        """Return an entry for a call that is not owed: an idle one of those that owed ones leave.

        It has to be one of those for calls of its length, and so many of these at most carry what
        is not owed.
        """
        first, behind = self.places.places_for(call.seconds, len(self.usable), now)
        places = self.usable[first:behind]
        most = self.places.left_over(length_of(call.seconds), len(places), now)
        if sum(entry_name.carries_others() for entry_name in places) >= most:
            return None
        idle = [entry_name for entry_name in places if not entry_name.out]
        return min(idle, key=_by_trial, default=None)

    def _may_take(self, entry_name: Advisor) -> bool:
        on_trial = self._has_shares and entry_name.doubts > 0
        return len(entry_name.out) < (1 if on_trial else MAXIMUM_CALLS_EACH)

    def _begin_next(self, entry_name: Advisor, now: float) -> None:
        """The call that waited behind another begins only now."""
        entry_name.free_at = now
        for call in entry_name.out.values():
            call.begun_at = entry_name.free_at
            entry_name.free_at += self._seconds_at(call, entry_name)
            call.overdue_at = self._overdue_at(call, entry_name)

    def _seconds_at(self, call: AdviceCall, entry_name: Advisor) -> float:
        is_slow = self._has_shares and entry_name.slowness > SLOW_FACTOR
        return call.seconds * entry_name.slowness if is_slow else call.seconds

    def _overdue_at(self, call: AdviceCall, entry_name: Advisor) -> float:
        expected = call.seconds * max(1.0, self._slowness)
        if not self._has_shares:
            return call.begun_at + OVERDUE_FACTOR * expected + OVERDUE_SECONDS
        expected = min(expected, call.seconds * SLOWEST_SERVICE)
        expected = max(expected, self._seconds_at(call, entry_name))
        usual = self._lateness + USUAL_DEVIATIONS * self._deviation
        late = min(max(usual, PROMPT_OVERDUE_SECONDS), OVERDUE_SECONDS)
        # A further try waits longer, so that a service that is slow as a whole gets no more
        # calls than it answers.
        patience = 1.0 if call.tries < TRIES_ALIKE else 2.0
        return call.begun_at + (OVERDUE_FACTOR * expected + late) * patience

    def _preference(self, name: str, position: int) -> int:
        """Return an advisor's place among those that are equally free; the lowest comes first.

        The holder itself is nearest; the others are in another order for each shard, whose
        holders do not know of each other's calls.
        """
        return zlib.crc32(f"{self._shard}/{name}".encode()) if position else -1


def _by_trial(entry_name: Advisor) -> tuple[bool, int]:
    return entry_name.doubts > 0, entry_name.preference
