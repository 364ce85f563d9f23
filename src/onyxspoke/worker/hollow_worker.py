"""A hollow worker: keeps every rule of a worker but does no work.

It refuses commands below the highest token that it saw, refuses what it has no room for,
and checks for itself that it is never over its capacity.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    EntryId,
    FencingToken,
    Resources,
    RunningTask,
    TaskName,
    WorkerId,
)
from onyxspoke.kit.hollow_work import HollowResult, HollowWork, digest_of
from onyxspoke.kit.journal import Journal, JournalEvent, JournalKind
from onyxspoke.net.messages import (
    Attach,
    AttachRefused,
    EntryToWorker,
    Inventory,
    Message,
    StartTask,
    StopTask,
    TaskEnded,
    TaskRefused,
)
from onyxspoke.ports.clock import Clock

MAXIMUM_UNDELIVERED = 1_000
_MILLISECONDS = 1_000.0


class Connection(Protocol):
    """Where replies go; in processes a message stream."""

    def send(self, message: Message) -> None:
        """Send one message."""


class CancellableCall(Protocol):
    """A call scheduled for later."""

    def cancel(self) -> None:
        """Withdraw the call."""


CallLater = Callable[[float, Callable[[], None]], CancellableCall]

_work_decoder = msgspec.json.Decoder(HollowWork)
_result_encoder = msgspec.json.Encoder()


@dataclass(slots=True)
class _HollowTask:
    entry_id: EntryId
    attempt_id: AttemptId
    resources: Resources
    task_name: TaskName
    nonce: str
    digest: str
    call: CancellableCall | None = None


class HollowWorker:
    """One worker.

    Parameters
    ----------
    worker_id : str
        Its name in the machine list.
    capacity : Resources
        What it has.
    maximum_connections : int
        How many entries may be connected at once.
    clock : Clock
        Time of journal events.
    call_later : callable
        Schedules the end of a task.
    journal : Journal
        Records what happened.
    """

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Resources,
        maximum_connections: int,
        clock: Clock,
        call_later: CallLater,
        journal: Journal,
    ) -> None:
        self.worker_id = worker_id
        self.capacity = capacity
        self._maximum_connections = maximum_connections
        self._clock = clock
        self._call_later = call_later
        self._journal = journal
        self._free = capacity
        self._highest = FencingToken(0)
        self._owner: EntryId = ""
        self._connections: dict[EntryId, Connection] = {}
        self._tasks: dict[AttemptId, _HollowTask] = {}
        self._undelivered: dict[EntryId, list[TaskEnded]] = {}

    @property
    def running(self) -> int:
        """Number of tasks that run now."""
        return len(self._tasks)

    def handle_message(self, connection: Connection, message: EntryToWorker) -> None:
        """Take one command."""
        if isinstance(message, StartTask):
            self._handle_start(connection, message)
        elif isinstance(message, Attach):
            self._handle_attach(connection, message)
        elif isinstance(message, StopTask):
            self._handle_stop(message)

    def die(self) -> None:
        """End every task without a word, as a machine does that loses power."""
        for task in list(self._tasks.values()):
            del self._tasks[task.attempt_id]
            self._record(JournalKind.ENDED, task.attempt_id, task.nonce)

    def handle_disconnect(self, connection: Connection) -> None:
        """Forget a connection."""
        for entry_id, known in list(self._connections.items()):
            if known is connection:
                del self._connections[entry_id]

    def _handle_attach(self, connection: Connection, message: Attach) -> None:
        if message.token < self._highest:
            connection.send(AttachRefused(self.worker_id, ResultCode.STALE_EPOCH))
            return
        is_new = message.entry_id not in self._connections
        if is_new and len(self._connections) >= self._maximum_connections:
            connection.send(AttachRefused(self.worker_id, ResultCode.TOO_MANY_CONNECTIONS))
            return
        self._highest = message.token
        self._owner = message.entry_id
        self._connections[message.entry_id] = connection
        for ended in self._undelivered.pop(message.entry_id, []):
            connection.send(ended)
        running = [
            RunningTask(task.attempt_id, task.resources, task.task_name)
            for task in self._tasks.values()
        ]
        connection.send(Inventory(self.worker_id, message.token, self.capacity, running))

    def _handle_start(self, connection: Connection, message: StartTask) -> None:
        resources = message.request.task_class.resources
        work = _decode_work(message.request.payload)
        if message.token < self._highest:
            self._refuse(connection, message, work, JournalKind.REFUSED, ResultCode.STALE_EPOCH)
            return
        if not resources.fits_in(self._free):
            # The owner must never ask for this; the audit counts it as over capacity.
            kind = JournalKind.OVER_CAPACITY
            self._refuse(connection, message, work, kind, ResultCode.WORKER_FULL)
            return
        task = _HollowTask(
            entry_id=self._owner,
            attempt_id=message.attempt_id,
            resources=resources,
            task_name=message.request.task_name,
            nonce=work.nonce,
            digest=digest_of(message.request.payload),
        )
        self._free = self._free.minus(resources)
        self._tasks[task.attempt_id] = task
        self._record(JournalKind.STARTED, task.attempt_id, task.nonce)
        task.call = self._call_later(work.work_ms / _MILLISECONDS, lambda: self._finish(task))

    def _handle_stop(self, message: StopTask) -> None:
        task = self._tasks.get(message.attempt_id)
        if task is not None and task.call is not None:
            task.call.cancel()
            self._end(task, Answer(code=ResultCode.TASK_FAILED, message="stopped"))

    def _finish(self, task: _HollowTask) -> None:
        result = _result_encoder.encode(HollowResult(task.nonce, task.digest))
        self._end(task, Answer(code=ResultCode.OK, result=result, worker_id=self.worker_id))

    def _end(self, task: _HollowTask, answer: Answer) -> None:
        del self._tasks[task.attempt_id]
        self._free = self._free.plus(task.resources)
        self._record(JournalKind.ENDED, task.attempt_id, task.nonce)
        ended = TaskEnded(task.attempt_id, answer, task.task_name)
        if self._owner != task.entry_id and self._owner in self._connections:
            self._connections[self._owner].send(ended)
        dispatcher = self._connections.get(task.entry_id)
        if dispatcher is not None:
            dispatcher.send(ended)
            return
        kept = self._undelivered.setdefault(task.entry_id, [])
        kept.append(ended)
        del kept[:-MAXIMUM_UNDELIVERED]

    def _refuse(
        self,
        connection: Connection,
        message: StartTask,
        work: HollowWork,
        kind: JournalKind,
        code: ResultCode,
    ) -> None:
        self._record(kind, message.attempt_id, work.nonce)
        connection.send(TaskRefused(message.attempt_id, code))

    def _record(self, kind: JournalKind, attempt_id: AttemptId, nonce: str) -> None:
        now = self._clock.now()
        self._journal.write(JournalEvent(now, kind, self.worker_id, attempt_id, nonce))


def _decode_work(payload: bytes) -> HollowWork:
    try:
        return _work_decoder.decode(payload)
    except msgspec.MsgspecError:
        return HollowWork()
