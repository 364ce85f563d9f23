"""Which nodes are to take over from a holder, told to its peers in good time."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.net.stream import encode_message
from onyxspoke.node.messages import Members
from onyxspoke.node.peers import PeerLink

#: Nodes that are named for each shard; the others wait longer than any of them.
SUCCESSOR_COUNT = 8
#: A node that has been connected for this time knows the holder, and follows it.
FOLLOWING_SECONDS = 0.5
#: A change of the number of nodes by up to this share is not worth a message to all.
COUNT_TOLERANCE = 0.1


def choose_successors(shard: ShardId, links: list[PeerLink]) -> list[NodeIdentity]:
    """Return the nodes that are to take over, in order.

    Larger ones come first; among those of a size the order differs by shard, so that one node
    does not inherit every shard of another.
    """
    able = [link.identity for link in links if link.identity is not None and link.may_hold]
    return sorted(able, key=lambda node: (-node.weight, _draw(shard, node)))[:SUCCESSOR_COUNT]


def can_take_over(link: PeerLink, now: float, connected_seconds: float) -> bool:
    """Return whether a peer that has been connected for so long could hold a shard now."""
    return (
        link.may_hold
        and link.can_reach_store
        and not link.is_isolated
        and link.configuration_version > 0
        and now - link.up_at >= connected_seconds
    )


def has_successor(links: list[PeerLink], now: float) -> bool:
    """Return whether a peer can take shards over from a node that stops."""
    return any(can_take_over(link, now, FOLLOWING_SECONDS) for link in links)


def _draw(shard: ShardId, node: NodeIdentity) -> int:
    return zlib.crc32(f"{shard}/{node.incarnation}".encode())


class Succession:
    """Tells the peers of a holder who is to take over, when that changes."""

    def __init__(self) -> None:
        self._is_due = False
        self._told: dict[ShardId, _Told] = {}

    def note_change(self) -> None:
        """Take note that a peer has come, gone or changed."""
        self._is_due = True

    def take_news(
        self, held: list[ShardId], links: list[PeerLink]
    ) -> list[tuple[Members, list[PeerLink]]]:
        """Return what is to be told now, and to whom: the new peers, or all of them."""
        if not self._is_due or not held:
            return []
        self._is_due = False
        self._told = {shard: told for shard, told in self._told.items() if shard in held}
        return [news for shard in held if (news := self._take_news_of(shard, links)) is not None]

    def _take_news_of(
        self, shard: ShardId, links: list[PeerLink]
    ) -> tuple[Members, list[PeerLink]] | None:
        members = choose_successors(shard, links)
        node_count = len(links) + 1
        told = self._told.get(shard)
        lives = {link.identity.incarnation for link in links if link.identity is not None}
        if told is None or told.is_outdated(members, node_count):
            self._told[shard] = _Told(members, node_count, lives)
            return Members(shard, members, node_count), links
        new = [
            link for link in links if link.identity and link.identity.incarnation not in told.lives
        ]
        told.lives = lives
        return (Members(shard, members, node_count), new) if new else None


@dataclass(slots=True)
class _Told:
    """What was told of one shard, and to which lives."""

    members: list[NodeIdentity]
    node_count: int
    lives: set[str]

    def is_outdated(self, members: list[NodeIdentity], node_count: int) -> bool:
        """Return whether everybody is to be told again."""
        change = abs(node_count - self.node_count)
        return members != self.members or change > COUNT_TOLERANCE * self.node_count


def tell_successors(links: list[PeerLink], message: Members) -> None:
    """Tell peers who is to take over."""
    data = encode_message(message)
    for link in links:
        link.send_encoded(data)
