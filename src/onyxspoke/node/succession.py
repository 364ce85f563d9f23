"""Which nodes are to take over from a holder, told to its peers in good time."""

from __future__ import annotations

import zlib

from onyxspoke.core.shard.election import NodeIdentity
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.net.stream import encode_message
from onyxspoke.node.messages import Members
from onyxspoke.node.peers import PeerLink

#: Nodes that are named for each shard; the others wait longer than any of them.
SUCCESSOR_COUNT = 8


def choose_successors(shard: ShardId, links: list[PeerLink]) -> list[NodeIdentity]:
    """Return the nodes that are to take over, in order.

    Larger ones come first; among those of a size the order differs by shard, so that one node
    does not inherit every shard of another.
    """
    able = [link.identity for link in links if link.identity is not None and link.may_hold]
    return sorted(able, key=lambda node: (-node.weight, _draw(shard, node)))[:SUCCESSOR_COUNT]


def _draw(shard: ShardId, node: NodeIdentity) -> int:
    return zlib.crc32(f"{shard}/{node.life}".encode())


class Succession:
    """Tells the peers of a holder who is to take over, when that changes."""

    def __init__(self) -> None:
        self._is_due = False

    def note_change(self) -> None:
        """Take note that a peer has come, gone or changed."""
        self._is_due = True

    def take_news(
        self, held: list[ShardId], links: list[PeerLink]
    ) -> dict[ShardId, list[NodeIdentity]]:
        """Return the successors in each held shard, if they are to be told now."""
        if not self._is_due or not held:
            return {}
        self._is_due = False
        return {shard: choose_successors(shard, links) for shard in held}


def tell_successors(links: list[PeerLink], shard: ShardId, successors: list[NodeIdentity]) -> None:
    """Tell the peers."""
    data = encode_message(Members(shard, successors, node_count=len(links) + 1))
    for link in links:
        link.send_encoded(data)
