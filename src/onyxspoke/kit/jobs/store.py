"""Stand-in for the platform's store: keyed partitions, conditions, epochs, lost answers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from onyxspoke.core.shard.log_records import (
    AppendOutcome,
    AppendResult,
    LatestRecordsPage,
    ShardAppend,
    ShardId,
    ShardRecord,
)
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.kit.jobs.timers import Path, Timers

STORE = "store"
CALL_SECONDS = 0.004
TIMEOUT_SECONDS = 0.5
PAGE_RECORDS = 500
REMEMBERED_APPENDS = 5

Result = TypeVar("Result")


@dataclass(slots=True)
class StoreFaults:
    """Faults that are injected now.

    ``is_down``: nothing is answered or done.  ``refuses``: nodes that are turned away.
    ``extra_seconds``: every call takes so much longer.  ``loses_share``: share of the appends
    that are done and not answered; ``late_seconds``: those are done so much later instead.
    """

    is_down: bool = False
    refuses: set[str] = field(default_factory=set)
    extra_seconds: float = 0.0
    loses_share: float = 0.0
    late_seconds: float = 0.0


@dataclass(slots=True)
class _Partition:
    end: int = 0
    epoch: int = 0
    sequence: int = 0
    newest: dict[str, bytes] = field(default_factory=dict)
    answers: dict[int, AppendResult] = field(default_factory=dict)
    log: list[ShardRecord] = field(default_factory=list)


class _Rate:
    """Calls of one kind within the present second; those beyond the rate are turned away."""

    def __init__(self, calls_per_second: float) -> None:
        self._calls_per_second = calls_per_second
        self._second = -1
        self._taken = 0
        self.turned_away = 0

    def take(self, now: float) -> bool:
        """Return whether one more call is served."""
        if int(now) != self._second:
            self._second = int(now)
            self._taken = 0
        self._taken += 1
        if self._taken <= self._calls_per_second:
            return True
        self.turned_away += 1
        return False


class FakeStore:
    """The store itself; every call here is done at once.

    Parameters
    ----------
    timers : Timers
        Virtual time.
    source : random.Random
        Draws which answers are lost.
    budget : StoreBudget
        Calls beyond it are turned away.
    keeps_log : bool
        Every record is kept, not only the newest of each key.
    """

    def __init__(
        self,
        timers: Timers,
        source: random.Random,
        budget: StoreBudget | None = None,
        *,
        keeps_log: bool = False,
    ) -> None:
        budget = budget if budget is not None else StoreBudget()
        self.timers = timers
        self.random = source
        self.faults = StoreFaults()
        self.writes = _Rate(budget.writes_per_second)
        self.reads = _Rate(budget.reads_per_second)
        self._partitions: dict[ShardId, _Partition] = {}
        self._keeps_log = keeps_log
        self.appends = 0

    def append(self, append: ShardAppend) -> AppendResult:
        """Append under the conditions that the append carries."""
        self.appends += 1
        partition = self._partitions.setdefault(append.shard, _Partition())
        if append.epoch < partition.epoch:
            return AppendResult(AppendOutcome.FENCED)
        if append.epoch == partition.epoch:
            if append.sequence in partition.answers:
                return partition.answers[append.sequence]
            if append.sequence != partition.sequence + 1:
                return AppendResult(AppendOutcome.OUT_OF_SEQUENCE)
        if append.expected_end not in (-1, partition.end):
            return AppendResult(AppendOutcome.END_MOVED, end=partition.end)
        if append.epoch > partition.epoch:
            partition.answers.clear()
        partition.epoch = append.epoch
        partition.sequence = append.sequence
        result = self._take(partition, append.records)
        partition.answers[append.sequence] = result
        while len(partition.answers) > REMEMBERED_APPENDS:
            del partition.answers[next(iter(partition.answers))]
        return result

    def append_plain(self, shard: ShardId, records: list[ShardRecord]) -> AppendResult:
        """Append without any condition."""
        return self._take(self._partitions.setdefault(shard, _Partition()), records)

    def read_log(self, shard: ShardId, offset: int) -> tuple[list[ShardRecord], int]:
        """Return the records from an offset on, and the partition's end."""
        partition = self._partitions.setdefault(shard, _Partition())
        return partition.log[offset:], partition.end

    def _take(self, partition: _Partition, records: list[ShardRecord]) -> AppendResult:
        offset = partition.end
        partition.end += len(records)
        if self._keeps_log:
            partition.log += records
        for record in records:
            if record.value:
                partition.newest[record.key] = record.value
            else:
                partition.newest.pop(record.key, None)
        return AppendResult(AppendOutcome.DONE, offset, partition.end)

    def read_newest(self, shard: ShardId, after_key: str) -> LatestRecordsPage:
        """Return the newest records of the keys behind one."""
        partition = self._partitions.setdefault(shard, _Partition())
        keys = sorted(key for key in partition.newest if key > after_key)
        page = keys[:PAGE_RECORDS]
        records = [ShardRecord(key, partition.newest[key]) for key in page]
        return LatestRecordsPage(True, records, len(keys) > len(page), partition.end)


