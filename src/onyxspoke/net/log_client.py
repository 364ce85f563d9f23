"""Adapter of the log port to the platform's message stream."""

from __future__ import annotations

from collections.abc import Iterable

from absl import logging
from twisted.application.service import MultiService
from twisted.internet.protocol import Factory

from onyxspoke.core.codes import OnyxspokeError
from onyxspoke.core.log_records import LogBatch, LogStream, decode_batch, encode_batch
from onyxspoke.core.schema import Offset
from onyxspoke.net.messages import (
    AppendDone,
    AppendRefused,
    AppendRequest,
    MachineList,
    PlatformToEntry,
    TailRecords,
    TailRequest,
)
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.log import LogListener

_Stream = MessageStream[PlatformToEntry]


class LogClient(MultiService):
    """Follows streams of the log and appends to them.

    Parameters
    ----------
    network : Network
        Connections and timers.
    host, port
        Address of the platform.
    streams : iterable of LogStream
        The streams to follow from their start.
    listener : LogListener
        Receives batches and failures.
    delay_seconds : float
        Emulated one-way delay to the platform.
    """

    def __init__(
        self,
        network: Network,
        host: str,
        port: int,
        streams: Iterable[LogStream],
        listener: LogListener,
        delay_seconds: float = 0.0,
    ) -> None:
        self._network = network
        self._listener = listener
        self._delay_seconds = delay_seconds
        self._next_offsets: dict[LogStream, Offset] = dict.fromkeys(streams, 1)
        self._in_flight: dict[int, LogStream] = {}
        self._started: set[LogStream] = set()
        self._append_counter = 0
        self._connection: _Stream | None = None
        self.appends_sent = 0
        super().__init__()
        factory = Factory.forProtocol(self._build_stream)
        network.keep_connected(host, port, factory).setServiceParent(self)

    @property
    def is_connected(self) -> bool:
        """Whether the platform can be reached now."""
        return self._connection is not None

    def append(self, stream: LogStream, batch: LogBatch) -> None:
        """Append a batch; see :class:`onyxspoke.ports.log.LogPort`."""
        if self._connection is None:
            self._listener.handle_append_failed(stream)
            return
        self._append_counter += 1
        self.appends_sent += 1
        self._in_flight[self._append_counter] = stream
        data = encode_batch(batch)
        self._connection.send(AppendRequest(self._append_counter, stream.value, data))

    def _build_stream(self) -> _Stream:
        return MessageStream(
            PlatformToEntry,
            self._handle_message,
            self._handle_connected,
            self._handle_lost,
            self._delay_seconds,
            self._network.control_keepalive(),
        )

    def _handle_connected(self, stream: _Stream) -> None:
        self._connection = stream
        self._started.clear()
        for name, offset in self._next_offsets.items():
            stream.send(TailRequest(name.value, offset))

    def _handle_lost(self, stream: _Stream) -> None:
        self._connection = None
        failed, self._in_flight = self._in_flight, {}
        for name in failed.values():
            self._listener.handle_append_failed(name)

    def _handle_message(self, _stream: _Stream, message: PlatformToEntry) -> None:
        if isinstance(message, TailRecords):
            self._handle_records(message)
        elif isinstance(message, AppendDone):
            self._in_flight.pop(message.append_id, None)
        elif isinstance(message, AppendRefused):
            name = self._in_flight.pop(message.append_id, None)
            if name is not None:
                self._listener.handle_append_failed(name)
        elif isinstance(message, MachineList):
            logging.warning("event=unexpected_message stream=log kind=machine_list")

    def _handle_records(self, message: TailRecords) -> None:
        name = LogStream(message.stream)
        if name not in self._started:
            self._started.add(name)
            next_offset = self._next_offsets[name]
            self._listener.handle_log_start(name, message.first_kept, next_offset)
        for record in message.records:
            if record.offset < self._next_offsets[name]:
                continue
            self._next_offsets[name] = record.offset + 1
            try:
                batch = decode_batch(record.data)
            except OnyxspokeError as error:
                logging.error(
                    "event=log_record_unreadable offset=%d error=%s", record.offset, error
                )
                continue
            self._listener.handle_log_batch(name, record.offset, batch)
