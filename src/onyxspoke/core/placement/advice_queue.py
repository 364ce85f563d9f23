"""The queue of calls to the advice service that wait for an entry."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.queue_order import StepRank, lateness_changes_at, refreshed_rank

#: The state of the queue is logged while the oldest call has waited for at least this many seconds.
REPORT_WAIT_SECONDS = 0.5
#: Interval between two such log events, in seconds.
REPORT_INTERVAL_SECONDS = 1.0
_DIGITS = 3


@dataclass(slots=True)
class AdviceCall:
    """One call to the advice service, queued or in flight.

    Attributes
    ----------
    call_id : int
        Id of this attempt; a call that is made again gets a new id.
    seconds : float
        Expected duration of the call.
    number : int
        Order among the calls of one rank; a call that is made again keeps its number.
    overdue_at : float
        When the call times out.
    previous_tries : int
        How often the call was made before.
    rank_valid_until : float
        When the lateness of the step changes next, so that the rank is out of date.
    ranked_work_factor : float
        The learned factor of the job's work estimate that the rank is based on.
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
    started_at: float = 0.0
    overdue_at: float = math.inf
    previous_tries: int = 0
    rank_valid_until: float = math.inf
    ranked_work_factor: float = 1.0

    @property
    def step(self) -> StepKey:
        """The step that the call is about."""
        return self.progress.key

    @property
    def is_needed(self) -> bool:
        """Whether the step still has waiting tasks that its job and its quota allow to start."""
        progress = self.progress
        is_finished = not progress.waiting or progress.job.state.is_final
        return not is_finished and progress.over_quota_since is None


class AdviceQueue:
    """Queued calls by rank; calls of equal rank are made in the order in which they were queued.

    Parameters
    ----------
    maintains_ranks : bool
        Whether the rank of a call is updated when the call is queued.
    """

    def __init__(self, maintains_ranks: bool) -> None:
        self._maintains_ranks = maintains_ranks
        self._calls: dict[int, AdviceCall] = {}
        self._reported_at = -math.inf

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[AdviceCall]:
        return iter(self._calls.values())

    def add(self, call: AdviceCall, now: float) -> None:
        """Add a call to the queue."""
        if self._maintains_ranks:
            _update_rank(call, now)
        self._calls[call.number] = call

    def remove(self, number: int) -> AdviceCall | None:
        """Remove and return a call, or return ``None`` if the call is not queued."""
        return self._calls.pop(number, None)

    def remove_step(self, key: StepKey) -> None:
        """Remove all calls about a step."""
        for call in [call for call in self._calls.values() if call.step == key]:
            del self._calls[call.number]

    def remove_unneeded(self, now: float) -> list[AdviceCall]:
        """Update the ranks, and remove and return the calls that are no longer needed.

        A call is also removed when its job expires while the call is queued.  The step requests
        advice again when there is capacity left for expired jobs.
        """
        unneeded = [call for call in self._calls.values() if self._is_unneeded(call, now)]
        for call in unneeded:
            del self._calls[call.number]
        return unneeded

    def by_rank(self) -> list[AdviceCall]:
        """Return all calls in the order in which they are to be made."""
        return sorted(self._calls.values(), key=_queue_order)

    def report_if_long(self, now: float) -> list[dict[str, str | int | float]]:
        """Return the fields of a log event per job queue, if calls have waited for long.

        The result is empty if no call has waited for long, or if the last report is recent.
        """
        oldest = min((call.requested_at for call in self._calls.values()), default=now)
        if now - oldest < REPORT_WAIT_SECONDS or now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return []
        self._reported_at = now
        by_queue: dict[str, list[AdviceCall]] = {}
        for call in self._calls.values():
            by_queue.setdefault(call.queue, []).append(call)
        return [_queue_report(queue, calls, now) for queue, calls in sorted(by_queue.items())]

    def _is_unneeded(self, call: AdviceCall, now: float) -> bool:
        is_factor_unchanged = call.ranked_work_factor == call.progress.job.work.factor
        if is_factor_unchanged and now < call.rank_valid_until:
            return not call.is_needed
        was_expired = call.rank.is_expired
        _update_rank(call, now)
        return not call.is_needed or (call.rank.is_expired and not was_expired)


def _update_rank(call: AdviceCall, now: float) -> None:
    """Update the rank of a call to the current time and the current work estimate of its job."""
    call.rank = refreshed_rank(call.rank, call.progress, now)
    call.rank_valid_until = lateness_changes_at(call.progress, now)
    call.ranked_work_factor = call.progress.job.work.factor


def _queue_order(call: AdviceCall) -> tuple[StepRank, int]:
    return call.rank, call.number


def _queue_report(queue: str, calls: list[AdviceCall], now: float) -> dict[str, str | int | float]:
    return {
        "queue": queue,
        "waiting": len(calls),
        "owed": sum(call.rank.is_entitled for call in calls),
        "seconds": round(sum(call.seconds for call in calls), _DIGITS),
        "oldest_s": round(now - min(call.requested_at for call in calls), _DIGITS),
    }
