"""Planned stop of an entry: finish requests, hand over unsent jobs, release workers."""

from __future__ import annotations

from onyxspoke.core.actions import AnswerCaller, StopCompleted
from onyxspoke.core.context import EntryContext
from onyxspoke.core.job_acceptance import JobAcceptance
from onyxspoke.core.job_runner import JobRunner
from onyxspoke.core.ownership_manager import OwnershipManager
from onyxspoke.core.settings_propagation import PendingChanges


class PlannedStop:
    """Drains an entry after a stop was requested, until its process may exit."""

    def __init__(
        self,
        context: EntryContext,
        ownership: OwnershipManager,
        jobs: JobRunner,
        acceptance: JobAcceptance,
        pending_changes: PendingChanges,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._jobs = jobs
        self._acceptance = acceptance
        self._pending_changes = pending_changes
        self._started_at = float("-inf")
        self._released_at = float("-inf")
        self._is_complete = False

    def begin(self, now: float) -> None:
        """Start the stop: this entry takes no new work."""
        if self._context.stopping:
            return
        self._context.stopping = True
        # Peers must learn of the stop now, or they would still leave workers to this entry.
        self._context.cell_append_queue.stopping = True
        self._started_at = now

    def keep(self, now: float) -> None:
        """Continue a stop in progress."""
        if not self._context.stopping or self._is_complete:
            return
        self._jobs.release_unsent()
        if self._is_busy(now):
            return
        if self._context.workers.workers:
            self._released_at = now
            self._ownership.release_all()
        elif self._is_release_finished(now):
            self._is_complete = True
            self._answer_rest(now)
            self._context.emit(StopCompleted())

    def _is_busy(self, now: float) -> bool:
        # The load balancer needs time to notice the failed health check.
        minimum_not_elapsed = now < self._started_at + self._context.options.minimum_stop_seconds
        is_working = bool(self._context.requests) or self._jobs.running_count > 0
        return minimum_not_elapsed or is_working or self._awaits_log(now)

    def _awaits_log(self, now: float) -> bool:
        """Return whether callers or operators wait for records that the log soon confirms."""
        is_pending = self._acceptance.is_pending or self._pending_changes.is_pending
        return is_pending and not self._context.log_is_down(now)

    def _answer_rest(self, now: float) -> None:
        """Answer whoever still waits for a record: nobody can once the process has exited."""
        for request_id, answer in self._acceptance.give_up(now, is_last=True):
            self._context.emit(AnswerCaller(request_id, answer))
        self._pending_changes.tick(now, is_last=True)

    def _is_release_finished(self, now: float) -> bool:
        # A release only speeds up the takeover, so an unavailable log delays the stop by at
        # most one lease.
        timed_out = now - self._released_at >= self._context.options.lease.lease_seconds
        return timed_out or self._context.cell_append_queue.is_idle
