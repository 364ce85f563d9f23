"""Request life cycle: registration, queueing, dispatch, forwarding and the final answer."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from onyxspoke.core.actions import ForwardTask, StartTask, StopTask
from onyxspoke.core.codes import OutcomeKind, ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.owned_worker import OwnedWorker
from onyxspoke.core.requests import ActiveRequest, JobOrigin, PeerOrigin, RequestState
from onyxspoke.core.schema import (
    Answer,
    AttemptId,
    EntryId,
    JobId,
    RunningTask,
    TaskClass,
    WorkerId,
)

_DEADLINE_COMPACTION_THRESHOLD = 1_024


class RequestDispatcher:
    """Dispatches, forwards, queues and answers requests.

    Parameters
    ----------
    context : EntryContext
        The state that the parts of this entry share.
    deliver : callable
        Called once for each request with its final answer.
    """

    def __init__(
        self, context: EntryContext, deliver: Callable[[ActiveRequest, Answer, float], None]
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._deadlines: list[tuple[float, str]] = []
        self._attempt_counter = 0

    def register(self, request: ActiveRequest) -> None:
        """Add a request that this entry must answer, and watch its deadline."""
        self._context.requests[request.request_id] = request
        heapq.heappush(self._deadlines, (request.deadline, request.request_id))

    def place_or_queue(self, request: ActiveRequest, now: float) -> None:
        """Send a request now if a worker or peer has free capacity, else queue or refuse it."""
        request.transition(RequestState.QUEUED)
        if len(self._context.queue) == 0 and self._try_send(request, now):
            return
        if isinstance(request.origin, PeerOrigin):
            # The forwarding peer queues the request instead: it receives all advertisements.
            self.answer(request, self._context.refusal(ResultCode.NO_CAPACITY), now)
            return
        is_job = isinstance(request.origin, JobOrigin)
        if not is_job and not self._context.queue.has_capacity_for(len(request.request.payload)):
            self.answer(request, self._context.refusal(ResultCode.QUEUE_FULL), now)
            return
        self._context.queue.push(request)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Send as many queued requests as the free capacity allows."""
        if len(self._context.queue) == 0:
            return
        classes_without_capacity: set[TaskClass] = set()
        for request in self._context.queue.in_order():
            task_class = request.request.task_class
            if task_class in classes_without_capacity:
                continue
            if not self._try_send(request, now):
                classes_without_capacity.add(task_class)

    def handle_task_ended(self, attempt_id: AttemptId, answer: Answer, now: float) -> None:
        """Answer the request of an attempt that a worker reported as ended."""
        request = self._context.attempts.pop(attempt_id, None)
        if request is not None:
            self.answer(request, answer, now)

    def handle_task_refused(self, attempt_id: AttemptId, code: ResultCode, now: float) -> None:
        """Requeue the request of an attempt that a worker refused or that was not sent."""
        request = self._context.attempts.pop(attempt_id, None)
        if request is not None:
            self._requeue(request, code, now)

    def handle_peer_answer(
        self, peer_id: EntryId, request_id: str, answer: Answer, now: float
    ) -> None:
        """Handle a peer's answer to a forwarded request or a key query."""
        request = self._context.requests.get(request_id)
        if request is None or request.peer_id != peer_id:
            return
        if request.state is RequestState.FORWARDED and answer.outcome is OutcomeKind.NOT_RUN:
            self._context.peers.mark_full(peer_id)
            self._requeue(request, answer.code, now)
        elif request.state in (RequestState.FORWARDED, RequestState.WAITING_FOR_HOLDER):
            self.answer(request, answer, now)

    def handle_peer_lost(self, peer_id: EntryId, now: float) -> None:
        """Fail all requests that wait for an answer from a lost peer."""
        for request in list(self._context.requests.values()):
            if request.peer_id != peer_id:
                continue
            if request.state is RequestState.FORWARDED:
                self.answer(request, Answer(code=ResultCode.PEER_LOST), now)
            elif request.state is RequestState.WAITING_FOR_HOLDER:
                self.answer(request, Answer(code=ResultCode.KEY_HOLDER_UNREACHABLE), now)

    def handle_missing_attempts(
        self, worker_id: WorkerId, still_running: set[AttemptId], now: float
    ) -> None:
        """Requeue or fail the attempts that a reattached worker does not run.

        The worker sends its stored answers before its inventory, so a missing attempt is
        lost and does not run.  A repeatable task of a job is queued again; any other
        request fails, since it may have run.
        """
        for request in self._attempts_on(worker_id):
            if request.attempt_id in still_running:
                continue
            may_repeat = request.request.task_class.repeatable
            if isinstance(request.origin, JobOrigin) and may_repeat:
                del self._context.attempts[request.attempt_id]
                self._requeue(request, ResultCode.WORKER_LOST, now)
            else:
                self.answer(request, Answer(code=ResultCode.WORKER_LOST), now)

    def give_up_attempts(self, worker_id: WorkerId, now: float) -> None:
        """Fail all attempts on a worker that is permanently lost."""
        for request in self._attempts_on(worker_id):
            self.answer(request, Answer(code=ResultCode.WORKER_LOST), now)

    def expire(self, now: float) -> None:
        """Handle every request whose deadline has passed."""
        grace_seconds = self._context.options.queue.answer_grace_seconds
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._context.requests.get(request_id)
            if request is None:
                continue
            if request.is_sent:
                self._expire_sent(request, grace_seconds, now)
            elif request.state is RequestState.WAITING_FOR_HOLDER:
                self.answer(request, Answer(code=ResultCode.KEY_HOLDER_UNREACHABLE), now)
            elif request.state is RequestState.WAITING_FOR_LOG:
                self.answer(request, self._context.refusal(ResultCode.KEY_STATE_UNKNOWN), now)
            else:
                self.answer(request, self._context.refusal(ResultCode.DEADLINE_EXPIRED), now)
        self._compact_deadlines()

    def handle_caller_disconnected(self, request: ActiveRequest, now: float) -> None:
        """Cancel a disconnected caller's request if it was not sent and has no key.

        A sent request runs on, and a retry by key may fetch its answer.
        """
        if not request.is_sent and not request.request.idempotency_key:
            self.answer(request, self._context.refusal(ResultCode.CANCELLED), now)

    def cancel(self, request: ActiveRequest, now: float) -> None:
        """Cancel a request; a forwarded request runs on."""
        if request.state is RequestState.DISPATCHED:
            self._context.emit(StopTask(request.worker_id, request.attempt_id))
        elif request.state is not RequestState.FORWARDED:
            self.answer(request, self._context.refusal(ResultCode.CANCELLED), now)

    def abandon(self, request: ActiveRequest) -> None:
        """Drop a task that another entry now answers for; a sent task runs on."""
        self._forget(request)

    def answer(self, request: ActiveRequest, answer: Answer, now: float) -> None:
        """Deliver the final answer of a request."""
        self._forget(request)
        self._deliver(request, answer, now)

    def _try_send(self, request: ActiveRequest, now: float) -> bool:
        task_class = request.request.task_class
        if self._context.holds_lease(now):
            worker = self._context.workers.choose(task_class)
            if worker is not None:
                self._dispatch(request, worker)
                return True
        return self._try_forward(request, now)

    def _dispatch(self, request: ActiveRequest, worker: OwnedWorker) -> None:
        context = self._context
        self._attempt_counter += 1
        attempt_id = f"{context.identity.entry_id}/{self._attempt_counter}"
        request.transition(RequestState.DISPATCHED)
        context.queue.discard(request)
        request.attempts += 1
        request.attempt_id = attempt_id
        request.worker_id = worker.worker_id
        resources = request.request.task_class.resources
        task = RunningTask(attempt_id, resources, request.request.task_name)
        context.workers.reserve(worker, task)
        context.attempts[attempt_id] = request
        context.emit(
            StartTask(
                worker_id=worker.worker_id,
                token=worker.token,
                attempt_id=attempt_id,
                request=request.request,
                not_after=context.lease_until,
            )
        )

    def _try_forward(self, request: ActiveRequest, now: float) -> bool:
        if isinstance(request.origin, PeerOrigin):
            return False
        resources = request.request.task_class.resources
        # A job's tasks stay in its zone, where an adopting entry probes for them.
        zone = self._context.identity.zone if isinstance(request.origin, JobOrigin) else ""
        if zone and not self._context.holds_lease(now):
            return False
        peer = self._context.peers.choose(resources, zone, now)
        if peer is None:
            return False
        request.transition(RequestState.FORWARDED)
        self._context.queue.discard(request)
        request.attempts += 1
        request.peer_id = peer.peer_id
        self._context.peers.subtract_forwarded(peer, resources)
        self._context.emit(
            ForwardTask(peer.peer_id, request.request_id, request.request, request.deadline - now)
        )
        return True

    def _requeue(self, request: ActiveRequest, code: ResultCode, now: float) -> None:
        """Requeue a request that did not run, up to the maximum number of attempts."""
        request.peer_id = ""
        request.worker_id = ""
        if isinstance(request.origin, JobOrigin) and not self._runs_job(request.origin.job_id):
            self.abandon(request)  # Another entry adopted the job.
            return
        attempts_exhausted = request.attempts >= self._context.options.queue.maximum_attempts
        is_from_peer = isinstance(request.origin, PeerOrigin)
        if attempts_exhausted or is_from_peer or request.deadline <= now:
            self.answer(request, self._context.refusal(code), now)
            return
        request.transition(RequestState.QUEUED)
        self._context.queue.push(request)

    def _forget(self, request: ActiveRequest) -> None:
        request.transition(RequestState.ANSWERED)
        self._context.queue.discard(request)
        self._context.requests.pop(request.request_id, None)
        self._context.attempts.pop(request.attempt_id, None)

    def _attempts_on(self, worker_id: WorkerId) -> list[ActiveRequest]:
        return [
            request for request in self._context.attempts.values() if request.worker_id == worker_id
        ]

    def _runs_job(self, job_id: JobId) -> bool:
        entry = self._context.cell.jobs.get(job_id)
        return entry is not None and entry.runner == self._context.identity.entry_id

    def _expire_sent(self, request: ActiveRequest, grace_seconds: float, now: float) -> None:
        if isinstance(request.origin, JobOrigin):
            return
        overdue_at = request.deadline + grace_seconds
        if now < overdue_at:
            heapq.heappush(self._deadlines, (overdue_at, request.request_id))
            return
        self.answer(request, Answer(code=ResultCode.ANSWER_OVERDUE), now)

    def _compact_deadlines(self) -> None:
        requests = self._context.requests
        if len(self._deadlines) < _DEADLINE_COMPACTION_THRESHOLD + 2 * len(requests):
            return
        self._deadlines = [item for item in self._deadlines if item[1] in requests]
        heapq.heapify(self._deadlines)
