"""The scheduling core of one entry, which turns events into actions.

Every ``on_`` method handles one event at a given time and returns the actions that the
shell carries out.  The core does no I/O, reads no clock and draws no random numbers.
"""

from __future__ import annotations

from onyxspoke.core.actions import (
    Action,
    AnswerCaller,
    AnswerPeer,
    AppendBatch,
)
from onyxspoke.core.codes import OutcomeKind, ResultCode
from onyxspoke.core.context import CoreOptions, make_context
from onyxspoke.core.holdover import HoldoverManager
from onyxspoke.core.idempotency_controller import IdempotencyController
from onyxspoke.core.job_acceptance import JobAcceptance
from onyxspoke.core.job_runner import JobRunner
from onyxspoke.core.log_follower import LogFollower
from onyxspoke.core.log_records import (
    LogBatch,
    LogStream,
    SettingsApply,
    WorkerDrain,
)
from onyxspoke.core.ownership_manager import OwnershipManager
from onyxspoke.core.peer_manager import PeerManager
from onyxspoke.core.planned_stop import PlannedStop
from onyxspoke.core.request_dispatcher import RequestDispatcher
from onyxspoke.core.requests import (
    ActiveRequest,
    CallerOrigin,
    JobOrigin,
    PeerOrigin,
    RequestOrigin,
)
from onyxspoke.core.schema import (
    NO_RESOURCES,
    Answer,
    AttemptId,
    EntryId,
    EntryIdentity,
    FencingToken,
    JobId,
    JobSubmission,
    MachineRecord,
    Offset,
    Resources,
    RunningTask,
    TaskName,
    TaskRequest,
    WorkerId,
    is_task_name,
    split_task_name,
)
from onyxspoke.core.settings_propagation import PendingChanges, SettingsPropagation


