"""The time of day on which most nodes agree."""

from __future__ import annotations

from onyxspoke.node.peers import PeerLink

_MILLISECONDS = 1_000.0


def agreed_time_ms(steady_seconds: float, own_wall_ms: float, links: list[PeerLink]) -> float:
    """Return the median of this node's time of day and its peers'; single clocks may jump."""
    steady_ms = steady_seconds * _MILLISECONDS
    offsets = [link.wall_offset_ms for link in links if link.wall_offset_ms]
    offsets.append(own_wall_ms - steady_ms)
    return steady_ms + sorted(offsets)[(len(offsets) - 1) // 2]
