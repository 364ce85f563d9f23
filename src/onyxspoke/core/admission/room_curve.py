"""Room that comes free, as a step function of time."""

from __future__ import annotations

import math
from bisect import bisect_left

#: Shares that were taken and given back sum up to so little less than they are.
ROUNDING_TOLERANCE = 1e-9


class RoomCurve:
    """How much work room that is free, or comes free, has taken up by when.

    Amounts are shares of all that there is: whole room does one share-second of work a second.

    Parameters
    ----------
    free : float
        Share that is free now.
    ends : list of (float, float)
        In how many seconds which share comes free.
    """

    def __init__(self, initial_free_share: float, releases: list[tuple[float, float]]) -> None:
        #: Where the share that is free changes: seconds from now, work done until then, and the
        #: share from then on.
        self._change_seconds = [0.0]
        self._work_done = [0.0]
        self._free_shares = [max(0.0, initial_free_share)]
        # More may be taken than there is, as after a quota was lowered.
        free_share = initial_free_share
        for seconds, share in sorted(releases):
            elapsed_seconds = seconds - self._change_seconds[-1]
            if elapsed_seconds > 0.0:
                self._change_seconds.append(seconds)
                self._work_done.append(
                    self._work_done[-1] + elapsed_seconds * self._free_shares[-1]
                )
                self._free_shares.append(self._free_shares[-1])
            free_share += share
            self._free_shares[-1] = max(0.0, free_share)

    def seconds_until(self, work: float) -> float:
        """Return in how many seconds so many share-seconds of work are through."""
        if work <= 0.0:
            return 0.0
        index = max(0, bisect_left(self._work_done, work) - 1)
        if self._free_shares[index] <= 0.0:
            return math.inf
        return (
            self._change_seconds[index] + (work - self._work_done[index]) / self._free_shares[index]
        )

    def seconds_until_free(self, share: float) -> float:
        """Return in how many seconds so large a share is free at once."""
        index = bisect_left(self._free_shares, share - ROUNDING_TOLERANCE)
        return self._change_seconds[index] if index < len(self._free_shares) else math.inf
