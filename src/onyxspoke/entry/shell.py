"""Carries out the core's actions and feeds it what happens."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core import actions as act
from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.log_records import LogBatch, LogStream, SettingsApply
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    EntryId,
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
)
from onyxspoke.core.settings_tree import SettingsVerdict
from onyxspoke.entry.port_actions import PortActions
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.log import LogPort
from onyxspoke.ports.peer import PeerPort
from onyxspoke.ports.worker import WorkerPort

AnswerCallback = Callable[[Answer], None]
VerdictCallback = Callable[[SettingsVerdict], None]
RefusalCallback = Callable[[ResultCode], None]


class EntryShell:
    """Joins the core to its ports; implements every listener interface.

    Parameters
    ----------
    scheduler : EntryScheduler
        The core.
    clock : Clock
        Source of time for the core.
    reactor : IReactorTime
        Wakes the core when waiting records may be appended.
    """

    def __init__(self, scheduler: EntryScheduler, clock: Clock, reactor: IReactorTime) -> None:
        self.scheduler = scheduler
        self._clock = clock
        self._reactor = reactor
        self._append_timer_set = False
        self._request_counter = 0
        self._callers: dict[str, AnswerCallback] = {}
        self._job_waiters: dict[JobId, list[Callable[[], None]]] = {}
        self._verdict_waiters: dict[str, tuple[VerdictCallback, RefusalCallback]] = {}
        self.on_state_lost: Callable[[], None] = lambda: None
        self.on_settings_in_force: Callable[[float], None] = lambda _seconds: None
        self.on_stopped: Callable[[], None] = lambda: None
        self._port_actions = PortActions(clock, self)
        self._handlers: dict[type, Callable[[Any], None]] = {
            **self._port_actions.handlers,
            act.AnswerCaller: self._answer_caller,
            act.JobFinished: self._job_finished,
            act.SettingsDecided: self._settings_decided,
            act.SettingsInForce: self._settings_in_force,
            act.SettingsRefused: self._settings_refused,
            act.StateLost: self._state_lost,
            act.StopCompleted: self._stop_completed,
        }

    @property
    def entry_id(self) -> EntryId:
        """Identifier of this run of the entry."""
        return self.scheduler.context.identity.entry_id

    def connect_ports(self, log: LogPort, workers: WorkerPort, peers: PeerPort) -> None:
        """Give the shell its adapters."""
        self._port_actions.connect_ports(log, workers, peers)

    # What callers and operators do

    def submit_request(
        self, request: TaskRequest, patience_seconds: float, on_answer: AnswerCallback
    ) -> str:
        """Submit a request; ``on_answer`` is called once."""
        request_id = self._register_caller(on_answer)
        now = self._clock.now()
        self.carry_out(self.scheduler.on_request(request_id, request, patience_seconds, now))
        return request_id

    def submit_job(
        self, job: JobSubmission, patience_seconds: float, on_answer: AnswerCallback
    ) -> None:
        """Submit a durable job; ``on_answer`` is called once, with its acceptance."""
        request_id = self._register_caller(on_answer)
        now = self._clock.now()
        self.carry_out(self.scheduler.on_job(request_id, job, patience_seconds, now))

    def hang_up(self, request_id: str) -> None:
        """Forget a caller that went away."""
        if self._callers.pop(request_id, None) is not None:
            now = self._clock.now()
            self.carry_out(self.scheduler.on_caller_disconnected(request_id, now))

    def cancel_job(self, job_id: JobId) -> None:
        """Give up a job."""
        self.carry_out(self.scheduler.on_cancel_job(job_id, self._clock.now()))

    def wait_for_job(self, job_id: JobId, on_finished: Callable[[], None]) -> None:
        """Call back when a job has ended."""
        self._job_waiters.setdefault(job_id, []).append(on_finished)

    def stop_waiting_for_job(self, job_id: JobId, on_finished: Callable[[], None]) -> None:
        """Withdraw a callback of :meth:`wait_for_job`."""
        waiters = self._job_waiters.get(job_id, [])
        if on_finished in waiters:
            waiters.remove(on_finished)
        if not waiters:
            self._job_waiters.pop(job_id, None)

    def change_settings(
        self, apply: SettingsApply, on_verdict: VerdictCallback, on_refused: RefusalCallback
    ) -> None:
        """Change settings; one callback is called, once the change was folded or given up."""
        self._verdict_waiters[apply.change_id] = (on_verdict, on_refused)
        self.carry_out(self.scheduler.on_settings_change(apply, self._clock.now()))

    def drain_worker(self, worker_id: WorkerId, *, draining: bool) -> None:
        """Take a worker out of use or back into it."""
        if worker_id not in self.scheduler.context.machines:
            raise OnyxspokeError(ResultCode.NO_SUCH_WORKER, f"no worker {worker_id}")
        self.carry_out(self.scheduler.on_drain(worker_id, draining, self._clock.now()))

    def tick(self) -> None:
        """Let the core see the time."""
        self.carry_out(self.scheduler.on_tick(self._clock.now()))

    def stop(self) -> None:
        """Begin a planned stop."""
        logging.info("event=stop_began entry=%s", self.entry_id)
        self.carry_out(self.scheduler.on_stop(self._clock.now()))

    # Listener of the log

    def handle_log_start(self, stream: LogStream, first_kept: Offset, next_offset: Offset) -> None:
        """The log keeps a stream from one offset on."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_log_start(stream, first_kept, next_offset, now))

    def handle_log_batch(self, stream: LogStream, offset: Offset, batch: LogBatch) -> None:
        """One batch was read."""
        now = self._clock.now()
        if stream is LogStream.CELL:
            self.carry_out(self.scheduler.on_cell_batch(offset, batch, now))
        else:
            self.carry_out(self.scheduler.on_settings_batch(offset, batch, now))

    def handle_append_failed(self, stream: LogStream) -> None:
        """An append failed or its fate is unknown."""
        self.carry_out(self.scheduler.on_append_failed(stream, self._clock.now()))

    # Listener of the machine list

    def handle_machine_list(self, machines: list[MachineRecord]) -> None:
        """The machine list changed."""
        self.carry_out(self.scheduler.on_machine_list(machines, self._clock.now()))

    # Listener of workers

    def handle_worker_inventory(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        capacity: Resources,
        running: list[RunningTask],
    ) -> None:
        """A worker accepted a token."""
        logging.info(
            "event=worker_attached worker=%s epoch=%d running=%d",
            worker_id,
            token.epoch,
            len(running),
        )
        now = self._clock.now()
        self.carry_out(self.scheduler.on_worker_inventory(worker_id, token, capacity, running, now))

    def handle_worker_disconnected(self, worker_id: WorkerId) -> None:
        """The connection to a worker was lost."""
        logging.info("event=worker_disconnected worker=%s", worker_id)
        self.carry_out(self.scheduler.on_worker_disconnected(worker_id, self._clock.now()))

    def handle_task_ended(
        self, worker_id: WorkerId, attempt_id: AttemptId, answer: Answer, task_name: TaskName
    ) -> None:
        """A task ended."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_task_ended(worker_id, attempt_id, answer, task_name, now))

    def handle_task_refused(
        self, worker_id: WorkerId, attempt_id: AttemptId, code: ResultCode
    ) -> None:
        """A task was refused."""
        logging.info("event=task_refused worker=%s code=%s", worker_id, code.name)
        now = self._clock.now()
        self.carry_out(self.scheduler.on_task_refused(worker_id, attempt_id, code, now))

    # Listener of peers

    def handle_peer_connected(self, peer_id: EntryId) -> None:
        """The stream to a peer is up."""
        self.carry_out(self.scheduler.on_peer_connected(peer_id, self._clock.now()))

    def handle_peer_disconnected(self, peer_id: EntryId) -> None:
        """The stream to a peer was lost."""
        logging.info("event=peer_disconnected peer=%s", peer_id)
        self.carry_out(self.scheduler.on_peer_disconnected(peer_id, self._clock.now()))

    def handle_peer_capacity(
        self,
        peer_id: EntryId,
        free: Resources,
        largest_free: Resources,
        settings_revision: Offset,
    ) -> None:
        """A peer advertised its free capacity and its settings revision."""
        now = self._clock.now()
        self.carry_out(
            self.scheduler.on_peer_capacity(peer_id, free, largest_free, settings_revision, now)
        )

    def handle_peer_request(
        self,
        peer_id: EntryId,
        request_id: str,
        request: TaskRequest,
        remaining_seconds: float,
    ) -> None:
        """A peer forwarded a request."""
        now = self._clock.now()
        self.carry_out(
            self.scheduler.on_peer_request(peer_id, request_id, request, remaining_seconds, now)
        )

    def handle_peer_answer(self, peer_id: EntryId, request_id: str, answer: Answer) -> None:
        """A peer answered."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_peer_answer(peer_id, request_id, answer, now))

    def handle_key_query(self, peer_id: EntryId, request_id: str, key: str) -> None:
        """A peer asks for the answer under a key."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_key_query(peer_id, request_id, key, now))

    def handle_job_probe(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """A peer asks what runs on our workers."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_job_probe(peer_id, probe_id, job_ids, now))

    def handle_job_probe_reply(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """A peer answered a probe."""
        now = self._clock.now()
        self.carry_out(
            self.scheduler.on_job_probe_reply(peer_id, probe_id, worker_ids, running, now)
        )

    def handle_task_answer(self, task_name: TaskName, answer: Answer) -> None:
        """A peer passed on the answer of a job's task."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_task_answer(task_name, answer, now))

    def handle_holdover_request(self, peer_id: EntryId, round_number: int) -> None:
        """A zone peer asks for a promise."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_holdover_request(peer_id, round_number, now))

    def handle_holdover_grant(self, peer_id: EntryId, round_number: int) -> None:
        """A zone peer gave its promise."""
        now = self._clock.now()
        self.carry_out(self.scheduler.on_holdover_grant(peer_id, round_number, now))

    # Actions

    def carry_out(self, actions: list[act.Action]) -> None:
        """Carry out actions in order."""
        for action in actions:
            self._handlers[type(action)](action)
        self._set_append_timer()

    def _set_append_timer(self) -> None:
        if self._append_timer_set:
            return
        due_at = self.scheduler.next_append_at()
        if due_at is not None:
            self._append_timer_set = True
            delay = max(0.0, due_at - self._clock.now())
            self._reactor.callLater(delay, self._handle_append_due)

    def _handle_append_due(self) -> None:
        self._append_timer_set = False
        self.carry_out(self.scheduler.flush_appends(self._clock.now()))

    def _register_caller(self, on_answer: AnswerCallback) -> str:
        self._request_counter += 1
        request_id = f"{self.scheduler.context.identity.entry_id}-{self._request_counter}"
        self._callers[request_id] = on_answer
        return request_id

    def _answer_caller(self, action: act.AnswerCaller) -> None:
        on_answer = self._callers.pop(action.request_id, None)
        if on_answer is not None:
            on_answer(action.answer)

    def _job_finished(self, action: act.JobFinished) -> None:
        for on_finished in self._job_waiters.pop(action.job_id, []):
            on_finished()

    def _settings_decided(self, action: act.SettingsDecided) -> None:
        waiter = self._verdict_waiters.pop(action.change_id, None)
        verdict = self.scheduler.context.settings.verdict(action.change_id)
        if waiter is not None and verdict is not None:
            on_verdict, _ = waiter
            on_verdict(verdict)

    def _settings_refused(self, action: act.SettingsRefused) -> None:
        waiter = self._verdict_waiters.pop(action.change_id, None)
        if waiter is not None:
            _, on_refused = waiter
            on_refused(action.code)

    def _settings_in_force(self, action: act.SettingsInForce) -> None:
        logging.info("event=settings_in_force revision=%d", action.revision)
        self.on_settings_in_force(action.seconds)

    def _state_lost(self, action: act.StateLost) -> None:
        logging.error("event=log_records_missed stream=%s", action.stream.value)
        self.on_state_lost()

    def _stop_completed(self, action: act.StopCompleted) -> None:
        logging.info("event=stop_completed")
        self._end_job_waits()
        self.on_stopped()

    def _end_job_waits(self) -> None:
        """Tell callers who wait for a job's end what is known of it now."""
        if self._job_waiters:
            logging.info("event=job_waits_ended jobs=%d", len(self._job_waiters))
        for job_id in list(self._job_waiters):
            for on_finished in self._job_waiters.pop(job_id, []):
                on_finished()
