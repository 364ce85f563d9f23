"""The stand-in's append-only log: offsets, streams and limited retention; no I/O."""

from __future__ import annotations

from collections import deque

import msgspec

from onyxspoke.core.schema import Offset


class StoredRecord(msgspec.Struct, frozen=True):
    """One record, with the time of its append."""

    offset: Offset
    data: bytes
    appended_at: float


class LogStore:
    """Streams of records; offsets start at 1 and grow by 1 within each stream."""

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._records: dict[str, deque[StoredRecord]] = {}
        self._next_offsets: dict[str, Offset] = {}

    def append(self, stream: str, data: bytes, now: float) -> StoredRecord:
        """Append a record and return it."""
        offset = self._next_offsets.get(stream, 1)
        self._next_offsets[stream] = offset + 1
        record = StoredRecord(offset, data, now)
        self._records.setdefault(stream, deque()).append(record)
        return record

    def read(self, stream: str, from_offset: Offset) -> list[StoredRecord]:
        """Return the kept records from an offset on."""
        return [record for record in self._records.get(stream, ()) if record.offset >= from_offset]

    def first_kept(self, stream: str) -> Offset:
        """Return the offset of the oldest kept record, or the next one if none is kept."""
        records = self._records.get(stream)
        return records[0].offset if records else self._next_offsets.get(stream, 1)

    def expire(self, now: float) -> None:
        """Drop records that are older than the retention."""
        for records in self._records.values():
            while records and now - records[0].appended_at > self._retention_seconds:
                records.popleft()
