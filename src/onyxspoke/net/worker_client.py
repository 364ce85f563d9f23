"""Adapter of the worker port to the workers' message streams."""

from __future__ import annotations

from dataclasses import dataclass

from absl import logging
from twisted.internet.protocol import Factory

from onyxspoke.core.schema import (
    AttemptId,
    EntryId,
    FencingToken,
    MachineRecord,
    TaskRequest,
    WorkerId,
)
from onyxspoke.net.messages import (
    Attach,
    AttachRefused,
    Inventory,
    StartTask,
    StopTask,
    TaskEnded,
    TaskRefused,
    WorkerToEntry,
)
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.worker import WorkerListener

_Stream = MessageStream[WorkerToEntry]


@dataclass(slots=True)
class _WorkerConnection:
    """The connection to one worker and the last attachment asked for."""

    token: FencingToken
    stream: _Stream | None = None
    connecting: bool = False


class WorkerClient:
    """Connections to the workers that this entry owns or waits for."""

    def __init__(
        self,
        network: Network,
        entry_id: EntryId,
        listener: WorkerListener,
        delay_seconds: float = 0.0,
    ) -> None:
        self._network = network
        self._entry_id = entry_id
        self._listener = listener
        self._delay_seconds = delay_seconds
        self._connections: dict[WorkerId, _WorkerConnection] = {}

    def attach(self, machine: MachineRecord, token: FencingToken) -> None:
        """Connect if needed and fence the worker with a token."""
        connection = self._connections.get(machine.worker_id)
        if connection is None:
            connection = _WorkerConnection(token)
            self._connections[machine.worker_id] = connection
        connection.token = token
        if connection.stream is not None:
            self._send_attach(connection.stream, machine.worker_id, token)
        elif not connection.connecting:
            self._connect(connection, machine)

    def detach(self, worker_id: WorkerId) -> None:
        """Close the connection to a worker."""
        connection = self._connections.pop(worker_id, None)
        if connection is not None and connection.stream is not None:
            connection.stream.close()

    def start_task(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        attempt_id: AttemptId,
        request: TaskRequest,
    ) -> bool:
        """Send a task; return ``False`` if nothing was sent."""
        connection = self._connections.get(worker_id)
        if connection is None or connection.stream is None:
            return False
        connection.stream.send(StartTask(token, attempt_id, request))
        return True

    def stop_task(self, worker_id: WorkerId, attempt_id: AttemptId) -> None:
        """Ask a worker to stop a task."""
        connection = self._connections.get(worker_id)
        if connection is not None and connection.stream is not None:
            connection.stream.send(StopTask(attempt_id))

    def close(self) -> None:
        """Close all connections."""
        for worker_id in list(self._connections):
            self.detach(worker_id)

    def _connect(self, connection: _WorkerConnection, machine: MachineRecord) -> None:
        connection.connecting = True
        worker_id = machine.worker_id
        factory = Factory.forProtocol(lambda: self._build_stream(worker_id))
        endpoint = self._network.endpoints.client(machine.host, machine.port)
        connecting = endpoint.connect(factory)
        connecting.addErrback(lambda failure: self._handle_connect_failed(worker_id, failure))

    def _build_stream(self, worker_id: WorkerId) -> _Stream:
        return MessageStream(
            WorkerToEntry,
            lambda _stream, message: self._handle_message(worker_id, message),
            lambda stream: self._handle_connected(worker_id, stream),
            lambda stream: self._handle_lost(worker_id, stream),
            self._delay_seconds,
            self._network.worker_keepalive(),
        )

    def _handle_connect_failed(self, worker_id: WorkerId, failure: object) -> None:
        connection = self._connections.get(worker_id)
        if connection is not None:
            connection.connecting = False
        logging.info("event=worker_unreachable worker=%s", worker_id)

    def _handle_connected(self, worker_id: WorkerId, stream: _Stream) -> None:
        connection = self._connections.get(worker_id)
        if connection is None:
            stream.close()
            return
        connection.connecting = False
        connection.stream = stream
        self._send_attach(stream, worker_id, connection.token)

    def _send_attach(self, stream: _Stream, worker_id: WorkerId, token: FencingToken) -> None:
        stream.send(Attach(self._entry_id, worker_id, token))

    def _handle_lost(self, worker_id: WorkerId, stream: _Stream) -> None:
        connection = self._connections.get(worker_id)
        if connection is not None and connection.stream is stream:
            connection.stream = None
            self._listener.handle_worker_disconnected(worker_id)

    def _handle_message(self, worker_id: WorkerId, message: WorkerToEntry) -> None:
        if isinstance(message, TaskEnded):
            self._listener.handle_task_ended(
                worker_id, message.attempt_id, message.answer, message.task_name
            )
        elif isinstance(message, TaskRefused):
            self._listener.handle_task_refused(worker_id, message.attempt_id, message.code)
        elif isinstance(message, Inventory):
            self._listener.handle_worker_inventory(
                worker_id, message.token, message.capacity, message.running
            )
        elif isinstance(message, AttachRefused):
            code = message.code.name
            logging.warning("event=attach_refused worker=%s code=%s", worker_id, code)
