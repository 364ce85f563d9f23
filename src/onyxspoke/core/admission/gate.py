"""The decision about a job that is handed in: a pure function of the job and a look at the load.

What surely cannot be done while its caller waits is refused; what surely can is taken.  Between
the two a job is taken if its tenant is owed it, or if it comes back when it was told to.  What is
owed and may be on time is taken whatever waits: an answer in time is worth more to its caller than
a late one to another.  Nothing else is taken that would make a job come too late which was taken
before, and is no less urgent.
"""

from __future__ import annotations

from onyxspoke.core.admission.hand_in import HandIn
from onyxspoke.core.admission.lane import DurationBounds
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.verdict import (
    Admit,
    RefusalReason,
    Refuse,
    Verdict,
    VerdictInputs,
)
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR

#: A caller is told to come back after so long at least, and at most, in seconds.
SHORTEST_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


class Gate:
    """Decides whether a job is taken; nothing is changed by it."""

    def decide(self, job: HandIn, view: LoadView, now: float) -> Verdict:
        """Return the verdict on a job.

        ``retry_after_seconds`` of a refusal is when what goes before the job is through.
        """
        delay = view.start_delay(job)
        inputs = _verdict_inputs(job, delay or DurationBounds(0.0, 0.0), view, now)
        if not job.is_finite or job.objective_seconds <= 0.0:
            return Admit(inputs)
        if job.exceeds_quota(view.quotas.get(job.tenant, Needs())):
            return Refuse(RefusalReason.TOO_LATE, MAX_RETRY_SECONDS, inputs)
        if delay is None:
            return Admit(inputs)
        work = view.execution_seconds(job)
        best_finish_seconds = max(delay.best_seconds, job.advice_seconds) + work.best_seconds
        worst_finish_seconds = max(delay.worst_seconds, job.advice_seconds) + work.worst_seconds
        may_finish_in_time = best_finish_seconds <= inputs.seconds_to_expiry
        if may_finish_in_time and job.is_awaited:
            return Admit(inputs)
        is_owed = not job.rank.is_beyond_share
        if is_owed and best_finish_seconds <= job.objective_ends_at - now:
            return Admit(inputs)
        may_admit = worst_finish_seconds <= inputs.seconds_to_expiry or (
            may_finish_in_time and is_owed
        )
        if may_admit and not view.would_expire_late_job(job):
            return Admit(inputs)
        if _can_start_now(job, view, inputs):
            return Admit(inputs)
        reason = RefusalReason.IN_DOUBT if may_finish_in_time else RefusalReason.TOO_LATE
        return Refuse(reason, _retry_seconds(job, delay), inputs)


def closed_seconds(job: HandIn, verdict: Refuse) -> float:
    """Return for how long others like a job would be refused, were each handed in anew.

    One that is refused because it would push late jobs has to wait until those are through.
    """
    inputs = verdict.inputs
    is_uncertain = verdict.reason is RefusalReason.IN_DOUBT
    if is_uncertain and not job.rank.is_beyond_share:
        return verdict.retry_after_seconds
    # Its own width closes nothing: narrower jobs of its queue may be taken.
    delay, duration_seconds = inputs.start_delay_seconds, job.chain_median_seconds
    if is_uncertain:
        delay, duration_seconds = inputs.start_delay_upper_seconds, job.chain_upper_seconds
    expiry_seconds = EXPIRY_FACTOR * job.objective_seconds
    return max(delay, inputs.advice_seconds) + duration_seconds - expiry_seconds


def _can_start_now(job: HandIn, view: LoadView, inputs: VerdictInputs) -> bool:
    """Return whether free workers could run a job, and advice about them comes in time."""
    max_advice_seconds = inputs.seconds_to_expiry - job.chain_median_seconds
    is_advice_in_time = job.advice_seconds <= max(max_advice_seconds, job.objective_seconds)
    return is_advice_in_time and view.has_capacity_for(job)


def _retry_seconds(job: HandIn, delay: DurationBounds) -> float:
    """Return when what goes before a job is through."""
    seconds = max(delay.best_seconds, job.advice_seconds)
    return min(max(seconds, SHORTEST_RETRY_SECONDS), MAX_RETRY_SECONDS)


def _verdict_inputs(
    job: HandIn, delay: DurationBounds, view: LoadView, now: float
) -> VerdictInputs:
    return VerdictInputs(
        start_delay_seconds=delay.best_seconds,
        advice_seconds=job.advice_seconds,
        work_median_seconds=job.chain_median_seconds,
        work_upper_seconds=job.chain_upper_seconds,
        seconds_to_expiry=job.last_use_at - now,
        load_view_age_seconds=now - view.made_at,
        start_delay_upper_seconds=delay.worst_seconds,
    )
