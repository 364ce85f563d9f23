"""What a node that stops does with its shards: it leaves them to nodes that can take them.

Where all nodes of a cell stop within the grace of the first, the holder goes on, so that callers
are served until another node has come back.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from onyxspoke.core.shard.actions import StepDownReason
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.node.peers import PeerLinks
from onyxspoke.node.seat import ShardSeat
from onyxspoke.node.succession import has_successor

#: Callers depend on a holder to which a call came within this time.
DEMAND_SECONDS = 1.0


class ShardHandover:
    """Hands the shards of a stopping node over.

    Parameters
    ----------
    peers : PeerLinks
        Streams to the other nodes.
    seats : mapping
        The node's part in each shard; more shards may be added.
    """

    def __init__(self, peers: PeerLinks, seats: Mapping[ShardId, ShardSeat]) -> None:
        self._peers = peers
        self._seats = seats
        self.has_begun = False
        self._is_closed = False
        self._had_peers = False
        #: When a call last came, from a client or from another node.
        self._called_at = -math.inf

    def note_call(self, now: float) -> None:
        """Take note of a call."""
        self._called_at = now

    def begin(self) -> None:
        """Take note that the node stops; :meth:`update` does what follows from it."""
        self.has_begun = True
        self._had_peers = bool(self._peers.up_links())

    def close(self, now: float) -> None:
        """Claim no shard any more, because the process ends soon."""
        self._is_closed = True
        self.update(now)

    def give_up_all(self) -> None:
        """Give all shards up."""
        for seat in list(self._seats.values()):
            seat.step_down(StepDownReason.PLANNED)

    def update(self, now: float) -> None:
        """Hold shards only as long as no other node can take them over.

        Without any peer this node claims none: it may be cut off from nodes that serve the shard.
        """
        if not self.has_begun:
            return
        links = self._peers.up_links()
        is_replaced = has_successor(links, now)
        may_claim = bool(links) and not is_replaced and not self._is_closed
        for seat in list(self._seats.values()):
            seat.election.set_claims_allowed(may_claim, now)
            seat.carry_out_election()
        if is_replaced:
            self.give_up_all()

    def is_needed(self, now: float) -> bool:
        """Return whether callers depend on a shard held here, which another node may take soon."""
        was_called = now - self._called_at < DEMAND_SECONDS
        is_holding = any(seat.is_holding for seat in self._seats.values())
        return self._had_peers and was_called and is_holding
