"""Adapter of the machine list port to the platform's message stream."""

from __future__ import annotations

from twisted.application.internet import ClientService
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from onyxspoke.net.messages import MachineList, MachineListRequest, PlatformToEntry
from onyxspoke.net.retry import reconnect_delay
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.machine_list import MachineListListener

_Stream = MessageStream[PlatformToEntry]


class MachineListClient(ClientService):
    """Subscribes to the machine list for as long as the service runs."""

    def __init__(
        self, host: str, port: int, listener: MachineListListener, delay_seconds: float = 0.0
    ) -> None:
        self._listener = listener
        self._delay_seconds = delay_seconds
        endpoint = TCP4ClientEndpoint(reactor, host, port)
        factory = Factory.forProtocol(self._build_stream)
        super().__init__(endpoint, factory, retryPolicy=reconnect_delay)

    def _build_stream(self) -> _Stream:
        return MessageStream(
            PlatformToEntry,
            self._handle_message,
            lambda stream: stream.send(MachineListRequest()),
            delay_seconds=self._delay_seconds,
        )

    def _handle_message(self, _stream: _Stream, message: PlatformToEntry) -> None:
        if isinstance(message, MachineList):
            self._listener.handle_machine_list(message.machines)
