"""By what callers' estimates of one kind of work are off: a queue's, or a tenant's in a queue."""

from __future__ import annotations

import math

from onyxspoke.core.estimates.sketch import RatioSketch

#: Jobs that must have been seen before a queue's factor counts, ...
LEAST_JOBS = 8.0
#: ... and a tenant's in its queue, which else is the queue's.
LEAST_TENANT_JOBS = 16.0
#: A median so near to the estimate, as a logarithm, is the estimate.
NEAR_LOG = 0.11
#: The quantile that is told as the upper one.
UPPER_SHARE = 0.9
#: Quantiles between which two thirds of what was seen lie.
_LOW_SHARE, _HIGH_SHARE = 0.16, 0.84


class WorkModel:
    """What is known of one kind of work; jobs share it, so that they see each change at once.

    Attributes
    ----------
    queue, tenant : str
        Whose work; the tenant is empty for that of the whole queue.
    parent : WorkModel or None
        The queue's, which counts while too little was seen of the tenant's.
    sketch : RatioSketch
        What was seen, less what workers' speeds explain.
    is_known : bool
        Whether enough was seen of it, or of its queue, for a factor.
    factor : float
        By what its estimates are to be multiplied; 1 exactly where little is known.
    upper_factor : float
        By what they are to be multiplied for the upper quantile; not below the factor.
    spread_log : float
        How far from its median usual work ends, as a logarithm.
    seen_at : float
        When something was last seen, or when it was first looked at; infinity before.
    told_factor : float
        The factor that the log knows.
    """

    __slots__ = (
        "_is_own",
        "_refreshed_at",
        "factor",
        "is_known",
        "parent",
        "queue",
        "seen_at",
        "sketch",
        "spread_log",
        "tenant",
        "told_factor",
        "upper_factor",
    )

    def __init__(self, queue: str, tenant: str = "", parent: WorkModel | None = None) -> None:
        self.queue = queue
        self.tenant = tenant
        self.parent = parent
        self.sketch = RatioSketch()
        self.seen_at = math.inf
        self.told_factor = 1.0
        self._refreshed_at = -math.inf
        self._know_nothing()

    def evidence(self, now: float) -> float:
        """Return how many jobs the factor rests on."""
        if self._is_own or self.parent is None:
            return self.sketch.weight(now)
        return self.parent.evidence(now)

    def note(self, log_ratio: float, weight: float, now: float) -> None:
        """Take in how one task compared with its estimate, for the queue as well."""
        self.sketch.add(log_ratio, weight, now)
        self.seen_at = now
        if self.parent is not None:
            self.parent.note(log_ratio, weight, now)

    def refresh(self, now: float) -> None:
        """Work the factor out anew from what was seen; a tenant's after its queue's."""
        self.seen_at = min(self.seen_at, now)
        least = LEAST_JOBS if self.parent is None else LEAST_TENANT_JOBS
        if self.sketch.weight(now) < least:
            self._know_nothing()
            self._refreshed_at = -math.inf
            return
        if self.seen_at <= self._refreshed_at:
            return
        self._refreshed_at = now
        self._is_own = self.is_known = True
        self.factor = _factor_of(self.sketch.quantile(0.5))
        self.upper_factor = max(self.factor, _factor_of(self.sketch.quantile(UPPER_SHARE)))
        spread = self.sketch.quantile(_HIGH_SHARE) - self.sketch.quantile(_LOW_SHARE)
        self.spread_log = spread / 2.0

    def _know_nothing(self) -> None:
        """Take what is known of the queue, or the estimates as they are."""
        parent = self.parent
        self._is_own = False
        self.is_known = parent is not None and parent.is_known
        self.factor = 1.0 if parent is None else parent.factor
        self.upper_factor = 1.0 if parent is None else parent.upper_factor
        self.spread_log = 0.0 if parent is None else parent.spread_log


def _factor_of(log_ratio: float) -> float:
    return 1.0 if abs(log_ratio) < NEAR_LOG else math.exp(log_ratio)


#: Of work of which nothing is learned.
DEFAULT_WORK_MODEL = WorkModel("")


def default_work_model(_queue: str, _tenant: str) -> WorkModel:
    """Return the model of work of which nothing is learned."""
    return DEFAULT_WORK_MODEL
