"""What a node tells its peers, and how often.

A heartbeat names the claims that its sender holds, and of the others only those that have
changed lately: so its size does not grow with the number of shards.  The first one on a stream
names every claim that the sender knows.

In a large cell a holder's heartbeats go out at the full rate only to the nodes that are to take
over from it, because only they have to notice soon that it is gone.  The others hear of the new
holder from the other holders, at once.
"""

from __future__ import annotations

from onyxspoke.core.shard.log_records import ClaimRecord, ShardId
from onyxspoke.node.peers import PeerLink

HEARTBEAT_SECONDS = 0.2
#: In a cell of more nodes, heartbeats go out less often in proportion ...
NODES_AT_FULL_RATE = 50
#: ... but a holder's so often at least.
LONGEST_HOLDER_SECONDS = 1.0
#: A claim that has changed is named for so long, and in two heartbeats at least.
NEWS_SECONDS = 1.0
NEWS_INTERVALS = 2.5
#: Changes within so long of each other are told together.
NEWS_PAUSE_SECONDS = 0.02


class HeartbeatSchedule:
    """When heartbeats are due, and which claims they name."""

    def __init__(self) -> None:
        self.node_count = 1
        self._changed_at: dict[ShardId, float] = {}
        self._news_since: float | None = None

    def interval(self, is_holding: bool, is_successor: bool) -> float:
        """Return how often heartbeats go out to a peer."""
        spaced = HEARTBEAT_SECONDS * max(1.0, self.node_count / NODES_AT_FULL_RATE)
        if not is_holding:
            return spaced
        return HEARTBEAT_SECONDS if is_successor else min(spaced, LONGEST_HOLDER_SECONDS)

    def select_due(self, links: list[PeerLink], now: float) -> list[PeerLink]:
        """Return the streams on which a heartbeat is due."""
        return [link for link in links if now + HEARTBEAT_SECONDS / 2 >= link.heartbeat_due_at]

    def note_claim_changed(self, shard: ShardId, now: float) -> None:
        """Take note that a shard has another holder."""
        self._changed_at[shard] = now
        if self.node_count > NODES_AT_FULL_RATE and self._news_since is None:
            self._news_since = now

    def take_news(self, now: float) -> bool:
        """Return whether changes are to be told without waiting for the next heartbeat."""
        if self._news_since is None or now - self._news_since < NEWS_PAUSE_SECONDS:
            return False
        self._news_since = None
        return True

    def select_claims(
        self,
        claims: dict[ShardId, ClaimRecord],
        held: list[ShardId],
        is_first: bool,
        now: float,
    ) -> list[tuple[ShardId, ClaimRecord]]:
        """Return the claims to be named."""
        interval = self.interval(bool(held), is_successor=False)
        news_seconds = max(NEWS_SECONDS, NEWS_INTERVALS * interval)
        return [
            (shard, claim)
            for shard, claim in claims.items()
            if is_first
            or shard in held
            or now - self._changed_at.get(shard, -news_seconds) < news_seconds
        ]
