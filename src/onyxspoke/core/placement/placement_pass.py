"""State that the components of one placement pass share."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.placement.room import ScratchRoom
from onyxspoke.core.tenants.ledger import QuotaPass


@dataclass(slots=True)
class PlacementPass:
    """One pass over the waiting steps.

    Attributes
    ----------
    policy : PolicySet
        The configuration in force.
    quotas : QuotaPass
        What each tenant may still start within its quota.
    now : float
        The time of the pass.
    room : ScratchRoom
        The free capacity of the workers, less what the pass has already used or reserved.
    minds_speed : bool
        Whether the speeds of workers affect the choice among them.
    """

    policy: PolicySet
    quotas: QuotaPass
    now: float
    room: ScratchRoom = field(default_factory=ScratchRoom)
    minds_speed: bool = True
