"""Writes a snapshot of a stream's fold when the last one has grown old."""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import LogStream
from onyxspoke.core.rendezvous import preferred
from onyxspoke.core.schema import Offset
from onyxspoke.core.snapshot import split_snapshot


class SnapshotWriter:
    """Decides when this entry writes a snapshot of one stream.

    Parameters
    ----------
    context : EntryContext
        The entry's state.
    stream : LogStream
        The stream whose fold is written.
    take : callable
        Returns the offset that the fold has reached and the fold's bytes.
    """

    def __init__(
        self,
        context: EntryContext,
        stream: LogStream,
        take: Callable[[], tuple[Offset, bytes]],
    ) -> None:
        self._context = context
        self._stream = stream
        self._take = take
        self._seen_at: float | None = None
        self._counter = 0

    def handle_part_read(self, now: float) -> None:
        """Note that someone's snapshot is in the log."""
        self._seen_at = now

    def keep(self, now: float) -> None:
        """Write a snapshot if the last one is old and the choice falls on this entry."""
        if self._seen_at is None:
            self._seen_at = now
        if now - self._seen_at < self._context.options.snapshot_interval_seconds:
            return
        context = self._context
        live = context.cell.all_live_members(now, context.options.lease.member_timeout_seconds)
        entry_id = context.identity.entry_id
        if preferred(f"snapshot-{self._stream.value}", live) != entry_id:
            return
        self._seen_at = now
        self._counter += 1
        covers, data = self._take()
        appends = context.append_queues[self._stream]
        for part in split_snapshot(f"{entry_id}/{self._counter}", covers, data):
            appends.add(part)
