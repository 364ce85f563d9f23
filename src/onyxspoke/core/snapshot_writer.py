"""Writes a snapshot of a stream's state when the last snapshot is too old."""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import LogStream
from onyxspoke.core.rendezvous import choose_by_rendezvous_hash
from onyxspoke.core.schema import Offset
from onyxspoke.core.snapshot import split_snapshot


class SnapshotWriter:
    """Writes snapshots of one stream when this entry is the one chosen to write them.

    Parameters
    ----------
    context : EntryContext
        The entry's state.
    stream : LogStream
        The stream whose state is written.
    capture : callable
        Returns the offset up to which the state is complete, and the encoded state.
    """

    def __init__(
        self,
        context: EntryContext,
        stream: LogStream,
        capture: Callable[[], tuple[Offset, bytes]],
    ) -> None:
        self._context = context
        self._stream = stream
        self._capture = capture
        self._last_snapshot_at: float | None = None
        self._snapshot_count = 0

    def handle_part_read(self, now: float) -> None:
        """Handle a snapshot part that was read from the log; any entry may have written it."""
        self._last_snapshot_at = now

    def tick(self, now: float) -> None:
        """Write a snapshot if the last one is too old and hashing selects this entry."""
        if self._last_snapshot_at is None:
            self._last_snapshot_at = now
        if now - self._last_snapshot_at < self._context.options.snapshot_interval_seconds:
            return
        context = self._context
        live_member_ids = context.cell.all_live_members(
            now, context.options.lease.member_timeout_seconds
        )
        entry_id = context.identity.entry_id
        if choose_by_rendezvous_hash(f"snapshot-{self._stream.value}", live_member_ids) != entry_id:
            return
        self._last_snapshot_at = now
        self._snapshot_count += 1
        covers, data = self._capture()
        appends = context.append_queues[self._stream]
        for part in split_snapshot(f"{entry_id}/{self._snapshot_count}", covers, data):
            appends.add(part)
