"""Handling of client calls at a shard's holder.

A call that changes state is answered once its record is committed.  While the store does not
answer, the holder accepts no new jobs.  It refuses each submitted job that no sent append contains.
To a cancel, and to a query about a job without a committed state, it replies ``UNKNOWN``.  It does
not wait for the store before these replies, so that the caller can retry elsewhere or later.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxspoke.core.admission.refused_jobs import RefusedJob
from onyxspoke.core.jobs.job_registry import SubmissionOutcome
from onyxspoke.core.jobs.model import JobId, JobSpec, QueuePolicy
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.shard.actions import ReplyToCall
from onyxspoke.core.shard.admission_controller import AdmissionController
from onyxspoke.core.shard.calls import (
    Call,
    CallReply,
    CancelCall,
    QuotaCall,
    ReplyCode,
    StateCall,
    SubmitCall,
    WaitingCountCall,
)
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.quota_coordinator import QuotaCoordinator
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.tenants.keys import may_access_job

#: A cancel or query that waits for an append gets the reply ``UNKNOWN`` if the store has not
#: answered the append for this long.
STORE_SILENCE_SECONDS = 0.4
#: Number of workers assumed when the duration of one advice call is derived from a queue's policy.
ASSUMED_ADVICE_WORKERS = 30
_MILLISECONDS = 1_000.0
_STORE_IN_TROUBLE = "store_in_trouble"
_NOT_RECORDABLE = "record_not_encodable"
_OTHER_TENANT = "identifier_of_another_tenant"


class CallHandler:
    """Answers the client calls that reach a shard's holder.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Stops the runs of a cancelled job.
    quotas : QuotaCoordinator
        Grants parts of quotas to other shards.
    admission : AdmissionController
        Decides whether a job is accepted.
    """

    def __init__(
        self,
        context: ShardContext,
        runs: RunManager,
        quotas: QuotaCoordinator,
        admission: AdmissionController,
    ) -> None:
        self._context = context
        self._runs = runs
        self._quotas = quotas
        self._admission = admission
        #: Pending replies to submissions whose job is not part of any sent append.
        self._unsent_submissions: dict[int, _PendingReply] = {}
        #: Pending replies that wait for an append; they are ``UNKNOWN`` if the store stays silent.
        self._awaiting_store: dict[int, _PendingReply] = {}

    def handle_call(self, call_id: int, call: Call, now: float) -> None:
        """Handle a client call that an entry forwards."""
        if isinstance(call, SubmitCall):
            self._submit(call_id, call.job, now)
        elif isinstance(call, CancelCall):
            self._cancel(call_id, call, now)
        elif isinstance(call, StateCall):
            self._reply_state(call_id, call, now)
        elif isinstance(call, QuotaCall):
            self._quotas.handle_call(call_id, call, now)
        else:
            self._reply_waiting_count(call_id, call)

    def answer_overdue_calls(self, now: float) -> None:
        """Answer the calls that have waited too long for the store."""
        if self._unsent_submissions and self._context.commit.is_append_overdue(now):
            self._refuse_unsent(now)
        if self._awaiting_store and self._is_store_silent(now):
            for pending in self._awaiting_store.values():
                pending.answer(_unknown_reply(self._retry_seconds))
            self._awaiting_store.clear()

    def handle_append_sent(self) -> None:
        """Stop tracking submissions whose job was part of the append; they cannot be refused."""
        jobs = self._context.job_registry.jobs
        for call_id, pending in list(self._unsent_submissions.items()):
            job = jobs.get(pending.job_id)
            if job is None or job.spec_is_stored:
                del self._unsent_submissions[call_id]

    def refuse_withdrawn(self, job_ids: list[JobId]) -> None:
        """Refuse the submissions of jobs whose specifications cannot be recorded."""
        if not job_ids:
            return
        for call_id, pending in list(self._unsent_submissions.items()):
            if pending.job_id in job_ids:
                del self._unsent_submissions[call_id]
                self._refuse(pending, _NOT_RECORDABLE)

    # Calls

    def _submit(self, call_id: int, spec: JobSpec, now: float) -> None:
        context = self._context
        job_registry = context.job_registry
        job_id = spec.job_id
        known_job = job_registry.jobs.get(job_id)
        if known_job is not None and not may_access_job(known_job.spec.tenant, spec.tenant):
            self._refuse(_PendingReply(context, call_id, job_id), _OTHER_TENANT)
            return
        if known_job is not None and known_job.committed_state is not None:
            # The store has the job, even if another node holds the shard by now.
            context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK)))
            return
        if known_job is None and context.commit.is_append_overdue(now):
            if self._admission.is_enabled:
                spec = self._with_share_mark(spec, self._admission.find_refused_job(spec), now)
            retry_delays = self._admission.refuse_for_unreachable_store([spec], now)
            self._refuse(
                _PendingReply(context, call_id, job_id), _STORE_IN_TROUBLE, retry_delays.get(job_id)
            )
            return
        is_new = known_job is None and not job_registry.was_cancelled_before(spec)
        earlier_refusal = self._admission.find_refused_job(spec) if is_new else None
        first_submitted_at = self._admission.first_submitted_at(earlier_refusal, now)
        spec = msgspec.structs.replace(spec, accepted_at_ms=context.wall_ms(first_submitted_at))
        if is_new:
            spec = self._with_share_mark(spec, earlier_refusal, now)
            refusal = self._admission.decide(spec, earlier_refusal, now)
            if refusal is not None:
                pending = _PendingReply(context, call_id, job_id)
                self._refuse(pending, refusal.reason.value, refusal.retry_after_seconds)
                return
        outcome = job_registry.submit(spec, now, first_submitted_at)
        context.needs_placement = True
        if outcome is SubmissionOutcome.NEW:
            self._log_job_taken(spec)
        pending = _PendingReply(context, call_id, job_id, "job_accepted")
        if job_id in job_registry.dirty:
            self._unsent_submissions[call_id] = pending
        context.commit.after_commit(pending.confirm(CallReply(code=ReplyCode.OK)))

    def _with_share_mark(
        self, spec: JobSpec, earlier_refusal: RefusedJob | None, now: float
    ) -> JobSpec:
        """Return a copy of a new job, marked as within or over its tenant's fair share.

        A job that was refused before keeps the mark of its first submission until the job expires.
        Otherwise the retries of jobs over the share would use up the share of the tenant's later
        jobs.
        """
        context = self._context
        policy = context.policy.tenants.get(spec.tenant)
        if earlier_refusal is not None and now <= earlier_refusal.expires_at:
            is_entitled = earlier_refusal.is_entitled
        else:
            is_entitled = context.share_meter.consume(policy, context.shard_count, now)
        return msgspec.structs.replace(spec, is_over_share=not is_entitled)

    def _log_job_taken(self, spec: JobSpec) -> None:
        self._context.log(
            "job_taken",
            job=spec.job_id,
            queue=spec.queue.name,
            tenant=spec.tenant,
            beyond_share=int(spec.is_over_share),
            steps=len(spec.steps),
            tasks=sum(step.task_count for step in spec.steps),
            estimated_ms=",".join(str(step.estimated_ms) for step in spec.steps),
            stretch=spec.queue.stretch,
            target_ms=int(spec.queue.target_latency_ms),
            advice_ms=_advice_ms(spec.queue),
            policy=self._context.policy.version,
        )

    def _cancel(self, call_id: int, call: CancelCall, now: float) -> None:
        context = self._context
        job_id = call.job_id
        job = context.job_registry.cancel(job_id, call.tenant, now)
        steps = [] if job is None else job.steps()
        context.log(
            "job_cancel",
            job=job_id,
            known=int(job is not None),
            in_doubt=sum(step.in_doubt for step in steps),
        )
        if job is not None:
            self._runs.stop_runs_of(job.steps(), now, "job_cancelled")
        context.needs_placement = True
        code = ReplyCode.OK if job is not None else ReplyCode.NO_SUCH_JOB
        self._reply_later(call_id, job_id, CallReply(code=code), context.commit.after_commit, now)

    def _reply_state(self, call_id: int, call: StateCall, now: float) -> None:
        context = self._context
        job_id = call.job_id
        job = context.job_registry.find_visible(job_id, call.tenant)
        if job is not None and job.committed_state is not None:
            state = job.committed_state.name.lower()
            context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK, state=state)))
            return
        # Another holder may have accepted the job, unless this node still holds the shard.
        reply = CallReply(code=ReplyCode.NO_SUCH_JOB)
        self._reply_later(call_id, job_id, reply, context.commit.after_proof, now)

    def _reply_waiting_count(self, call_id: int, call: WaitingCountCall) -> None:
        waiting = self._context.job_registry.waiting_count(call.queue)
        self._context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK, waiting=waiting)))

    # Replies

    def _reply_later(
        self,
        call_id: int,
        job_id: JobId,
        reply: CallReply,
        register_effect: Callable[[Callable[[float], None]], None],
        now: float,
    ) -> None:
        """Reply once the store acknowledges an append; reply ``UNKNOWN`` if it is silent."""
        pending = _PendingReply(self._context, call_id, job_id)
        if self._is_store_silent(now):
            pending.answer(_unknown_reply(self._retry_seconds))
            return
        self._awaiting_store[call_id] = pending

        def confirm(acknowledged_at: float) -> None:
            self._awaiting_store.pop(call_id, None)
            pending.confirm(reply)(acknowledged_at)

        register_effect(confirm)

    def _refuse_unsent(self, now: float) -> None:
        """Refuse the jobs that are not part of any sent append."""
        job_registry = self._context.job_registry
        jobs = [
            job_registry.jobs.get(pending.job_id) for pending in self._unsent_submissions.values()
        ]
        unsent = {job.job_id: job.spec for job in jobs if job is not None and _is_unsent(job)}
        retry_delays = self._admission.refuse_for_unreachable_store(list(unsent.values()), now)
        withdrawn = set()
        for pending in self._unsent_submissions.values():
            job = job_registry.jobs.get(pending.job_id)
            if job is not None and _is_unsent(job):
                self._runs.stop_runs_of(job.steps(), now, "job_refused")
                job_registry.withdraw(pending.job_id)
                withdrawn.add(pending.job_id)
            if pending.job_id in withdrawn:
                self._refuse(pending, _STORE_IN_TROUBLE, retry_delays.get(pending.job_id))
        self._unsent_submissions.clear()

    def _refuse(
        self, pending: _PendingReply, reason: str, retry_seconds: float | None = None
    ) -> None:
        self._context.log("job_refused", job=pending.job_id, reason=reason)
        reply = CallReply(
            code=ReplyCode.REFUSED,
            retry_after_seconds=self._retry_seconds if retry_seconds is None else retry_seconds,
            reason=reason,
        )
        pending.answer(reply)

    @property
    def _retry_seconds(self) -> float:
        return self._context.options.refusal_retry_seconds

    def _is_store_silent(self, now: float) -> bool:
        return self._context.commit.is_append_overdue(now, STORE_SILENCE_SECONDS)


def _advice_ms(queue: QueuePolicy) -> int:
    """Return the duration, in milliseconds, that a queue's policy expects of an advice call."""
    if queue.advice is None:
        return 0
    return int(queue.advice.call_seconds(ASSUMED_ADVICE_WORKERS) * _MILLISECONDS)


