"""The platform stand-in as a Twisted service: log and machine list on one port."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from onyxspoke.core.schema import MachineRecord
from onyxspoke.kit.platform.log_store import LogStore, StoredRecord
from onyxspoke.net.messages import (
    AppendDone,
    AppendRequest,
    EntryToPlatform,
    LogRecordData,
    MachineList,
    MachineListRequest,
    TailRecords,
    TailRequest,
)
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings

EXPIRY_INTERVAL_SECONDS = 1.0
MAXIMUM_WAITING_APPENDS = 10_000
SLOW_APPEND_SECONDS = 0.2
_MILLISECONDS = 1_000.0

_Stream = MessageStream[EntryToPlatform]


@dataclass(frozen=True, slots=True)
class _WaitingAppend:
    stream: _Stream
    request: AppendRequest


@dataclass(slots=True)
class PlatformFaults:
    """Faults that are injected now.

    ``outage``: nothing is taken or sent.  ``extra_append_seconds``: each append takes that
    much longer.  ``loses_answers``: an append is done, then the asker's connection drops.
    """

    outage: bool = False
    extra_append_seconds: float = 0.0
    loses_answers: bool = False


class PlatformService(MultiService):
    """Append-only log with a limited rate of appends, and a lagging machine list."""

    def __init__(self, settings: CellSettings, network: Network, clock: Clock) -> None:
        super().__init__()
        self._network = network
        self._clock = clock
        self._settings = settings.platform
        self._delay_seconds = settings.links.between_zones_ms / _MILLISECONDS
        self._machines = settings.machines()
        self._store = LogStore(self._settings.retention_seconds)
        # Followers in the order in which they came, so that a simulation repeats itself.
        self._followers: dict[str, dict[_Stream, None]] = {}
        self._streams: dict[_Stream, None] = {}
        self._list_readers: dict[_Stream, None] = {}
        self._waiting: deque[_WaitingAppend] = deque()
        self.faults = PlatformFaults()
        self._is_appending = False
        expiry = TimerService(EXPIRY_INTERVAL_SECONDS, self._expire)
        expiry.clock = network.reactor
        expiry.setServiceParent(self)

    def listen(self) -> Deferred[Any]:
        """Open the server socket."""
        host = str(self._settings.host)
        endpoint = self._network.endpoints.server(host, self._settings.port)
        listening: Deferred[Any] = endpoint.listen(Factory.forProtocol(self._build_stream))
        return listening

    def _build_stream(self) -> _Stream:
        return MessageStream(
            EntryToPlatform,
            self._handle_message,
            self._handle_connected,
            self._handle_lost,
            delay_seconds=self._delay_seconds,
        )

    def set_machines(self, machines: list[MachineRecord]) -> None:
        """Change the machine list; readers see it after the lag."""
        lag = self._settings.machine_list_lag_seconds
        self._network.reactor.callLater(lag, self._publish_machines, machines)

    def begin_outage(self) -> None:
        """Drop every connection and take none until the outage ends."""
        self.faults.outage = True
        self._waiting.clear()
        for stream in list(self._streams):
            stream.abort()

    def end_outage(self) -> None:
        """Serve again."""
        self.faults.outage = False

    def switch_outage(self) -> None:
        """Begin an outage, or end the present one."""
        if self.faults.outage:
            self.end_outage()
        else:
            self.begin_outage()
        logging.info("event=fault outage=%s", self.faults.outage)

    def switch_lost_answers(self) -> None:
        """Begin to lose answers, or stop it."""
        self.faults.loses_answers = not self.faults.loses_answers
        logging.info("event=fault loses_answers=%s", self.faults.loses_answers)

    def switch_slow_log(self) -> None:
        """Make the log slow, or fast again."""
        is_slow = self.faults.extra_append_seconds > 0
        self.faults.extra_append_seconds = 0.0 if is_slow else SLOW_APPEND_SECONDS
        logging.info("event=fault slow_log=%s", not is_slow)

    def _publish_machines(self, machines: list[MachineRecord]) -> None:
        self._machines = machines
        for stream in self._list_readers:
            stream.send(MachineList(machines))

    def _handle_connected(self, stream: _Stream) -> None:
        if self.faults.outage:
            stream.abort()
        else:
            self._streams[stream] = None

    def _handle_message(self, stream: _Stream, message: EntryToPlatform) -> None:
        if isinstance(message, AppendRequest):
            self._enqueue(stream, message)
        elif isinstance(message, TailRequest):
            self._follow(stream, message)
        elif isinstance(message, MachineListRequest):
            self._list_readers[stream] = None
            stream.send(MachineList(self._machines))

    def _handle_lost(self, stream: _Stream) -> None:
        self._streams.pop(stream, None)
        self._list_readers.pop(stream, None)
        for followers in self._followers.values():
            followers.pop(stream, None)

    def _follow(self, stream: _Stream, message: TailRequest) -> None:
        self._followers.setdefault(message.stream, {})[stream] = None
        records = self._store.read(message.stream, message.from_offset)
        stream.send(self._to_tail(message.stream, records))

    def _enqueue(self, stream: _Stream, request: AppendRequest) -> None:
        if len(self._waiting) >= MAXIMUM_WAITING_APPENDS:
            logging.warning("event=append_dropped waiting=%d", len(self._waiting))
            return
        self._waiting.append(_WaitingAppend(stream, request))
        if not self._is_appending:
            self._is_appending = True
            self._network.reactor.callLater(
                self._settings.append_delay_ms / _MILLISECONDS, self._append_next
            )

    def _append_next(self) -> None:
        if not self._waiting:
            self._is_appending = False
            return
        waiting = self._waiting.popleft()
        request = waiting.request
        record = self._store.append(request.stream, request.data, self._clock.now())
        if self.faults.loses_answers:
            waiting.stream.abort()
        waiting.stream.send(AppendDone(request.append_id, record.offset))
        tail = self._to_tail(request.stream, [record])
        for follower in self._followers.get(request.stream, ()):
            follower.send(tail)
        pause = 1.0 / self._settings.appends_per_second + self.faults.extra_append_seconds
        self._network.reactor.callLater(pause, self._append_next)

    def _to_tail(self, stream: str, records: list[StoredRecord]) -> TailRecords:
        data = [LogRecordData(record.offset, record.data) for record in records]
        return TailRecords(stream, self._store.first_kept(stream), data)

    def _expire(self) -> None:
        self._store.expire(self._clock.now())
