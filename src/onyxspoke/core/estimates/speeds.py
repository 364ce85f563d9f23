"""How much longer than usual each worker takes for its work."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median

#: What was seen of a worker counts half after so long, in seconds.
HALF_LIFE_SECONDS = 60.0
#: Runs' worth of evidence that pull a worker towards its kind.
PRIOR_RUNS = 4.0
#: Runs' worth of evidence that are kept of a worker at most, so that it may change.
LARGEST_EVIDENCE = 20.0
#: With less of it, nothing is said of a worker but what is known of its kind.
LEAST_EVIDENCE = 1.0
#: One observation moves a worker's mean as if it were no farther from it than this logarithm, so
#: that a task with a long tail doesn't make its worker slow.
REACH_LOG = 0.7
#: A worker so near to the others, as a logarithm, is as they are.
NEAR_LOG = 0.18
#: Workers of which enough must be known before a kind, or all together, have a mean.
LEAST_WORKERS = 4


class WorkerSpeed:
    """What is known of one life of a worker.

    Attributes
    ----------
    kind : str
        Its kind by the directory; empty where there is none.
    factor : float
        By what times of work on it are to be multiplied; 1 exactly where little is known.
    mean_log : float
        Mean of what its runs took beyond what was expected elsewhere, as a logarithm.
    told_factor : float
        The factor that the log knows.
    """

    __slots__ = (
        "_evidence",
        "_updated_at",
        "born_ms",
        "factor",
        "kind",
        "mean_log",
        "told_factor",
        "worker_id",
    )

    def __init__(self, worker_id: str = "", born_ms: int = 0, kind: str = "") -> None:
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.kind = kind
        self.factor = 1.0
        self.mean_log = 0.0
        self.told_factor = 1.0
        self._evidence = 0.0
        self._updated_at = 0.0

    @property
    def log(self) -> float:
        """The factor's logarithm."""
        return math.log(self.factor)

    def evidence(self, now: float) -> float:
        """Return how many runs its mean rests on, as they count now."""
        elapsed = max(0.0, now - self._updated_at)
        return float(self._evidence * 0.5 ** (elapsed / HALF_LIFE_SECONDS))

    def note(self, residual_log: float, weight: float, now: float) -> None:
        """Take in how one run compared with what was expected on a usual worker."""
        evidence = self.evidence(now)
        bounded = max(self.mean_log - REACH_LOG, min(self.mean_log + REACH_LOG, residual_log))
        self.mean_log = (evidence * self.mean_log + weight * bounded) / (evidence + weight)
        self._evidence = min(LARGEST_EVIDENCE, evidence + weight)
        self._updated_at = now

    def note_change(self, residual_log: float, now: float) -> None:
        """Take in that a run's pace has changed: what was seen before it counts half."""
        self._evidence /= 2.0
        self.note(residual_log, 1.0, now)

    def load(self, mean_log: float, evidence: float, now: float) -> None:
        """Take over what a former holder knew."""
        self.mean_log = mean_log
        self._evidence = min(LARGEST_EVIDENCE, evidence)
        self._updated_at = now

    def refresh(self, kind_log: float, usual_log: float, now: float) -> None:
        """Work the factor out anew, from its kind's mean and that of all workers."""
        evidence = self.evidence(now)
        if evidence < LEAST_EVIDENCE:
            evidence = 0.0
        own = evidence * (self.mean_log - usual_log) + PRIOR_RUNS * kind_log
        shrunk = own / (evidence + PRIOR_RUNS)
        self.factor = 1.0 if abs(shrunk) < NEAR_LOG else math.exp(shrunk)


@dataclass(frozen=True, slots=True)
class KeptSpeed:
    """What a former holder knew of one life of a worker."""

    born_ms: int
    mean_log: float
    evidence: float


class Speeds:
    """The speeds of a shard's workers, one for each."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerSpeed] = {}
        #: By worker, until it is listed.
        self._kept: dict[str, KeptSpeed] = {}
        self._kind_logs: dict[str, float] = {}
        self._usual_log = 0.0

    def keep_for_later(self, kept: dict[str, KeptSpeed]) -> None:
        """Take over what a former holder knew, for workers that are yet to be listed."""
        self._kept = kept

    def begin_incarnation(self, worker_id: str, born_ms: int, kind: str, now: float) -> WorkerSpeed:
        """Return what is known of a life that begins, or is first heard of: its kind's speed."""
        speed = WorkerSpeed(worker_id, born_ms, kind)
        kept = self._kept.pop(worker_id, None)
        if kept is not None and kept.born_ms == born_ms:
            speed.load(kept.mean_log, kept.evidence, now)
        self.workers[worker_id] = speed
        self._refresh(speed, now)
        return speed

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that is gone."""
        self.workers.pop(worker_id, None)

    def factor_of(self, worker_id: str) -> float:
        """Return a worker's factor; 1 for one that is not known."""
        speed = self.workers.get(worker_id)
        return 1.0 if speed is None else speed.factor

    def refresh(self, now: float) -> None:
        """Work out anew what is usual, of each kind and of all, and each worker's factor."""
        by_kind: dict[str, list[float]] = {}
        for speed in self.workers.values():
            if speed.evidence(now) >= LEAST_EVIDENCE:
                by_kind.setdefault(speed.kind, []).append(speed.mean_log)
        everyone = [mean for means in by_kind.values() for mean in means]
        self._usual_log = median(everyone) if len(everyone) >= LEAST_WORKERS else 0.0
        self._kind_logs = {
            kind: median(means) - self._usual_log
            for kind, means in by_kind.items()
            if len(means) >= LEAST_WORKERS
        }
        for speed in self.workers.values():
            self._refresh(speed, now)

    def _refresh(self, speed: WorkerSpeed, now: float) -> None:
        speed.refresh(self._kind_logs.get(speed.kind, 0.0), self._usual_log, now)
