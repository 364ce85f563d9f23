"""Options for a holder under overload; each mechanism can be disabled on its own."""

from __future__ import annotations

import msgspec


class LoadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Mechanisms that a holder uses under overload.

    Attributes
    ----------
    admission : bool
        Refuse jobs at once if they cannot finish in time, and state when the caller should retry.
    advice_shares : bool
        Share the advice queue fairly between tenants and queues.
    learned_estimates : bool
        Correct callers' estimates by the durations observed for queues, tenants and workers.
    unlike_workers : bool
        Place steps that are short of time on fast workers and others on slow ones, and gangs on
        workers of similar speed.
    summary_trust_seconds : float
        For how long an entry that reaches no holder refuses jobs according to the last holder's
        summary; 0 means that it refuses none.
    """

    admission: bool = False
    advice_shares: bool = True
    learned_estimates: bool = True
    unlike_workers: bool = True
    summary_trust_seconds: float = 5.0
