"""Prefer workers by their speed, so that fast workers are left to steps that lack time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.workers import Worker

#: The share of a job's slack that a slow worker may use up.  The rest is kept for other delays and
#: for the job's later steps.
SLACK_SHARE = 0.5
#: Speed factors are rounded to multiples of this value, because they are learned only to about a
#: tenth.  Workers with the same rounded factor count as equally fast.
FACTOR_UNIT = 0.25


class SpeedScore(NamedTuple):
    """The speed components of a worker's score; the lowest is best.

    ``lateness_penalty`` is 0 if the job can meet its objective on the worker; otherwise it is
    higher for slower workers.  ``fast_worker_penalty`` is higher for faster workers on which the
    job meets its objective, so that steps with slack leave the fast workers to other steps.
    """

    lateness_penalty: int
    fast_worker_penalty: int


#: The score of every worker if all workers count as equally fast.
NEUTRAL_SPEED_SCORE = SpeedScore(0, 0)


class SpeedPreference:
    """Prefers fast workers for steps that are short of time, and slow workers for other steps."""

    def __init__(self, step: StepProgress, now: float) -> None:
        objective_at = step.due_at + step.job.expected_objective_seconds
        slack_seconds = objective_at - now - step.expected_remaining_path_seconds
        step_seconds = step.expected_seconds
        self._max_factor = (
            1.0 + SLACK_SHARE * slack_seconds / step_seconds if step_seconds > 0.0 else 1.0
        )

    def score(self, worker: Worker) -> SpeedScore:
        """Return the score of a worker's speed for the step."""
        factor = worker.speed.factor
        rounded_factor = round(factor / FACTOR_UNIT)
        if factor <= self._max_factor:
            return SpeedScore(0, -rounded_factor)
        return SpeedScore(rounded_factor, 0)


def speed_preference(
    step: StepProgress, workers: Iterable[Worker], is_on: bool, now: float
) -> SpeedPreference | None:
    """Return the speed preference of a step, or ``None`` if worker speeds do not matter for it."""
    if not is_on or step.spec.long_running or all(worker.speed.factor == 1.0 for worker in workers):
        return None
    return SpeedPreference(step, now)
