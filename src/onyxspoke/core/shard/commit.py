"""Commit queue of a shard: appends state records, and runs effects once they are durable.

An effect makes a change visible outside the holder: it reports a job as accepted, confirms the
end of a run to a worker, or shows a new job state.  The queue runs an effect only after the store
has acknowledged the append that records the change.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from onyxspoke.core.shard.log_records import (
    AppendOutcome,
    AppendResult,
    ShardAppend,
    ShardId,
    ShardRecord,
)

#: Shortest pause between two appends, so that changes close together share one append.
MINIMUM_COMMIT_INTERVAL_SECONDS = 0.012
#: The holder renews its claim if it has sent no append for this long.
CLAIM_RENEWAL_SECONDS = 0.25
#: Pauses before a refused or unanswered append is sent again, by number of attempts; the last
#: pause also applies to all further attempts.
APPEND_RETRY_SECONDS = (0.02, 0.06, 0.12)
#: Timeouts for the answers to successive attempts of an append, used in turn.  Each timeout is at
#: least the factor below times the duration of the latest call.
ANSWER_TIMEOUT_SECONDS = (0.2, 0.2, 0.5, 0.2, 0.2, 0.9)
ANSWER_TIMEOUT_FACTOR = 3.0
#: A duplicate of an unanswered append is sent after this multiple of the latest call's duration,
#: but not before the minimum delay below, because the first answer may be lost.  The store answers
#: a duplicate as it answered the original.
DUPLICATE_DELAY_FACTOR = 4.0
MINIMUM_DUPLICATE_DELAY_SECONDS = 0.03
#: Largest number of duplicates per attempt, and the fraction of the first duplicate's delay by
#: which the delay of each further duplicate grows.
MAXIMUM_DUPLICATES = 5
DUPLICATE_DELAY_GROWTH = 0.25
MAXIMUM_BATCH_BYTES = 1_000_000
#: The store counts as overdue if an append stays unanswered for longer than this time and longer
#: than this multiple of the latest call's duration.
OVERDUE_SECONDS = 0.15
OVERDUE_FACTOR = 3.0
#: The queue pipelines appends, instead of waiting for each answer, if the latest call to the store
#: took longer than this.
SLOW_STORE_SECONDS = 0.05
#: Largest number of pipelined appends; the store remembers its answers to the last five appends.
MAXIMUM_APPENDS_IN_FLIGHT = 4

Effect = Callable[[float], None]


@dataclass(slots=True)
class _Batch:
    append: ShardAppend
    effects: list[Effect]
    first_sent_at: float
    sent_at: float
    #: When the store acknowledged the last of the earlier appends; infinity until then.
    predecessors_acknowledged_at: float
    attempts: int = 1
    #: Calls for this append that have neither returned nor timed out.
    calls_in_flight: int = 1
    duplicates: int = 0
    retry_at: float | None = None


@dataclass(slots=True)
class CommitQueue:
    """Batches records into ordered appends, and runs each effect after its append is acknowledged.

    Attributes
    ----------
    ownership_proven_at : float
        When the latest successful append was first sent; this node held the shard at that time.
    interval_seconds : float
        Shortest pause between two appends.
    latest_call_seconds : float
        Duration of the latest call that the store answered.
    acknowledged_sequence, acknowledged_end : int
        Sequence number of the last append that the store acknowledged, and where the partition
        ended after it; -1 if there was none, or the answer did not tell.
    """

    shard: ShardId
    epoch: int
    next_sequence: int
    ownership_proven_at: float
    collect: Callable[[int, float], list[ShardRecord]]
    renew: Callable[[], ShardRecord]
    is_dirty: Callable[[], bool]
    interval_seconds: float = MINIMUM_COMMIT_INTERVAL_SECONDS
    latest_call_seconds: float = 0.0
    acknowledged_sequence: int = -1
    acknowledged_end: int = -1
    _effects: list[Effect] = field(default_factory=list)
    _proof_effects: list[Effect] = field(default_factory=list)
    #: Appends that the store has not acknowledged, in the order of their sequence numbers.
    _unacknowledged: list[_Batch] = field(default_factory=list)
    _is_collecting: bool = False
    _last_sent_at: float = 0.0
    _last_new_append_at: float = 0.0
    #: Batch of the append that :meth:`next_append` returned last.
    _last_returned: _Batch | None = None

    def is_append_overdue(
        self, now: float, minimum_overdue_seconds: float = OVERDUE_SECONDS
    ) -> bool:
        """Return whether the oldest unacknowledged append is overdue."""
        if not self._unacknowledged:
            return False
        overdue_seconds = max(minimum_overdue_seconds, OVERDUE_FACTOR * self.latest_call_seconds)
        return now - self._unacknowledged[0].first_sent_at > overdue_seconds

    def after_commit(self, effect: Effect) -> None:
        """Run an effect once the store has acknowledged all changes made so far.

        An effect that is registered while records are collected belongs to the append that is
        being built, even if no change is marked as dirty any more.
        """
        is_sent = self._unacknowledged and not self._is_collecting and not self._effects
        if is_sent and not self.is_dirty():
            self._unacknowledged[-1].effects.append(effect)
        else:
            self._effects.append(effect)

    def after_proof(self, effect: Effect) -> None:
        """Run an effect once an append sent from now on proves that this node holds the shard."""
        self._proof_effects.append(effect)

    def next_append(self, now: float) -> ShardAppend | None:
        """Return the append that is to be sent now, or ``None``."""
        for batch in self._unacknowledged:
            if batch.retry_at is not None and now >= batch.retry_at:
                return self._retry_append(batch, now)
        if self._unacknowledged and self._is_duplicate_due(self._unacknowledged[0], now):
            return self._send_duplicate(self._unacknowledged[0], now)
        if now < self._next_new_append_at():
            return None
        if self._effects and not self._unacknowledged and not self.is_dirty():
            self._run_effects(now)
        is_claim_renewal_due = not self._unacknowledged and self._is_claim_renewal_due(now)
        if not (self.is_dirty() or is_claim_renewal_due or self._proof_effects):
            return None
        return self._send_batch(is_claim_renewal_due, now)

    def answer_timeout_seconds(self) -> float:
        """Return the answer timeout, in seconds, of the append that was returned last.

        Most timeouts are short, because an unreachable store may be reachable again soon.  Some
        are longer, because a slow store does not answer a second call sooner than the first.
        """
        batch = self._last_returned
        if batch is None:
            return ANSWER_TIMEOUT_SECONDS[0]
        base_timeout_seconds = ANSWER_TIMEOUT_SECONDS[
            (batch.attempts - 1) % len(ANSWER_TIMEOUT_SECONDS)
        ]
        return max(base_timeout_seconds, ANSWER_TIMEOUT_FACTOR * self.latest_call_seconds)

    def next_wakeup_at(self) -> float | None:
        """Return when :meth:`next_append` is due without further events, or ``None``."""
        wakeup_times = [
            batch.retry_at for batch in self._unacknowledged if batch.retry_at is not None
        ]
        if self._unacknowledged:
            wakeup_times.append(self._next_duplicate_at(self._unacknowledged[0]))
        if self._proof_effects or self.is_dirty() or (self._effects and not self._unacknowledged):
            wakeup_times.append(self._next_new_append_at())
        earliest = min(wakeup_times, default=math.inf)
        return None if math.isinf(earliest) else earliest

    def handle_result(
        self, sequence: int, sent_at: float, result: AppendResult, now: float
    ) -> bool:
        """Handle the result of a call for an append; return whether this node may hold the shard.

        Results of duplicates may arrive after the append has been acknowledged; they are ignored.

        Parameters
        ----------
        sequence : int
            Sequence number of the append.
        sent_at : float
            When the call was sent.
        """
        batch = next(
            (item for item in self._unacknowledged if item.append.sequence == sequence), None
        )
        if batch is None:
            return True
        batch.calls_in_flight -= 1
        if result.outcome is AppendOutcome.DONE:
            self.acknowledged_sequence, self.acknowledged_end = sequence, result.end
            self._acknowledge(batch, result.call_seconds or now - sent_at, now)
            return True
        may_have_overtaken = sent_at < batch.predecessors_acknowledged_at
        was_overtaking = result.outcome is AppendOutcome.OUT_OF_SEQUENCE and may_have_overtaken
        if was_overtaking or result.outcome in (AppendOutcome.NOT_DONE, AppendOutcome.UNKNOWN):
            if batch.calls_in_flight > 0:
                return True
            pause = APPEND_RETRY_SECONDS[min(batch.attempts, len(APPEND_RETRY_SECONDS)) - 1]
            batch.retry_at = now + pause
            return True
        return False

    # Appends

    def _is_claim_renewal_due(self, now: float) -> bool:
        return now - max(self._last_sent_at, self.ownership_proven_at) >= CLAIM_RENEWAL_SECONDS

    def _next_new_append_at(self) -> float:
        """Return when a new append may be sent; infinity while the queue awaits an answer."""
        if not self._unacknowledged:
            return self._last_sent_at + self.interval_seconds
        if (
            self.latest_call_seconds < SLOW_STORE_SECONDS
            or len(self._unacknowledged) >= MAXIMUM_APPENDS_IN_FLIGHT
        ):
            return math.inf
        pause = max(self.interval_seconds, self.latest_call_seconds / MAXIMUM_APPENDS_IN_FLIGHT)
        return self._last_new_append_at + pause

    def _send_batch(self, is_claim_renewal_due: bool, now: float) -> ShardAppend:
        self._is_collecting = True
        records = self.collect(MAXIMUM_BATCH_BYTES, now)
        self._is_collecting = False
        if not records or is_claim_renewal_due:
            records.append(self.renew())
        effects, self._proof_effects = self._proof_effects, []
        if not self.is_dirty():
            # Otherwise some records did not fit; the effects wait for the append that has them.
            effects, self._effects = self._effects + effects, []
        append = ShardAppend(
            shard=self.shard, epoch=self.epoch, sequence=self.next_sequence, records=records
        )
        self.next_sequence += 1
        batch = _Batch(
            append,
            effects,
            now,
            now,
            predecessors_acknowledged_at=math.inf if self._unacknowledged else now,
        )
        self._unacknowledged.append(batch)
        self._last_sent_at = self._last_new_append_at = now
        self._last_returned = batch
        return append

    def _acknowledge(self, batch: _Batch, call_seconds: float, now: float) -> None:
        """Run the effects of an acknowledged append and of all earlier ones.

        The store accepts appends in order only, so it has the earlier ones, too.
        """
        self.latest_call_seconds = call_seconds
        # The store may answer a duplicate from memory, so only the time of the first call counts.
        self.ownership_proven_at = max(self.ownership_proven_at, batch.first_sent_at)
        count = self._unacknowledged.index(batch) + 1
        done, self._unacknowledged = self._unacknowledged[:count], self._unacknowledged[count:]
        if self._unacknowledged:
            self._unacknowledged[0].predecessors_acknowledged_at = now
        for item in done:
            for effect in item.effects:
                effect(now)

    def _run_effects(self, now: float) -> None:
        effects, self._effects = self._effects, []
        for effect in effects:
            effect(now)

    def _retry_append(self, batch: _Batch, now: float) -> ShardAppend:
        batch.retry_at = None
        batch.attempts += 1
        batch.duplicates = 0
        return self._send_again(batch, now)

    def _next_duplicate_at(self, batch: _Batch) -> float:
        """Return when the next duplicate of an unanswered append is due."""
        if batch.calls_in_flight == 0 or batch.duplicates >= MAXIMUM_DUPLICATES:
            return math.inf
        pause = max(
            MINIMUM_DUPLICATE_DELAY_SECONDS, DUPLICATE_DELAY_FACTOR * self.latest_call_seconds
        )
        return batch.sent_at + pause * (1.0 + DUPLICATE_DELAY_GROWTH * batch.duplicates)

    def _is_duplicate_due(self, batch: _Batch, now: float) -> bool:
        return now >= self._next_duplicate_at(batch)

    def _send_duplicate(self, batch: _Batch, now: float) -> ShardAppend:
        batch.duplicates += 1
        return self._send_again(batch, now)

    def _send_again(self, batch: _Batch, now: float) -> ShardAppend:
        batch.calls_in_flight += 1
        batch.sent_at = now
        self._last_sent_at = now
        self._last_returned = batch
        return batch.append
