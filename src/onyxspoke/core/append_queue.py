"""Group commit to one stream of the log, one batch in flight at a time.

A batch whose answer was lost is sent again with the same sequence until it is
read back; readers fold a sequence once, so the repeat is harmless.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from onyxspoke.core.log_records import LogBatch, LogRecord
from onyxspoke.core.schema import EntryIdentity


class AppendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Pace of appends: the budget that keeps the log within its rate."""

    minimum_interval_seconds: float = 0.05
    renewal_interval_seconds: float = 1.0
    retry_interval_seconds: float = 0.5
    maximum_records: int = 256


@dataclass(slots=True)
class InFlightBatch:
    """The batch that has been sent and not yet read back."""

    batch: LogBatch
    created_at: float
    sent_at: float


class AppendQueue:
    """Collects records and says when the next batch is to be sent."""

    def __init__(self, identity: EntryIdentity, options: AppendOptions, *, renews: bool) -> None:
        self._identity = identity
        self._options = options
        self._renews = renews
        self._pending: list[LogRecord] = []
        self._in_flight: InFlightBatch | None = None
        self._next_sequence = 1
        self._last_created_at = float("-inf")
        self._failing_since: float | None = None
        self.stopping = False
        #: Nothing is sent before the reader has made sense of the log.
        self.enabled = False

    def add(self, record: LogRecord) -> None:
        """Queue a record for the next batch."""
        self._pending.append(record)

    def withdraw(self, record: LogRecord) -> bool:
        """Remove a record that has not been sent yet; return whether it was there."""
        if record not in self._pending:
            return False
        self._pending.remove(record)
        return True

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and nothing is in flight."""
        return not self._pending and self._in_flight is None

    @property
    def pending_count(self) -> int:
        """Number of records that wait for a batch."""
        return len(self._pending)

    def failing_for(self, now: float) -> float:
        """Return for how many seconds appends have been failing; 0 when they work."""
        if self._failing_since is None:
            return 0.0
        return now - self._failing_since

    def next_batch(self, now: float) -> LogBatch | None:
        """Return a batch to send now, or ``None``."""
        if not self.enabled:
            return None
        if self._in_flight is not None:
            return self._retry(self._in_flight, now)
        if not self._is_due(now):
            return None
        records = self._pending[: self._options.maximum_records]
        del self._pending[: len(records)]
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

    def due_at(self) -> float | None:
        """Return when waiting records may be sent; ``None`` if none wait for that alone."""
        if not self.enabled or not self._pending or self._in_flight is not None:
            return None
        return self._last_created_at + self._options.minimum_interval_seconds

    def handle_read(self, sequence: int) -> float | None:
        """Note that an own batch was read back.

        Returns
        -------
        float or None
            When the batch was created, if it was the one in flight.
        """
        in_flight = self._in_flight
        if in_flight is None or in_flight.batch.sequence != sequence:
            return None
        self._in_flight = None
        self._failing_since = None
        return in_flight.created_at

    def handle_failure(self, now: float) -> None:
        """Note that the last send failed or its answer was lost; it is sent again later."""
        if self._failing_since is None:
            self._failing_since = now

    def _is_due(self, now: float) -> bool:
        # In the same form as due_at(), or rounding would make a timer fire in vain.
        if self._pending:
            return now >= self._last_created_at + self._options.minimum_interval_seconds
        renewal_at = self._last_created_at + self._options.renewal_interval_seconds
        return self._renews and now >= renewal_at

    def _retry(self, in_flight: InFlightBatch, now: float) -> LogBatch | None:
        if now - in_flight.sent_at < self._options.retry_interval_seconds:
            return None
        self.handle_failure(in_flight.sent_at)
        in_flight.sent_at = now
        return in_flight.batch
