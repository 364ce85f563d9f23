"""Callers' calls at a shard's holder: taken in, answered once their record is committed.

While the store does not answer, nothing new can be promised.  A job of which no append that
was sent says anything is refused; a cancel, or a question about a job that is not known here,
is answered as unknown.  Both at once, so that the caller may try elsewhere or come back.
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

#: An append that is open for so long, beyond trouble, leaves what waits for it unknown.
SILENCE_SECONDS = 0.4
#: Workers asked about in the call for advice that an objective allows each step.
OBJECTIVE_WORKERS = 30
_MILLISECONDS = 1_000.0
_IN_TROUBLE = "store_in_trouble"
_ANOTHER_TENANTS = "identifier_of_another_tenant"


class CallHandler:
    """Answers the calls that reach a holder.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Stops the runs of a cancelled job.
    quotas : QuotaCoordinator
        Lends quotas to other shards.
    admission : AdmissionController
        Decides whether jobs are taken.
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
        #: Callers whose jobs no append that was sent has.
        self._unsent: dict[int, _PendingReply] = {}
        #: Callers whose answer waits for an append and may as well be "unknown".
        self._unproven: dict[int, _PendingReply] = {}

    def handle_call(self, call_id: int, call: Call, now: float) -> None:
        """An entry passes on a client's call."""
        if isinstance(call, SubmitCall):
            self._submit(call_id, call.job, now)
        elif isinstance(call, CancelCall):
            self._cancel(call_id, call, now)
        elif isinstance(call, StateCall):
            self._tell_state(call_id, call, now)
        elif isinstance(call, QuotaCall):
            self._quotas.handle_call(call_id, call, now)
        else:
            self._tell_waiting(call_id, call)

    def keep(self, now: float) -> None:
        """Answer at once those whom the store keeps waiting."""
        if self._unsent and self._context.commit.is_append_overdue(now):
            self._refuse_unsent(now)
        if self._unproven and self._is_silent(now):
            for pending in self._unproven.values():
                pending.answer(_unknown(self._retry_seconds))
            self._unproven.clear()

    def note_append_sent(self) -> None:
        """Keep the jobs that an append which was sent has: they can no longer be refused."""
        jobs = self._context.job_registry.jobs
        for call_id, pending in list(self._unsent.items()):
            job = jobs.get(pending.job_id)
            if job is None or job.spec_is_stored:
                del self._unsent[call_id]

    # Calls

    def _submit(self, call_id: int, spec: JobSpec, now: float) -> None:
        context = self._context
        job_registry = context.job_registry
        job_id = spec.job_id
        known = job_registry.jobs.get(job_id)
        if known is not None and not may_access_job(known.spec.tenant, spec.tenant):
            self._refuse(_PendingReply(context, call_id, job_id), _ANOTHER_TENANTS)
            return
        if known is not None and known.committed_state is not None:
            # The store has it, whoever holds the shard by now.
            context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK)))
            return
        if known is None and context.commit.is_append_overdue(now):
            if self._admission.is_enabled:
                spec = self._mark_share(spec, self._admission.find_refused_job(spec), now)
            retries = self._admission.refuse_for_unreachable_store([spec], now)
            self._refuse(_PendingReply(context, call_id, job_id), _IN_TROUBLE, retries.get(job_id))
            return
        is_new = known is None and not job_registry.was_cancelled_before(spec)
        refused = self._admission.find_refused_job(spec) if is_new else None
        first_submitted_at = self._admission.first_submitted_at(refused, now)
        spec = msgspec.structs.replace(spec, accepted_at_ms=context.wall_ms(first_submitted_at))
        if is_new:
            spec = self._mark_share(spec, refused, now)
            refusal = self._admission.decide(spec, refused, now)
            if refusal is not None:
                pending = _PendingReply(context, call_id, job_id)
                self._refuse(pending, refusal.reason.value, refusal.retry_after_seconds)
                return
        outcome = job_registry.submit(spec, now, first_submitted_at)
        context.needs_placement = True
        if outcome is SubmissionOutcome.NEW:
            self._log_taken(spec)
        pending = _PendingReply(context, call_id, job_id, "job_accepted")
        if job_id in job_registry.dirty:
            self._unsent[call_id] = pending
        context.commit.after_commit(pending.confirm(CallReply(code=ReplyCode.OK)))

    def _mark_share(self, spec: JobSpec, refused: RefusedJob | None, now: float) -> JobSpec:
        """Return a new job with the mark whether its tenant is owed it.

        The mark of its first hand-in stays: were a returning job to ask for it again, what a tenant
        sends beyond its share would take the marks of its later jobs.  After its last use it is
        new.
        """
        context = self._context
        policy = context.policy.tenants.get(spec.tenant)
        if refused is not None and now <= refused.expires_at:
            is_entitled = refused.is_entitled
        else:
            is_entitled = context.share_meter.consume(policy, context.shard_count, now)
        return msgspec.structs.replace(spec, is_over_share=not is_entitled)

    def _log_taken(self, spec: JobSpec) -> None:
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
        context.log("job_cancel", job=job_id, known=int(job is not None))
        if job is not None:
            self._runs.stop_runs_of(job.steps(), now, "job_cancelled")
        context.needs_placement = True
        code = ReplyCode.OK if job is not None else ReplyCode.NO_SUCH_JOB
        self._reply_later(call_id, job_id, CallReply(code=code), context.commit.after_commit, now)

    def _tell_state(self, call_id: int, call: StateCall, now: float) -> None:
        context = self._context
        job_id = call.job_id
        job = context.job_registry.find_visible(job_id, call.tenant)
        if job is not None and job.committed_state is not None:
            state = job.committed_state.name.lower()
            context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK, state=state)))
            return
        # Another holder may have accepted it, unless the shard is still ours.
        reply = CallReply(code=ReplyCode.NO_SUCH_JOB)
        self._reply_later(call_id, job_id, reply, context.commit.after_proof, now)

    def _tell_waiting(self, call_id: int, call: WaitingCountCall) -> None:
        waiting = self._context.job_registry.waiting_count(call.queue)
        self._context.emit(ReplyToCall(call_id, CallReply(code=ReplyCode.OK, waiting=waiting)))

    # Answers

    def _reply_later(
        self,
        call_id: int,
        job_id: JobId,
        reply: CallReply,
        wait: Callable[[Callable[[float], None]], None],
        now: float,
    ) -> None:
        """Answer once the store has acknowledged an append, or that it is not known."""
        pending = _PendingReply(self._context, call_id, job_id)
        if self._is_silent(now):
            pending.answer(_unknown(self._retry_seconds))
            return
        self._unproven[call_id] = pending

        def confirm(moment: float) -> None:
            self._unproven.pop(call_id, None)
            pending.confirm(reply)(moment)

        wait(confirm)

    def _refuse_unsent(self, now: float) -> None:
        """Refuse the jobs of which no append that was sent says anything."""
        job_registry = self._context.job_registry
        jobs = [job_registry.jobs.get(pending.job_id) for pending in self._unsent.values()]
        unsent = {job.job_id: job.spec for job in jobs if job is not None and _is_unsent(job)}
        retries = self._admission.refuse_for_unreachable_store(list(unsent.values()), now)
        withdrawn = set()
        for pending in self._unsent.values():
            job = job_registry.jobs.get(pending.job_id)
            if job is not None and _is_unsent(job):
                self._runs.stop_runs_of(job.steps(), now, "job_refused")
                job_registry.withdraw(pending.job_id)
                withdrawn.add(pending.job_id)
            if pending.job_id in withdrawn:
                self._refuse(pending, _IN_TROUBLE, retries.get(pending.job_id))
        self._unsent.clear()

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

    def _is_silent(self, now: float) -> bool:
        return self._context.commit.is_append_overdue(now, SILENCE_SECONDS)


