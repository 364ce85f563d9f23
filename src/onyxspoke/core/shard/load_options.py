"""What a holder does when there is too little room; each part can be switched off by itself."""

from __future__ import annotations

import msgspec


class LoadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Parts that answer hard load.

    Attributes
    ----------
    admission : bool
        Refuse at once, with when to come back, what can't be done in time.
    advice_shares : bool
        Give tenants and queues shares of the line for advice.
    learned_estimates : bool
        Correct callers' estimates by what was seen of queues, tenants and workers.
    unlike_workers : bool
        Send steps that are short of time to fast workers, others to slow ones, and gangs to workers
        of like speed.
    summary_trust_seconds : float
        For how long an entry that reaches no holder refuses by what the last one said; 0: never.
    """

    admission: bool = False
    advice_shares: bool = True
    learned_estimates: bool = True
    unlike_workers: bool = True
    summary_trust_seconds: float = 5.0
