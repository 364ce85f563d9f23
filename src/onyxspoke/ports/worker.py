"""Port to the workers that run tasks."""

from __future__ import annotations

from typing import Protocol

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    FencingToken,
    MachineRecord,
    Resources,
    RunningTask,
    TaskName,
    TaskRequest,
    WorkerId,
)


class WorkerListener(Protocol):
    """Receives what workers report."""

    def handle_worker_inventory(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        capacity: Resources,
        running: list[RunningTask],
    ) -> None:
        """A worker accepted a token; these tasks run on it."""

    def handle_worker_disconnected(self, worker_id: WorkerId) -> None:
        """The connection to a worker was lost."""

    def handle_task_ended(
        self, worker_id: WorkerId, attempt_id: AttemptId, answer: Answer, task_name: TaskName
    ) -> None:
        """A task ended, with its whole answer."""

    def handle_task_refused(
        self, worker_id: WorkerId, attempt_id: AttemptId, code: ResultCode
    ) -> None:
        """A task was refused; it did not start."""


class WorkerPort(Protocol):
    """Commands to workers."""

    def attach(self, machine: MachineRecord, token: FencingToken) -> None:
        """Connect if needed and fence the worker with a token."""

    def detach(self, worker_id: WorkerId) -> None:
        """Close the connection to a worker."""

    def start_task(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        attempt_id: AttemptId,
        request: TaskRequest,
    ) -> bool:
        """Send a task; return ``False`` if nothing was sent."""

    def stop_task(self, worker_id: WorkerId, attempt_id: AttemptId) -> None:
        """Ask a worker to stop a task."""