def _advice_ms(queue: QueuePolicy) -> int:
    """Return the time of the call for advice that a job's objective allows each step."""
    if queue.advice is None:
        return 0
    return int(queue.advice.call_seconds(OBJECTIVE_WORKERS) * _MILLISECONDS)


class _PendingReply:
    """A caller who is answered once.

    Parameters
    ----------
    event : str
        Logged with the job when the answer is confirmed; nothing is where it is empty.
    """

    def __init__(self, context: ShardContext, call_id: int, job_id: JobId, event: str = "") -> None:
        self._context = context
        self._call_id = call_id
        self._event = event
        self._is_answered = False
        self.job_id = job_id

    def answer(self, reply: CallReply) -> None:
        """Answer now, unless that was done."""
        if not self._is_answered:
            self._is_answered = True
            self._context.emit(ReplyToCall(self._call_id, reply))

    def confirm(self, reply: CallReply) -> Callable[[float], None]:
        """Return the effect that answers once an append is acknowledged."""

        def effect(now: float) -> None:
            if not self._is_answered and self._event:
                self._context.log(self._event, job=self.job_id)
            self.answer(reply)

        return effect


def _is_unsent(job: JobProgress) -> bool:
    """Return whether no append that was sent has a job."""
    return job.committed_state is None and not job.spec_is_stored


def _unknown(retry_after_seconds: float) -> CallReply:
    return CallReply(
        code=ReplyCode.UNKNOWN, retry_after_seconds=retry_after_seconds, reason=_IN_TROUBLE
    )
