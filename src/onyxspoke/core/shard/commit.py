"""Commits of a shard's state: effects only after the append that says so.

What a change promises to the outside (a job accepted, an end noted, a state shown) is an
effect that waits here until the append that says so is acknowledged.
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

#: Pause between two appends, so that what happens close together shares one.
MINIMUM_INTERVAL_SECONDS = 0.012
#: The claim is renewed when nothing else was appended for so long.
RENEWAL_SECONDS = 0.25
#: Pause before an append that was refused or not answered is sent again.
RETRY_SECONDS = (0.02, 0.06, 0.12)
#: For how long an answer is waited for, by attempt; longer after a slow append.
PATIENCE_SECONDS = (0.2, 0.2, 0.5, 0.2, 0.2, 0.9)
PATIENCE_FACTOR = 3.0
#: An append that takes so many times as long as the latest one, and so long at least, is sent once
#: more beside the first: its answer may be lost, and the store answers a repeat as the first time.
REPEAT_FACTOR = 4.0
REPEAT_SECONDS = 0.03
#: So many repeats at most are sent beside one that is waited for, each a share later than the
#: one before.
MAXIMUM_REPEATS = 5
REPEAT_GROWTH = 0.25
MAXIMUM_BATCH_BYTES = 1_000_000
#: An append that is open for longer than this, and than some times the latest one took,
#: means that the store is in trouble.
TROUBLE_SECONDS = 0.15
TROUBLE_FACTOR = 3.0
#: A store that took longer for its latest answer, in seconds, gets appends one after the other
#: without waiting for each answer ...
SLOW_STORE_SECONDS = 0.05
#: ... so many at most; the store remembers the answers to the last five.
MAXIMUM_IN_FLIGHT = 4

Effect = Callable[[float], None]


@dataclass(slots=True)
class _Batch:
    append: ShardAppend
    effects: list[Effect]
    opened_at: float
    sent_at: float
    #: When every append before it was acknowledged; infinity until then.
    first_at: float
    attempts: int = 1
    #: Sendings that were neither answered nor given up yet.
    open_calls: int = 1
    repeats: int = 0
    retry_at: float | None = None


@dataclass(slots=True)
class CommitQueue:
    """Takes records and effects, and sends them in order.

    Attributes
    ----------
    ownership_proven_at : float
        When the latest append that succeeded was sent: the shard was ours then.
    interval_seconds : float
        Pause between two appends at least.
    latest_seconds : float
        How long the store took for its latest answer to this node.
    """

    shard: ShardId
    epoch: int
    next_sequence: int
    ownership_proven_at: float
    collect: Callable[[int], list[ShardRecord]]
    renew: Callable[[], ShardRecord]
    is_dirty: Callable[[], bool]
    interval_seconds: float = MINIMUM_INTERVAL_SECONDS
    latest_seconds: float = 0.0
    _effects: list[Effect] = field(default_factory=list)
    _proofs: list[Effect] = field(default_factory=list)
    #: Appends without an answer, in the order of their sequence numbers.
    _open: list[_Batch] = field(default_factory=list)
    _is_collecting: bool = False
    _last_sent_at: float = 0.0
    _last_opened_at: float = 0.0
    #: The append that was handed out last.
    _handed_out: _Batch | None = None

    def is_append_overdue(self, now: float, bound_seconds: float = TROUBLE_SECONDS) -> bool:
        """Return whether the store keeps an append open for longer than it should."""
        if not self._open:
            return False
        bound = max(bound_seconds, TROUBLE_FACTOR * self.latest_seconds)
        return now - self._open[0].opened_at > bound

    def after_commit(self, effect: Effect) -> None:
        """Have an effect once everything marked so far is acknowledged.

        While records are collected, what is marked is on its way out with the next append, though
        nothing is dirty any more.
        """
        is_sent = self._open and not self._is_collecting and not self._effects
        if is_sent and not self.is_dirty():
            self._open[-1].effects.append(effect)
        else:
            self._effects.append(effect)

    def after_proof(self, effect: Effect) -> None:
        """Have an effect once an append sent from now on shows that the shard is still ours."""
        self._proofs.append(effect)

    def next_append(self, now: float) -> ShardAppend | None:
        """Return what is to be sent now, if anything."""
        for batch in self._open:
            if batch.retry_at is not None and now >= batch.retry_at:
                return self._retry(batch, now)
        if self._open and self._is_repeat_due(self._open[0], now):
            return self._repeat(self._open[0], now)
        if now < self._next_opening_at():
            return None
        if self._effects and not self._open and not self.is_dirty():
            self._have_effects(now)
        is_due = not self._open and self._is_renewal_due(now)
        if not (self.is_dirty() or is_due or self._proofs):
            return None
        return self._open_batch(is_due, now)

    def patience_seconds(self) -> float:
        """Return for how long an answer to the append that was handed out last is waited for.

        A store that is silent is asked again soon, because it may be back; one that is slow
        answers a repeat no sooner than the first time, so now and then it is given longer.
        """
        batch = self._handed_out
        if batch is None:
            return PATIENCE_SECONDS[0]
        usual = PATIENCE_SECONDS[(batch.attempts - 1) % len(PATIENCE_SECONDS)]
        return max(usual, PATIENCE_FACTOR * self.latest_seconds)

    def next_wakeup_at(self) -> float | None:
        """Return when :meth:`next_append` may have something to send, if nothing comes in."""
        moments = [batch.retry_at for batch in self._open if batch.retry_at is not None]
        if self._open:
            moments.append(self._repeat_at(self._open[0]))
        if self._proofs or self.is_dirty() or (self._effects and not self._open):
            moments.append(self._next_opening_at())
        soonest = min(moments, default=math.inf)
        return None if math.isinf(soonest) else soonest

    def handle_result(
        self, sequence: int, sent_at: float, result: AppendResult, now: float
    ) -> bool:
        """Take an answer to an append; return whether the shard is still ours.

        Answers to repeats may come when the append has long been acknowledged.

        Parameters
        ----------
        sequence : int
            Of the append that was answered.
        sent_at : float
            When the sending that was answered was sent.
        """
        batch = next((item for item in self._open if item.append.sequence == sequence), None)
        if batch is None:
            return True
        batch.open_calls -= 1
        if result.outcome is AppendOutcome.DONE:
            self._acknowledge(batch, result.call_seconds or now - sent_at, now)
            return True
        has_overtaken = sent_at < batch.first_at
        is_early = result.outcome is AppendOutcome.OUT_OF_SEQUENCE and has_overtaken
        if is_early or result.outcome in (AppendOutcome.NOT_DONE, AppendOutcome.UNKNOWN):
            if batch.open_calls > 0:
                return True
            pause = RETRY_SECONDS[min(batch.attempts, len(RETRY_SECONDS)) - 1]
            batch.retry_at = now + pause
            return True
        return False

    # Appends

    def _is_renewal_due(self, now: float) -> bool:
        return now - max(self._last_sent_at, self.ownership_proven_at) >= RENEWAL_SECONDS

    def _next_opening_at(self) -> float:
        """Return when one more append may be sent; infinity while answers are waited for."""
        if not self._open:
            return self._last_sent_at + self.interval_seconds
        if self.latest_seconds < SLOW_STORE_SECONDS or len(self._open) >= MAXIMUM_IN_FLIGHT:
            return math.inf
        pause = max(self.interval_seconds, self.latest_seconds / MAXIMUM_IN_FLIGHT)
        return self._last_opened_at + pause

    def _open_batch(self, is_renewal_due: bool, now: float) -> ShardAppend:
        self._is_collecting = True
        records = self.collect(MAXIMUM_BATCH_BYTES)
        self._is_collecting = False
        if not records or is_renewal_due:
            records.append(self.renew())
        effects, self._proofs = self._proofs, []
        if not self.is_dirty():
            # Otherwise what did not fit goes with the next append, and so do the effects.
            effects, self._effects = self._effects + effects, []
        append = ShardAppend(
            shard=self.shard, epoch=self.epoch, sequence=self.next_sequence, records=records
        )
        self.next_sequence += 1
        batch = _Batch(append, effects, now, now, first_at=math.inf if self._open else now)
        self._open.append(batch)
        self._last_sent_at = self._last_opened_at = now
        self._handed_out = batch
        return append

    def _acknowledge(self, batch: _Batch, call_seconds: float, now: float) -> None:
        """Have the effects of an append, and of those before it, which the store must have."""
        self.latest_seconds = call_seconds
        # A repeat may be answered as the first time, so only the first sending proves.
        self.ownership_proven_at = max(self.ownership_proven_at, batch.opened_at)
        count = self._open.index(batch) + 1
        done, self._open = self._open[:count], self._open[count:]
        if self._open:
            self._open[0].first_at = now
        for item in done:
            for effect in item.effects:
                effect(now)

    def _have_effects(self, now: float) -> None:
        effects, self._effects = self._effects, []
        for effect in effects:
            effect(now)

    def _retry(self, batch: _Batch, now: float) -> ShardAppend:
        batch.retry_at = None
        batch.attempts += 1
        batch.repeats = 0
        return self._send_again(batch, now)

    def _repeat_at(self, batch: _Batch) -> float:
        """Return when an append without an answer is sent once more beside the first."""
        if batch.open_calls == 0 or batch.repeats >= MAXIMUM_REPEATS:
            return math.inf
        pause = max(REPEAT_SECONDS, REPEAT_FACTOR * self.latest_seconds)
        return batch.sent_at + pause * (1.0 + REPEAT_GROWTH * batch.repeats)

    def _is_repeat_due(self, batch: _Batch, now: float) -> bool:
        return now >= self._repeat_at(batch)

    def _repeat(self, batch: _Batch, now: float) -> ShardAppend:
        batch.repeats += 1
        return self._send_again(batch, now)

    def _send_again(self, batch: _Batch, now: float) -> ShardAppend:
        batch.open_calls += 1
        batch.sent_at = now
        self._last_sent_at = now
        self._handed_out = batch
        return batch.append
