"""Group commit to one stream of the log, one batch in flight at a time.

A batch is sent again with the same sequence number until this entry reads the batch
back from the log.  Readers apply each sequence number once, so a repeat has no effect.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from onyxspoke.core.log_records import LogBatch, LogRecord
from onyxspoke.core.schema import EntryIdentity


class AppendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and batch size that keep appends within the rate that the log allows."""

    minimum_interval_seconds: float = 0.05
    renewal_interval_seconds: float = 1.0
    retry_interval_seconds: float = 0.5
    maximum_records_per_batch: int = 256


@dataclass(slots=True)
class InFlightBatch:
    """A batch that was sent and has not yet been read back from the log."""

    batch: LogBatch
    created_at: float
    sent_at: float


class AppendQueue:
    """Collects records and decides when the next batch is sent."""

    def __init__(
        self, identity: EntryIdentity, options: AppendOptions, *, renews_lease: bool
    ) -> None:
        self._identity = identity
        self._options = options
        self._renews_lease = renews_lease
        self._pending_records: list[LogRecord] = []
        self._in_flight: InFlightBatch | None = None
        self._next_sequence = 1
        self._last_created_at = float("-inf")
        self._appends_failing_since: float | None = None
        self.stopping = False
        #: No batch is sent before the reader has restored the state of the stream.
        self.sending_enabled = False

    def add(self, record: LogRecord) -> None:
        """Queue a record for the next batch."""
        self._pending_records.append(record)

    def withdraw(self, record: LogRecord) -> bool:
        """Remove a record that has not been sent yet; return whether it was there."""
        if record not in self._pending_records:
            return False
        self._pending_records.remove(record)
        return True

    @property
    def is_idle(self) -> bool:
        """Whether no record is pending and no batch is in flight."""
        return not self._pending_records and self._in_flight is None

    @property
    def pending_count(self) -> int:
        """Number of records that no batch contains yet."""
        return len(self._pending_records)

    def failing_seconds(self, now: float) -> float:
        """Return for how many seconds appends have been failing; 0 if the last one succeeded."""
        if self._appends_failing_since is None:
            return 0.0
        return now - self._appends_failing_since

    def next_batch(self, now: float) -> LogBatch | None:
        """Return the batch to send now, or ``None`` if no batch is due."""
        if not self.sending_enabled:
            return None
        if self._in_flight is not None:
            return self._batch_to_resend(self._in_flight, now)
        if not self._is_batch_due(now):
            return None
        records = self._pending_records[: self._options.maximum_records_per_batch]
        del self._pending_records[: len(records)]
        batch = LogBatch(
            writer=self._identity.entry_id,
            zone=self._identity.zone,
            peer_host=self._identity.peer_host,
            peer_port=self._identity.peer_port,
            sequence=self._next_sequence,
            stopping=self.stopping,
            records=records,
        )
        self._next_sequence += 1
        self._last_created_at = now
        self._in_flight = InFlightBatch(batch, created_at=now, sent_at=now)
        return batch

    def next_send_at(self) -> float | None:
        """Return when the pending records may be sent.

        Returns ``None`` if no record is pending or if something other than the minimum
        interval delays the records.
        """
        if not self.sending_enabled or not self._pending_records or self._in_flight is not None:
            return None
        return self._last_created_at + self._options.minimum_interval_seconds

    def handle_read(self, sequence: int) -> float | None:
        """Handle a batch of this entry that was read back from the log.

        Returns
        -------
        float or None
            Time at which the batch was created; ``None`` if the batch was not in flight.
        """
        in_flight = self._in_flight
        if in_flight is None or in_flight.batch.sequence != sequence:
            return None
        self._in_flight = None
        self._appends_failing_since = None
        return in_flight.created_at

    def handle_failure(self, now: float) -> None:
        """Handle a failed append or a lost answer; the batch is sent again later."""
        if self._appends_failing_since is None:
            self._appends_failing_since = now

    def _is_batch_due(self, now: float) -> bool:
        # This is the same expression as in next_send_at(): with another rounding, the timer set
        # from next_send_at() could fire before the batch is due.
        if self._pending_records:
            return now >= self._last_created_at + self._options.minimum_interval_seconds
        renewal_at = self._last_created_at + self._options.renewal_interval_seconds
        return self._renews_lease and now >= renewal_at

    def _batch_to_resend(self, in_flight: InFlightBatch, now: float) -> LogBatch | None:
        if now - in_flight.sent_at < self._options.retry_interval_seconds:
            return None
        self.handle_failure(in_flight.sent_at)
        in_flight.sent_at = now
        return in_flight.batch
