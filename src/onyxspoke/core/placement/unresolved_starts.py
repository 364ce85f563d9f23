"""Start orders without an answer, which a later incarnation of the worker may still carry out."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey, WorkerId

#: A worker may carry out an unanswered start order up to 12 s later; one more second allows for
#: differences between clocks.
LATE_START_SECONDS = 13.0


class UnresolvedStarts:
    """Remembers, by worker name, each start order for as long as it may still be carried out.

    The orders are kept apart from the worker's other state, because a name outlives that state: a
    worker that is removed after its lease expired may return before its last orders are void.
    """

    def __init__(self) -> None:
        #: When each start was ordered, oldest first.
        self._ordered_at: dict[tuple[WorkerId, RunKey], float] = {}
        self._runs_by_worker: dict[WorkerId, dict[RunKey, None]] = {}

    def add_start(self, worker_id: WorkerId, run: RunKey, now: float) -> None:
        """Record a start order that is being sent."""
        self._remove_void_starts(now)
        self._ordered_at[worker_id, run] = now
        self._runs_by_worker.setdefault(worker_id, {})[run] = None

    def resolve_start(self, worker_id: WorkerId, run: RunKey) -> None:
        """Forget a start order that was answered: it was carried out, or never will be."""
        if self._ordered_at.pop((worker_id, run), None) is None:
            return
        runs = self._runs_by_worker[worker_id]
        del runs[run]
        if not runs:
            del self._runs_by_worker[worker_id]

    def starts_on_worker(self, worker_id: WorkerId, now: float) -> list[RunKey]:
        """Return the starts that any incarnation under this name may still carry out."""
        self._remove_void_starts(now)
        return list(self._runs_by_worker.get(worker_id, ()))

    def _remove_void_starts(self, now: float) -> None:
        while self._ordered_at:
            (worker_id, run), ordered_at = next(iter(self._ordered_at.items()))
            if now - ordered_at <= LATE_START_SECONDS:
                return
            self.resolve_start(worker_id, run)
