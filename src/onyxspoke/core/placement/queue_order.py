"""The order in which waiting steps are placed, and in which advice is requested for them.

Steps are placed in three groups: first the steps of jobs within their tenant's fair share, then
those of jobs that were over it when they were submitted, and last those of expired jobs.  Nobody
waits for the result of an expired job any more, and placing its steps earlier would only make
other jobs late.  Within each group, the queue's priority decides.  Within one queue, steps whose
jobs can still meet their objective come first, and steps of late jobs follow; both are ordered by
their latest start.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from onyxspoke.core.jobs.model import QueuePolicy
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress

#: A job expires once it can only finish after this multiple of its objective.
EXPIRY_FACTOR = 3.0
#: Estimates may be too high: a job counts as late only once even this share of its estimated
#: remaining work can no longer finish within its objective.
CERTAIN_ESTIMATE_SHARE = 0.7


class Lateness(IntEnum):
    """Whether a job can meet its objective, is late, or has expired; the lowest goes first."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class StepRank(NamedTuple):
    """The rank of a step in the waiting queue; the lowest rank is placed first.

    ``is_expired`` says that nobody waits for the step's job any more.  ``is_over_share`` says
    that the job's tenant was over its fair share when it submitted the job.  ``latest_start`` is
    the time, in the holder's seconds, by which the step must start for its job to meet the
    objective.  ``step`` is the number of the step in its job.
    """

    is_expired: bool
    is_over_share: bool
    priority: int
    lateness: Lateness
    latest_start: float
    step: int

    @property
    def is_entitled(self) -> bool:
        """Whether the job has not expired, and its tenant submitted it within its fair share."""
        return not (self.is_expired or self.is_over_share)


def step_rank(step: StepProgress, policy: PolicySet, now: float) -> StepRank:
    """Return a step's rank under the configuration in force."""
    return step_rank_in_queue(step, policy.queue_of(step.job.spec), now)


def step_rank_in_queue(step: StepProgress, queue: QueuePolicy, now: float) -> StepRank:
    """Return a step's rank in a given queue."""
    job = step.job
    objective_seconds = job.expected_objective_seconds
    # This equals ``step.expected_remaining_path_seconds``.  It is computed here to save a call,
    # because every pass ranks every waiting step.
    remaining_path_seconds = step.remaining_path_seconds * job.work.factor
    latest_start = step.due_at + objective_seconds - remaining_path_seconds
    lateness = _lateness(step, objective_seconds, remaining_path_seconds, now)
    return StepRank(
        lateness is Lateness.EXPIRED,
        job.spec.is_over_share,
        queue.priority,
        lateness,
        latest_start,
        step.key.step,
    )


def latest_useful_start(step: StepProgress, rank: StepRank) -> float:
    """Return when a step must start at the latest, so that waiting costs its job nothing.

    A job on time must still meet its objective, and a late one must finish before it expires.
    """
    if rank.lateness is Lateness.LATE:
        return rank.latest_start + (EXPIRY_FACTOR - 1.0) * step.job.expected_objective_seconds
    return rank.latest_start


def refreshed_rank(rank: StepRank, step: StepProgress, now: float) -> StepRank:
    """Return a step's rank with its lateness updated; priority and share stay as they were."""
    objective_seconds = step.job.expected_objective_seconds
    remaining_path_seconds = step.expected_remaining_path_seconds
    lateness = _lateness(step, objective_seconds, remaining_path_seconds, now)
    return rank._replace(
        is_expired=lateness is Lateness.EXPIRED,
        lateness=lateness,
        latest_start=step.due_at + objective_seconds - remaining_path_seconds,
    )


def lateness_changes_at(step: StepProgress, now: float) -> float:
    """Return when a step's lateness will change next; infinity if it will not change."""
    if step.spec.long_running:
        return math.inf
    # The due time less the work that is certain to remain.
    adjusted_due_at = step.due_at - CERTAIN_ESTIMATE_SHARE * step.expected_remaining_path_seconds
    objective_seconds = step.job.expected_objective_seconds
    for change_at in (
        adjusted_due_at + objective_seconds,
        adjusted_due_at + EXPIRY_FACTOR * objective_seconds,
    ):
        if change_at > now:
            return change_at
    return math.inf


def _lateness(
    step: StepProgress, objective_seconds: float, remaining_path_seconds: float, now: float
) -> Lateness:
    if step.spec.long_running:
        return Lateness.ON_TIME
    earliest_end = now + CERTAIN_ESTIMATE_SHARE * remaining_path_seconds
    if earliest_end <= step.due_at + objective_seconds:
        return Lateness.ON_TIME
    if earliest_end <= step.due_at + EXPIRY_FACTOR * objective_seconds:
        return Lateness.LATE
    return Lateness.EXPIRED
