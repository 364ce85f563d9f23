"""What a worker's own runs tell of it: failures in a row, runs that stand still.

A worker may say that it is well and yet fail, or stall, everything that it runs.
"""

from __future__ import annotations

from onyxspoke.core.jobs.model import JobId

#: Failures of different jobs in a row after which a worker is avoided.
FAILURES_TO_AVOID = 2
#: A single failure makes a worker the last choice for so long.
DOUBT_SECONDS = 2.0
#: For how long a worker is avoided, at first and at most; it doubles each time.
FIRST_AVOID_SECONDS = 1.5
LONGEST_AVOID_SECONDS = 6.0
#: Where nothing was tried for so long since, a worker is trusted again.
TRIAL_SECONDS = 3.0


class WorkerHealth:
    """The record of one worker's runs."""

    __slots__ = ("_avoid_seconds", "_avoided_until", "_failed_jobs", "_last_failure_at")

    def __init__(self) -> None:
        self._failed_jobs: set[JobId] = set()
        self._last_failure_at = float("-inf")
        self._avoided_until = 0.0
        self._avoid_seconds = FIRST_AVOID_SECONDS

    def note_success(self) -> None:
        """A run ended well."""
        self._failed_jobs.clear()
        self._avoided_until = 0.0
        self._avoid_seconds = FIRST_AVOID_SECONDS

    def note_failure(self, job_id: JobId, now: float) -> bool:
        """A run failed; return whether the worker is avoided from now on."""
        self._failed_jobs.add(job_id)
        self._last_failure_at = now
        if len(self._failed_jobs) < FAILURES_TO_AVOID:
            return False
        self.avoid(now)
        return True

    def avoid(self, now: float) -> None:
        """Offer the worker to nobody for a while, longer each time."""
        if now < self._avoided_until:
            return
        self._avoided_until = now + self._avoid_seconds
        self._avoid_seconds = min(2 * self._avoid_seconds, LONGEST_AVOID_SECONDS)

    def is_avoided(self, now: float) -> bool:
        """Return whether nothing is to be started there."""
        return now < self._avoided_until

    def is_on_trial(self, now: float) -> bool:
        """Return whether the worker was avoided and has not run anything well since."""
        if len(self._failed_jobs) < FAILURES_TO_AVOID:
            return False
        return 0 <= now - self._avoided_until < TRIAL_SECONDS

    def is_suspected(self, now: float) -> bool:
        """Return whether other workers are to be preferred."""
        if not self._failed_jobs:
            return False
        return self.is_on_trial(now) or now - self._last_failure_at < DOUBT_SECONDS
