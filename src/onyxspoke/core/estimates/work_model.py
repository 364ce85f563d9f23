"""Learns the error of callers' estimates for a queue, or for a tenant in a queue."""

from __future__ import annotations

import math

from onyxspoke.core.estimates.sketch import RatioSketch

#: Observed jobs that are needed before a queue has a factor.
MINIMUM_JOBS = 8.0
#: Observed jobs that are needed before a tenant has its own factor instead of its queue's.
MINIMUM_TENANT_JOBS = 16.0
#: A ratio counts as 1 if the absolute value of its logarithm is below this.
NEUTRAL_BAND_LOG = 0.11
#: The quantile that ``upper_factor`` stands for.
UPPER_QUANTILE = 0.9
#: About two thirds of the observations lie between these quantiles.
_LOW_QUANTILE, _HIGH_QUANTILE = 0.16, 0.84


class WorkModel:
    """The learned error of estimates for a queue or tenant.

    All its jobs share one model, so that a change applies to them at once.

    Attributes
    ----------
    queue, tenant : str
        The modelled queue and tenant; the tenant is empty for the whole queue.
    parent : WorkModel or None
        The queue's model, which is used while the tenant has too few observations.
    sketch : RatioSketch
        Observed ratios of actual to estimated durations, corrected for workers' speeds.
    is_known : bool
        Whether this model or its parent has enough observations for a factor.
    factor : float
        Factor by which estimates are multiplied; exactly 1 unless ``is_known``.
    upper_factor : float
        Factor by which estimates are multiplied for the upper quantile; at least ``factor``.
    spread_log : float
        Half the range between the low and the high quantile, as a logarithm.
    seen_at : float
        Time of the last observation, or of the first refresh; infinity before both.
    logged_factor : float
        The factor that was last written to the log.
    """

    __slots__ = (
        "_refreshed_at",
        "_uses_own_factor",
        "factor",
        "is_known",
        "logged_factor",
        "parent",
        "queue",
        "seen_at",
        "sketch",
        "spread_log",
        "tenant",
        "upper_factor",
    )

    def __init__(self, queue: str, tenant: str = "", parent: WorkModel | None = None) -> None:
        self.queue = queue
        self.tenant = tenant
        self.parent = parent
        self.sketch = RatioSketch()
        self.seen_at = math.inf
        self.logged_factor = 1.0
        self._refreshed_at = -math.inf
        self._inherit_factor()

    def evidence(self, now: float) -> float:
        """Return the decayed number of jobs that the factor is derived from."""
        if self._uses_own_factor or self.parent is None:
            return self.sketch.weight(now)
        return self.parent.evidence(now)

    def add_sample(self, log_ratio: float, weight: float, now: float) -> None:
        """Add one observed ratio to this model and to its parent."""
        self.sketch.add(log_ratio, weight, now)
        self.seen_at = now
        if self.parent is not None:
            self.parent.add_sample(log_ratio, weight, now)

    def refresh(self, now: float) -> None:
        """Recompute the factors; a parent must be refreshed before its children."""
        self.seen_at = min(self.seen_at, now)
        minimum_jobs = MINIMUM_JOBS if self.parent is None else MINIMUM_TENANT_JOBS
        if self.sketch.weight(now) < minimum_jobs:
            self._inherit_factor()
            self._refreshed_at = -math.inf
            return
        if self.seen_at <= self._refreshed_at:
            return
        self._refreshed_at = now
        self._uses_own_factor = self.is_known = True
        self.factor = _factor_of(self.sketch.quantile(0.5))
        self.upper_factor = max(self.factor, _factor_of(self.sketch.quantile(UPPER_QUANTILE)))
        quantile_range = self.sketch.quantile(_HIGH_QUANTILE) - self.sketch.quantile(_LOW_QUANTILE)
        self.spread_log = quantile_range / 2.0

    def _inherit_factor(self) -> None:
        """Use the parent's factors, or 1 without a parent."""
        parent = self.parent
        self._uses_own_factor = False
        self.is_known = parent is not None and parent.is_known
        self.factor = 1.0 if parent is None else parent.factor
        self.upper_factor = 1.0 if parent is None else parent.upper_factor
        self.spread_log = 0.0 if parent is None else parent.spread_log


def _factor_of(log_ratio: float) -> float:
    return 1.0 if abs(log_ratio) < NEUTRAL_BAND_LOG else math.exp(log_ratio)


#: The model that leaves callers' estimates unchanged.
DEFAULT_WORK_MODEL = WorkModel("")


def default_work_model(_queue: str, _tenant: str) -> WorkModel:
    """Return the model that leaves callers' estimates unchanged."""
    return DEFAULT_WORK_MODEL
