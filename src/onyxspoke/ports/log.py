"""Port to the platform's append-only log."""

from __future__ import annotations

from typing import Protocol

from onyxspoke.core.log_records import LogBatch, LogStream
from onyxspoke.core.schema import Offset


class LogListener(Protocol):
    """Receives what the log reports."""

    def handle_log_start(self, stream: LogStream, first_kept: Offset, next_offset: Offset) -> None:
        """The log keeps a stream from one offset on; this reader wants another next."""

    def handle_log_batch(self, stream: LogStream, offset: Offset, batch: LogBatch) -> None:
        """One batch was read, in order of offsets."""

    def handle_append_failed(self, stream: LogStream) -> None:
        """An append was refused, or it is not known whether it was done."""


class LogPort(Protocol):
    """The platform's log."""

    def append(self, stream: LogStream, batch: LogBatch) -> None:
        """Append a batch; success shows when the batch is read back."""
