"""What runs usually take, from all runs in the logs: by step, by worker, by queue.

A run that took longer than it should have is told from a task that is long by its nature: by
its worker, where most of what runs there takes long, and by its step's other runs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median

from onyxspoke.account.trails import JobTrail, RunTrail, TaskName

#: Runs, or steps, below which nothing is said of a worker or a queue.
EVIDENCE = 5
#: Other runs of a step from which its usual time follows.
SIBLINGS = 2
#: Runs of a step that end within so many seconds work only together.
GANG_END_SECONDS = 0.05
#: Share of a queue's runs that its bound on time over estimate covers.
COVERED_SHARE = 0.9

StepName = tuple[str, int, int]


class UsualTimes:
    """What each run should have taken."""

    def __init__(self, jobs: Iterable[JobTrail]) -> None:
        self._queues: dict[StepName, str] = {}
        self._estimates: dict[StepName, float] = {}
        self._steps: dict[StepName, dict[int, RunTrail]] = defaultdict(dict)
        for job in jobs:
            self._take_job(job)
        self._factors = self._find_factors()
        self._longest = self._find_longest()
        self._over_estimate = self._find_over_estimate()
        self.longest_by_queue = self._find_longest_seconds()

    def expected_seconds(self, job: JobTrail, name: TaskName, run: RunTrail) -> float:
        """Return what a run that ended well should have taken.

        It is what the work takes on a worker of usual speed, yet at most what the longest task of
        such a step usually takes against its others. Where others tell nothing, the caller's
        estimate bounds it, by as much as the queue's runs usually are over theirs.
        """
        step = (job.job_id, name.repetition, name.step)
        runs = self._steps.get(step, {})
        is_gang = _is_gang(runs)
        factor = self._factor_of(runs.values()) if is_gang else self._factors.get(run.worker, 1.0)
        usual = run.seconds / factor
        others = [other.seconds for number, other in runs.items() if number != name.number]
        if not is_gang and len(others) >= SIBLINGS:
            return min(usual, median(others) * self._longest_share(job.queue, step))
        estimate = self._estimates.get(step, 0.0)
        if estimate > 0.0:
            return min(usual, estimate * self._over_estimate.get(job.queue, 1.0))
        return usual

    # Evidence

    def _take_job(self, job: JobTrail) -> None:
        for name, runs in job.runs.items():
            step = (job.job_id, name.repetition, name.step)
            self._queues[step] = job.queue
            if name.step < len(job.estimated_seconds):
                self._estimates[step] = job.estimated_seconds[name.step]
            only = next(iter(runs.values())) if len(runs) == 1 else None
            # A later run may have gone on from what an earlier one had saved.
            if only is not None and only.how == "done":
                self._steps[step][name.number] = only

    def _find_factors(self) -> dict[str, float]:
        """Return each worker's time over its steps' usual one, where enough ran there."""
        shares: dict[str, list[float]] = defaultdict(list)
        for runs in self._steps.values():
            usual = _usual_of(runs)
            if usual:
                for run in runs.values():
                    shares[run.worker].append(run.seconds / usual)
        return {
            worker: max(median(found), 1e-3)
            for worker, found in shares.items()
            if worker and len(found) >= EVIDENCE
        }

    def _factor_of(self, runs: Iterable[RunTrail]) -> float:
        """Return a gang's factor: its slowest worker sets the pace."""
        return max((self._factors.get(run.worker, 1.0) for run in runs), default=1.0)

    def _find_longest(self) -> dict[str, list[tuple[StepName, float]]]:
        """Return by queue how much longer the longest of a step took than its usual run."""
        found: dict[str, list[tuple[StepName, float]]] = defaultdict(list)
        for step, runs in self._steps.items():
            usual = _usual_of(runs)
            if usual:
                longest = max(
                    run.seconds / self._factors.get(run.worker, 1.0) for run in runs.values()
                )
                found[self._queues[step]].append((step, longest / usual))
        return found

    def _longest_share(self, queue: str, step: StepName) -> float:
        shares = [share for name, share in self._longest.get(queue, ()) if name != step]
        return max(1.0, median(shares)) if len(shares) >= EVIDENCE else 1.0

    def _find_over_estimate(self) -> dict[str, float]:
        shares: dict[str, list[float]] = defaultdict(list)
        for step, runs in self._steps.items():
            estimate = self._estimates.get(step, 0.0)
            if estimate > 0.0:
                shares[self._queues[step]] += [run.seconds / estimate for run in runs.values()]
        return {
            queue: sorted(found)[int(len(found) * COVERED_SHARE)]
            for queue, found in shares.items()
            if len(found) >= EVIDENCE
        }

    def _find_longest_seconds(self) -> dict[str, float]:
        longest: dict[str, float] = defaultdict(float)
        for step, runs in self._steps.items():
            queue = self._queues[step]
            longest[queue] = max([longest[queue], *(run.seconds for run in runs.values())])
        return longest


def _usual_of(runs: dict[int, RunTrail]) -> float:
    """Return the usual time of a step's runs; 0 where they tell nothing of each other."""
    if len(runs) <= SIBLINGS or _is_gang(runs):
        return 0.0
    return median(run.seconds for run in runs.values())


def _is_gang(runs: dict[int, RunTrail]) -> bool:
    ends = [run.ended_at for run in runs.values() if run.ended_at is not None]
    return len(ends) > 1 and max(ends) - min(ends) <= GANG_END_SECONDS
