"""The decision about a job that is handed in: a pure function of the job and a look at the load.

What surely cannot be done while its caller waits is refused; what surely can is taken.  Between
the two a job is taken if its tenant is owed it, or if it comes back when it was told to.  What is
owed and may be on time is taken whatever waits: an answer in time is worth more to its caller than
a late one to another.  Nothing else is taken that would make a job come too late which was taken
before, and is no less urgent.
"""

from __future__ import annotations

from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.resource_pool import Ahead
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

#: A caller is told to come back after so long at least, and at most, in seconds.
MIN_RETRY_SECONDS = 1.0
LONGEST_RETRY_SECONDS = 120.0


class AdmissionDecider:
    """Decides whether a job is taken; nothing is changed by it."""

    def decide(self, job: SubmittedJob, view: LoadView, now: float) -> Verdict:
        """Return the verdict on a job.

        ``retry_after_seconds`` of a refusal is when what goes before the job is through.
        """
        ahead = view.ahead_of(job)
        inputs = _inputs(job, ahead or Ahead(0.0, 0.0), view, now)
        if not job.has_end or job.objective_seconds <= 0.0:
            return Admit(inputs)
        if job.is_too_wide(view.quotas.get(job.tenant, ResourceVector())):
            return Refuse(RefusalReason.TOO_LATE, LONGEST_RETRY_SECONDS, inputs)
        if ahead is None:
            return Admit(inputs)
        work = view.work_seconds(job)
        best_end = max(ahead.best_seconds, job.advice_seconds) + work.best_seconds
        worst_end = max(ahead.worst_seconds, job.advice_seconds) + work.worst_seconds
        is_possible = best_end <= inputs.patience_seconds
        if is_possible and job.is_timely_retry:
            return Admit(inputs)
        is_entitled = not job.rank.is_over_share
        if is_entitled and best_end <= job.on_time_until - now:
            return Admit(inputs)
        may_be_taken = worst_end <= inputs.patience_seconds or (is_possible and is_entitled)
        if may_be_taken and not view.pushes_promised(job):
            return Admit(inputs)
        if _can_begin_now(job, view, inputs):
            return Admit(inputs)
        reason = RefusalReason.IN_DOUBT if is_possible else RefusalReason.TOO_LATE
        return Refuse(reason, _retry_seconds(job, ahead), inputs)


def closed_seconds(job: SubmittedJob, verdict: Refuse) -> float:
    """Return for how long others like a job would be refused, were each handed in anew.

    One that is refused because it would push late jobs has to wait until those are through.
    """
    inputs = verdict.inputs
    is_in_doubt = verdict.reason is RefusalReason.IN_DOUBT
    if is_in_doubt and not job.rank.is_over_share:
        return verdict.retry_after_seconds
    # Its own width closes nothing: narrower jobs of its queue may be taken.
    ahead, taken = inputs.ahead_seconds, job.chain_median_seconds
    if is_in_doubt:
        ahead, taken = inputs.ahead_upper_seconds, job.chain_upper_seconds
    patience = EXPIRY_FACTOR * job.objective_seconds
    return max(ahead, inputs.advice_seconds) + taken - patience


def _can_begin_now(job: SubmittedJob, view: LoadView, inputs: VerdictInputs) -> bool:
    """Return whether free workers could run a job, and advice about them comes in time."""
    time_for_advice = inputs.patience_seconds - job.chain_median_seconds
    is_advised = job.advice_seconds <= max(time_for_advice, job.objective_seconds)
    return is_advised and view.has_room_for(job)


def _retry_seconds(job: SubmittedJob, ahead: Ahead) -> float:
    """Return when what goes before a job is through."""
    seconds = max(ahead.best_seconds, job.advice_seconds)
    return min(max(seconds, MIN_RETRY_SECONDS), LONGEST_RETRY_SECONDS)


def _inputs(job: SubmittedJob, ahead: Ahead, view: LoadView, now: float) -> VerdictInputs:
    return VerdictInputs(
        ahead_seconds=ahead.best_seconds,
        advice_seconds=job.advice_seconds,
        work_median_seconds=job.chain_median_seconds,
        work_upper_seconds=job.chain_upper_seconds,
        patience_seconds=job.expires_at - now,
        view_age_seconds=now - view.made_at,
        ahead_upper_seconds=ahead.worst_seconds,
    )
