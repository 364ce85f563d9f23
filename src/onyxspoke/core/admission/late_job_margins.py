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
    begins_in_seconds : float
        Before then it does not begin: it was refused, and comes back when it was told to.
    """

    slack_seconds: float
    work: float
    begins_in_seconds: float = 0.0


class Promises:
    """The room for more work before late jobs of one class.

    Parameters
    ----------
    late : list of LateWork
        In any order; what has least time left goes first.
    work_before : float
        What goes before them, in share-seconds.
    seconds_until : callable
        Returns in how many seconds so much work has begun.
    """

    def __init__(
        self, late: list[LateWork], work_before: float, seconds_until: Callable[[float], float]
    ) -> None:
        margins = []
        for item in sorted(late):
            begins_in = max(item.begins_in_seconds, seconds_until(work_before))
            margins.append(item.slack_seconds - begins_in)
            work_before += item.work
        #: Those that come too late anyhow are not pushed any more.
        self._margins = sorted(margin for margin in margins if margin >= 0.0)
        self._added = 0.0

    def add(self, work: float) -> None:
        """More work was taken in that goes before."""
        self._added += work

    def are_pushed_by(self, work: float) -> bool:
        """Return whether with so much more work some job would come too late that would not."""
        at = bisect_left(self._margins, self._added)
        return at < len(self._margins) and self._margins[at] < self._added + work
