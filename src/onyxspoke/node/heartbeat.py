"""What a node tells its peers, and how often.

A heartbeat names the claims that its sender holds, and of the others only those that have
changed lately: so its size does not grow with the number of shards.  The first one on a stream
names every claim that the sender knows.
"""

from __future__ import annotations

from onyxspoke.core.shard.log_records import ClaimRecord, ShardId

HEARTBEAT_SECONDS = 0.2
#: In a cell of more nodes, followers send their heartbeats less often in proportion.
NODES_AT_FULL_RATE = 50
#: A claim that has changed is named for so long, and in two heartbeats at least.
NEWS_SECONDS = 1.0
NEWS_INTERVALS = 2.5


class HeartbeatSchedule:
    """When heartbeats are due, and which claims they name."""

    def __init__(self) -> None:
        self.node_count = 1
        self._due_at = 0.0
        self._changed_at: dict[ShardId, float] = {}

    def interval(self, is_holding: bool) -> float:
        """Return how often heartbeats go out: a holder's are what its followers wait for."""
        if is_holding:
            return HEARTBEAT_SECONDS
        return HEARTBEAT_SECONDS * max(1.0, self.node_count / NODES_AT_FULL_RATE)

    def take_due(self, is_holding: bool, now: float) -> bool:
        """Return whether a heartbeat is to be sent now."""
        if now + HEARTBEAT_SECONDS / 2 < self._due_at:
            return False
        self._due_at = now + self.interval(is_holding)
        return True

    def note_claim_changed(self, shard: ShardId, now: float) -> None:
        """Take note that a shard has another holder."""
        self._changed_at[shard] = now

    def select(
        self,
        claims: dict[ShardId, ClaimRecord],
        held: list[ShardId],
        is_first: bool,
        now: float,
    ) -> list[tuple[ShardId, ClaimRecord]]:
        """Return the claims to be named."""
        news_seconds = max(NEWS_SECONDS, NEWS_INTERVALS * self.interval(bool(held)))
        return [
            (shard, claim)
            for shard, claim in claims.items()
            if is_first
            or shard in held
            or now - self._changed_at.get(shard, -news_seconds) < news_seconds
        ]
