"""Lifecycle and capacity reservations of one owned worker.

Capacity is reserved before a task is sent to the worker.  A reservation is released only
when the worker reports that the task ended or did not start; a usage report, which may be
out of date, never releases capacity.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.core.schema import (
    NO_RESOURCES,
    AttemptId,
    Epoch,
    FencingToken,
    MachineRecord,
    Resources,
    RunningTask,
    WorkerId,
    WorkerListing,
)


class WorkerState(Enum):
    """Lifecycle of a worker at the entry that owns it."""

    ATTACHING = "attaching"
    ACTIVE = "active"
    DISCONNECTED = "disconnected"


ALLOWED_WORKER_TRANSITIONS: dict[WorkerState, frozenset[WorkerState]] = {
    WorkerState.ATTACHING: frozenset({WorkerState.ACTIVE, WorkerState.DISCONNECTED}),
    WorkerState.ACTIVE: frozenset({WorkerState.ATTACHING, WorkerState.DISCONNECTED}),
    WorkerState.DISCONNECTED: frozenset({WorkerState.ATTACHING}),
}


@dataclass(slots=True)
class OwnedWorker:
    """One worker that this entry owns."""

    machine: MachineRecord
    epoch: Epoch
    session: int = 0
    state: WorkerState = WorkerState.ATTACHING
    attach_sent_at: float = float("-inf")
    capacity: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    tasks: dict[AttemptId, RunningTask] = field(default_factory=dict)
    draining: bool = False
    occupied_share: float = 0.0

    @property
    def worker_id(self) -> WorkerId:
        """Identifier of the worker."""
        return self.machine.worker_id

    @property
    def token(self) -> FencingToken:
        """The fencing token for commands of the current epoch and session."""
        return FencingToken(self.epoch, self.session)

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to the worker."""
        return (
            self.state is WorkerState.ACTIVE
            and not self.draining
            and self.machine.listing is WorkerListing.LIVE
        )

    @property
    def is_known(self) -> bool:
        """Whether the worker is attached, so that its running tasks are known."""
        return self.state is WorkerState.ACTIVE

    def transition(self, target: WorkerState) -> None:
        """Change the state, if ``ALLOWED_WORKER_TRANSITIONS`` permits the transition."""
        if target is self.state:
            return
        if target not in ALLOWED_WORKER_TRANSITIONS[self.state]:
            raise ValueError(
                f"worker {self.worker_id}: forbidden transition "
                f"{self.state.value} -> {target.value}"
            )
        self.state = target

    def reserve(self, task: RunningTask) -> None:
        """Reserve the resources of a task."""
        self.tasks[task.attempt_id] = task
        self._set_free(self.free.minus(task.resources))

    def release(self, attempt_id: AttemptId) -> bool:
        """Release the resources of an attempt; return whether the attempt had a reservation."""
        task = self.tasks.pop(attempt_id, None)
        if task is None:
            return False
        self._set_free(self.free.plus(task.resources))
        return True

    def load_inventory(self, capacity: Resources, running: Iterable[RunningTask]) -> None:
        """Replace all reservations by those of the tasks in the worker's inventory."""
        self.capacity = capacity
        self.tasks = {}
        self._set_free(capacity)
        for task in running:
            self.reserve(task)

    def _set_free(self, free: Resources) -> None:
        self.free = free
        self.occupied_share = _occupied_share(self.capacity, free)


def _occupied_share(capacity: Resources, free: Resources) -> float:
    """Return the occupied share, 0 to 1, of the worker's most occupied resource."""
    shares = [
        1 - available / total
        for available, total in (
            (free.processors, capacity.processors),
            (free.memory_mb, capacity.memory_mb),
            (free.slots, capacity.slots),
        )
        if total
    ]
    return max(shares, default=1.0)
