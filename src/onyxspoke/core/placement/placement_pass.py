"""State that the components of one placement pass share."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.placement.preemption import PreemptionCandidates
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
        What each tenant may still start within its quota.
    now : float
        The time of the pass.
    capacity : ScratchCapacity
        The free capacity of the workers, less what the pass has already used or reserved.
    is_speed_aware : bool
        Whether the speeds of workers affect the choice among them.
    preemption_candidates : PreemptionCandidates
        The runs that may be preempted on each worker.
    """

    policy: PolicySet
    quotas: QuotaBudget
    now: float
    capacity: ScratchCapacity = field(default_factory=ScratchCapacity)
    is_speed_aware: bool = True
    preemption_candidates: PreemptionCandidates = field(init=False)

    def __post_init__(self) -> None:
        self.preemption_candidates = PreemptionCandidates(self.policy, self.now)
