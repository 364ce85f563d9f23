"""Admission control at a shard's holder: admits or refuses submitted jobs, where it is enabled.

While a holder does not know yet which jobs wait and which runs its workers have, it admits every
job.
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

#: Minimum interval between two computations of the load view; the scheduler's round is as long.
MINIMUM_VIEW_INTERVAL_SECONDS = 0.05
#: Added to the minimum interval for each waiting step, run and refused job, because the time to
#: compute the load view grows with their number.
VIEW_INTERVAL_SECONDS_PER_ITEM = 0.0001
#: Interval between two checks whether closed queues can be reopened; as long as the time without
#: refusals after which a queue counts as reopened.
REOPEN_CHECK_INTERVAL_SECONDS = 1.0
#: Work assumed for a job while the capacity of its service is unknown, in share-seconds.
DEFAULT_WORK_SHARE_SECONDS = 0.02
#: Additional delay of retries while the store is unreachable.  It applies once to a job that is not
#: urgent, and twice if the job is over its tenant's fair share.
RETRY_DELAY_SECONDS_PER_CLASS = 1.0
_HASH_RANGE = float(1 << 64)
_MILLISECONDS = 1_000.0
_LOG_DECIMALS = 3


class AdmissionController:
    """Decides about submitted jobs, from the current load and the jobs refused before.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    worker_registry : WorkerRegistry
        Knows whether the directory has listed all workers.
    """

    def __init__(self, context: ShardContext, worker_registry: WorkerRegistry) -> None:
        self._context = context
        self._worker_registry = worker_registry
        self._decider = AdmissionDecider()
        self._refused_jobs = RefusedJobs()
        self._closures = QueueClosures()
        self._arrivals = ArrivalMeter()
        self._load_view: LoadView | None = None
        self._next_view_at = 0.0
        #: The job that was refused last in each closed scope.
        self._last_refused_specs: dict[ClosureScope, JobSpec] = {}
        self._next_reopen_check_at = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether admission control is enabled."""
        return self._context.options.load.admission

    def find_refused_job(self, spec: JobSpec) -> RefusedJob | None:
        """Return the record of an earlier refusal of a job, if there is one."""
        return (
            self._refused_jobs.find(job_hash(spec.tenant, spec.job_id)) if self.is_enabled else None
        )

    def first_submitted_at(self, refused: RefusedJob | None, now: float) -> float:
        """Return the time from which a job counts as submitted.

        A job that is submitted again after its first submission has expired counts as new.
        """
        if refused is None or now > refused.expires_at:
            return now
        return refused.first_submitted_at

    def decide(self, spec: JobSpec, refused: RefusedJob | None, now: float) -> Refusal | None:
        """Return a refusal for a new job, or None if the job is admitted."""
        if not self.is_enabled:
            return None
        key = job_hash(spec.tenant, spec.job_id)
        view = self._current_load_view(now)
        if view is None:
            self._refused_jobs.forget(key)
            return None
        job = self._describe(spec, refused, now)
        verdict = self._decider.decide(job, view, now)
        if refused is not None:
            self._report_retry(job, refused, isinstance(verdict, Refuse), now)
        if not isinstance(verdict, Refuse):
            self._refused_jobs.forget(key)
            self._record_admission(job, view, now)
            return None
        self._record_closure(spec, job, verdict, view, now)
        retry = self._record_refusal(key, job, view, verdict.retry_after_seconds, now)
        self._log_refused(spec, job, verdict, refused, retry)
        return Refusal(verdict.reason, retry)

    def _report_retry(
        self, job: SubmittedJob, refused: RefusedJob, is_refused_again: bool, now: float
    ) -> None:
        outcome = ReturnOutcome.EARLY_OR_LATE
        if is_refused_again:
            outcome = ReturnOutcome.REFUSED_AGAIN
        elif refused.is_on_time(now):
            outcome = ReturnOutcome.ON_TIME
        self._context.emit(CallerReturned(job.queue, outcome))

    def refuse_for_unreachable_store(self, specs: list[JobSpec], now: float) -> dict[str, float]:
        """Refuse jobs that cannot be recorded; return the retry delay of each job, in seconds.

        The length of the store's outage is unknown.  Urgent jobs retry first; the retries of the
        others are spread over the time that the refused work takes.  The result is empty if
        admission control is disabled.
        """
        if not self.is_enabled:
            return {}
        jobs = [(spec, self._describe_for_store(spec, now)) for spec in specs]
        jobs.sort(key=lambda item: item[1].rank)
        return {spec.job_id: self._refuse_one_for_store(spec, job, now) for spec, job in jobs}

    def tick(self, now: float) -> None:
        """Release missed retries, and reopen queues that no longer have to be closed."""
        if not self.is_enabled:
            self._load_view = None
            self._closures.clear()
            self._last_refused_specs.clear()
            return
        self._refused_jobs.release_missed(now)
        self._reopen_closures(now)
        for scope, seconds in self._closures.pop_reopened(now):
            self._last_refused_specs.pop(scope, None)
            self._context.log(
                "admission_opened",
                queue=scope.queue,
                tenant=scope.tenant,
                seconds=round(seconds, _LOG_DECIMALS),
            )

    def summary(self, now: float) -> AdmissionSummary | None:
        """Return the closed queues, or None if the load is unknown or admission control is off."""
        if not self.is_enabled or not self._is_load_known:
            return None
        return AdmissionSummary(token=self._context.token, notices=self._closures.notices(now))

    def _reopen_closures(self, now: float) -> None:
        """Reopen a closed scope if the job that was refused there last would now be admitted.

        The caller may never submit that job again.  An entry that loses contact with the holder
        keeps refusing jobs according to the holder's last summary.
        """
        if now < self._next_reopen_check_at:
            return
        self._next_reopen_check_at = now + REOPEN_CHECK_INTERVAL_SECONDS
        scopes = self._closures.closed_scopes(now)
        view = self._current_load_view(now) if scopes else None
        if view is None:
            return
        for scope in scopes:
            job = self._describe(self._last_refused_specs[scope], None, now)
            if not isinstance(self._decider.decide(job, view, now), Refuse):
                self._closures.note_admitted(scope, now)

    def _record_admission(self, job: SubmittedJob, view: LoadView, now: float) -> None:
        view.add(job)
        pool = view.pools.get(job.service)
        if pool is not None:
            work = pool.work_estimate_within(job, DECAY_SECONDS).high
            self._arrivals.record_arrival(job.service, job.rank, work, now)
        if job.is_timely_retry:
            # A timely retry has precedence, so its admission does not show that the queue would
            # admit a new job.
            return
        self._closures.note_admitted(ClosureScope(job.queue, ""), now)
        if job.rank.is_over_share:
            self._closures.note_admitted(ClosureScope(job.queue, job.tenant), now)

    # Load and job descriptions

    @property
    def _is_load_known(self) -> bool:
        """Whether the holder knows the waiting jobs, its workers and the workers' runs."""
        return (
            self._worker_registry.knows_directory and not self._context.job_registry.is_recovering
        )

    def _current_load_view(self, now: float) -> LoadView | None:
        context = self._context
        if not self._is_load_known:
            return None
        if self._load_view is None or now >= self._next_view_at:
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
            self._load_view = build_load_view(load, now)
            self._next_view_at = now + max(
                MINIMUM_VIEW_INTERVAL_SECONDS, VIEW_INTERVAL_SECONDS_PER_ITEM * count
            )
        return self._load_view

    def _describe_for_store(self, spec: JobSpec, now: float) -> SubmittedJob:
        """Describe a job to be refused; a withdrawn job keeps the time of its first submission."""
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
        job.advice_seconds = self._expected_advice_seconds(job, queue, now)
        return job

    def _expected_advice_seconds(self, job: SubmittedJob, queue: QueuePolicy, now: float) -> float:
        """Return the expected seconds until advice about a job's first step arrives."""
        if queue.advice is None:
            return 0.0
        worker_count = len(self._context.table.offered(job.service))
        is_gang = any(step.is_gang and step.is_first for step in job.steps)
        maximum_worker_count = (
            MAXIMUM_WORKERS_PER_CALL if is_gang else MINIMUM_WORKERS_PER_SPLIT_CALL
        )
        seconds = queue.advice.call_seconds(min(worker_count, maximum_worker_count))
        return self._context.advice_dispatcher.wait_seconds(seconds, job.rank, now) + seconds

    # Refusals

    def _record_refusal(
        self, key: JobHash, job: SubmittedJob, view: LoadView | None, seconds: float, now: float
    ) -> float:
        pool = view.pools.get(job.service) if view is not None else None
        work, maximum_slot_work = DEFAULT_WORK_SHARE_SECONDS, NON_URGENT_WORK_PER_SECOND
        if pool is not None:
            work, maximum_slot_work = (
                pool.work_estimate(job).high,
                min(maximum_slot_work, pool.share_left_for(job.rank)),
            )
        if self._is_urgent(job) or self._refused_jobs.find(key) is not None:
            maximum_slot_work = WORK_PER_SECOND
        is_load_known = pool is not None
        wait = self._refused_jobs.refuse(
            key, job, work, seconds, maximum_slot_work, now, is_load_known=is_load_known
        )
        return float(wait)

    def _is_urgent(self, job: SubmittedJob) -> bool:
        """Return whether a job is entitled and in a queue of its service's highest priority."""
        if job.rank.is_over_share:
            return False
        highest_priority = self._context.policy.highest_priority(job.service)
        return highest_priority is None or job.rank.priority <= highest_priority

    def _refuse_one_for_store(self, spec: JobSpec, job: SubmittedJob, now: float) -> float:
        key = job_hash(spec.tenant, spec.job_id)
        previous_refusal = self._refused_jobs.find(key)
        seconds = MIN_RETRY_SECONDS
        if not self._is_urgent(job):
            reserved_seconds = self._refused_jobs.retry_schedule.reserved_work(job.service, now)
            delay_classes = 1 + int(job.rank.is_over_share)
            seconds += delay_classes * RETRY_DELAY_SECONDS_PER_CLASS + reserved_seconds * (
                key / _HASH_RANGE
            )
            seconds = max(MIN_RETRY_SECONDS, min(seconds, max_useful_retry_seconds(job, now)))
        retry = self._record_refusal(key, job, self._current_load_view(now), seconds, now)
        self._log_repeated_refusal(spec, previous_refusal, RefusalReason.STORE_UNREACHABLE)
        return retry

    def _record_closure(
        self, spec: JobSpec, job: SubmittedJob, verdict: Refuse, view: LoadView, now: float
    ) -> None:
        """Record for how long jobs similar to a refused job will also be refused."""
        seconds = closed_seconds(job, verdict)
        if seconds <= 0.0:
            return
        applies_to_all_tenants = not job.rank.is_over_share and not view.is_limited_by_quota(job)
        scope = ClosureScope(job.queue, "" if applies_to_all_tenants else job.tenant)
        self._last_refused_specs[scope] = msgspec.structs.replace(spec, payload="")
        if self._closures.note_refused(scope, seconds, now):
            self._context.log(
                "admission_closed",
                queue=scope.queue,
                tenant=scope.tenant,
                reason=verdict.reason.value,
                seconds=round(seconds, _LOG_DECIMALS),
            )

    # Logs

    def _log_refused(
        self,
        spec: JobSpec,
        job: SubmittedJob,
        verdict: Refuse,
        previous_refusal: RefusedJob | None,
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
        self._log_repeated_refusal(spec, previous_refusal, verdict.reason)

    def _log_repeated_refusal(
        self, spec: JobSpec, previous_refusal: RefusedJob | None, reason: RefusalReason
    ) -> None:
        if previous_refusal is not None:
            self._context.log(
                "admission_refused_again",
                job=spec.job_id,
                reason=reason.value,
                times=previous_refusal.refusals + 1,
            )
