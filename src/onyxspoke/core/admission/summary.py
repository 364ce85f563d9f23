"""What a holder tells the entries of its queues, with its heartbeats.

Only the holder knows which jobs it has taken, so an entry that reaches it always asks it.  An entry
that does not goes by the summary: it answers at once, and tells when to come back.
"""

from __future__ import annotations

import msgspec


class QueueNotice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A queue that takes nothing for a while.

    Attributes
    ----------
    closed_seconds : float
        For how much longer, from when the summary was made.
    tenants : tuple of str
        For whose jobs; empty for everybody's.
    """

    queue: str
    closed_seconds: float
    tenants: tuple[str, ...] = ()


class AdmissionSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The queues of one shard that are closed; a queue that is not named is open.

    Attributes
    ----------
    token : int
        Fencing token of the holder that made it; one of an earlier holder counts for nothing.
    age_seconds : float
        How old it was when it was sent.
    """

    token: int
    age_seconds: float = 0.0
    notices: tuple[QueueNotice, ...] = ()
