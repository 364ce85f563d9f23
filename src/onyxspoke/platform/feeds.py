"""Follows a keyed topic of the store: the newest records first, then what is appended."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.shard.log_records import LatestRecordsPage, ShardRecord
from onyxspoke.platform.store import StoreClient, TailAnswer

RETRY_SECONDS = 0.25
#: A read waits for so long, so that a connection that is cut silently is noticed soon.
WAIT_MS = 1_000
#: Single reads have a connection of their own, because that of the feed waits for records.
LOOK_LANE = "look"

#: Called with records, and whether they are all that the topic holds.
OnRecords = Callable[[list[ShardRecord], bool], None]


class TopicFeed:
    """Follows one topic.

    Parameters
    ----------
    store : StoreClient
        The store.
    reactor : IReactorTime
        Timers.
    topic : str
        What to follow.
    on_records : callable
        Takes records; an empty value says that the key was dropped.
    pause_seconds : float
        Pause between two reads, so that records close together share one.
    skips_to_newest : bool
        Only the newest record of a key is of use: one that falls behind reads the newest ones
        instead of all that were written, which a slow link may never catch up with.
    """

    def __init__(
        self,
        store: StoreClient,
        reactor: IReactorTime,
        topic: str,
        on_records: OnRecords,
        pause_seconds: float = 0.0,
        skips_to_newest: bool = False,
    ) -> None:
        self._store = store
        self._reactor = reactor
        self._topic = topic
        self._on_records = on_records
        self._pause_seconds = pause_seconds
        self._skips_to_newest = skips_to_newest
        self._offset = -1
        self._gathered: list[ShardRecord] = []
        self._generation = 0
        self._is_reachable: bool | None = None
        self.on_contact: Callable[[bool], None] | None = None

    def start(self) -> None:
        """Begin; records read before are read again."""
        self._generation += 1
        self._read_all(self._generation)

    def stop(self) -> None:
        """Report nothing more."""
        self._generation += 1

    def look(self, on_done: Callable[[bool], None]) -> None:
        """Read what was appended since the last read, now, and say whether that was done.

        The records are reported as any others; the read that is under way reports them again.
        """
        generation = self._generation

        def take(answer: TailAnswer) -> None:
            if answer.is_gone:
                self._store.read_newest_of(self._topic, 0, "", take_page)
            else:
                report(answer.is_known, answer.records)

        def take_page(page: LatestRecordsPage) -> None:
            report(page.is_known and not page.has_more, page.records)

        def report(is_known: bool, records: list[ShardRecord]) -> None:
            is_done = is_known and generation == self._generation
            if is_done and records:
                self._on_records(records, False)
            on_done(is_done)

        if self._offset < 0:
            on_done(False)
            return
        self._store.read_tail(self._topic, self._offset, 0, take, lane=LOOK_LANE)

    def _read_all(self, generation: int) -> None:
        self._gathered = []
        self._read_page(generation, "")

    def _read_page(self, generation: int, after_key: str) -> None:
        self._store.read_newest_of(
            self._topic, 0, after_key, lambda page: self._take_page(generation, page)
        )

    def _take_page(self, generation: int, page: LatestRecordsPage) -> None:
        if generation != self._generation:
            return
        self._note_reachable(page.is_known)
        if not page.is_known:
            self._reactor.callLater(RETRY_SECONDS, self._restart, generation)
            return
        if not self._gathered:
            # Later pages may be newer; reading on from the first end misses nothing.
            self._offset = page.end
        self._gathered += page.records
        if page.has_more and page.records:
            self._read_page(generation, page.records[-1].key)
            return
        gathered, self._gathered = self._gathered, []
        self._on_records(gathered, True)
        if generation == self._generation:
            self._read_on(generation)

    def _restart(self, generation: int) -> None:
        if generation == self._generation:
            self._read_all(generation)

    def _read_on(self, generation: int) -> None:
        if generation == self._generation:
            self._store.read_tail(
                self._topic,
                self._offset,
                WAIT_MS,
                lambda answer: self._take_tail(generation, answer),
            )

    def _take_tail(self, generation: int, answer: TailAnswer) -> None:
        if generation != self._generation:
            return
        self._note_reachable(answer.is_known)
        if not answer.is_known:
            again = self._restart if self._skips_to_newest else self._read_on
            self._reactor.callLater(RETRY_SECONDS, again, generation)
            return
        if answer.is_gone:
            self._read_all(generation)
            return
        self._offset += len(answer.records)
        if answer.records:
            self._on_records(answer.records, False)
        if self._skips_to_newest and answer.end > self._offset:
            self._read_all(generation)
            return
        self._reactor.callLater(self._pause_seconds, self._read_on, generation)

    def _note_reachable(self, is_reachable: bool) -> None:
        if self.on_contact is not None:
            self.on_contact(is_reachable)
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            event = "dependency_regained" if is_reachable else "dependency_lost"
            logging.info("event=%s dependency=store topic=%s", event, self._topic)
