"""The admission decision: a pure function of a submitted job and a view of the load.

A job that certainly expires before it finishes is refused; a job that certainly finishes in time is
admitted.  In between, a job is admitted if its tenant is entitled to it, or if it is a timely
retry of a refused job.  A job within its tenant's share that may still meet its objective is
admitted whatever waits, because a result on time is worth more than a late one.  Any other job is
refused if it would make an admitted late job of the same rank class expire.

A job without an end or an objective is always admitted.  Any other job is refused if it needs more
than its tenant's whole quota, and admitted if the capacity of its service is unknown.  A job that
these rules would refuse for another reason is admitted all the same if advice for it arrives in
time and workers could run it now, in free capacity or, within its tenant's share, in that of less
urgent runs that can be preempted.
"""

from __future__ import annotations

from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.resource_pool import DurationBounds
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.admission.verdict import (
    Admit,
    RefusalReason,
    Refuse,
    Verdict,
    VerdictInputs,
)
from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR

#: Minimum and maximum retry time of a refusal, in seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


class AdmissionDecider:
    """Decides whether a job is admitted; has no side effects."""

    def decide(self, job: SubmittedJob, view: LoadView, now: float) -> Verdict:
        """Return the verdict on a job.

        ``retry_after_seconds`` of a refusal is the best-case delay until the job could start.
        """
        delay = view.start_delay(job)
        inputs = _verdict_inputs(job, delay or DurationBounds(0.0, 0.0), view, now)
        if not job.is_finite or job.objective_seconds <= 0.0:
            return Admit(inputs)
        if job.exceeds_quota(view.quotas.get(job.tenant, ResourceVector())):
            return Refuse(RefusalReason.TOO_LATE, MAX_RETRY_SECONDS, inputs)
        if delay is None:
            return Admit(inputs)
        execution = view.execution_seconds(job)
        best_finish_seconds = max(delay.best_seconds, job.advice_seconds) + execution.best_seconds
        worst_finish_seconds = (
            max(delay.worst_seconds, job.advice_seconds) + execution.worst_seconds
        )
        may_finish_in_time = best_finish_seconds <= inputs.seconds_to_expiry
        if may_finish_in_time and job.is_timely_retry:
            return Admit(inputs)
        is_entitled = not job.rank.is_over_share
        if is_entitled and best_finish_seconds <= job.objective_ends_at - now:
            return Admit(inputs)
        may_admit = worst_finish_seconds <= inputs.seconds_to_expiry or (
            may_finish_in_time and is_entitled
        )
        if may_admit and not view.would_expire_late_job(job):
            return Admit(inputs)
        if _can_start_now(job, view, inputs):
            return Admit(inputs)
        reason = RefusalReason.IN_DOUBT if may_finish_in_time else RefusalReason.TOO_LATE
        return Refuse(reason, _retry_seconds(job, delay), inputs)


def closed_seconds(job: SubmittedJob, verdict: Refuse) -> float:
    """Return for how many seconds newly submitted jobs like this one would be refused.

    A job within its tenant's share that is refused because it would make late jobs expire has to
    wait until those jobs have started.
    """
    inputs = verdict.inputs
    is_uncertain = verdict.reason is RefusalReason.IN_DOUBT
    if is_uncertain and not job.rank.is_over_share:
        return verdict.retry_after_seconds
    # The work of the job itself is left out: smaller jobs of the queue may still be admitted.
    delay, duration_seconds = inputs.start_delay_seconds, job.chain_median_seconds
    if is_uncertain:
        delay, duration_seconds = inputs.start_delay_upper_seconds, job.chain_upper_seconds
    expiry_seconds = EXPIRY_FACTOR * job.objective_seconds
    return max(delay, inputs.advice_seconds) + duration_seconds - expiry_seconds


def _can_start_now(job: SubmittedJob, view: LoadView, inputs: VerdictInputs) -> bool:
    """Return whether workers could run the job now, and advice for it arrives in time."""
    max_advice_seconds = inputs.seconds_to_expiry - job.chain_median_seconds
    is_advice_in_time = job.advice_seconds <= max(max_advice_seconds, job.objective_seconds)
    return is_advice_in_time and view.has_capacity_for(job)


def _retry_seconds(job: SubmittedJob, delay: DurationBounds) -> float:
    """Return the best-case delay until the job could start, within the retry limits."""
    seconds = max(delay.best_seconds, job.advice_seconds)
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def _verdict_inputs(
    job: SubmittedJob, delay: DurationBounds, view: LoadView, now: float
) -> VerdictInputs:
    return VerdictInputs(
        start_delay_seconds=delay.best_seconds,
        advice_seconds=job.advice_seconds,
        work_median_seconds=job.chain_median_seconds,
        work_upper_seconds=job.chain_upper_seconds,
        seconds_to_expiry=job.expires_at - now,
        load_view_age_seconds=now - view.made_at,
        start_delay_upper_seconds=delay.worst_seconds,
    )