class FakeStoreClient:
    """The store as one node reaches it; implements ``ShardLogPort``."""

    def __init__(self, store: FakeStore, node_name: str, path: Path) -> None:
        self._store = store
        self._node_name = node_name
        self._path = path

    def append(
        self,
        append: ShardAppend,
        patience_seconds: float,
        on_result: Callable[[AppendResult], None],
    ) -> None:
        """Append; an answer that is lost turns up as unknown after the timeout."""
        faults = self._store.faults
        exchange = _Exchange(self._path, self._store.timers, on_result)
        exchange.expire(patience_seconds, AppendResult(AppendOutcome.UNKNOWN))

        def arrive() -> None:
            if faults.is_down:
                return
            is_within_rate = self._store.writes.take(self._store.timers.now())
            if self._node_name in faults.refuses or not is_within_rate:
                exchange.answer(AppendResult(AppendOutcome.NOT_DONE))
                return
            is_lost = self._store.random.random() < faults.loses_share
            delay = CALL_SECONDS + faults.extra_seconds
            delay += faults.late_seconds if is_lost else 0.0
            self._store.timers.schedule(delay, lambda: carry_out(is_lost))

        def carry_out(is_lost: bool) -> None:
            if faults.is_down:
                return
            result = self._store.append(append)
            if not is_lost:
                exchange.answer(result)

        self._path.to_outside(STORE, arrive)

    def read_newest(
        self, shard: ShardId, after_key: str, on_page: Callable[[LatestRecordsPage], None]
    ) -> None:
        """Read; an answer that is lost turns up as not known after the timeout."""
        faults = self._store.faults
        exchange = _Exchange(self._path, self._store.timers, on_page)
        exchange.expire(TIMEOUT_SECONDS, LatestRecordsPage(is_known=False))

        def arrive() -> None:
            if faults.is_down:
                return
            is_within_rate = self._store.reads.take(self._store.timers.now())
            if self._node_name in faults.refuses or not is_within_rate:
                exchange.answer(LatestRecordsPage(is_known=False))
                return
            self._store.timers.schedule(CALL_SECONDS + faults.extra_seconds, carry_out)

        def carry_out() -> None:
            if not faults.is_down:
                exchange.answer(self._store.read_newest(shard, after_key))

        self._path.to_outside(STORE, arrive)


class _Exchange(Generic[Result]):
    """One call: the first of its answer and its timeout counts."""

    def __init__(self, path: Path, timers: Timers, on_result: Callable[[Result], None]) -> None:
        self._path = path
        self._timers = timers
        self._on_result = on_result
        self._is_over = False

    def answer(self, result: Result) -> None:
        self._path.to_node(STORE, lambda: self._finish(result))

    def expire(self, seconds: float, result: Result) -> None:
        self._timers.schedule(seconds, lambda: self._path.to_node("", lambda: self._finish(result)))

    def _finish(self, result: Result) -> None:
        if not self._is_over:
            self._is_over = True
            self._on_result(result)