class _PendingReply:
    """Reply to one call; it is sent at most once.

    Parameters
    ----------
    event : str
        Event that is logged with the job when the reply is confirmed; empty for no event.
    """

    def __init__(self, context: ShardContext, call_id: int, job_id: JobId, event: str = "") -> None:
        self._context = context
        self._call_id = call_id
        self._event = event
        self._is_answered = False
        self.job_id = job_id

    def answer(self, reply: CallReply) -> None:
        """Send a reply unless one has been sent."""
        if not self._is_answered:
            self._is_answered = True
            self._context.emit(ReplyToCall(self._call_id, reply))

    def confirm(self, reply: CallReply) -> Callable[[float], None]:
        """Return an effect that sends a reply; it runs once an append is acknowledged."""

        def effect(now: float) -> None:
            if not self._is_answered and self._event:
                self._context.log(self._event, job=self.job_id)
            self.answer(reply)

        return effect


def _is_unsent(job: JobProgress) -> bool:
    """Return whether a job is not part of any sent append."""
    return job.committed_state is None and not job.spec_is_stored


def _unknown_reply(retry_after_seconds: float) -> CallReply:
    return CallReply(
        code=ReplyCode.UNKNOWN, retry_after_seconds=retry_after_seconds, reason=_STORE_IN_TROUBLE
    )
