"""The order in which waiting steps are placed, and advice is asked for them.

Last of all come jobs that are so late that nobody waits for them any more, of every queue: while
much waits, one of them would only make another late, whose caller still waits.  Before them comes
what tenants sent beyond their weights, and before that what they are owed.  Within these a queue's
priority comes first; within a queue the steps whose jobs can still be done within their objective,
by the time that they can afford to wait, and then those that can only be late.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from onyxspoke.core.jobs.model import QueuePolicy
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress

#: A job is of use until so many times its objective.
EXPIRY_FACTOR = 3.0
#: Estimates may be too high; a job counts as late when this share of them no longer fits.
CERTAIN_ESTIMATE_SHARE = 0.7


class Lateness(IntEnum):
    """Whether a job can still be of use; the lowest goes first."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class StepRank(NamedTuple):
    """A step's place in the waiting line; the lowest goes first.

    ``is_expired`` says that nobody waits for its job any more, ``is_over_share`` that its tenant
    had handed in more than it is owed, ``latest_start`` is the second by which it should start,
    ``step`` its number in the job.
    """

    is_expired: bool
    is_over_share: bool
    priority: int
    lateness: Lateness
    latest_start: float
    step: int

    @property
    def is_entitled(self) -> bool:
        """Whether somebody waits for the step's job, and its tenant is owed it."""
        return not (self.is_expired or self.is_over_share)


def step_rank(step: StepProgress, policy: PolicySet, now: float) -> StepRank:
    """Return a step's place, under the policy in force."""
    return step_rank_in_queue(step, policy.queue_of(step.job.spec), now)


def step_rank_in_queue(step: StepProgress, queue: QueuePolicy, now: float) -> StepRank:
    """Return a step's place, given its queue."""
    job = step.job
    objective = job.expected_objective_seconds
    # As ``step.expected_remaining_path_seconds``, without the call: every waiting step comes here
    # in a pass.
    chain = step.remaining_path_seconds * job.work.factor
    latest_start = step.due_at + objective - chain
    lateness = _lateness(step, objective, chain, now)
    return StepRank(
        lateness is Lateness.EXPIRED,
        job.spec.is_over_share,
        queue.priority,
        lateness,
        latest_start,
        step.key.step,
    )


def refreshed_rank(rank: StepRank, step: StepProgress, now: float) -> StepRank:
    """Return a step's place as it is now: its queue and its tenant's share stay as they were."""
    objective = step.job.expected_objective_seconds
    chain = step.expected_remaining_path_seconds
    lateness = _lateness(step, objective, chain, now)
    return rank._replace(
        is_expired=lateness is Lateness.EXPIRED,
        lateness=lateness,
        latest_start=step.due_at + objective - chain,
    )


def lateness_changes_at(step: StepProgress, now: float) -> float:
    """Return when a step's lateness changes next, by what is known now; infinity if never."""
    if step.spec.long_running:
        return math.inf
    start = step.due_at - CERTAIN_ESTIMATE_SHARE * step.expected_remaining_path_seconds
    objective = step.job.expected_objective_seconds
    for moment in (start + objective, start + EXPIRY_FACTOR * objective):
        if moment > now:
            return moment
    return math.inf


def _lateness(step: StepProgress, objective: float, chain: float, now: float) -> Lateness:
    if step.spec.long_running:
        return Lateness.ON_TIME
    earliest_end = now + CERTAIN_ESTIMATE_SHARE * chain
    if earliest_end <= step.due_at + objective:
        return Lateness.ON_TIME
    if earliest_end <= step.due_at + EXPIRY_FACTOR * objective:
        return Lateness.LATE
    return Lateness.EXPIRED
