"""Room that comes free, as a step function of time."""

from __future__ import annotations

import math
from bisect import bisect_left

#: Shares that were taken and given back sum up to so little less than they are.
ROUNDING_SHARE = 1e-9


class FreeCapacityCurve:
    """How much work room that is free, or comes free, has taken up by when.

    Amounts are shares of all that there is: whole room does one share-second of work a second.

    Parameters
    ----------
    free : float
        Share that is free now.
    ends : list of (float, float)
        In how many seconds which share comes free.
    """

    def __init__(self, free: float, ends: list[tuple[float, float]]) -> None:
        #: Where the share that is free changes: seconds from now, work done until then, and the
        #: share from then on.
        self._seconds = [0.0]
        self._done = [0.0]
        self._free = [max(0.0, free)]
        # More may be taken than there is, as after a quota was lowered.
        left = free
        for seconds, share in sorted(ends):
            passed = seconds - self._seconds[-1]
            if passed > 0.0:
                self._seconds.append(seconds)
                self._done.append(self._done[-1] + passed * self._free[-1])
                self._free.append(self._free[-1])
            left += share
            self._free[-1] = max(0.0, left)

    def seconds_until(self, work: float) -> float:
        """Return in how many seconds so many share-seconds of work are through."""
        if work <= 0.0:
            return 0.0
        at = max(0, bisect_left(self._done, work) - 1)
        if self._free[at] <= 0.0:
            return math.inf
        return self._seconds[at] + (work - self._done[at]) / self._free[at]

    def seconds_until_free(self, share: float) -> float:
        """Return in how many seconds so large a share is free at once."""
        at = bisect_left(self._free, share - ROUNDING_SHARE)
        return self._seconds[at] if at < len(self._free) else math.inf
