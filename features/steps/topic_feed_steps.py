"""Steps about feeds that follow a topic of the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from onyxspoke.core.shard.log_records import LatestRecordsPage, ShardRecord
from onyxspoke.platform.feeds import TopicFeed
from onyxspoke.platform.store import TailAnswer

TOPIC = "topic"
PAUSE_SECONDS = 1.0


class ScriptedStore:
    """Takes a feed's reads; a scenario answers them."""

    def __init__(self) -> None:
        self.newest: list[Callable[[LatestRecordsPage], None]] = []
        self.tails: list[tuple[int, Callable[[TailAnswer], None]]] = []

    def read_newest_of(
        self, _topic: str, _part: int, _after: str, on_page: Callable[[LatestRecordsPage], None]
    ) -> None:
        """Take a read of the newest records."""
        self.newest.append(on_page)

    def read_tail(
        self, _topic: str, offset: int, _wait_ms: int, on_answer: Callable[[TailAnswer], None]
    ) -> None:
        """Take a read from an offset on."""
        self.tails.append((offset, on_answer))


@given("a feed that {nature}, at offset {offset:d}")
def _feed(context: Any, nature: str, offset: int) -> None:
    context.clock = Clock()
    context.store = ScriptedStore()
    context.taken = []
    feed = TopicFeed(
        context.store,
        context.clock,
        TOPIC,
        lambda records, _is_whole: context.taken.extend(records),
        skips_to_newest=nature == "skips to the newest record",
    )
    feed.start()
    context.store.newest.pop()(
        LatestRecordsPage(is_known=True, records=[], has_more=False, end=offset)
    )


@when("an answer brings {count:d} records of a topic that ends at {end:d}")
def _answer(context: Any, count: int, end: int) -> None:
    _offset, on_answer = context.store.tails.pop()
    records = [ShardRecord("key", b"value")] * count
    on_answer(TailAnswer(is_known=True, end=end, records=records))
    assert len(context.taken) == count
    context.clock.advance(PAUSE_SECONDS)


@when("a read of it is not answered")
def _no_answer(context: Any) -> None:
    _offset, on_answer = context.store.tails.pop()
    on_answer(TailAnswer(is_known=False))
    context.clock.advance(PAUSE_SECONDS)


@then("the feed reads the newest records next")
def _reads_newest(context: Any) -> None:
    assert len(context.store.newest) == 1
    assert not context.store.tails


@then("the feed reads on from offset {offset:d}")
def _reads_on(context: Any, offset: int) -> None:
    assert [item[0] for item in context.store.tails] == [offset]
    assert not context.store.newest
