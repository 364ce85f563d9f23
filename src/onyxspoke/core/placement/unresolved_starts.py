"""Starts without an answer, which may yet be carried out by another life of their worker."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey, WorkerId

#: An order that is not answered may be carried out up to 12 s later, and one second is for clocks.
LATE_ORDER_SECONDS = 13.0


class UnresolvedStarts:
    """Remembers, by the names of workers, starts for as long as they may be carried out.

    A name outlives what is known of a worker: one that is given up after its lease may be back
    before its last orders have come to an end.
    """

    def __init__(self) -> None:
        #: When each was ordered, oldest first.
        self._ordered_at: dict[tuple[WorkerId, RunKey], float] = {}

    def add_start(self, worker_id: WorkerId, run: RunKey, now: float) -> None:
        """A start is on its way."""
        self._forget_old(now)
        self._ordered_at[worker_id, run] = now

    def resolve_start(self, worker_id: WorkerId, run: RunKey) -> None:
        """A start was answered: it was carried out, or never will be."""
        self._ordered_at.pop((worker_id, run), None)

    def starts_on_worker(self, worker_id: WorkerId, now: float) -> list[RunKey]:
        """Return the starts that may yet be carried out by whichever life has the name."""
        self._forget_old(now)
        return [run for name, run in self._ordered_at if name == worker_id]

    def _forget_old(self, now: float) -> None:
        for key, ordered_at in list(self._ordered_at.items()):
            if now - ordered_at <= LATE_ORDER_SECONDS:
                return
            del self._ordered_at[key]
