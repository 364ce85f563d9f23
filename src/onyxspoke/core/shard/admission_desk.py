"""Decides at a shard's holder whether jobs that are handed in are taken, where that is switched on.

A holder that does not know yet what waits, or what its workers run, takes every job.
"""

from __future__ import annotations

import msgspec

from onyxspoke.core.admission.arrivals import SPAN_SECONDS, ArrivalMeter
from onyxspoke.core.admission.closings import Closings, Scope
from onyxspoke.core.admission.gate import SHORTEST_RETRY_SECONDS, Gate, closed_seconds
from onyxspoke.core.admission.hand_in import HandIn, describe_hand_in
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.returns import JobHash, Refused, Returns, hash_of, longest_wait
from onyxspoke.core.admission.slots import PATIENT_SHARE, WHOLE_SECOND
from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.admission.verdict import Refusal, RefusalReason, Refuse
from onyxspoke.core.admission.view_builder import Load, build_view
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy
from onyxspoke.core.placement.advice_choice import MAXIMUM_WORKERS_ASKED, MINIMUM_WORKERS_ASKED
from onyxspoke.core.shard.actions import CallerReturned, ReturnOutcome
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.worker_register import WorkerRegister

#: Between two looks at the load at least, in seconds; as a round of the scheduler.
VIEW_SECONDS = 0.05
#: The more waits and runs, the longer a look takes and the rarer it is: so much for each.
VIEW_SECONDS_EACH = 0.0001
#: Between two looks at what is closed, in seconds; as often as a queue counts as open again.
LOOK_AGAIN_SECONDS = 1.0
#: Work of a job where nothing is known of the room, in share-seconds.
UNKNOWN_WORK = 0.02
#: While the store is away what is less urgent comes back so much later, in seconds.
CLASS_SECONDS = 1.0
_HASH_RANGE = float(1 << 64)
_MILLISECONDS = 1_000.0
_DIGITS = 3


