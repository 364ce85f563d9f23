"""The clock of the operating system, and how long the machine was suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

#: Differences of the two clocks below this, in seconds, are their readings' own.
SMALLEST_SUSPENSION_SECONDS = 0.05


def boot_seconds() -> float:
    """Return the seconds since the machine started, those that it was suspended included.

    The steady clock leaves those out: after a suspension it would show leases, proofs of holding
    and workers' clocks as fresh as before it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClock:
    """Adapter of :class:`onyxspoke.ports.clock.Clock` to the system's clock since its start."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return boot_seconds()


class SuspensionWatch:
    """Finds that the machine was suspended: the boot clock has gained on the steady clock.

    Parameters
    ----------
    boot, steady : callable
        The two clocks, in seconds.
    """

    def __init__(
        self,
        boot: Callable[[], float] = boot_seconds,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self._boot = boot
        self._steady = steady
        self._difference = boot() - steady()

    def take_suspended_seconds(self) -> float:
        """Return for how long the machine was suspended since the last call; 0 for not at all."""
        difference = self._boot() - self._steady()
        gained, self._difference = difference - self._difference, difference
        return gained if gained >= SMALLEST_SUSPENSION_SECONDS else 0.0
