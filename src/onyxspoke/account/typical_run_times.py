"""Estimates typical run times by step, worker and queue, from all runs in the logs.

The estimates distinguish a run that was slow from a task that is long in itself. They compare the
run with the other runs of its step, and its worker with the workers of those other runs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from onyxspoke.account.job_history import JobHistory, RunHistory, TaskId

#: Minimum number of runs or steps from which a ratio is derived for a worker or a queue.
MIN_SAMPLES = 5
#: Minimum number of other runs of a step from which the step's typical time is derived.
MIN_OTHER_RUNS = 2
#: Runs of a step are treated as a gang if all of them end within this time.
MAX_GANG_END_SPREAD_SECONDS = 0.05
#: Quantile of a queue's ratios of run time to estimate that limits the expected run times.
ESTIMATE_RATIO_QUANTILE = 0.9

StepId = tuple[str, int, int]


class _RunEnd(NamedTuple):
    timestamp: float
    job_id: str
    has_failed: bool


class TypicalRunTimes:
    """Computes the expected time of each run."""

    def __init__(self, jobs: Iterable[JobHistory]) -> None:
        self._queue_by_step: dict[StepId, str] = {}
        self._estimate_by_step: dict[StepId, float] = {}
        self._runs_by_step: dict[StepId, dict[int, RunHistory]] = defaultdict(dict)
        self._ends_by_worker: dict[str, list[_RunEnd]] = defaultdict(list)
        for job in jobs:
            self._add_job(job)
        for ends in self._ends_by_worker.values():
            ends.sort()
        self._slowdown_by_worker = self._worker_slowdowns()
        self._longest_ratios_by_queue = self._longest_run_ratios()
        self._estimate_ratio_by_queue = self._estimate_ratios()
        self.longest_run_seconds_by_queue = self._longest_run_seconds()

    def expected_seconds(self, job: JobHistory, task: TaskId, run: RunHistory) -> float:
        """Return the expected time of a successful run, in seconds.

        The expected time is the run time on a worker of typical speed. It is at most the
        typical time of the step's longest task, which is derived from the step's other tasks.
        If the step has too few other tasks or is a gang, the limit is the caller's estimate (if
        there is one) times a high quantile of the queue's ratios of run time to estimate.
        """
        step = (job.job_id, task.repetition, task.step)
        runs = self._runs_by_step.get(step, {})
        is_gang = _is_gang(runs)
        slowdown = (
            self._gang_slowdown(runs.values())
            if is_gang
            else self._slowdown_by_worker.get(run.worker, 1.0)
        )
        typical_seconds = run.seconds / slowdown
        others = [other.seconds for number, other in runs.items() if number != task.number]
        if not is_gang and len(others) >= MIN_OTHER_RUNS:
            return min(
                typical_seconds, median(others) * self._typical_longest_ratio(job.queue, step)
            )
        estimated_seconds = self._estimate_by_step.get(step, 0.0)
        if estimated_seconds > 0.0:
            return min(
                typical_seconds,
                estimated_seconds * self._estimate_ratio_by_queue.get(job.queue, 1.0),
            )
        return typical_seconds

    def worker_fails_other_jobs(self, job: JobHistory, run: RunHistory) -> bool:
        """Return whether another job failed on the worker just before or just after a run's end."""
        ended_at = run.ended_at or 0.0
        others = [
            end for end in self._ends_by_worker.get(run.worker, []) if end.job_id != job.job_id
        ]
        before = [end for end in others if end.timestamp <= ended_at]
        after = [end for end in others if end.timestamp > ended_at]
        return any(end.has_failed for end in [*before[-1:], *after[:1]])

    # Derivation of ratios from the logged runs

    def _add_job(self, job: JobHistory) -> None:
        for task, runs in job.runs.items():
            for run in runs.values():
                if run.ended_at is not None and run.end_kind in ("done", "failed"):
                    end = _RunEnd(run.ended_at, job.job_id, run.end_kind == "failed")
                    self._ends_by_worker[run.worker].append(end)
            step = (job.job_id, task.repetition, task.step)
            self._queue_by_step[step] = job.queue
            if task.step < len(job.estimated_seconds):
                self._estimate_by_step[step] = job.estimated_seconds[task.step]
            single_run = next(iter(runs.values())) if len(runs) == 1 else None
            # A later run may have continued from the saved state of an earlier one.
            if (
                single_run is not None
                and single_run.end_kind == "done"
                and single_run.seconds > 0.0
            ):
                self._runs_by_step[step][task.number] = single_run

    def _worker_slowdowns(self) -> dict[str, float]:
        """Return by worker its median ratio of run time to step median, if it has enough runs."""
        ratios: dict[str, list[float]] = defaultdict(list)
        for runs in self._runs_by_step.values():
            typical_seconds = _typical_seconds(runs)
            if typical_seconds:
                for run in runs.values():
                    ratios[run.worker].append(run.seconds / typical_seconds)
        return {
            worker: max(median(samples), 1e-3)
            for worker, samples in ratios.items()
            if worker and len(samples) >= MIN_SAMPLES
        }

    def _gang_slowdown(self, runs: Iterable[RunHistory]) -> float:
        """Return the slowdown of a gang, which is that of its slowest worker."""
        return max((self._slowdown_by_worker.get(run.worker, 1.0) for run in runs), default=1.0)

    def _longest_run_ratios(self) -> dict[str, list[tuple[StepId, float]]]:
        """Return by queue the ratio of each step's longest run time to its median run time.

        Before the longest is chosen, each run time is divided by its worker's slowdown.
        """
        samples: dict[str, list[tuple[StepId, float]]] = defaultdict(list)
        for step, runs in self._runs_by_step.items():
            typical_seconds = _typical_seconds(runs)
            if typical_seconds:
                longest = max(
                    run.seconds / self._slowdown_by_worker.get(run.worker, 1.0)
                    for run in runs.values()
                )
                samples[self._queue_by_step[step]].append((step, longest / typical_seconds))
        return samples

    def _typical_longest_ratio(self, queue: str, step: StepId) -> float:
        ratios = [
            ratio for other, ratio in self._longest_ratios_by_queue.get(queue, ()) if other != step
        ]
        return max(1.0, median(ratios)) if len(ratios) >= MIN_SAMPLES else 1.0

    def _estimate_ratios(self) -> dict[str, float]:
        ratios: dict[str, list[float]] = defaultdict(list)
        for step, runs in self._runs_by_step.items():
            estimated_seconds = self._estimate_by_step.get(step, 0.0)
            if estimated_seconds > 0.0:
                ratios[self._queue_by_step[step]] += [
                    run.seconds / estimated_seconds for run in runs.values()
                ]
        return {
            queue: sorted(samples)[int(len(samples) * ESTIMATE_RATIO_QUANTILE)]
            for queue, samples in ratios.items()
            if len(samples) >= MIN_SAMPLES
        }

    def _longest_run_seconds(self) -> dict[str, float]:
        longest: dict[str, float] = defaultdict(float)
        for step, runs in self._runs_by_step.items():
            queue = self._queue_by_step[step]
            longest[queue] = max([longest[queue], *(run.seconds for run in runs.values())])
        return longest


def _typical_seconds(runs: dict[int, RunHistory]) -> float:
    """Return the median run time of a step; 0 if it has too few runs or is a gang."""
    if len(runs) <= MIN_OTHER_RUNS or _is_gang(runs):
        return 0.0
    return median(run.seconds for run in runs.values())


def _is_gang(runs: dict[int, RunHistory]) -> bool:
    ends = [run.ended_at for run in runs.values() if run.ended_at is not None]
    return len(ends) > 1 and max(ends) - min(ends) <= MAX_GANG_END_SPREAD_SECONDS
