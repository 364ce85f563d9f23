"""The calls for advice that wait for an entry, in the order in which they are to be made."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.queue_order import StepRank, lateness_changes_at, refreshed_rank

#: A line is told of while its oldest call has waited for so long, in seconds, and so often.
LONG_WAIT_SECONDS = 0.5
TELLING_PAUSE_SECONDS = 1.0
_DIGITS = 3


@dataclass(slots=True)
class AdviceCall:
    """One call that is wanted or under way.

    Attributes
    ----------
    number : int
        Place among the calls of one rank; a call that is made again keeps it, and gets a new id.
    tries : int
        How often it was made before.
    rank_holds_until : float
        When the lateness of its step changes next.
    ranked_factor : float
        Factor of its step's work by which the rank was worked out.
    """

    call_id: int
    progress: StepProgress
    queue: str
    worker_ids: tuple[WorkerId, ...]
    seconds: float
    rank: StepRank
    requested_at: float
    number: int
    entry_name: str = ""
    begun_at: float = 0.0
    overdue_at: float = math.inf
    tries: int = 0
    rank_holds_until: float = math.inf
    ranked_factor: float = 1.0

    @property
    def step(self) -> StepKey:
        """The step that it is about."""
        return self.progress.key

    @property
    def is_wanted(self) -> bool:
        """Whether an answer would still be of use: tasks of the step wait, and may start."""
        progress = self.progress
        is_over = not progress.waiting or progress.job.state.is_final
        return not is_over and progress.over_quota_since is None


class AdviceQueue:
    """Calls that wait; the lowest rank goes first, and of equal ones the first that was wanted.

    Parameters
    ----------
    is_kept : bool
        Whether ranks follow the time, and calls that are wanted no longer go.
    """

    def __init__(self, is_kept: bool) -> None:
        self._is_kept = is_kept
        self._calls: dict[int, AdviceCall] = {}
        self._told_at = -math.inf

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[AdviceCall]:
        return iter(self._calls.values())

    def add(self, call: AdviceCall, now: float) -> None:
        """Have a call wait at its place."""
        if self._is_kept:
            _rank_anew(call, now)
        self._calls[call.number] = call

    def take(self, number: int) -> AdviceCall | None:
        """Take out a call, if it waits."""
        return self._calls.pop(number, None)

    def take_step(self, key: StepKey) -> None:
        """Take out the calls about a step."""
        for call in [call for call in self._calls.values() if call.step == key]:
            del self._calls[call.number]

    def take_unwanted(self, now: float) -> list[AdviceCall]:
        """Bring ranks up to date, and take out the calls whose answers would be of no use.

        A call whose job nobody waits for any more goes, too: its step asks anew when there is
        something left for such jobs.
        """
        unwanted = [call for call in self._calls.values() if self._is_unwanted(call, now)]
        for call in unwanted:
            del self._calls[call.number]
        return unwanted

    def in_order(self) -> list[AdviceCall]:
        """Return all calls, the one to be made first in front."""
        return sorted(self._calls.values(), key=_place)

    def take_report(self, now: float) -> list[dict[str, str | int | float]]:
        """Return a line's length by queue where it is long, once in a while."""
        oldest = min((call.requested_at for call in self._calls.values()), default=now)
        if now - oldest < LONG_WAIT_SECONDS or now - self._told_at < TELLING_PAUSE_SECONDS:
            return []
        self._told_at = now
        by_queue: dict[str, list[AdviceCall]] = {}
        for call in self._calls.values():
            by_queue.setdefault(call.queue, []).append(call)
        return [_report(queue, calls, now) for queue, calls in sorted(by_queue.items())]

    def _is_unwanted(self, call: AdviceCall, now: float) -> bool:
        is_alike = call.ranked_factor == call.progress.job.work.factor
        if is_alike and now < call.rank_holds_until:
            return not call.is_wanted
        was_expired = call.rank.is_expired
        _rank_anew(call, now)
        return not call.is_wanted or (call.rank.is_expired and not was_expired)


def _rank_anew(call: AdviceCall, now: float) -> None:
    """Bring a rank up to date: with time, and with what is learned of its step's work."""
    call.rank = refreshed_rank(call.rank, call.progress, now)
    call.rank_holds_until = lateness_changes_at(call.progress, now)
    call.ranked_factor = call.progress.job.work.factor


def _place(call: AdviceCall) -> tuple[StepRank, int]:
    return call.rank, call.number


def _report(queue: str, calls: list[AdviceCall], now: float) -> dict[str, str | int | float]:
    return {
        "queue": queue,
        "waiting": len(calls),
        "owed": sum(call.rank.is_entitled for call in calls),
        "seconds": round(sum(call.seconds for call in calls), _DIGITS),
        "oldest_s": round(now - min(call.requested_at for call in calls), _DIGITS),
    }
