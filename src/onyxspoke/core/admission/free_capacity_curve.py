"""The capacity that becomes free, as a step function of time."""

from __future__ import annotations

import math
from bisect import bisect_left

#: Tolerance for the rounding error in a sum of shares.
ROUNDING_TOLERANCE = 1e-9


class FreeCapacityCurve:
    """The work that free capacity can do as a function of time.

    The whole capacity does one share-second of work per second.

    Parameters
    ----------
    initial_free_share : float
        Share of the capacity that is free now.
    releases : list of (float, float)
        Time in seconds until a share becomes free, and that share.
    """

    def __init__(self, initial_free_share: float, releases: list[tuple[float, float]]) -> None:
        #: For each change of the free share: seconds from now, work that can be done until then,
        #: and the free share from then on.
        self._change_seconds = [0.0]
        self._work_done = [0.0]
        self._free_shares = [max(0.0, initial_free_share)]
        # The free share is negative if more than the total is held, for instance after a quota
        # was lowered.
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
        """Return the time in seconds until this much work, in share-seconds, can be done."""
        if work <= 0.0:
            return 0.0
        index = max(0, bisect_left(self._work_done, work) - 1)
        if self._free_shares[index] <= 0.0:
            return math.inf
        return (
            self._change_seconds[index] + (work - self._work_done[index]) / self._free_shares[index]
        )

    def seconds_until_free(self, share: float) -> float:
        """Return the time in seconds until a share of this size is free."""
        index = bisect_left(self._free_shares, share - ROUNDING_TOLERANCE)
        return self._change_seconds[index] if index < len(self._free_shares) else math.inf
