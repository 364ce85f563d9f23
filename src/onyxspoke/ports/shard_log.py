"""Port to the store that keeps the shards' state: partitions of records under keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from onyxspoke.core.shard.log_records import AppendResult, LatestRecordsPage, ShardAppend, ShardId


class ShardLogPort(Protocol):
    """The store, as a node reaches it; every call is answered once, at worst as unknown."""

    def append(
        self,
        append: ShardAppend,
        patience_seconds: float,
        on_result: Callable[[AppendResult], None],
    ) -> None:
        """Append records under the conditions that they carry.

        Without an answer within ``patience_seconds`` the outcome is unknown.
        """

    def read_newest(
        self, shard: ShardId, after_key: str, on_page: Callable[[LatestRecordsPage], None]
    ) -> None:
        """Read the newest records of the keys behind one, in order of keys."""
