"""What the hollow workers did, for the audit: one JSON line an event."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Protocol

import msgspec


class JournalKind(Enum):
    """Kinds of journal events."""

    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"
    OVER_CAPACITY = "over_capacity"


class JournalEvent(msgspec.Struct, frozen=True):
    """One event; ``at`` is the machine's monotonic clock in seconds."""

    at: float
    kind: JournalKind
    worker_id: str
    attempt_id: str
    nonce: str


class Journal(Protocol):
    """Where events go."""

    def write(self, event: JournalEvent) -> None:
        """Record one event."""


class NullJournal:
    """Drops all events."""

    def write(self, event: JournalEvent) -> None:
        """Record one event."""


class FileJournal:
    """Appends events to a file; each is written through at once."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = path.open("ab", buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: JournalEvent) -> None:
        """Record one event."""
        self._file.write(self._encoder.encode(event) + b"\n")


def read_journal(path: Path) -> list[JournalEvent]:
    """Return the events of a journal file."""
    decoder = msgspec.json.Decoder(JournalEvent)
    with path.open("rb") as file:
        return [decoder.decode(line) for line in file]
