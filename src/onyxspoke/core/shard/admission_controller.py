"""Decides at a shard's holder whether jobs that are handed in are taken, where that is switched on.

A holder that does not know yet what waits, or what its workers run, takes every job.
"""

from __future__ import annotations

import msgspec

from onyxspoke.core.admission.arrivals import DECAY_SECONDS, ArrivalMeter
from onyxspoke.core.admission.decider import MIN_RETRY_SECONDS, AdmissionDecider, closed_seconds
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.load_view_builder import LoadInputs, build_load_view
from onyxspoke.core.admission.queue_closures import ClosureScope, QueueClosures
from onyxspoke.core.admission.refused_jobs import (
    JobHash,
    RefusedJob,
    RefusedJobs,
    job_hash,
    max_useful_retry_seconds,
)
from onyxspoke.core.admission.retry_schedule import NON_URGENT_WORK_PER_SECOND, WORK_PER_SECOND
from onyxspoke.core.admission.submitted_job import SubmittedJob, describe_submitted_job
from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.admission.verdict import Refusal, RefusalReason, Refuse
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy
from onyxspoke.core.placement.advice_targets import (
    MAXIMUM_WORKERS_PER_CALL,
    MINIMUM_WORKERS_PER_SPLIT_CALL,
)
from onyxspoke.core.shard.actions import CallerReturned, ReturnOutcome
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.worker_registry import WorkerRegistry

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


