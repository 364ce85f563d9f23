"""The decision core of one entry: stimuli in, actions out.

Every ``stimulus_`` method takes what happened and the time, and returns the actions that
the shell is to carry out.  Nothing here does I/O, reads a clock or draws a random number.
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
from onyxspoke.core.holdover import HoldoverKeeper
from onyxspoke.core.job_acceptance import JobAcceptance
from onyxspoke.core.job_runner import JobRunner
from onyxspoke.core.key_guard import KeyGuard
from onyxspoke.core.log_follower import LogFollower
from onyxspoke.core.log_records import (
    LogBatch,
    LogStream,
    SettingsApply,
    WorkerDrain,
)
from onyxspoke.core.ownership_manager import OwnershipManager
from onyxspoke.core.peer_keeper import PeerKeeper
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
    """All decisions of one entry.

    Parameters
    ----------
    identity : EntryIdentity
        Who this entry is.
    options : CoreOptions
        Tunable behaviour.
    """

    def __init__(self, identity: EntryIdentity, options: CoreOptions) -> None:
        self.context = make_context(identity, options)
        self.dispatcher = RequestDispatcher(self.context, self._deliver)
        self.keys = KeyGuard(self.context, self.dispatcher)
        self.acceptance = JobAcceptance(self.context)
        self.jobs = JobRunner(self.context, self.dispatcher)
        self.ownership = OwnershipManager(self.context)
        self.holdover = HoldoverKeeper(self.context)
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
        self.peers = PeerKeeper(self.context)
        self.planned_stop = PlannedStop(self.context, self.ownership, self.jobs)

    # Requests and jobs

    def on_request(
        self, request_id: str, request: TaskRequest, patience_seconds: float, now: float
    ) -> list[Action]:
        """A caller submits a request and waits for its answer."""
        active = self._make_request(request_id, request, CallerOrigin(), patience_seconds, now)
        if not request.task_class.repeatable and request.idempotency_key:
            # Served even while stopping: only the log can tell whether a key has run, so
            # a refusal at the door could not truthfully say "not run".
            self.keys.admit(active, now)
        elif self.context.stopping:
            return self._refuse(active, ResultCode.ENTRY_STOPPING, now)
        else:
            self.dispatcher.place_or_queue(active, now)
        return self._take_actions(now)

    def on_caller_disconnected(self, request_id: str, now: float) -> list[Action]:
        """A caller went away without its answer."""
        request = self.context.requests.get(request_id)
        if request is not None:
            self.dispatcher.hang_up(request, now)
        return self._take_actions(now)

    def on_job(
        self, request_id: str, job: JobSubmission, patience_seconds: float, now: float
    ) -> list[Action]:
        """A caller submits a durable job and waits for its acceptance."""
        if self.context.stopping and not job.request.idempotency_key:
            answer = self.context.refusal(ResultCode.ENTRY_STOPPING)
            self.context.emit(AnswerCaller(request_id, answer))
        else:
            known = self.acceptance.submit(request_id, job, now + patience_seconds)
            if known is not None:
                self.context.emit(AnswerCaller(request_id, known))
        return self._take_actions(now)

    def on_cancel_job(self, job_id: JobId, now: float) -> list[Action]:
        """A caller cancels a job that this entry runs."""
        self.jobs.cancel(job_id, now)
        return self._take_actions(now)

    # Workers

    def on_machine_list(self, machines: list[MachineRecord], now: float) -> list[Action]:
        """The platform sent its machine list."""
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
        """A worker accepted the token and says what it runs."""
        if self.ownership.handle_inventory(worker_id, token, capacity, running):
            still_running = {task.attempt_id for task in running}
            self.dispatcher.handle_missing_attempts(worker_id, still_running, now)
            self.dispatcher.pump(now)
        return self._take_actions(now)

    def on_worker_disconnected(self, worker_id: WorkerId, now: float) -> list[Action]:
        """The connection to a worker was lost."""
        if not self.ownership.handle_disconnect(worker_id):
            self.jobs.look_for_tasks_on(worker_id, now)
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
        """A worker says that an attempt ended."""
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
        """A worker, or the shell before sending, says that an attempt did not start."""
        self._release_capacity(worker_id, attempt_id)
        self.dispatcher.handle_task_refused(attempt_id, code, now)
        return self._take_actions(now)

    # Log

    def on_log_start(
        self, stream: LogStream, first_kept: Offset, next_offset: Offset, now: float
    ) -> list[Action]:
        """The log tells from which offset on it keeps a stream; we want ``next_offset``."""
        self.log.handle_start(stream, first_kept, next_offset)
        return self._take_actions(now)

    def on_cell_batch(self, offset: Offset, batch: LogBatch, now: float) -> list[Action]:
        """One batch of the cell stream was read."""
        self.log.read_cell(offset, batch, now)
        return self._take_actions(now)

    def on_settings_batch(self, offset: Offset, batch: LogBatch, now: float) -> list[Action]:
        """One batch of the settings stream was read."""
        self.log.read_settings(offset, batch, now)
        return self._take_actions(now)

    def on_append_failed(self, stream: LogStream, now: float) -> list[Action]:
        """An append was refused, or its answer was lost; it is sent again later."""
        self.context.append_queues[stream].handle_failure(now)
        return self._take_actions(now)

    def on_settings_change(self, apply: SettingsApply, now: float) -> list[Action]:
        """An operator changes settings; the fold decides."""
        self.pending_changes.submit(apply, now)
        return self._take_actions(now)

    def on_drain(self, worker_id: WorkerId, draining: bool, now: float) -> list[Action]:
        """An operator takes a worker out of use or back into it."""
        self.context.cell_append_queue.add(WorkerDrain(worker_id, draining))
        return self._take_actions(now)

    # Peers

    def on_peer_connected(self, peer_id: EntryId, now: float) -> list[Action]:
        """The stream to a peer is up."""
        peer = self.context.peers.peers.get(peer_id)
        if peer is not None:
            peer.connected = True
        return self._take_actions(now)

    def on_peer_disconnected(self, peer_id: EntryId, now: float) -> list[Action]:
        """The stream to a peer was lost."""
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
        """A peer advertised its free capacity and its settings revision."""
        self.settings_propagation.handle_peer_revision(peer_id, settings_revision, now)
        lifetime = self.context.options.advertisement_lifetime_seconds
        self.context.peers.handle_advertisement(peer_id, free, largest_free, now + lifetime)
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
        """A peer forwarded a request."""
        origin = PeerOrigin(peer_id, request_id)
        local_id = f"{request_id}@{peer_id}"
        active = self._make_request(local_id, request, origin, remaining_seconds, now)
        if self.context.stopping:
            return self._refuse(active, ResultCode.ENTRY_STOPPING, now)
        if request.task_name and not self._is_runner(peer_id, request.task_name):
            # The job was adopted by another entry since the peer sent this.
            return self._refuse(active, ResultCode.STALE_EPOCH, now)
        self.dispatcher.place_or_queue(active, now)
        return self._take_actions(now)

    def on_peer_answer(
        self, peer_id: EntryId, request_id: str, answer: Answer, now: float
    ) -> list[Action]:
        """A peer answered a forwarded request or a key query."""
        if request_id in self.context.requests:
            self.dispatcher.handle_peer_answer(peer_id, request_id, answer, now)
            self.dispatcher.pump(now)
        elif is_task_name(request_id) and answer.outcome is not OutcomeKind.NOT_RUN:
            self.jobs.handle_task_answer(JobOrigin(*split_task_name(request_id)), answer)
        return self._take_actions(now)

    def on_key_query(self, peer_id: EntryId, request_id: str, key: str, now: float) -> list[Action]:
        """A peer asks for the answer under a key that this entry holds."""
        answer = self.keys.handle_query(peer_id, request_id, key)
        if answer is not None:
            self.context.emit(AnswerPeer(peer_id, request_id, answer))
        return self._take_actions(now)

    def on_job_probe(
        self, peer_id: EntryId, probe_id: int, job_ids: list[JobId], now: float
    ) -> list[Action]:
        """A peer that adopted jobs asks what of them runs on our workers."""
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
        """A peer answered a probe."""
        self.jobs.recovery.handle_reply(peer_id, probe_id, worker_ids, running)
        self.jobs.continue_recovered(now)
        return self._take_actions(now)

    def on_task_answer(self, task_name: TaskName, answer: Answer, now: float) -> list[Action]:
        """A peer passed on the answer of a task of a job that this entry runs."""
        self.jobs.handle_task_answer(JobOrigin(*split_task_name(task_name)), answer)
        return self._take_actions(now)

    def on_holdover_request(self, peer_id: EntryId, round_number: int, now: float) -> list[Action]:
        """A zone peer without the log asks for a promise."""
        self.holdover.handle_request(peer_id, round_number, now)
        return self._take_actions(now)

    def on_holdover_grant(self, peer_id: EntryId, round_number: int, now: float) -> list[Action]:
        """A zone peer promised to claim nothing of ours."""
        self.holdover.handle_grant(peer_id, round_number)
        return self._take_actions(now)

    # Time and stopping

    def on_tick(self, now: float) -> list[Action]:
        """Some time has passed."""
        self.ownership.plan(now)
        self.ownership.reattach(now)
        self.holdover.keep(now)
        self.log.keep_snapshots(now)
        self.settings_propagation.keep(now)
        self.pending_changes.keep(now)
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
        """Begin a planned stop: take no new work, finish what is in progress."""
        self.planned_stop.begin(now)
        self.peers.advertise_soon()
        return self.on_tick(now)

    def flush_appends(self, now: float) -> list[Action]:
        """Send waiting records whose time has come."""
        return self._take_actions(now)

    def next_append_at(self) -> float | None:
        """Return when the shell should tick for the sake of waiting records."""
        moments = [appends.due_at() for appends in self.context.append_queues.values()]
        return min((moment for moment in moments if moment is not None), default=None)

    # Internals

    def _make_request(
        self,
        request_id: str,
        request: TaskRequest,
        origin: RequestOrigin,
        patience_seconds: float,
        now: float,
    ) -> ActiveRequest:
        active = ActiveRequest(
            request_id=request_id,
            request=request,
            origin=origin,
            deadline=now + patience_seconds,
            received_at=now,
        )
        self.dispatcher.register(active)
        return active

    def _refuse(self, request: ActiveRequest, code: ResultCode, now: float) -> list[Action]:
        self.dispatcher.answer(request, self.context.refusal(code), now)
        return self._take_actions(now)

    def _deliver(self, request: ActiveRequest, answer: Answer, now: float) -> None:
        """Send the final answer of a request to where it came from."""
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
            waiting = self.context.requests.get(waiter.request_id)
            if waiting is not None:
                self.dispatcher.answer(waiting, answer, now)

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