class EntryScheduler:
    """Makes all decisions of one entry.

    Parameters
    ----------
    identity : EntryIdentity
        Identity of this entry.
    options : CoreOptions
        Options of the scheduling core.
    """

    def __init__(self, identity: EntryIdentity, options: CoreOptions) -> None:
        self.context = make_context(identity, options)
        self.dispatcher = RequestDispatcher(self.context, self._deliver_answer)
        self.keys = IdempotencyController(self.context, self.dispatcher)
        self.acceptance = JobAcceptance(self.context)
        self.jobs = JobRunner(self.context, self.dispatcher)
        self.ownership = OwnershipManager(self.context)
        self.holdover = HoldoverManager(self.context)
        self.settings_propagation = SettingsPropagation(self.context)
        self.pending_changes = PendingChanges(self.context)
        self.log = LogFollower(
            self.context,
            self.ownership,
            self.keys,
            self.acceptance,
            self.jobs,
            self.settings_propagation,
            self.pending_changes,
        )
        self.peers = PeerManager(self.context)
        self.planned_stop = PlannedStop(
            self.context, self.ownership, self.jobs, self.acceptance, self.pending_changes
        )

    # Requests and jobs

    def on_request(
        self, request_id: str, request: TaskRequest, patience_seconds: float, now: float
    ) -> list[Action]:
        """Handle a request whose caller waits for the answer."""
        active_request = self._register_request(
            request_id, request, CallerOrigin(), patience_seconds, now
        )
        if not request.task_class.repeatable and request.idempotency_key:
            # A keyed request is admitted even while the entry stops: only the log can tell
            # whether the key has run, so an early refusal with "not run" could be wrong.
            self.keys.admit(active_request, now)
        elif self.context.stopping:
            return self._refuse_request(active_request, ResultCode.ENTRY_STOPPING, now)
        else:
            self.dispatcher.place_or_queue(active_request, now)
        return self._take_actions(now)

    def on_caller_disconnected(self, request_id: str, now: float) -> list[Action]:
        """Handle a caller that disconnected before it got its answer."""
        request = self.context.requests.get(request_id)
        if request is not None:
            self.dispatcher.handle_caller_disconnected(request, now)
        return self._take_actions(now)

    def on_job(
        self, request_id: str, job: JobSubmission, patience_seconds: float, now: float
    ) -> list[Action]:
        """Handle a durable job whose caller waits until the job is accepted."""
        if self.context.stopping and not job.request.idempotency_key:
            answer = self.context.refusal(ResultCode.ENTRY_STOPPING)
            self.context.emit(AnswerCaller(request_id, answer))
        else:
            known_answer = self.acceptance.submit(request_id, job, now + patience_seconds)
            if known_answer is not None:
                self.context.emit(AnswerCaller(request_id, known_answer))
        return self._take_actions(now)

    def on_cancel_job(self, job_id: JobId, now: float) -> list[Action]:
        """Cancel a job that this entry runs, at a caller's request."""
        self.jobs.cancel(job_id, now)
        return self._take_actions(now)

    # Workers

    def on_machine_list(self, machines: list[MachineRecord], now: float) -> list[Action]:
        """Apply a new machine list from the platform."""
        for worker_id in self.ownership.handle_machine_list(machines):
            self.context.workers.remove(worker_id)
            self.dispatcher.give_up_attempts(worker_id, now)
        self.ownership.sync_with_log(now)
        return self._take_actions(now)

    def on_worker_inventory(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        capacity: Resources,
        running: list[RunningTask],
        now: float,
    ) -> list[Action]:
        """Handle the inventory of a worker that accepted this entry's fencing token."""
        if self.ownership.handle_inventory(worker_id, token, capacity, running):
            running_attempt_ids = {task.attempt_id for task in running}
            self.dispatcher.handle_missing_attempts(worker_id, running_attempt_ids, now)
            self.dispatcher.pump(now)
        return self._take_actions(now)

    def on_worker_disconnected(self, worker_id: WorkerId, now: float) -> list[Action]:
        """Handle the loss of the connection to a worker."""
        if not self.ownership.handle_disconnect(worker_id):
            self.jobs.recover_tasks_on(worker_id, now)
            self.dispatcher.give_up_attempts(worker_id, now)
        return self._take_actions(now)

    def on_task_ended(
        self,
        worker_id: WorkerId,
        attempt_id: AttemptId,
        answer: Answer,
        task_name: TaskName,
        now: float,
    ) -> list[Action]:
        """Handle a worker's report that an attempt ended."""
        self._release_capacity(worker_id, attempt_id)
        if attempt_id in self.context.attempts:
            self.dispatcher.handle_task_ended(attempt_id, answer, now)
        elif task_name:
            self.jobs.handle_task_answer(JobOrigin(*split_task_name(task_name)), answer)
        self.dispatcher.pump(now)
        return self._take_actions(now)

    def on_task_refused(
        self, worker_id: WorkerId, attempt_id: AttemptId, code: ResultCode, now: float
    ) -> list[Action]:
        """Handle an attempt that a worker refused or that the shell did not send."""
        self._release_capacity(worker_id, attempt_id)
        self.dispatcher.handle_task_refused(attempt_id, code, now)
        return self._take_actions(now)

    # Log

    def on_log_start(
        self, stream: LogStream, first_retained_offset: Offset, next_offset: Offset, now: float
    ) -> list[Action]:
        """Handle the lowest offset of a stream that the log still retains.

        ``next_offset`` is the first offset that this entry has not read.
        """
        self.log.handle_stream_start(stream, first_retained_offset, next_offset)
        return self._take_actions(now)

    def on_cell_batch(self, offset: Offset, batch: LogBatch, now: float) -> list[Action]:
        """Handle one batch that was read from the cell stream."""
        self.log.handle_cell_batch(offset, batch, now)
        return self._take_actions(now)

    def on_settings_batch(self, offset: Offset, batch: LogBatch, now: float) -> list[Action]:
        """Handle one batch that was read from the settings stream."""
        self.log.handle_settings_batch(offset, batch, now)
        return self._take_actions(now)

    def on_append_failed(self, stream: LogStream, now: float) -> list[Action]:
        """Handle an append that failed or whose answer was lost; the batch is sent again later."""
        self.context.append_queues[stream].handle_failure(now)
        return self._take_actions(now)

    def on_settings_change(self, apply: SettingsApply, now: float) -> list[Action]:
        """Append an operator's settings change; the log's order decides whether it is accepted."""
        self.pending_changes.submit(apply, now)
        return self._take_actions(now)

    def on_drain(self, worker_id: WorkerId, draining: bool, now: float) -> list[Action]:
        """Append an operator's command that starts or ends the drain of a worker."""
        self.context.cell_append_queue.add(WorkerDrain(worker_id, draining))
        return self._take_actions(now)

    # Peers

    def on_peer_connected(self, peer_id: EntryId, now: float) -> list[Action]:
        """Handle a new message stream to a peer."""
        peer = self.context.peers.peers.get(peer_id)
        if peer is not None:
            peer.connected = True
        return self._take_actions(now)

    def on_peer_disconnected(self, peer_id: EntryId, now: float) -> list[Action]:
        """Handle the loss of the message stream to a peer."""
        peer = self.context.peers.peers.get(peer_id)
        if peer is not None:
            peer.connected = False
            peer.free = NO_RESOURCES
        self.dispatcher.handle_peer_lost(peer_id, now)
        return self._take_actions(now)

    def on_peer_capacity(
        self,
        peer_id: EntryId,
        free: Resources,
        largest_free: Resources,
        settings_revision: Offset,
        now: float,
    ) -> list[Action]:
        """Handle a peer's advertisement of its free capacity and settings revision."""
        self.settings_propagation.handle_peer_revision(peer_id, settings_revision, now)
        lifetime_seconds = self.context.options.advertisement_lifetime_seconds
        self.context.peers.handle_advertisement(peer_id, free, largest_free, now + lifetime_seconds)
        self.dispatcher.pump(now)
        return self._take_actions(now)

    def on_peer_request(
        self,
        peer_id: EntryId,
        request_id: str,
        request: TaskRequest,
        remaining_seconds: float,
        now: float,
    ) -> list[Action]:
        """Handle a request that a peer forwarded."""
        origin = PeerOrigin(peer_id, request_id)
        local_id = f"{request_id}@{peer_id}"
        active_request = self._register_request(local_id, request, origin, remaining_seconds, now)
        if self.context.stopping:
            return self._refuse_request(active_request, ResultCode.ENTRY_STOPPING, now)
        if request.task_name and not self._is_runner(peer_id, request.task_name):
            # Another entry took over the job after the peer sent the request.
            return self._refuse_request(active_request, ResultCode.STALE_EPOCH, now)
        self.dispatcher.place_or_queue(active_request, now)
        return self._take_actions(now)

    def on_peer_answer(
        self, peer_id: EntryId, request_id: str, answer: Answer, now: float
    ) -> list[Action]:
        """Handle a peer's answer to a forwarded request or a key query."""
        if request_id in self.context.requests:
            self.dispatcher.handle_peer_answer(peer_id, request_id, answer, now)
            self.dispatcher.pump(now)
        elif is_task_name(request_id) and answer.outcome is not OutcomeKind.NOT_RUN:
            self.jobs.handle_task_answer(JobOrigin(*split_task_name(request_id)), answer)
        return self._take_actions(now)

    def on_key_query(self, peer_id: EntryId, request_id: str, key: str, now: float) -> list[Action]:
        """Handle a peer's query for the answer under an idempotency key that this entry holds."""
        answer = self.keys.handle_query(peer_id, request_id, key)
        if answer is not None:
            self.context.emit(AnswerPeer(peer_id, request_id, answer))
        return self._take_actions(now)

    def on_job_probe(
        self, peer_id: EntryId, probe_id: int, job_ids: list[JobId], now: float
    ) -> list[Action]:
        """Handle a peer's probe for running tasks of jobs that the peer has taken over."""
        self.jobs.recovery.answer_probe(peer_id, probe_id, job_ids)
        return self._take_actions(now)

    def on_job_probe_reply(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
        now: float,
    ) -> list[Action]:
        """Handle a peer's answer to a probe."""
        self.jobs.recovery.handle_reply(peer_id, probe_id, worker_ids, running)
        self.jobs.continue_recovered(now)
        return self._take_actions(now)

    def on_task_answer(self, task_name: TaskName, answer: Answer, now: float) -> list[Action]:
        """Handle the answer of a job's task that a peer forwarded to this entry."""
        self.jobs.handle_task_answer(JobOrigin(*split_task_name(task_name)), answer)
        return self._take_actions(now)

    def on_holdover_request(self, peer_id: EntryId, round_number: int, now: float) -> list[Action]:
        """Handle a holdover request from a zone peer that cannot reach the log."""
        self.holdover.handle_request(peer_id, round_number, now)
        return self._take_actions(now)

    def on_holdover_grant(self, peer_id: EntryId, round_number: int, now: float) -> list[Action]:
        """Handle a zone peer's promise not to claim this entry's workers and jobs."""
        self.holdover.handle_grant(peer_id, round_number)
        return self._take_actions(now)

    # Time and stopping

    def on_tick(self, now: float) -> list[Action]:
        """Run all periodic work that is due."""
        self.ownership.plan(now)
        self.ownership.reattach(now)
        self.holdover.keep(now)
        self.log.write_due_snapshots(now)
        self.settings_propagation.tick(now)
        self.pending_changes.tick(now)
        self.jobs.keep(now)
        self.keys.refuse_while_log_is_down(now)
        for request_id, answer in self.acceptance.give_up(now):
            self.context.emit(AnswerCaller(request_id, answer))
        self.dispatcher.expire(now)
        self.dispatcher.pump(now)
        self.peers.keep(now)
        self.planned_stop.keep(now)
        return self._take_actions(now)

    def on_stop(self, now: float) -> list[Action]:
        """Begin a planned stop: refuse new work and finish the work in progress."""
        self.planned_stop.begin(now)
        self.peers.advertise_soon()
        return self.on_tick(now)

    def flush_appends(self, now: float) -> list[Action]:
        """Send the pending records whose batch is due."""
        return self._take_actions(now)

    def next_append_at(self) -> float | None:
        """Return when the shell should call ``flush_appends``; ``None`` if no record is pending."""
        due_times = [appends.next_send_at() for appends in self.context.append_queues.values()]
        return min((due_time for due_time in due_times if due_time is not None), default=None)

    # Internals

    def _register_request(
        self,
        request_id: str,
        request: TaskRequest,
        origin: RequestOrigin,
        patience_seconds: float,
        now: float,
    ) -> ActiveRequest:
        active_request = ActiveRequest(
            request_id=request_id,
            request=request,
            origin=origin,
            deadline=now + patience_seconds,
            received_at=now,
        )
        self.dispatcher.register(active_request)
        return active_request

    def _refuse_request(self, request: ActiveRequest, code: ResultCode, now: float) -> list[Action]:
        self.dispatcher.answer(request, self.context.refusal(code), now)
        return self._take_actions(now)

    def _deliver_answer(self, request: ActiveRequest, answer: Answer, now: float) -> None:
        """Send the final answer of a request to the request's origin."""
        origin = request.origin
        if isinstance(origin, JobOrigin):
            self.jobs.handle_task_answer(origin, answer)
        elif isinstance(origin, PeerOrigin):
            self.context.emit(AnswerPeer(origin.peer_id, origin.request_id, answer))
        else:
            self.context.emit(AnswerCaller(request.request_id, answer))
        if request.request.idempotency_key and isinstance(origin, CallerOrigin):
            self._answer_key_waiters(request, answer, now)

    def _answer_key_waiters(self, request: ActiveRequest, answer: Answer, now: float) -> None:
        for waiter in self.keys.handle_answer(request, answer):
            if isinstance(waiter.origin, PeerOrigin):
                peer_id = waiter.origin.peer_id
                self.context.emit(AnswerPeer(peer_id, waiter.request_id, answer))
                continue
            waiting_request = self.context.requests.get(waiter.request_id)
            if waiting_request is not None:
                self.dispatcher.answer(waiting_request, answer, now)

    def _is_runner(self, peer_id: EntryId, task_name: TaskName) -> bool:
        entry = self.context.cell.jobs.get(split_task_name(task_name)[0])
        return entry is not None and entry.answer is None and entry.runner == peer_id

    def _release_capacity(self, worker_id: WorkerId, attempt_id: AttemptId) -> None:
        self.context.workers.release(worker_id, attempt_id)

    def _take_actions(self, now: float) -> list[Action]:
        for stream, appends in self.context.append_queues.items():
            batch = appends.next_batch(now)
            if batch is not None:
                self.context.emit(AppendBatch(stream, batch))
        actions = self.context.actions
        self.context.actions = []
        return actions
