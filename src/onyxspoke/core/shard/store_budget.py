"""Rate limits of the store for all nodes together, and the pacing of each node's calls.

The store rejects every call above its rate limits, including appends that renew a holder's claim.
In a larger cell, each node therefore makes periodic calls, such as polls for a shard's holder, less
often.
"""

from __future__ import annotations

import math

import msgspec

#: Fraction of the store's write rate that all holders' appends together may use.
COMMIT_WRITE_SHARE = 0.5
#: Fraction of the store's read rate that all nodes' polls for holders together may use.
POLL_READ_SHARE = 0.25


class StoreBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Calls per second that the store accepts from all nodes of a cell together."""

    writes_per_second: float = math.inf
    reads_per_second: float = math.inf


class StorePacing(msgspec.Struct, frozen=True, kw_only=True):
    """Shortest intervals between the store calls of one node.

    Attributes
    ----------
    commit_interval_seconds : float
        Shortest interval between two appends of one holder.
    poll_interval_seconds : float
        Shortest interval between two polls for one shard's holder, at nodes that are not
        successors; the claims of such nodes are spread over the same time.
    """

    commit_interval_seconds: float = 0.0
    poll_interval_seconds: float = 0.0


def compute_store_pacing(budget: StoreBudget, node_count: int, shard_count: int) -> StorePacing:
    """Return the pacing of each node in a cell with this many nodes and shards."""
    return StorePacing(
        commit_interval_seconds=shard_count / (COMMIT_WRITE_SHARE * budget.writes_per_second),
        poll_interval_seconds=node_count
        * shard_count
        / (POLL_READ_SHARE * budget.reads_per_second),
    )
