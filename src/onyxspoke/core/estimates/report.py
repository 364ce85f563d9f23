"""What is known of estimates and workers, for operators."""

from __future__ import annotations

import msgspec

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.speeds import WorkerSpeed
from onyxspoke.core.estimates.work_model import WorkModel

#: A factor that changed by less than this share since it was last told is not told again.
TOLD_CHANGE_SHARE = 0.2
#: Changes told at each look at most; the others follow at later ones.
MAXIMUM_TOLD = 6


class WorkLine(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a queue's work, or of a tenant's in it.

    Attributes
    ----------
    tenant : str
        Empty for the queue as a whole.
    factor, upper_factor : float
        By what estimates are multiplied: for the median, and for the upper quantile.
    jobs : float
        Jobs that tell of exactly this work, as they count now.
    """

    queue: str
    tenant: str
    factor: float
    upper_factor: float
    jobs: float


class SpeedLine(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a worker.

    Attributes
    ----------
    factor : float
        By what times of work there are multiplied.
    runs : float
        Runs that tell of it, as they count now.
    """

    worker_id: str
    kind: str
    factor: float
    runs: float


class EstimatesReport(msgspec.Struct, frozen=True, kw_only=True):
    """All that is known; workers of which nothing is known are left out."""

    works: list[WorkLine]
    workers: list[SpeedLine]


class FactorChange(msgspec.Struct, frozen=True):
    """A factor that changed much: of a queue, of a tenant in it, or of a worker."""

    queue: str
    tenant: str
    worker_id: str
    kind: str
    factor: float
    previous_factor: float
    upper: float
    evidence: float


def describe_estimates(durations: DurationEstimator, now: float) -> EstimatesReport:
    """Return what is known, by name."""
    works = [
        WorkLine(
            queue=work.queue,
            tenant=work.tenant,
            factor=work.factor,
            upper_factor=work.upper_factor,
            jobs=work.sketch.weight(now),
        )
        for work in [*durations.queues.values(), *durations.tenants.values()]
    ]
    workers = [
        SpeedLine(
            worker_id=speed.worker_id,
            kind=speed.kind,
            factor=speed.factor,
            runs=speed.evidence(now),
        )
        for speed in durations.speeds.workers.values()
        if speed.factor != 1.0 or speed.evidence(now) > 0.0
    ]
    works.sort(key=lambda line: (line.queue, line.tenant))
    workers.sort(key=lambda line: line.worker_id)
    return EstimatesReport(works=works, workers=workers)


def take_factor_changes(durations: DurationEstimator, now: float) -> list[FactorChange]:
    """Return the factors that changed much since they were last told, some at a time."""
    changes: list[FactorChange] = []
    for work in [*durations.queues.values(), *durations.tenants.values()]:
        if len(changes) < MAXIMUM_TOLD and _has_changed(work.factor, work.told_factor):
            changes.append(_work_change(work, now))
            work.told_factor = work.factor
    for speed in durations.speeds.workers.values():
        if len(changes) < MAXIMUM_TOLD and _has_changed(speed.factor, speed.told_factor):
            changes.append(_speed_change(speed, now))
            speed.told_factor = speed.factor
    return changes


def _has_changed(factor: float, told: float) -> bool:
    return max(factor, told) > (1.0 + TOLD_CHANGE_SHARE) * min(factor, told)


def _work_change(work: WorkModel, now: float) -> FactorChange:
    return FactorChange(
        queue=work.queue,
        tenant=work.tenant,
        worker_id="",
        kind="",
        factor=work.factor,
        previous_factor=work.told_factor,
        upper=work.upper_factor,
        evidence=work.evidence(now),
    )


def _speed_change(speed: WorkerSpeed, now: float) -> FactorChange:
    return FactorChange(
        queue="",
        tenant="",
        worker_id=speed.worker_id,
        kind=speed.kind,
        factor=speed.factor,
        previous_factor=speed.told_factor,
        upper=speed.factor,
        evidence=speed.evidence(now),
    )
