"""Learns each worker's speed: how much longer than usual its runs take."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median

#: Half-life of the evidence on a worker, in seconds.
HALF_LIFE_SECONDS = 60.0
#: Weight of the prior, in runs, that shrinks a worker's mean towards that of its kind.
PRIOR_WEIGHT_RUNS = 4.0
#: Maximum evidence on a worker, in runs, so that its mean still follows changes.
MAXIMUM_EVIDENCE = 20.0
#: If a worker has less evidence than this, in runs, only the speed of its kind is used.
MINIMUM_EVIDENCE = 1.0
#: One observation's distance from the worker's mean is clipped to this logarithm, so that a task
#: of extreme duration doesn't distort its worker's speed.
MAXIMUM_DEVIATION_LOG = 0.7
#: A worker's factor is 1 if the absolute value of its estimated logarithm is below this.
NEUTRAL_BAND_LOG = 0.18
#: Minimum number of workers with enough evidence for the median of a kind, or of all workers.
MINIMUM_WORKERS = 4


class WorkerSpeed:
    """The learned speed of one incarnation of a worker.

    Attributes
    ----------
    kind : str
        The worker's kind from the directory; empty if the directory gives none.
    factor : float
        Factor by which durations on this worker are multiplied; with little evidence, that of its
        kind.
    mean_log : float
        Mean logarithm of its runs' durations over the durations expected on a usual worker.
    logged_factor : float
        The factor that was last written to the log.
    """

    __slots__ = (
        "_evidence",
        "_updated_at",
        "born_ms",
        "factor",
        "kind",
        "logged_factor",
        "mean_log",
        "worker_id",
    )

    def __init__(self, worker_id: str = "", born_ms: int = 0, kind: str = "") -> None:
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.kind = kind
        self.factor = 1.0
        self.mean_log = 0.0
        self.logged_factor = 1.0
        self._evidence = 0.0
        self._updated_at = 0.0

    @property
    def log(self) -> float:
        """The natural logarithm of the factor."""
        return math.log(self.factor)

    def evidence(self, now: float) -> float:
        """Return the decayed number of runs in the mean."""
        elapsed_seconds = max(0.0, now - self._updated_at)
        return float(self._evidence * 0.5 ** (elapsed_seconds / HALF_LIFE_SECONDS))

    def add_sample(self, residual_log: float, weight: float, now: float) -> None:
        """Add the logarithm of one run's duration over the duration on a usual worker."""
        evidence = self.evidence(now)
        bounded_log = max(
            self.mean_log - MAXIMUM_DEVIATION_LOG,
            min(self.mean_log + MAXIMUM_DEVIATION_LOG, residual_log),
        )
        self.mean_log = (evidence * self.mean_log + weight * bounded_log) / (evidence + weight)
        self._evidence = min(MAXIMUM_EVIDENCE, evidence + weight)
        self._updated_at = now

    def add_pace_change(self, residual_log: float, now: float) -> None:
        """Add a run's change of pace, which halves the weight of all earlier observations."""
        self._evidence /= 2.0
        self.add_sample(residual_log, 1.0, now)

    def load(self, mean_log: float, evidence: float, now: float) -> None:
        """Restore the speed that the previous holder recorded."""
        self.mean_log = mean_log
        self._evidence = min(MAXIMUM_EVIDENCE, evidence)
        self._updated_at = now

    def refresh(self, kind_log: float, median_log: float, now: float) -> None:
        """Recompute the factor from the worker's mean, its kind's median and the overall median."""
        evidence = self.evidence(now)
        if evidence < MINIMUM_EVIDENCE:
            evidence = 0.0
        weighted_log = evidence * (self.mean_log - median_log) + PRIOR_WEIGHT_RUNS * kind_log
        shrunk_log = weighted_log / (evidence + PRIOR_WEIGHT_RUNS)
        self.factor = 1.0 if abs(shrunk_log) < NEUTRAL_BAND_LOG else math.exp(shrunk_log)


@dataclass(frozen=True, slots=True)
class RestoredSpeed:
    """The speed of one incarnation of a worker as the previous holder recorded it."""

    born_ms: int
    mean_log: float
    evidence: float


class WorkerSpeeds:
    """The learned speeds of a shard's workers."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerSpeed] = {}
        #: Speeds from the previous holder's record, by worker, until the directory lists the
        #: worker.
        self._restored: dict[str, RestoredSpeed] = {}
        self._kind_logs: dict[str, float] = {}
        self._median_log = 0.0

    def set_restored(self, restored: dict[str, RestoredSpeed]) -> None:
        """Store the previous holder's speeds for workers that are not listed yet."""
        self._restored = restored

    def begin_incarnation(self, worker_id: str, born_ms: int, kind: str, now: float) -> WorkerSpeed:
        """Return a new incarnation's speed, initially its restored speed or that of its kind."""
        speed = WorkerSpeed(worker_id, born_ms, kind)
        restored = self._restored.pop(worker_id, None)
        if restored is not None and restored.born_ms == born_ms:
            speed.load(restored.mean_log, restored.evidence, now)
        self.workers[worker_id] = speed
        self._refresh(speed, now)
        return speed

    def forget(self, worker_id: str) -> None:
        """Drop the speed of a worker that has left the cell."""
        self.workers.pop(worker_id, None)

    def factor_of(self, worker_id: str) -> float:
        """Return a worker's factor; 1 for an unknown worker."""
        speed = self.workers.get(worker_id)
        return 1.0 if speed is None else speed.factor

    def refresh(self, now: float) -> None:
        """Recompute the medians of all workers and of each kind, then each worker's factor."""
        by_kind: dict[str, list[float]] = {}
        for speed in self.workers.values():
            if speed.evidence(now) >= MINIMUM_EVIDENCE:
                by_kind.setdefault(speed.kind, []).append(speed.mean_log)
        all_mean_logs = [mean for means in by_kind.values() for mean in means]
        self._median_log = median(all_mean_logs) if len(all_mean_logs) >= MINIMUM_WORKERS else 0.0
        self._kind_logs = {
            kind: median(means) - self._median_log
            for kind, means in by_kind.items()
            if len(means) >= MINIMUM_WORKERS
        }
        for speed in self.workers.values():
            self._refresh(speed, now)

    def _refresh(self, speed: WorkerSpeed, now: float) -> None:
        speed.refresh(self._kind_logs.get(speed.kind, 0.0), self._median_log, now)
