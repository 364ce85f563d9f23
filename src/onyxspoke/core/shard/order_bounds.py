"""Until when earlier holders of a shard may still send orders, as far as a claimant knows.

A holder orders only within the ownership proof after an append that the store has acknowledged, and
the store refuses its appends once it has carried out the next claim.  The safety argument is in
``docs/design/orders-and-leases.md``.
"""

from __future__ import annotations

from enum import Enum

import msgspec

#: A holder sends orders for at most this long after it first sent an append that was acknowledged.
#: All nodes of a cell have to use the same value.
OWNERSHIP_PROOF_SECONDS = 4.0


class OrderBoundBasis(Enum):
    """What a bound on earlier holders' orders rests on.

    ``CLAIM``: the store fenced all earlier holders with our claim.  ``HOLDER_STOPPED``: the latest
    holder is known to have stopped, and its record bounds the holders before it.
    """

    CLAIM = "claim"
    HOLDER_STOPPED = "holder_stopped"


class OrderBound(msgspec.Struct, frozen=True):
    """The time, by our clock, from which no earlier holder sends orders any more."""

    until: float
    basis: OrderBoundBasis

    def seconds_after(self, now: float) -> float:
        """Return for how long after a given time earlier holders may still send orders."""
        return max(0.0, self.until - now)


class ReplacedHolder(msgspec.Struct, frozen=True):
    """What a claimant knows of the holder whose claim it replaces.

    Attributes
    ----------
    token : int
        Fencing token of the replaced claim; 0 if there was none.
    stopped_by : float or None
        A time by which the holder's process had ended or had given the shard up, or ``None`` if
        none is known.
    earlier_orders_seconds : float or None
        For how long after it sent its record the holders before it may have sent orders; ``None``
        if this is unknown.
    """

    token: int = 0
    stopped_by: float | None = None
    earlier_orders_seconds: float | None = None


def bound_earlier_orders(claim_sent_at: float, replaced: ReplacedHolder) -> OrderBound:
    """Return the bound that holds for every earlier holder.

    Parameters
    ----------
    claim_sent_at : float
        When our claim was first sent.  No append of an earlier holder was carried out after that.
    """
    by_claim = claim_sent_at + OWNERSHIP_PROOF_SECONDS
    if replaced.stopped_by is not None and replaced.earlier_orders_seconds is not None:
        by_stop = replaced.stopped_by + replaced.earlier_orders_seconds
        if by_stop < by_claim:
            return OrderBound(by_stop, OrderBoundBasis.HOLDER_STOPPED)
    return OrderBound(by_claim, OrderBoundBasis.CLAIM)
