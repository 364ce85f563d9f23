"""Callers of a soaked cell: they hand jobs in, again if need be, and ask for them to their end."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from absl import logging

from onyxspoke.core.jobs.model import JobId, JobSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.kit.jobs.drawn_jobs import QUEUES, draw_steps
from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.platform.counterpart.jobs import encode_job, encode_patience, read_reply
from onyxspoke.soak import events
from onyxspoke.soak.payloads import make_job
from onyxspoke.soak.plan import HOST_HEADER, SoakPlan
from onyxspoke.soak.timers import DueTimers
from onyxspoke.soak.worker_server import SERVICE

PATIENCE_MS = 3_000
#: A caller gives up so much after the time that it told.
CALL_SECONDS = 3.3
#: A call whose connection ends so soon may have met the end of a kept connection, unread.
CLOSING_SECONDS = 0.2
MAXIMUM_ATTEMPTS = 5
RETRY_SECONDS = 0.4
CANCEL_SHARE = 0.05
REPEAT_SHARE = 0.1
CANCEL_WITHIN_SECONDS = 2.0
ASK_WITHIN_SECONDS = 4.0
REPEAT_WITHIN_SECONDS = 5.0
#: How often callers ask for what has not ended yet, once nothing more is handed in.
LAST_ASK_SECONDS = 1.0
LAST_ASKS_AT_ONCE = 20
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
#: What a job is called that was accepted and is not known any more: a violation by then.
LOST = "unknown"
_PATIENCE_HEADER = encode_patience(PATIENCE_MS)


class SoakCallers:
    """Hands jobs in at any node, without knowing which are well."""

    def __init__(
        self,
        plan: SoakPlan,
        timers: DueTimers,
        client: HttpClient,
        tell: Callable[[events.AnyEvent], None],
    ) -> None:
        self._plan = plan
        self._timers = timers
        self._client = client
        self._tell = tell
        self._jobs = random.Random(f"jobs/{plan.seed}")
        self._random = random.Random(f"callers/{plan.seed}")
        self._specs: dict[JobId, JobSpec] = {}
        self._accepted: dict[JobId, None] = {}
        self._cancelled: set[JobId] = set()
        self._open_submits: set[JobId] = set()
        self._states: dict[JobId, str] = {}
        self._is_stopping = False
        self._stop_at = 0.0

    def start(self) -> None:
        """Begin to hand jobs in."""
        self._timers.schedule(self._jobs.expovariate(self._plan.jobs_per_second), self._submit_new)

    def handle_command(self, command: events.AnyCommand) -> None:
        """Stop handing jobs in, and ask for those accepted until they have ended."""
        if isinstance(command, events.StopSubmitting) and not self._is_stopping:
            self._is_stopping = True
            self._stop_at = self._timers.now() + self._plan.settle_seconds
            self._timers.schedule(LAST_ASK_SECONDS, self._ask_open)

    # Jobs

    def _submit_new(self) -> None:
        if self._is_stopping:
            return
        self.start()
        job_id = f"{self._plan.seed & 0xFFFFFFFF:08x}{len(self._specs):08x}"
        queue = self._jobs.choice(QUEUES)
        spec = make_job(job_id, queue, SERVICE, draw_steps(self._jobs))
        self._specs[job_id] = spec
        self._tell(events.JobSubmitted(self._timers.now(), spec))
        self._attempt(spec, 1)
        draw = self._random
        if draw.random() < CANCEL_SHARE:
            delay = draw.random() * CANCEL_WITHIN_SECONDS
            self._timers.schedule(delay, partial(self._cancel, job_id))
        if draw.random() < REPEAT_SHARE:
            delay = draw.random() * REPEAT_WITHIN_SECONDS
            self._timers.schedule(delay, partial(self._attempt, spec, MAXIMUM_ATTEMPTS))

    def _attempt(self, spec: JobSpec, number: int) -> None:
        take = partial(self._take_reply, spec, number)
        self._call("POST", spec.job_id, take, encode_job(spec))

    def _take_reply(self, spec: JobSpec, number: int, reply: CallReply | None) -> None:
        job_id = spec.job_id
        self._tell(events.SubmitAnswered(self._timers.now(), job_id, reply))
        if reply is not None and reply.code is ReplyCode.OK:
            self._accepted[job_id] = None
            delay = self._random.random() * ASK_WITHIN_SECONDS
            self._timers.schedule(delay, partial(self._ask, job_id))
        elif number < MAXIMUM_ATTEMPTS:
            self._timers.schedule(RETRY_SECONDS, partial(self._attempt, spec, number + 1))

    def _cancel(self, job_id: JobId) -> None:
        self._cancelled.add(job_id)
        self._tell(events.CancelSent(self._timers.now(), job_id))

        def take(reply: CallReply | None) -> None:
            if reply is not None:
                self._tell(events.CancelAnswered(self._timers.now(), job_id, reply))

        self._call("DELETE", job_id, take)

    def _ask(self, job_id: JobId) -> None:
        self._call("GET", job_id, partial(self._take_state, job_id))

    def _take_state(self, job_id: JobId, reply: CallReply | None) -> None:
        if reply is None:
            return
        self._tell(events.StateAnswered(self._timers.now(), job_id, reply))
        if reply.code is ReplyCode.OK:
            self._states[job_id] = reply.state
        elif reply.code is ReplyCode.NO_SUCH_JOB:
            self._states[job_id] = "cancelled" if job_id in self._cancelled else LOST

    # The end

    def _ask_open(self) -> None:
        settled = FINAL_STATES | {LOST}
        open_jobs = [job for job in self._accepted if self._states.get(job) not in settled]
        logging.info("event=last_asks open=%d", len(open_jobs))
        if open_jobs and self._timers.now() < self._stop_at:
            for job_id in open_jobs[:LAST_ASKS_AT_ONCE]:
                self._ask(job_id)
            self._timers.schedule(LAST_ASK_SECONDS, self._ask_open)
            return
        now = self._timers.now()
        for job_id in self._accepted:
            self._tell(events.JobFinished(now, job_id, self._states.get(job_id, "not answered")))
        self._tell(events.AllAsked(now))

    def _call(
        self,
        method: str,
        job_id: JobId,
        on_reply: Callable[[CallReply | None], None],
        body: bytes | None = None,
    ) -> None:
        node = self._plan.caller_address(self._random.randrange(self._plan.nodes))
        target = f"/{self._specs[job_id].queue.name}/{job_id}"
        request = encode_request(method, target, HOST_HEADER, body, _PATIENCE_HEADER)

        sent_at = self._client.now()

        def take(answer: HttpAnswer) -> None:
            seconds = self._client.now() - sent_at
            is_cut = answer.was_sent and not answer.status and seconds < PATIENCE_MS / 1_000
            if is_cut and seconds > CLOSING_SECONDS:
                self._tell(events.CallCut(self._timers.now(), job_id, node.host, seconds))
            on_reply(read_reply(answer))

        self._client.call(node.host, node.port, request, CALL_SECONDS, take)