class AdmissionController:
    """The gate of a holder, with what it looks at and what it remembers.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    worker_registry : WorkerRegistry
        Knows whether all workers were listed.
    """

    def __init__(self, context: ShardContext, worker_registry: WorkerRegistry) -> None:
        self._context = context
        self._worker_registry = worker_registry
        self._gate = AdmissionDecider()
        self._refused_jobs = RefusedJobs()
        self._closures = QueueClosures()
        self._arrivals = ArrivalMeter()
        self._view: LoadView | None = None
        self._next_view_at = 0.0
        #: The job that was refused last, by what was closed for it.
        self._refused_last: dict[ClosureScope, JobSpec] = {}
        self._look_again_at = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether jobs are refused for load."""
        return self._context.options.load.admission

    def find_refused_job(self, spec: JobSpec) -> RefusedJob | None:
        """Return what is remembered of a job that was refused before."""
        return (
            self._refused_jobs.find(job_hash(spec.tenant, spec.job_id)) if self.is_enabled else None
        )

    def first_submitted_at(self, refused: RefusedJob | None, now: float) -> float:
        """Return since when a job counts as handed in.

        A caller that still wants what is of no more use by its first hand-in begins anew.
        """
        if refused is None or now > refused.expires_at:
            return now
        return refused.first_submitted_at

    def decide(self, spec: JobSpec, refused: RefusedJob | None, now: float) -> Refusal | None:
        """Decide about a job that is new; return nothing where it is taken."""
        if not self.is_enabled:
            return None
        key = job_hash(spec.tenant, spec.job_id)
        view = self._current_view(now)
        if view is None:
            self._refused_jobs.forget(key)
            return None
        job = self._describe(spec, refused, now)
        verdict = self._gate.decide(job, view, now)
        if refused is not None:
            self._tell_return(job, refused, isinstance(verdict, Refuse), now)
        if not isinstance(verdict, Refuse):
            self._refused_jobs.forget(key)
            self._note_taken(job, view, now)
            return None
        self._note_closing(spec, job, verdict, view, now)
        retry = self._remember(key, job, view, verdict.retry_after_seconds, now)
        self._log_refused(spec, job, verdict, refused, retry)
        return Refusal(verdict.reason, retry)

    def _tell_return(
        self, job: SubmittedJob, refused: RefusedJob, is_again: bool, now: float
    ) -> None:
        outcome = ReturnOutcome.EARLY_OR_LATE
        if is_again:
            outcome = ReturnOutcome.REFUSED_AGAIN
        elif refused.is_on_time(now):
            outcome = ReturnOutcome.ON_TIME
        self._context.emit(CallerReturned(job.queue, outcome))

    def refuse_for_unreachable_store(self, specs: list[JobSpec], now: float) -> dict[str, float]:
        """Refuse jobs of which nothing can be promised; return by job when each is to come back.

        How long the store will be away is not known: the urgent come back first, the others over
        as many seconds as what was refused takes.  Nothing is returned where the part is off.
        """
        if not self.is_enabled:
            return {}
        jobs = [(spec, self._describe_for_store(spec, now)) for spec in specs]
        jobs.sort(key=lambda item: item[1].rank)
        return {spec.job_id: self._refuse_one_for_store(spec, job, now) for spec, job in jobs}

    def tick(self, now: float) -> None:
        """Look at what changes slowly."""
        if not self.is_enabled:
            self._view = None
            self._closures.clear()
            self._refused_last.clear()
            return
        self._refused_jobs.release_missed(now)
        self._look_again(now)
        for scope, seconds in self._closures.pop_reopened(now):
            self._refused_last.pop(scope, None)
            self._context.log(
                "admission_opened",
                queue=scope.queue,
                tenant=scope.tenant,
                seconds=round(seconds, _DIGITS),
            )

    def summary(self, now: float) -> AdmissionSummary | None:
        """Return which queues are closed; nothing while that is not known."""
        if not self.is_enabled or not self._knows_load:
            return None
        return AdmissionSummary(token=self._context.token, notices=self._closures.notices(now))

    def _look_again(self, now: float) -> None:
        """Open what is closed to jobs that would be taken by now.

        It may be that none of them comes, and entries that lose the holder go by its last word.
        """
        if now < self._look_again_at:
            return
        self._look_again_at = now + LOOK_AGAIN_SECONDS
        scopes = self._closures.closed_scopes(now)
        view = self._current_view(now) if scopes else None
        if view is None:
            return
        for scope in scopes:
            job = self._describe(self._refused_last[scope], None, now)
            if not isinstance(self._gate.decide(job, view, now), Refuse):
                self._closures.note_admitted(scope, now)

    def _note_taken(self, job: SubmittedJob, view: LoadView, now: float) -> None:
        view.add(job)
        pool = view.pools.get(job.service)
        if pool is not None:
            work = pool.work_estimate_within(job, DECAY_SECONDS).high
            self._arrivals.record_arrival(job.service, job.rank, work, now)
        if job.is_timely_retry:
            # It comes before new ones, and tells nothing of them.
            return
        self._closures.note_admitted(ClosureScope(job.queue, ""), now)
        if job.rank.is_over_share:
            self._closures.note_admitted(ClosureScope(job.queue, job.tenant), now)

    # What is looked at

    @property
    def _knows_load(self) -> bool:
        """Whether the holder knows what waits, its workers, and what they run."""
        return (
            self._worker_registry.knows_directory and not self._context.job_registry.is_recovering
        )

    def _current_view(self, now: float) -> LoadView | None:
        context = self._context
        if not self._knows_load:
            return None
        if self._view is None or now >= self._next_view_at:
            steps = list(context.job_registry.startable_steps())
            count = len(steps) + context.table.run_count() + len(self._refused_jobs)
            stop_seconds = context.options.stop_grace_ms / _MILLISECONDS
            load = LoadInputs(
                steps=steps,
                table=context.table,
                policy=context.policy,
                durations=context.durations,
                stop_seconds=stop_seconds,
                arrivals=self._arrivals,
                expected_retries=list(self._refused_jobs.expected_retries(now)),
            )
            self._view = build_load_view(load, now)
            self._next_view_at = now + max(VIEW_SECONDS, VIEW_SECONDS_EACH * count)
        return self._view

    def _describe_for_store(self, spec: JobSpec, now: float) -> SubmittedJob:
        """Describe a job that is refused; one that is taken back keeps its first hand-in."""
        job = self._context.job_registry.jobs.get(spec.job_id)
        first_submitted_at = None if job is None else job.accepted_at
        return self._describe(spec, self.find_refused_job(spec), now, first_submitted_at)

    def _describe(
        self,
        spec: JobSpec,
        refused: RefusedJob | None,
        now: float,
        first_submitted_at: float | None = None,
    ) -> SubmittedJob:
        context = self._context
        queue = context.policy.queue_of(spec)
        if first_submitted_at is None:
            first_submitted_at = self.first_submitted_at(refused, now)
        is_timely_retry = refused is not None and refused.is_on_time(now)
        job = describe_submitted_job(
            spec, queue, context.durations, first_submitted_at, is_timely_retry=is_timely_retry
        )
        job.advice_seconds = self._advice_seconds(job, queue, now)
        return job

    def _advice_seconds(self, job: SubmittedJob, queue: QueuePolicy, now: float) -> float:
        """Return until when advice about a job's first step has come."""
        if queue.advice is None:
            return 0.0
        offered = len(self._context.table.offered(job.service))
        is_gang = any(step.is_gang and step.is_first for step in job.steps)
        most = MAXIMUM_WORKERS_PER_CALL if is_gang else MINIMUM_WORKERS_PER_SPLIT_CALL
        seconds = queue.advice.call_seconds(min(offered, most))
        return self._context.advice_dispatcher.wait_seconds(seconds, job.rank, now) + seconds

    # Refusals

    def _remember(
        self, key: JobHash, job: SubmittedJob, view: LoadView | None, seconds: float, now: float
    ) -> float:
        pool = view.pools.get(job.service) if view is not None else None
        work, most = UNKNOWN_WORK, NON_URGENT_WORK_PER_SECOND
        if pool is not None:
            work, most = pool.work_estimate(job).high, min(most, pool.share_left_for(job.rank))
        if self._is_urgent(job) or self._refused_jobs.find(key) is not None:
            most = WORK_PER_SECOND
        known = pool is not None
        wait = self._refused_jobs.refuse(key, job, work, seconds, most, now, is_load_known=known)
        return float(wait)

    def _is_urgent(self, job: SubmittedJob) -> bool:
        """Return whether a job is owed and of the queue that goes first at its service."""
        if job.rank.is_over_share:
            return False
        first = self._context.policy.highest_priority(job.service)
        return first is None or job.rank.priority <= first

    def _refuse_one_for_store(self, spec: JobSpec, job: SubmittedJob, now: float) -> float:
        key = job_hash(spec.tenant, spec.job_id)
        former = self._refused_jobs.find(key)
        seconds = MIN_RETRY_SECONDS
        if not self._is_urgent(job):
            span = self._refused_jobs.retry_schedule.reserved_work(job.service, now)
            classes = 1 + int(job.rank.is_over_share)
            seconds += classes * CLASS_SECONDS + span * (key / _HASH_RANGE)
            seconds = max(MIN_RETRY_SECONDS, min(seconds, max_useful_retry_seconds(job, now)))
        retry = self._remember(key, job, self._current_view(now), seconds, now)
        self._log_again(spec, former, RefusalReason.STORE_UNREACHABLE)
        return retry

    def _note_closing(
        self, spec: JobSpec, job: SubmittedJob, verdict: Refuse, view: LoadView, now: float
    ) -> None:
        """Take note for how long others like a job would be refused."""
        seconds = closed_seconds(job, verdict)
        if seconds <= 0.0:
            return
        is_for_all = not job.rank.is_over_share and not view.is_limited_by_quota(job)
        scope = ClosureScope(job.queue, "" if is_for_all else job.tenant)
        self._refused_last[scope] = msgspec.structs.replace(spec, payload="")
        if self._closures.note_refused(scope, seconds, now):
            self._context.log(
                "admission_closed",
                queue=scope.queue,
                tenant=scope.tenant,
                reason=verdict.reason.value,
                seconds=round(seconds, _DIGITS),
            )

    # Logs

    def _log_refused(
        self,
        spec: JobSpec,
        job: SubmittedJob,
        verdict: Refuse,
        former: RefusedJob | None,
        retry: float,
    ) -> None:
        self._context.log(
            "admission_refused",
            job=spec.job_id,
            queue=job.queue,
            tenant=job.tenant,
            reason=verdict.reason.value,
            beyond_share=int(job.rank.is_over_share),
            retry_s=int(retry),
            **verdict.inputs.as_fields(),
        )
        self._log_again(spec, former, verdict.reason)

    def _log_again(self, spec: JobSpec, former: RefusedJob | None, reason: RefusalReason) -> None:
        if former is not None:
            self._context.log(
                "admission_refused_again",
                job=spec.job_id,
                reason=reason.value,
                times=former.refusals + 1,
            )
