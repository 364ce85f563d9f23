"""Reports learned estimates and worker speeds to operators."""

from __future__ import annotations

import msgspec

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.speeds import WorkerSpeed
from onyxspoke.core.estimates.work_model import WorkModel

#: A factor is logged again only if it changed by more than this share since the last time.
MINIMUM_CHANGE_SHARE = 0.2
#: Maximum number of changes returned by one call; later calls return the others.
MAXIMUM_CHANGES_PER_CALL = 6


class WorkReport(msgspec.Struct, frozen=True, kw_only=True):
    """The learned factors of a queue, or of a tenant in a queue.

    Attributes
    ----------
    tenant : str
        Empty for the queue as a whole.
    factor, upper_factor : float
        Factors by which estimates are multiplied for the median and for the upper quantile.
    jobs : float
        Decayed number of observed jobs of this queue and tenant.
    """

    queue: str
    tenant: str
    factor: float
    upper_factor: float
    jobs: float


class WorkerSpeedReport(msgspec.Struct, frozen=True, kw_only=True):
    """The learned speed of a worker.

    Attributes
    ----------
    factor : float
        Factor by which durations on this worker are multiplied.
    runs : float
        Decayed number of observed runs on this worker.
    """

    worker_id: str
    kind: str
    factor: float
    runs: float


class EstimatesReport(msgspec.Struct, frozen=True, kw_only=True):
    """All learned factors; workers without observations are omitted."""

    works: list[WorkReport]
    workers: list[WorkerSpeedReport]


class FactorChange(msgspec.Struct, frozen=True):
    """A large change of the factor of a queue, of a tenant in a queue, or of a worker."""

    queue: str
    tenant: str
    worker_id: str
    kind: str
    factor: float
    previous_factor: float
    upper: float
    evidence: float


def describe_estimates(durations: DurationEstimator, now: float) -> EstimatesReport:
    """Return all learned factors, sorted by name."""
    works = [
        WorkReport(
            queue=work.queue,
            tenant=work.tenant,
            factor=work.factor,
            upper_factor=work.upper_factor,
            jobs=work.sketch.weight(now),
        )
        for work in [*durations.queues.values(), *durations.tenants.values()]
    ]
    workers = [
        WorkerSpeedReport(
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
    """Return factors that changed much since they were last logged, and mark them as logged."""
    changes: list[FactorChange] = []
    for work in [*durations.queues.values(), *durations.tenants.values()]:
        if len(changes) < MAXIMUM_CHANGES_PER_CALL and _has_changed(
            work.factor, work.logged_factor
        ):
            changes.append(_work_change(work, now))
            work.logged_factor = work.factor
    for speed in durations.speeds.workers.values():
        if len(changes) < MAXIMUM_CHANGES_PER_CALL and _has_changed(
            speed.factor, speed.logged_factor
        ):
            changes.append(_speed_change(speed, now))
            speed.logged_factor = speed.factor
    return changes


def _has_changed(factor: float, logged_factor: float) -> bool:
    return max(factor, logged_factor) > (1.0 + MINIMUM_CHANGE_SHARE) * min(factor, logged_factor)


def _work_change(work: WorkModel, now: float) -> FactorChange:
    return FactorChange(
        queue=work.queue,
        tenant=work.tenant,
        worker_id="",
        kind="",
        factor=work.factor,
        previous_factor=work.logged_factor,
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
        previous_factor=speed.logged_factor,
        upper=speed.factor,
        evidence=speed.evidence(now),
    )
