"""The health of a worker, derived from its runs: consecutive failures and stalled runs.

A worker may report that it is healthy and still fail, or stall, every run that it is given.
"""

from __future__ import annotations

from onyxspoke.core.jobs.model import JobId

#: A worker is avoided once runs of this many different jobs failed on it without a success in
#: between.
FAILURES_TO_AVOID = 2
#: For this many seconds after a failure, other workers are preferred.
SUSPICION_SECONDS = 2.0
#: How long, in seconds, a worker is avoided at first and at most; the time doubles each time.
FIRST_AVOID_SECONDS = 1.5
LONGEST_AVOID_SECONDS = 6.0
#: A worker that is no longer avoided is on trial for this many seconds, unless a run succeeds on it
#: earlier.  The trial ends even if nothing was started on the worker.
TRIAL_SECONDS = 3.0


class WorkerHealth:
    """Tracks the failures and successes of the runs on one worker."""

    __slots__ = ("_avoid_seconds", "_avoided_until", "_failed_jobs", "_last_failure_at")

    def __init__(self) -> None:
        self._failed_jobs: set[JobId] = set()
        self._last_failure_at = float("-inf")
        self._avoided_until = 0.0
        self._avoid_seconds = FIRST_AVOID_SECONDS

    def note_success(self) -> None:
        """Record that a run succeeded, which clears all earlier failures."""
        self._failed_jobs.clear()
        self._avoided_until = 0.0
        self._avoid_seconds = FIRST_AVOID_SECONDS

    def note_failure(self, job_id: JobId, now: float) -> bool:
        """Record that a run failed; return whether the worker is avoided from now on."""
        self._failed_jobs.add(job_id)
        self._last_failure_at = now
        if len(self._failed_jobs) < FAILURES_TO_AVOID:
            return False
        self.avoid(now)
        return True

    def avoid(self, now: float) -> None:
        """Stop placing tasks on the worker for a time, which doubles with each repetition."""
        if now < self._avoided_until:
            return
        self._avoided_until = now + self._avoid_seconds
        self._avoid_seconds = min(2 * self._avoid_seconds, LONGEST_AVOID_SECONDS)

    def is_avoided(self, now: float) -> bool:
        """Return whether no run may be started on the worker."""
        return now < self._avoided_until

    def is_on_trial(self, now: float) -> bool:
        """Return whether the worker was avoided until recently and no run succeeded since."""
        if len(self._failed_jobs) < FAILURES_TO_AVOID:
            return False
        return 0 <= now - self._avoided_until < TRIAL_SECONDS

    def is_suspected(self, now: float) -> bool:
        """Return whether other workers are preferred because of recent failures."""
        if not self._failed_jobs:
            return False
        return self.is_on_trial(now) or now - self._last_failure_at < SUSPICION_SECONDS
