"""Adapter of the peer port: one outgoing stream to each peer, and a server for theirs."""

from __future__ import annotations

from twisted.application.internet import ClientService
from twisted.application.service import Service
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory

from onyxspoke.core.schema import (
    Answer,
    EntryId,
    JobId,
    Offset,
    Resources,
    TaskName,
    TaskRequest,
    WorkerId,
)
from onyxspoke.net.messages import (
    Capacity,
    ForwardedRequest,
    HoldoverGrant,
    HoldoverRequest,
    JobProbe,
    JobProbeReply,
    JobTaskAnswer,
    KeyQuery,
    Message,
    PeerAnswer,
    PeerHello,
    PeerMessage,
    PeerWelcome,
)
from onyxspoke.net.network import Network
from onyxspoke.net.stream import MessageStream
from onyxspoke.ports.peer import PeerListener

_Stream = MessageStream[PeerMessage]


class PeerNetwork(Service):
    """Streams to and from the peers of one entry.

    Requests, queries and advertisements go out on the stream that this entry opened;
    answers come back on the same one.
    """

    def __init__(
        self,
        network: Network,
        entry_id: EntryId,
        host: str,
        port: int,
        listener: PeerListener,
        delay_seconds: float = 0.0,
    ) -> None:
        self._network = network
        self._entry_id = entry_id
        self._host = host
        self._port = port
        self._listener = listener
        self._delay_seconds = delay_seconds
        self._clients: dict[EntryId, ClientService] = {}
        self._outgoing: dict[EntryId, _Stream] = {}
        self._incoming: dict[EntryId, _Stream] = {}
        self._hello_names: dict[_Stream, EntryId] = {}
        self._listening: IListeningPort | None = None

    def listen(self) -> Deferred[IListeningPort]:
        """Open the server for the peers' streams."""
        endpoint = self._network.endpoints.server(self._host, self._port)
        factory = Factory.forProtocol(self._build_incoming)
        listening: Deferred[IListeningPort] = endpoint.listen(factory)
        listening.addCallback(self._note_listening)
        return listening

    def stopService(self) -> None:
        """Close every stream."""
        super().stopService()
        for peer_id in list(self._clients):
            self.disconnect_peer(peer_id)
        if self._listening is not None:
            self._listening.stopListening()

    def connect_peer(self, peer_id: EntryId, host: str, port: int) -> None:
        """Keep a stream to a peer."""
        if peer_id in self._clients:
            return
        factory = Factory.forProtocol(lambda: self._build_outgoing(peer_id))
        client = self._network.keep_connected(host, port, factory)
        self._clients[peer_id] = client
        client.startService()

    def disconnect_peer(self, peer_id: EntryId) -> None:
        """Drop the stream to a peer."""
        client = self._clients.pop(peer_id, None)
        if client is not None:
            client.stopService()

    def forward_task(
        self,
        peer_id: EntryId,
        request_id: str,
        request: TaskRequest,
        remaining_seconds: float,
    ) -> bool:
        """Hand a request to a peer; return ``False`` if nothing was sent."""
        return self._send(peer_id, ForwardedRequest(request_id, request, remaining_seconds))

    def query_key(self, peer_id: EntryId, request_id: str, key: str) -> bool:
        """Ask a peer for the answer under a key; return ``False`` if nothing was sent."""
        return self._send(peer_id, KeyQuery(request_id, key))

    def answer_peer(self, peer_id: EntryId, request_id: str, answer: Answer) -> None:
        """Answer what a peer sent; if its stream is gone, so is its interest."""
        self._reply(peer_id, PeerAnswer(request_id, answer))

    def probe_jobs(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """Ask a peer which of its workers run tasks of jobs."""
        self._send(peer_id, JobProbe(probe_id, job_ids))

    def answer_probe(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """Answer a probe."""
        self._reply(peer_id, JobProbeReply(probe_id, worker_ids, running))

    def pass_task_answer(self, peer_id: EntryId, task_name: TaskName, answer: Answer) -> None:
        """Pass the answer of a job's task to the entry that runs the job."""
        self._send(peer_id, JobTaskAnswer(task_name, answer))

    def request_holdover(self, peer_id: EntryId, round_number: int) -> None:
        """Ask a zone peer for a promise not to claim our workers."""
        self._send(peer_id, HoldoverRequest(round_number))

    def grant_holdover(self, peer_id: EntryId, round_number: int) -> None:
        """Give that promise."""
        self._reply(peer_id, HoldoverGrant(round_number))

    def advertise(
        self, free: Resources, largest_free: Resources, settings_revision: Offset
    ) -> None:
        """Tell all connected peers what is free, and the settings revision."""
        message = Capacity(free, largest_free, settings_revision)
        for stream in self._outgoing.values():
            stream.send(message)

    def _send(self, peer_id: EntryId, message: Message) -> bool:
        """Send on the stream that this entry opened; return whether there is one."""
        stream = self._outgoing.get(peer_id)
        if stream is None:
            return False
        stream.send(message)
        return True

    def _reply(self, peer_id: EntryId, message: Message) -> None:
        """Send on the stream that the peer opened."""
        stream = self._incoming.get(peer_id)
        if stream is not None:
            stream.send(message)

    def _note_listening(self, listening: IListeningPort) -> IListeningPort:
        self._listening = listening
        return listening

    def _build_outgoing(self, peer_id: EntryId) -> _Stream:
        return MessageStream(
            PeerMessage,
            lambda stream, message: self._handle_reply(peer_id, stream, message),
            lambda stream: stream.send(PeerHello(self._entry_id, peer_id)),
            lambda stream: self._handle_outgoing_lost(peer_id, stream),
            self._delay_seconds,
            self._network.control_keepalive(),
        )

    def _handle_outgoing_lost(self, peer_id: EntryId, stream: _Stream) -> None:
        if self._outgoing.get(peer_id) is stream:
            del self._outgoing[peer_id]
            self._listener.handle_peer_disconnected(peer_id)

    def _handle_reply(self, peer_id: EntryId, stream: _Stream, message: PeerMessage) -> None:
        if isinstance(message, PeerWelcome):
            self._outgoing[peer_id] = stream
            self._listener.handle_peer_connected(peer_id)
        elif isinstance(message, PeerAnswer):
            self._listener.handle_peer_answer(peer_id, message.request_id, message.answer)
        elif isinstance(message, JobProbeReply):
            self._listener.handle_job_probe_reply(
                peer_id, message.probe_id, message.worker_ids, message.running
            )
        elif isinstance(message, HoldoverGrant):
            self._listener.handle_holdover_grant(peer_id, message.round_number)

    def _build_incoming(self) -> _Stream:
        return MessageStream(
            PeerMessage,
            self._handle_incoming,
            on_lost=self._handle_incoming_lost,
            delay_seconds=self._delay_seconds,
        )

    def _handle_incoming(self, stream: _Stream, message: PeerMessage) -> None:
        if isinstance(message, PeerHello):
            self._handle_hello(stream, message)
            return
        peer_id = self._hello_names.get(stream)
        if peer_id is None:
            stream.abort()
        elif isinstance(message, Capacity):
            self._listener.handle_peer_capacity(
                peer_id, message.free, message.largest_free, message.settings_revision
            )
        elif isinstance(message, ForwardedRequest):
            self._listener.handle_peer_request(
                peer_id, message.request_id, message.request, message.remaining_seconds
            )
        elif isinstance(message, KeyQuery):
            self._listener.handle_key_query(peer_id, message.request_id, message.key)
        elif isinstance(message, JobProbe):
            self._listener.handle_job_probe(peer_id, message.probe_id, message.job_ids)
        elif isinstance(message, JobTaskAnswer):
            self._listener.handle_task_answer(message.task_name, message.answer)
        elif isinstance(message, HoldoverRequest):
            self._listener.handle_holdover_request(peer_id, message.round_number)

    def _handle_hello(self, stream: _Stream, message: PeerHello) -> None:
        if message.wanted_id != self._entry_id:
            stream.abort()
            return
        self._incoming[message.entry_id] = stream
        self._hello_names[stream] = message.entry_id
        stream.send(PeerWelcome())

    def _handle_incoming_lost(self, stream: _Stream) -> None:
        peer_id = self._hello_names.pop(stream, None)
        if peer_id is not None and self._incoming.get(peer_id) is stream:
            del self._incoming[peer_id]
