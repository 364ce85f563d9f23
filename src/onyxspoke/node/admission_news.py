"""Which heartbeats carry the summaries of the shards that this node holds.

Nothing is told while every queue is open.  A peer that was told of a closed queue is told once that
it is open again; if that is lost, the time that was told runs out.  What all peers together are
told keeps to a rate: the more peers, the rarer each hears it, and the shorter a summary.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from onyxspoke.core.admission.summary import (
    MAX_SUMMARY_BYTES,
    AdmissionSummary,
    summary_size_bytes,
    truncate_summary,
)
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.node.peers import PeerLink

#: What a node sends of summaries to all its peers together; unused bytes are kept for a second.
SUMMARY_BYTES_A_SECOND = 5_000.0
#: Summaries are cut so short that every peer hears them within so long ...
ROUND_SECONDS = 2.0
#: ... but not shorter, so that a few queues are always told.
SHORTEST_SUMMARY_BYTES = 96

ShardSummary = tuple[ShardId, AdmissionSummary]
#: Returns a shard's summary at a moment, if there is one.
Source = Callable[[float], AdmissionSummary | None]


class AdmissionNews:
    """The summaries as they are now, and who is due to hear them."""

    def __init__(self) -> None:
        self._summaries: list[ShardSummary] = []
        self._size = 0
        self._is_closed = False
        #: Between two tellings to one peer, so that all get their turn.
        self._pause_seconds = 0.0
        self._allowance = SUMMARY_BYTES_A_SECOND
        self._allowed_at = 0.0

    def gather(
        self, sources: Sequence[tuple[ShardId, Source]], link_count: int, now: float
    ) -> None:
        """Take the summaries of the shards that are held."""
        most = _most_bytes(len(sources) * link_count)
        self._summaries = []
        for shard, source in sources:
            summary = source(now)
            if summary is not None:
                self._summaries.append((shard, truncate_summary(summary, most)))
        self._is_closed = any(summary.notices for _shard, summary in self._summaries)
        self._size = sum(summary_size_bytes(summary) for _shard, summary in self._summaries)
        self._pause_seconds = self._size * link_count / SUMMARY_BYTES_A_SECOND
        earned = (now - self._allowed_at) * SUMMARY_BYTES_A_SECOND
        self._allowance = min(SUMMARY_BYTES_A_SECOND, self._allowance + earned)
        self._allowed_at = now

    def take_for(self, link: PeerLink, now: float) -> list[ShardSummary]:
        """Return what the next heartbeat on a stream carries."""
        if not self._is_closed and not link.was_told_closed:
            return []
        # What is larger than all that can be saved goes out on credit, or it never would.
        needed = min(self._size, SUMMARY_BYTES_A_SECOND)
        if now - link.summaries_told_at < self._pause_seconds or needed > self._allowance:
            return []
        self._allowance -= self._size
        link.summaries_told_at = now
        link.was_told_closed = self._is_closed
        return self._summaries


def _most_bytes(tellings: int) -> int:
    """Return how long a summary may be where so many are told in a round."""
    fitting = int(SUMMARY_BYTES_A_SECOND * ROUND_SECONDS / max(1, tellings))
    return min(MAX_SUMMARY_BYTES, max(SHORTEST_SUMMARY_BYTES, fitting))
