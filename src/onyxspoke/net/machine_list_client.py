"""Adapter of the machine list port to the platform's message stream."""

from __future__ import annotations

from twisted.application.service import MultiService
from twisted.internet.protocol import Factory

from onyxspoke.net.messages import MachineList, MachineListRequest, PlatformToEntry
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.machine_list import MachineListListener

_Stream = MessageStream[PlatformToEntry]


class MachineListClient(MultiService):
    """Subscribes to the machine list for as long as the service runs."""

    def __init__(
        self,
        network: Network,
        host: str,
        port: int,
        listener: MachineListListener,
        delay_seconds: float = 0.0,
    ) -> None:
        self._network = network
        self._listener = listener
        self._delay_seconds = delay_seconds
        super().__init__()
        factory = Factory.forProtocol(self._build_stream)
        network.keep_connected(host, port, factory).setServiceParent(self)

    def _build_stream(self) -> _Stream:
        return MessageStream(
            PlatformToEntry,
            self._handle_message,
            lambda stream: stream.send(MachineListRequest()),
            delay_seconds=self._delay_seconds,
            keepalive=self._network.control_keepalive(),
        )

    def _handle_message(self, _stream: _Stream, message: PlatformToEntry) -> None:
        if isinstance(message, MachineList):
            self._listener.handle_machine_list(message.machines)
