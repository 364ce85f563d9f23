"""What the parts of one pass of placement share."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.tenants.quota_usage import QuotaBudget


@dataclass(slots=True)
class PlacementPass:
    """One pass over the waiting steps.

    Attributes
    ----------
    policy : PolicySet
        The configuration in force.
    quotas : QuotaBudget
        What tenants may still start.
    now : float
        The moment of the pass.
    capacity : ScratchCapacity
        What the pass has taken or held so far.
    is_speed_aware : bool
        Whether workers' speeds count.
    """

    policy: PolicySet
    quotas: QuotaBudget
    now: float
    capacity: ScratchCapacity = field(default_factory=ScratchCapacity)
    is_speed_aware: bool = True
