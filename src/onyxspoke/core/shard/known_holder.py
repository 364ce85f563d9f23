"""What a node knows of a shard's latest holder, and when that holder stopped ordering."""

from __future__ import annotations

import math

from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.log_records import ClaimRecord
from onyxspoke.core.shard.order_bounds import ReplacedHolder


class KnownHolder:
    """The latest known claim of a shard, and a time by which its holder had stopped ordering.

    Attributes
    ----------
    claim : ClaimRecord or None
        The latest known claim.
    """

    def __init__(self) -> None:
        self.claim: ClaimRecord | None = None
        self._known_since = -math.inf
        self._stopped_by: float | None = None

    def adopt(self, claim: ClaimRecord, now: float) -> None:
        """Take a newer claim; nothing is known of its holder yet."""
        self.claim = claim
        self._known_since = now
        self._stopped_by = None

    def renew(self, claim: ClaimRecord | None) -> None:
        """Take another version of the known claim's record; any version bounds earlier orders."""
        if claim is not None and self.claim is not None and claim.token == self.claim.token:
            self.claim = claim

    def note_stopped(self, by: float) -> None:
        """Record that the holder's process had ended, or had given the shard up, by a time."""
        self._stopped_by = by

    def note_own_process(self, own: NodeIdentity, started_at: float) -> None:
        """Handle that the claim is from our host: an earlier process at our address has ended."""
        claim = self.claim
        assert claim is not None
        if claim.incarnation != own.incarnation and claim.port == own.port:
            self._stopped_by = started_at

    def note_other_process(self, port: int, stream_opened_at: float, now: float) -> None:
        """Handle that another process than the holder's answers at the holder's host.

        At another port it is another node, behind the same translation of addresses.  On a stream
        that was opened before the claim was known, it may be the process before the holder's.
        """
        is_at_address = self.claim is not None and self.claim.port == port
        if is_at_address and stream_opened_at > self._known_since:
            self._stopped_by = now

    def describe(self) -> ReplacedHolder:
        """Return what a claimant that replaces this holder knows of it."""
        if self.claim is None:
            return ReplacedHolder()
        return ReplacedHolder(self.claim.token, self._stopped_by, self.claim.earlier_orders_seconds)
