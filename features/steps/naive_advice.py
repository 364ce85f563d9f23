"""The line for advice without shares, as plainly as it can be written."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

from onyxspoke.core.placement.entry_partition import SHORT_CALL_SECONDS, EntryPartition


@dataclass
class _Call:
    number: int
    step: Any
    seconds: float
    rank: Any
    entry: str = ""
    begun_at: float = 0.0
    overdue_at: float = math.inf


class NaiveDesk:
    """Ranks stay as they were wanted; an entry in doubt comes last for 1 s; retries after 0.1 s."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.free_at: dict[str, float] = {}
        self.doubted_until: dict[str, float] = {}
        self.waiting: list[_Call] = []
        self.out: list[_Call] = []
        self.open: dict[Any, int] = {}
        self.retry_at: dict[Any, float] = {}
        self.places = EntryPartition()
        self.slowness = 1.0
        self.count = 0

    def set_advice_entries(self, names: list[str], now: float) -> None:
        gone = set(self.names) - set(names)
        self.names = names
        for name in gone:
            self.free_at.pop(name, None)
            self.doubted_until.pop(name, None)
        for call in [call for call in self.out if call.entry not in names]:
            self.give_up(call, now)

    def want(self, step: Any, seconds: float, rank: Any, now: float) -> None:
        if self.open.get(step, 0) > 0 or now < self.retry_at.get(step, 0.0):
            return
        self.count += 1
        self.open[step] = self.open.get(step, 0) + 1
        self.places.note_call(seconds, now)
        self.waiting.append(_Call(self.count, step, seconds, rank))

    def dispatch(self, now: float) -> list[tuple[int, str]]:
        for call in [call for call in self.out if now >= call.overdue_at]:
            self.give_up(call, now)
        sent = []
        for call in sorted(self.waiting, key=lambda call: (call.rank, call.number)):
            scores = sorted(score for name in self.names for score in self.score(name, call, now))
            if not scores or scores[0][1] - now > call.seconds:
                continue
            call.entry = scores[0][-1]
            call.begun_at = scores[0][1]
            self.free_at[call.entry] = call.begun_at + call.seconds
            expected = call.seconds * max(1.0, self.slowness)
            # As the desk reckons: to the last bit.
            begun_at = self.free_at[call.entry] - call.seconds
            call.begun_at = begun_at
            call.overdue_at = begun_at + 1.5 * expected + 0.3
            self.waiting.remove(call)
            self.out.append(call)
            sent.append((call.number, call.entry))
        return sent

    def score(self, name: str, call: _Call, now: float) -> list[tuple[Any, ...]]:
        first, behind = self.places.places_for(call.seconds, len(self.names), now)
        place = self.names.index(name)
        if place < first or sum(other.entry == name for other in self.out) >= 2:
            return []
        preference = zlib.crc32(f"0/{name}".encode()) if place else -1
        free_at = max(self.free_at.get(name, 0.0), now)
        is_doubted = now < self.doubted_until.get(name, 0.0)
        return [(is_doubted, free_at, place >= behind, preference, name)]

    def answer(self, number: int, now: float) -> None:
        for call in [call for call in self.out if call.number == number]:
            took = max(0.0, now - call.begun_at)
            self.slowness = took / max(call.seconds, SHORT_CALL_SECONDS)
            self.end(call, now)
            self.open[call.step] -= 1

    def fail(self, number: int, now: float) -> None:
        for call in [call for call in self.out if call.number == number]:
            self.give_up(call, now)

    def give_up(self, call: _Call, now: float) -> None:
        self.end(call, now)
        if call.entry in self.names:
            self.doubted_until[call.entry] = now + 1.0
        self.open[call.step] -= 1
        self.retry_at[call.step] = now + 0.1

    def end(self, call: _Call, now: float) -> None:
        self.out.remove(call)
        if call.entry in self.names and not any(one.entry == call.entry for one in self.out):
            self.free_at[call.entry] = now
