"""Late jobs that were taken, and how much work may yet go before them.

What is late goes behind what can still be on time, so each job that is taken pushes it further.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import NamedTuple


class LateWork(NamedTuple):
    """Waiting work of a late job.

    Attributes
    ----------
    slack_seconds : float
        For how long it may still wait and be of use.
    work : float
        In share-seconds.
    earliest_start_seconds : float
        Before then it does not begin: it was refused, and comes back when it was told to.
    """

    slack_seconds: float
    work: float
    earliest_start_seconds: float = 0.0


class LateJobMargins:
    """The room for more work before late jobs of one class.

    Parameters
    ----------
    late : list of LateWork
        In any order; what has least time left goes first.
    preceding_work : float
        What goes before them, in share-seconds.
    seconds_until_started : callable
        Returns in how many seconds so much work has begun.
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
            preceding_work += late_work.work
        #: Those that come too late anyhow are not pushed any more.
        self._margins = sorted(margin for margin in margins if margin >= 0.0)
        self._admitted_work = 0.0

    def add(self, work: float) -> None:
        """More work was taken in that goes before."""
        self._admitted_work += work

    def any_expires_after(self, work: float) -> bool:
        """Return whether with so much more work some job would come too late that would not."""
        index = bisect_left(self._margins, self._admitted_work)
        return index < len(self._margins) and self._margins[index] < self._admitted_work + work
