"""What the store takes from all nodes together, and what each may make of it.

The store turns away every call beyond its rates, also the one on which a holder's claim
depends.  So what every node does on its own accord, such as looking for a holder, slows down
as the cell grows.
"""

from __future__ import annotations

import math

import msgspec

#: Share of the writes that the holders' appends may use together.
COMMIT_SHARE = 0.5
#: Share of the reads that nodes may use together to look for holders.
LOOK_SHARE = 0.25


class StoreBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Calls a second that the store takes from all nodes of a cell together."""

    writes_per_second: float = math.inf
    reads_per_second: float = math.inf


class StorePacing(msgspec.Struct, frozen=True, kw_only=True):
    """How often one node of a cell may call the store.

    Attributes
    ----------
    commit_interval_seconds : float
        Between two appends of one holder at least.
    look_seconds : float
        Between two looks for one shard's holder at least, at a node that is not to take over;
        the turns of such nodes to claim the shard are spread over as long.
    """

    commit_interval_seconds: float = 0.0
    look_seconds: float = 0.0


def compute_store_pacing(budget: StoreBudget, node_count: int, shard_count: int) -> StorePacing:
    """Return the pacing of a node in a cell of so many nodes and shards."""
    return StorePacing(
        commit_interval_seconds=shard_count / (COMMIT_SHARE * budget.writes_per_second),
        look_seconds=node_count * shard_count / (LOOK_SHARE * budget.reads_per_second),
    )
