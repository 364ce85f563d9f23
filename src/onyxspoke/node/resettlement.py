"""When a node leaves its shards to a larger one.

After many deaths a small node may have taken a shard over.  What a holder does grows with its
workers and with what waits, so a node with a fraction of the processor falls behind for good, and
everything that it decides comes late.
"""

from __future__ import annotations

from onyxspoke.node.peers import PeerLink
from onyxspoke.node.succession import can_take_over

#: A node leaves its shards to one whose processor is so many times as large.
LARGER_FACTOR = 2.0
#: Both have been there for so long, in seconds: a node that has just come may go again, and a
#: change of holder costs up to a second.
STEADY_SECONDS = 2.0


def has_larger_peer(own_weight: float, links: list[PeerLink], now: float) -> bool:
    """Return whether a node that is much larger than this one is there to take a shard over."""
    return any(
        link.identity is not None
        and link.identity.weight >= LARGER_FACTOR * own_weight
        and can_take_over(link, now, STEADY_SECONDS)
        for link in links
    )
