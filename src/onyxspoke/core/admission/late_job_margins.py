"""Late jobs that were admitted, and how much more work may go before them.

A late job ranks behind jobs that can still meet their objective, so each job that is admitted may
delay it further.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import NamedTuple

#: A late job with less margin than this, in seconds, counts as certain to expire: a scheduling
#: round may delay its start by as much.
MIN_MARGIN_SECONDS = 0.05


class LateWork(NamedTuple):
    """Waiting work of a late job.

    Attributes
    ----------
    slack_seconds : float
        Time that the work may still wait before the job expires.
    work_share_seconds : float
        Amount of work, in share-seconds.
    earliest_start_seconds : float
        Time before which the work cannot start, because the job was refused and is to be retried.
    """

    slack_seconds: float
    work_share_seconds: float
    earliest_start_seconds: float = 0.0


class LateJobMargins:
    """The time by which the late jobs of one rank class can be delayed before they expire.

    One share-second of additional work is assumed to delay each of them by one second.

    Parameters
    ----------
    late_works : list of LateWork
        Work of the late jobs, in any order; the work with the least slack goes first.
    preceding_work : float
        Work that goes before them, in share-seconds.
    seconds_until_started : callable
        Returns the time in seconds until a given amount of work, in share-seconds, has started.
    """

    def __init__(
        self,
        late_works: list[LateWork],
        preceding_work: float,
        seconds_until_started: Callable[[float], float],
    ) -> None:
        margins = []
        for late_work in sorted(late_works):
            start_seconds = max(
                late_work.earliest_start_seconds, seconds_until_started(preceding_work)
            )
            margins.append(late_work.slack_seconds - start_seconds)
            preceding_work += late_work.work_share_seconds
        #: Margins in seconds; jobs that expire in any case are left out.
        self._margins = sorted(margin for margin in margins if margin >= MIN_MARGIN_SECONDS)
        self._admitted_work = 0.0

    def add(self, work_share_seconds: float) -> None:
        """Count admitted work that goes before the late jobs."""
        self._admitted_work += work_share_seconds

    def any_expires_after(self, work_share_seconds: float) -> bool:
        """Return whether this much more work would make another late job expire."""
        index = bisect_left(self._margins, self._admitted_work)
        return (
            index < len(self._margins)
            and self._margins[index] < self._admitted_work + work_share_seconds
        )
