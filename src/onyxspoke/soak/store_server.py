"""The store's stand-in behind the platform's wire; its logic and faults are the kit's."""

from __future__ import annotations

import random
from collections.abc import Callable

from absl import logging

from onyxspoke.core.shard.log_records import (
    AppendResult,
    LatestRecordsPage,
    ShardAppend,
    ShardRecord,
)
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.kit.jobs.store import FakeStore, FakeStoreClient, StoreFaults
from onyxspoke.platform.counterpart.answers import HTTP_NOT_FOUND, HTTP_UNAVAILABLE
from onyxspoke.platform.counterpart.store import (
    AFTER_KEY,
    APPEND_CALL,
    NEWEST_CALL,
    READ_CALL,
    encode_append_result,
    encode_page,
)
from onyxspoke.platform.store import decode_keyed_records, encode_keyed_record
from onyxspoke.soak.events import AnyCommand, SetStoreFaults
from onyxspoke.soak.http import Exchange
from onyxspoke.soak.timers import DueTimers, LocalPath

#: A call that nothing came of by then is never answered.
PATIENCE_SECONDS = 30.0
OFFSET_BYTES = 8
MAXIMUM_TAIL_RECORDS = 2_000
_MILLISECONDS = 1_000.0


class StoreServer:
    """Answers the calls of nodes, workers and the operator."""

    def __init__(self, timers: DueTimers, seed: int, budget: StoreBudget) -> None:
        self._timers = timers
        self._random = random.Random(f"store/{seed}")
        self._budget = budget
        self._faults = StoreFaults()
        self._topics: dict[str, FakeStore] = {}
        #: By topic and partition: reads that wait for a record.
        self._waiting: dict[tuple[str, int], list[Callable[[], None]]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record from within."""
        self._append_plain(topic, 0, encode_keyed(key, value))

    def handle_command(self, command: AnyCommand) -> None:
        """Change the faults."""
        if isinstance(command, SetStoreFaults):
            faults = self._faults
            faults.is_down = command.is_down
            faults.extra_seconds = command.extra_seconds
            faults.loses_share = command.loses_share
            faults.late_seconds = command.late_seconds
            logging.info("event=faults_set faults=%r", faults)

    def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        if self._faults.is_down:
            return
        topic, part = exchange.query("topic"), int(exchange.query("part", "0"))
        if exchange.name == APPEND_CALL and exchange.query("producer"):
            self._append(exchange, topic, part)
        elif exchange.name == APPEND_CALL:
            self._append_later(exchange, topic, part)
        elif exchange.name == NEWEST_CALL:
            self._read_newest(exchange, topic, part)
        elif exchange.name == READ_CALL:
            self._read_tail(exchange, topic, part)
        else:
            exchange.answer({}, HTTP_NOT_FOUND)

    def _append(self, exchange: Exchange, topic: str, part: int) -> None:
        append = ShardAppend(
            shard=part,
            epoch=int(exchange.query("epoch")),
            sequence=int(exchange.query("sequence")),
            records=decode_keyed_records(exchange.body),
            expected_end=int(exchange.query("at", "-1")),
        )

        def answer(result: AppendResult) -> None:
            exchange.send(encode_append_result(result))
            self._wake(topic, part)

        self._client(topic, exchange).append(append, PATIENCE_SECONDS, answer)

    def _append_later(self, exchange: Exchange, topic: str, part: int) -> None:
        def carry_out() -> None:
            if not self._faults.is_down:
                result = self._append_plain(topic, part, exchange.body)
                exchange.send(encode_append_result(result))

        self._timers.schedule(self._faults.extra_seconds, carry_out)

    def _append_plain(self, topic: str, part: int, body: bytes) -> AppendResult:
        result = self._topic(topic).append_plain(part, decode_keyed_records(body))
        self._wake(topic, part)
        return result

    def _read_newest(self, exchange: Exchange, topic: str, part: int) -> None:
        after_key = exchange.query(AFTER_KEY)

        def answer(page: LatestRecordsPage) -> None:
            if page.is_known:
                exchange.send(encode_page(page))
            elif not self._faults.is_down:
                exchange.answer({}, HTTP_UNAVAILABLE)

        self._client(topic, exchange).read_newest(part, after_key, answer)

    def _read_tail(self, exchange: Exchange, topic: str, part: int) -> None:
        offset = int(exchange.query("from"))
        wait_ms = int(exchange.query("waitMs", "0"))
        store = self._topic(topic)

        def answer() -> None:
            if self._faults.is_down:
                return
            records, end = store.read_log(part, offset)
            head = end.to_bytes(OFFSET_BYTES, "big") + bytes(OFFSET_BYTES)
            shown = records[:MAXIMUM_TAIL_RECORDS]
            exchange.answer_raw(head + b"".join(map(encode_keyed_record, shown)))

        if store.read_log(part, offset)[0] or not wait_ms:
            self._timers.schedule(self._faults.extra_seconds, answer)
            return
        self._waiting.setdefault((topic, part), []).append(answer)
        self._timers.schedule(wait_ms / _MILLISECONDS, answer)

    def _wake(self, topic: str, part: int) -> None:
        for answer in self._waiting.pop((topic, part), []):
            answer()

    def _client(self, topic: str, exchange: Exchange) -> FakeStoreClient:
        return FakeStoreClient(self._topic(topic), exchange.machine, LocalPath())

    def _topic(self, name: str) -> FakeStore:
        store = self._topics.get(name)
        if store is None:
            store = FakeStore(self._timers, self._random, self._budget, keeps_log=True)
            store.faults = self._faults
            self._topics[name] = store
        return store


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return the body of an append of one record."""
    return encode_keyed_record(ShardRecord(key, value))
