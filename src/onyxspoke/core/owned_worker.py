"""One owned worker: its lifecycle, and the capacity reserved on it.

Capacity is reserved here before a task is sent and freed only by the worker's own
word that the task ended; a lagging usage report never frees anything.
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
        """The worker's identifier."""
        return self.machine.worker_id

    @property
    def token(self) -> FencingToken:
        """The fencing token of commands sent now."""
        return FencingToken(self.epoch, self.session)

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to it."""
        return (
            self.state is WorkerState.ACTIVE
            and not self.draining
            and self.machine.listing is WorkerListing.LIVE
        )

    @property
    def is_known(self) -> bool:
        """Whether what runs on it is known now."""
        return self.state is WorkerState.ACTIVE

    def transition(self, target: WorkerState) -> None:
        """Move to another state; only moves of the table are allowed."""
        if target is self.state:
            return
        if target not in ALLOWED_WORKER_TRANSITIONS[self.state]:
            raise ValueError(f"worker {self.worker_id}: {self.state.value} -> {target.value}")
        self.state = target

    def reserve(self, task: RunningTask) -> None:
        """Reserve capacity for an attempt."""
        self.tasks[task.attempt_id] = task
        self._set_free(self.free.minus(task.resources))

    def release(self, attempt_id: AttemptId) -> bool:
        """Free what an attempt reserved; return whether it was known."""
        task = self.tasks.pop(attempt_id, None)
        if task is None:
            return False
        self._set_free(self.free.plus(task.resources))
        return True

    def load_inventory(self, capacity: Resources, running: Iterable[RunningTask]) -> None:
        """Replace all reservations by what the worker says that it runs."""
        self.capacity = capacity
        self.tasks = {}
        self._set_free(capacity)
        for task in running:
            self.reserve(task)

    def _set_free(self, free: Resources) -> None:
        self.free = free
        self.occupied_share = _occupied_share(self.capacity, free)


def _occupied_share(capacity: Resources, free: Resources) -> float:
    """Return the largest occupied share of any resource, 0 to 1."""
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
