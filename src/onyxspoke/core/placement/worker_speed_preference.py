"""Which workers suit a step where some are slower than others, by when it would end there."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.workers import Worker

#: Share of what a job can afford to wait that a slow worker may cost it; the rest is for what else
#: may hold it up, and for its later steps.
SLACK_SHARE = 0.5
#: Workers whose factors differ by less are alike; factors are learned to about a tenth.
FACTOR_UNIT = 0.25


class SpeedScore(NamedTuple):
    """Parts of a worker's score; the lowest is best.

    ``lateness_penalty`` is 0 where the job can be on time, and else grows with the worker's factor;
    ``fast_worker_penalty`` is lower the slower a worker is on which it can.
    """

    lateness_penalty: int
    fast_worker_penalty: int


#: Of all workers where none is known to be unlike the others.
NEUTRAL_SPEED_SCORE = SpeedScore(0, 0)


class SpeedPreference:
    """Sends steps that are short of time to fast workers, and others to slow ones."""

    def __init__(self, step: StepProgress, now: float) -> None:
        due_at = step.due_at + step.job.expected_objective_seconds
        slack = due_at - now - step.expected_remaining_path_seconds
        seconds = step.expected_seconds
        self._bearable = 1.0 + SLACK_SHARE * slack / seconds if seconds > 0.0 else 1.0

    def score(self, worker: Worker) -> SpeedScore:
        """Return what a worker's speed means for the step."""
        factor = worker.speed.factor
        rank = round(factor / FACTOR_UNIT)
        if factor <= self._bearable:
            return SpeedScore(0, -rank)
        return SpeedScore(rank, 0)


def speed_preference(
    step: StepProgress, workers: Iterable[Worker], is_on: bool, now: float
) -> SpeedPreference | None:
    """Return the chooser for a step, or ``None`` where all workers count as alike."""
    if not is_on or step.spec.long_running or all(item.speed.factor == 1.0 for item in workers):
        return None
    return SpeedPreference(step, now)
