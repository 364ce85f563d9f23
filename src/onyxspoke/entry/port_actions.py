"""Carries out the core's actions that go through a port."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from onyxspoke.core import actions as act
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.schema import Answer, AttemptId, EntryId, WorkerId
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.log import LogPort
from onyxspoke.ports.peer import PeerPort
from onyxspoke.ports.worker import WorkerPort


class Feedback(Protocol):
    """Learns at once of what could not be sent."""

    def handle_task_refused(
        self, worker_id: WorkerId, attempt_id: AttemptId, code: ResultCode
    ) -> None:
        """Take that a task was not sent, and so did not start."""

    def handle_peer_answer(self, peer_id: EntryId, request_id: str, answer: Answer) -> None:
        """Take that a peer could not be asked."""


@dataclass(frozen=True, slots=True)
class Ports:
    """The adapters of one entry."""

    log: LogPort
    workers: WorkerPort
    peers: PeerPort


class PortActions:
    """Handlers of actions by type.

    Parameters
    ----------
    clock : Clock
        Tells whether a lease still holds at the last moment before sending.
    feedback : Feedback
        Learns of what could not be sent.
    """

    def __init__(self, clock: Clock, feedback: Feedback) -> None:
        self._clock = clock
        self._feedback = feedback
        self._connected: Ports | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            act.StartTask: self._start_task,
            act.AnswerPeer: self._answer_peer,
            act.ForwardTask: self._forward_task,
            act.QueryKeyHolder: self._query_key_holder,
            act.AppendBatch: self._append_batch,
            act.AttachWorker: self._attach_worker,
            act.DetachWorker: self._detach_worker,
            act.StopTask: self._stop_task,
            act.ConnectPeer: self._connect_peer,
            act.DisconnectPeer: self._disconnect_peer,
            act.AdvertiseCapacity: self._advertise,
            act.ProbeJobs: self._probe_jobs,
            act.AnswerProbe: self._answer_probe,
            act.PassTaskAnswer: self._pass_task_answer,
            act.RequestHoldover: self._request_holdover,
            act.GrantHoldover: self._grant_holdover,
        }

    def connect_ports(self, log: LogPort, workers: WorkerPort, peers: PeerPort) -> None:
        """Give the handlers their adapters."""
        self._connected = Ports(log, workers, peers)

    @property
    def _ports(self) -> Ports:
        assert self._connected is not None, "actions before the ports were connected"
        return self._connected

    def _start_task(self, action: act.StartTask) -> None:
        # The last moment at which a lease that lapsed in a pause can be noticed.
        if self._clock.now() >= action.not_after:
            self._feedback.handle_task_refused(
                action.worker_id, action.attempt_id, ResultCode.STALE_EPOCH
            )
            return
        sent = self._ports.workers.start_task(
            action.worker_id, action.token, action.attempt_id, action.request
        )
        if not sent:
            self._feedback.handle_task_refused(
                action.worker_id, action.attempt_id, ResultCode.NO_CAPACITY
            )

    def _answer_peer(self, action: act.AnswerPeer) -> None:
        self._ports.peers.answer_peer(action.peer_id, action.request_id, action.answer)

    def _forward_task(self, action: act.ForwardTask) -> None:
        sent = self._ports.peers.forward_task(
            action.peer_id, action.request_id, action.request, action.remaining_seconds
        )
        if not sent:
            answer = Answer(code=ResultCode.PEER_UNREACHABLE)
            self._feedback.handle_peer_answer(action.peer_id, action.request_id, answer)

    def _query_key_holder(self, action: act.QueryKeyHolder) -> None:
        if not self._ports.peers.query_key(action.peer_id, action.request_id, action.key):
            answer = Answer(code=ResultCode.KEY_HOLDER_UNREACHABLE)
            self._feedback.handle_peer_answer(action.peer_id, action.request_id, answer)

    def _append_batch(self, action: act.AppendBatch) -> None:
        self._ports.log.append(action.stream, action.batch)

    def _attach_worker(self, action: act.AttachWorker) -> None:
        self._ports.workers.attach(action.machine, action.token)

    def _detach_worker(self, action: act.DetachWorker) -> None:
        self._ports.workers.detach(action.worker_id)

    def _stop_task(self, action: act.StopTask) -> None:
        self._ports.workers.stop_task(action.worker_id, action.attempt_id)

    def _connect_peer(self, action: act.ConnectPeer) -> None:
        self._ports.peers.connect_peer(action.peer_id, action.host, action.port)

    def _disconnect_peer(self, action: act.DisconnectPeer) -> None:
        self._ports.peers.disconnect_peer(action.peer_id)

    def _advertise(self, action: act.AdvertiseCapacity) -> None:
        self._ports.peers.advertise(action.free, action.largest_free, action.settings_revision)

    def _probe_jobs(self, action: act.ProbeJobs) -> None:
        self._ports.peers.probe_jobs(action.peer_id, action.probe_id, action.job_ids)

    def _answer_probe(self, action: act.AnswerProbe) -> None:
        self._ports.peers.answer_probe(
            action.peer_id, action.probe_id, action.worker_ids, action.running
        )

    def _pass_task_answer(self, action: act.PassTaskAnswer) -> None:
        self._ports.peers.pass_task_answer(action.peer_id, action.task_name, action.answer)

    def _request_holdover(self, action: act.RequestHoldover) -> None:
        self._ports.peers.request_holdover(action.peer_id, action.round_number)

    def _grant_holdover(self, action: act.GrantHoldover) -> None:
        self._ports.peers.grant_holdover(action.peer_id, action.round_number)