class AdmissionDesk:
    """The gate of a holder, with what it looks at and what it remembers.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    register : WorkerRegister
        Knows whether all workers were listed.
    """

    def __init__(self, context: ShardContext, register: WorkerRegister) -> None:
        self._context = context
        self._register = register
        self._gate = Gate()
        self._returns = Returns()
        self._closings = Closings()
        self._arrivals = ArrivalMeter()
        self._view: LoadView | None = None
        self._next_view_at = 0.0
        #: The job that was refused last, by what was closed for it.
        self._refused_last: dict[Scope, JobSpec] = {}
        self._look_again_at = 0.0

    @property
    def is_on(self) -> bool:
        """Whether jobs are refused for load."""
        return self._context.options.load.admission

    def find_refused(self, spec: JobSpec) -> Refused | None:
        """Return what is remembered of a job that was refused before."""
        return self._returns.find(hash_of(spec.tenant, spec.job_id)) if self.is_on else None

    def first_at(self, refused: Refused | None, now: float) -> float:
        """Return since when a job counts as handed in.

        A caller that still wants what is of no more use by its first hand-in begins anew.
        """
        if refused is None or now > refused.last_use_at:
            return now
        return refused.first_at

    def decide(self, spec: JobSpec, refused: Refused | None, now: float) -> Refusal | None:
        """Decide about a job that is new; return nothing where it is taken."""
        if not self.is_on:
            return None
        key = hash_of(spec.tenant, spec.job_id)
        view = self._current_view(now)
        if view is None:
            self._returns.forget(key)
            return None
        job = self._describe(spec, refused, now)
        verdict = self._gate.decide(job, view, now)
        if refused is not None:
            self._tell_return(job, refused, isinstance(verdict, Refuse), now)
        if not isinstance(verdict, Refuse):
            self._returns.forget(key)
            self._note_taken(job, view, now)
            return None
        self._note_closing(spec, job, verdict, view, now)
        retry = self._remember(key, job, view, verdict.retry_after_seconds, now)
        self._log_refused(spec, job, verdict, refused, retry)
        return Refusal(verdict.reason, retry)

    def _tell_return(self, job: HandIn, refused: Refused, is_again: bool, now: float) -> None:
        outcome = ReturnOutcome.EARLY_OR_LATE
        if is_again:
            outcome = ReturnOutcome.REFUSED_AGAIN
        elif refused.is_on_time(now):
            outcome = ReturnOutcome.ON_TIME
        self._context.emit(CallerReturned(job.queue, outcome))

    def refuse_for_store(self, specs: list[JobSpec], now: float) -> dict[str, float]:
        """Refuse jobs of which nothing can be promised; return by job when each is to come back.

        How long the store will be away is not known: the urgent come back first, the others over
        as many seconds as what was refused takes.  Nothing is returned where the part is off.
        """
        if not self.is_on:
            return {}
        jobs = [(spec, self._describe_for_store(spec, now)) for spec in specs]
        jobs.sort(key=lambda item: item[1].rank)
        return {spec.job_id: self._refuse_one_for_store(spec, job, now) for spec, job in jobs}

    def keep(self, now: float) -> None:
        """Look at what changes slowly."""
        if not self.is_on:
            self._view = None
            self._closings.clear()
            self._refused_last.clear()
            return
        self._returns.keep(now)
        self._look_again(now)
        for scope, seconds in self._closings.take_opened(now):
            self._refused_last.pop(scope, None)
            self._context.log(
                "admission_opened",
                queue=scope.queue,
                tenant=scope.tenant,
                seconds=round(seconds, _DIGITS),
            )

    def summary(self, now: float) -> AdmissionSummary | None:
        """Return which queues are closed; nothing while that is not known."""
        if not self.is_on or not self._knows_load:
            return None
        return AdmissionSummary(token=self._context.token, notices=self._closings.notices(now))

    def _look_again(self, now: float) -> None:
        """Open what is closed to jobs that would be taken by now.

        It may be that none of them comes, and entries that lose the holder go by its last word.
        """
        if now < self._look_again_at:
            return
        self._look_again_at = now + LOOK_AGAIN_SECONDS
        scopes = self._closings.closed_scopes(now)
        view = self._current_view(now) if scopes else None
        if view is None:
            return
        for scope in scopes:
            job = self._describe(self._refused_last[scope], None, now)
            if not isinstance(self._gate.decide(job, view, now), Refuse):
                self._closings.note_taken(scope, now)

    def _note_taken(self, job: HandIn, view: LoadView, now: float) -> None:
        view.add(job)
        lane = view.lanes.get(job.service)
        if lane is not None:
            work = lane.work_within(job, SPAN_SECONDS).high
            self._arrivals.note(job.service, job.rank, work, now)
        if job.is_awaited:
            # It comes before new ones, and tells nothing of them.
            return
        self._closings.note_taken(Scope(job.queue, ""), now)
        if job.rank.is_beyond_share:
            self._closings.note_taken(Scope(job.queue, job.tenant), now)

    # What is looked at

    @property
    def _knows_load(self) -> bool:
        """Whether the holder knows what waits, its workers, and what they run."""
        return self._register.knows_directory and not self._context.book.is_recovering

    def _current_view(self, now: float) -> LoadView | None:
        context = self._context
        if not self._knows_load:
            return None
        if self._view is None or now >= self._next_view_at:
            steps = list(context.book.startable_steps())
            count = len(steps) + context.table.run_count() + len(self._returns)
            stop_seconds = context.options.stop_grace_ms / _MILLISECONDS
            load = Load(
                steps=steps,
                table=context.table,
                policy=context.policy,
                durations=context.durations,
                stop_seconds=stop_seconds,
                arrivals=self._arrivals,
                awaited=list(self._returns.awaited(now)),
            )
            self._view = build_view(load, now)
            self._next_view_at = now + max(VIEW_SECONDS, VIEW_SECONDS_EACH * count)
        return self._view

    def _describe_for_store(self, spec: JobSpec, now: float) -> HandIn:
        """Describe a job that is refused; one that is taken back keeps its first hand-in."""
        job = self._context.book.jobs.get(spec.job_id)
        first_at = None if job is None else job.accepted_at
        return self._describe(spec, self.find_refused(spec), now, first_at)

    def _describe(
        self, spec: JobSpec, refused: Refused | None, now: float, first_at: float | None = None
    ) -> HandIn:
        context = self._context
        queue = context.policy.queue_of(spec)
        if first_at is None:
            first_at = self.first_at(refused, now)
        is_awaited = refused is not None and refused.is_on_time(now)
        job = describe_hand_in(spec, queue, context.durations, first_at, is_awaited=is_awaited)
        job.advice_seconds = self._advice_seconds(job, queue, now)
        return job

    def _advice_seconds(self, job: HandIn, queue: QueuePolicy, now: float) -> float:
        """Return until when advice about a job's first step has come."""
        if queue.advice is None:
            return 0.0
        offered = len(self._context.table.offered(job.service))
        is_gang = any(step.is_gang and step.is_first for step in job.steps)
        most = MAXIMUM_WORKERS_ASKED if is_gang else MINIMUM_WORKERS_ASKED
        seconds = queue.advice.call_seconds(min(offered, most))
        return self._context.desk.wait_seconds(seconds, job.rank, now) + seconds

    # Refusals

    def _remember(
        self, key: JobHash, job: HandIn, view: LoadView | None, seconds: float, now: float
    ) -> float:
        lane = view.lanes.get(job.service) if view is not None else None
        work, most = UNKNOWN_WORK, PATIENT_SHARE
        if lane is not None:
            work, most = lane.work_of(job).high, min(most, lane.left_for(job.rank))
        if self._is_urgent(job) or self._returns.find(key) is not None:
            most = WHOLE_SECOND
        known = lane is not None
        wait = self._returns.refuse(key, job, work, seconds, most, now, is_load_known=known)
        return float(wait)

    def _is_urgent(self, job: HandIn) -> bool:
        """Return whether a job is owed and of the queue that goes first at its service."""
        if job.rank.is_beyond_share:
            return False
        first = self._context.policy.first_priority(job.service)
        return first is None or job.rank.priority <= first

    def _refuse_one_for_store(self, spec: JobSpec, job: HandIn, now: float) -> float:
        key = hash_of(spec.tenant, spec.job_id)
        former = self._returns.find(key)
        seconds = SHORTEST_RETRY_SECONDS
        if not self._is_urgent(job):
            span = self._returns.seconds.kept_work(job.service, now)
            classes = 1 + int(job.rank.is_beyond_share)
            seconds += classes * CLASS_SECONDS + span * (key / _HASH_RANGE)
            seconds = max(SHORTEST_RETRY_SECONDS, min(seconds, longest_wait(job, now)))
        retry = self._remember(key, job, self._current_view(now), seconds, now)
        self._log_again(spec, former, RefusalReason.STORE_AWAY)
        return retry

    def _note_closing(
        self, spec: JobSpec, job: HandIn, verdict: Refuse, view: LoadView, now: float
    ) -> None:
        """Take note for how long others like a job would be refused."""
        seconds = closed_seconds(job, verdict)
        if seconds <= 0.0:
            return
        is_for_all = not job.rank.is_beyond_share and not view.is_held_by_quota(job)
        scope = Scope(job.queue, "" if is_for_all else job.tenant)
        self._refused_last[scope] = msgspec.structs.replace(spec, payload="")
        if self._closings.note_refused(scope, seconds, now):
            self._context.log(
                "admission_closed",
                queue=scope.queue,
                tenant=scope.tenant,
                reason=verdict.reason.value,
                seconds=round(seconds, _DIGITS),
            )

    # Logs

    def _log_refused(
        self, spec: JobSpec, job: HandIn, verdict: Refuse, former: Refused | None, retry: float
    ) -> None:
        self._context.log(
            "admission_refused",
            job=spec.job_id,
            queue=job.queue,
            tenant=job.tenant,
            reason=verdict.reason.value,
            beyond_share=int(job.rank.is_beyond_share),
            retry_s=int(retry),
            **verdict.inputs.as_fields(),
        )
        self._log_again(spec, former, verdict.reason)

    def _log_again(self, spec: JobSpec, former: Refused | None, reason: RefusalReason) -> None:
        if former is not None:
            self._context.log(
                "admission_refused_again",
                job=spec.job_id,
                reason=reason.value,
                times=former.refusals + 1,
            )
