"""A planned stop: finish what is in progress, hand over the rest, release the workers."""

from __future__ import annotations

from onyxspoke.core.actions import StopCompleted
from onyxspoke.core.context import EntryContext
from onyxspoke.core.job_runner import JobRunner
from onyxspoke.core.ownership_manager import OwnershipManager


class PlannedStop:
    """Leads an entry from the order to stop to the end of its process."""

    def __init__(self, context: EntryContext, ownership: OwnershipManager, jobs: JobRunner) -> None:
        self._context = context
        self._ownership = ownership
        self._jobs = jobs
        self._began_at = float("-inf")
        self._released_at = float("-inf")
        self._is_complete = False

    def begin(self, now: float) -> None:
        """Take no new work from now on."""
        if self._context.stopping:
            return
        self._context.stopping = True
        # The others must know at once, or they would still leave workers to this entry.
        self._context.cell_append_queue.stopping = True
        self._began_at = now

    def keep(self, now: float) -> None:
        """Go on with a stop that has begun."""
        if not self._context.stopping or self._is_complete:
            return
        self._jobs.release_unsent()
        if self._is_busy(now):
            return
        if self._context.workers.workers:
            self._released_at = now
            self._ownership.release_all()
        elif self._is_release_settled(now):
            self._is_complete = True
            self._context.emit(StopCompleted())

    def _is_busy(self, now: float) -> bool:
        # The balancer needs a moment to see the failed health check.
        lingers = now < self._began_at + self._context.options.minimum_stop_seconds
        return lingers or bool(self._context.requests) or self._jobs.running_count > 0

    def _is_release_settled(self, now: float) -> bool:
        # The release only speeds up the takeover: without the log it is not waited for long.
        waited = now - self._released_at >= self._context.options.lease.lease_seconds
        return waited or self._context.cell_append_queue.is_idle
