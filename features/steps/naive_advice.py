"""A simple reference implementation of the advice dispatcher without fair shares."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

from onyxspoke.core.placement.entry_partition import MAXIMUM_SHORT_CALL_SECONDS, EntryPartition


@dataclass
class _Call:
    number: int
    step: Any
    seconds: float
    rank: Any
    entry: str = ""
    started_at: float = 0.0
    overdue_at: float = math.inf


class NaiveDispatcher:
    """Ranks are fixed when calls are queued; an entry is suspected for 1 s; retries after 0.1 s."""

    def __init__(self) -> None:
        self.entry_names: list[str] = []
        self.free_at: dict[str, float] = {}
        self.suspected_until: dict[str, float] = {}
        self.queued: list[_Call] = []
        self.in_flight: list[_Call] = []
        self.open_call_counts: dict[Any, int] = {}
        self.retry_at: dict[Any, float] = {}
        self.places = EntryPartition()
        self.slowness = 1.0
        self.last_run_number = 0

    def set_advice_entries(self, entry_names: list[str], now: float) -> None:
        removed_names = set(self.entry_names) - set(entry_names)
        self.entry_names = entry_names
        for name in removed_names:
            self.free_at.pop(name, None)
            self.suspected_until.pop(name, None)
        for call in [call for call in self.in_flight if call.entry not in entry_names]:
            self.give_up(call, now)

    def request_advice(self, step: Any, seconds: float, rank: Any, now: float) -> None:
        if self.open_call_counts.get(step, 0) > 0 or now < self.retry_at.get(step, 0.0):
            return
        self.last_run_number += 1
        self.open_call_counts[step] = self.open_call_counts.get(step, 0) + 1
        self.places.record_call(seconds, now)
        self.queued.append(_Call(self.last_run_number, step, seconds, rank))

    def dispatch(self, now: float) -> list[tuple[int, str]]:
        for call in [call for call in self.in_flight if now >= call.overdue_at]:
            self.give_up(call, now)
        sent_calls = []
        for call in sorted(self.queued, key=lambda call: (call.rank, call.number)):
            sorted_scores = sorted(
                scores_of
                for name in self.entry_names
                for scores_of in self.scores_of(name, call, now)
            )
            if not sorted_scores or sorted_scores[0][1] - now > call.seconds:
                continue
            call.entry = sorted_scores[0][-1]
            call.started_at = sorted_scores[0][1]
            self.free_at[call.entry] = call.started_at + call.seconds
            expected = call.seconds * max(1.0, self.slowness)
            # The dispatcher computes it this way, and the results must be equal to the last bit.
            started_at = self.free_at[call.entry] - call.seconds
            call.started_at = started_at
            call.overdue_at = started_at + 1.5 * expected + 0.3
            self.queued.remove(call)
            self.in_flight.append(call)
            sent_calls.append((call.number, call.entry))
        return sent_calls

    def scores_of(self, name: str, call: _Call, now: float) -> list[tuple[Any, ...]]:
        range_start, range_end = self.places.entry_range(call.seconds, len(self.entry_names), now)
        position = self.entry_names.index(name)
        if position < range_start or sum(other.entry == name for other in self.in_flight) >= 2:
            return []
        tie_break = zlib.crc32(f"0/{name}".encode()) if position else -1
        free_at = max(self.free_at.get(name, 0.0), now)
        is_suspected = now < self.suspected_until.get(name, 0.0)
        return [(is_suspected, free_at, position >= range_end, tie_break, name)]

    def answer(self, number: int, now: float) -> None:
        for call in [call for call in self.in_flight if call.number == number]:
            elapsed = max(0.0, now - call.started_at)
            self.slowness = elapsed / max(call.seconds, MAXIMUM_SHORT_CALL_SECONDS)
            self.end(call, now)
            self.open_call_counts[call.step] -= 1

    def fail(self, number: int, now: float) -> None:
        for call in [call for call in self.in_flight if call.number == number]:
            self.give_up(call, now)

    def give_up(self, call: _Call, now: float) -> None:
        self.end(call, now)
        if call.entry in self.entry_names:
            self.suspected_until[call.entry] = now + 1.0
        self.open_call_counts[call.step] -= 1
        self.retry_at[call.step] = now + 0.1

    def end(self, call: _Call, now: float) -> None:
        self.in_flight.remove(call)
        if call.entry in self.entry_names and not any(
            other_call.entry == call.entry for other_call in self.in_flight
        ):
            self.free_at[call.entry] = now
