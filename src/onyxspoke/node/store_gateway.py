"""Calls to the store, directly or through a peer that the store serves.

The store may turn this machine away while it serves others.  A call that it refused, or did
not answer, goes on through peers; an append keeps its epoch and sequence, so that doing it
twice does no more than doing it once.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
from absl import logging

from onyxspoke.core.shard.log_records import (
    AppendOutcome,
    AppendResult,
    LatestRecordsPage,
    ShardAppend,
    ShardId,
)
from onyxspoke.node.messages import (
    AppendRelay,
    AppendRelayAnswer,
    NewestRelay,
    NewestRelayAnswer,
)
from onyxspoke.node.peers import PeerLink
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.shard_log import ShardLogPort

#: The store counts as reachable for so long after it last served a call.
REACHABLE_SECONDS = 2.0
#: While the store turns us away, it is tried directly only so often.
DIRECT_RETRY_SECONDS = 0.5
#: A relayed call that is not answered is given up after so long.
RELAY_SECONDS = 0.8
#: A call that is made for a peer may take so long.
RELAYED_CALL_SECONDS = 0.5

#: The store counts as reachable through peers for so long after it served a relayed call.
RELAYED_SECONDS = 0.6

#: A relayed call that took longer was not served sooner than a direct one would be.
PROMPT_SECONDS = 0.18

OnAppend = Callable[[AppendResult], None]
OnPage = Callable[[LatestRecordsPage], None]


class _Relay:
    __slots__ = ("on_append", "on_page", "sent_at")

    def __init__(self, sent_at: float, on_append: OnAppend | None, on_page: OnPage | None) -> None:
        self.sent_at = sent_at
        self.on_append = on_append
        self.on_page = on_page


class StoreGateway:
    """The store, as this node reaches it; implements ``ShardLogPort``.

    Parameters
    ----------
    store : ShardLogPort
        The direct way.
    clock : Clock
        Source of time.
    peers : callable
        Returns the links to peers that can be asked now.
    """

    def __init__(
        self, store: ShardLogPort, clock: Clock, peers: Callable[[], list[PeerLink]]
    ) -> None:
        self._store = store
        self._clock = clock
        self._peers = peers
        self._served_at = -math.inf
        self._turned_away_at = -math.inf
        self._away_since = math.inf
        self._is_away = False
        self._relays: dict[int, _Relay] = {}
        self._last_relay_id = 0
        self._next_peer = 0
        self._relayed_at = -math.inf
        #: How long the latest call took that the store served through a peer.
        self._relay_seconds = 0.0

    @property
    def is_reachable(self) -> bool:
        """Whether the store served this node directly lately."""
        return not self._is_away and self._clock.now() - self._served_at < REACHABLE_SECONDS

    def note_contact(self, is_served: bool) -> None:
        """Take note of whether the store served another call of this node."""
        self._note(is_served)

    def away_seconds(self) -> float:
        """Return for how long the store has not served this node directly; 0 if it does."""
        return max(0.0, self._clock.now() - self._away_since)

    def is_relayed(self) -> bool:
        """Return whether the store served a call of ours through a peer just now."""
        return self._clock.now() - self._relayed_at < RELAYED_SECONDS

    def serves_peers_sooner(self) -> bool:
        """Return whether peers get answers within the time that this node waited in vain."""
        return self.is_relayed() and self._relay_seconds < PROMPT_SECONDS

    def append(self, append: ShardAppend, patience_seconds: float, on_result: OnAppend) -> None:
        """Append, directly or through a peer."""
        if self._prefers_relay() and self._relay_append(append, on_result):
            return
        sent_at = self._clock.now()
        self._store.append(
            append,
            patience_seconds,
            lambda result: self._take_append(append, sent_at, result, on_result),
        )

    def read_newest(self, shard: ShardId, after_key: str, on_page: OnPage) -> None:
        """Read, directly or through a peer."""
        if self._prefers_relay() and self._relay_read(shard, after_key, on_page):
            return
        self._store.read_newest(
            shard, after_key, lambda page: self._take_page(shard, after_key, page, on_page)
        )

    def serve_append(self, link: PeerLink, message: AppendRelay) -> None:
        """Make an append for a peer."""

        def answer(result: AppendResult) -> None:
            self._note(_is_served(result))
            link.send(AppendRelayAnswer(message.relay_id, result))

        self._store.append(message.append, RELAYED_CALL_SECONDS, answer)

    def serve_read(self, link: PeerLink, message: NewestRelay) -> None:
        """Make a read for a peer."""

        def answer(page: LatestRecordsPage) -> None:
            self._note(page.is_known)
            link.send(NewestRelayAnswer(message.relay_id, page))

        self._store.read_newest(message.shard, message.after_key, answer)

    def handle_relay_answer(self, message: AppendRelayAnswer | NewestRelayAnswer) -> None:
        """A peer tells what the store said."""
        relay = self._relays.pop(message.relay_id, None)
        if relay is None:
            return
        if isinstance(message, AppendRelayAnswer):
            if _is_served(message.result):
                self._note_relayed(relay)
            if relay.on_append is not None:
                relay.on_append(_timed(message.result, self._clock.now() - relay.sent_at))
            return
        if message.page.is_known:
            self._note_relayed(relay)
        if relay.on_page is not None:
            relay.on_page(message.page)

    def keep(self, now: float) -> None:
        """Give up relayed calls that are not answered."""
        for relay_id, relay in list(self._relays.items()):
            if now - relay.sent_at < RELAY_SECONDS:
                continue
            del self._relays[relay_id]
            if relay.on_append is not None:
                relay.on_append(AppendResult(AppendOutcome.UNKNOWN))
            elif relay.on_page is not None:
                relay.on_page(LatestRecordsPage(is_known=False))

    def _take_append(
        self, append: ShardAppend, sent_at: float, result: AppendResult, on_result: OnAppend
    ) -> None:
        is_served = _is_served(result)
        if not is_served and self._served_at > sent_at:
            # One answer was lost; the store has served a later call.
            on_result(result)
            return
        self._note(is_served)
        if is_served:
            on_result(_timed(result, self._clock.now() - sent_at))
        elif not self._relay_append(append, on_result):
            on_result(result)

    def _take_page(
        self, shard: ShardId, after_key: str, page: LatestRecordsPage, on_page: OnPage
    ) -> None:
        self._note(page.is_known)
        if page.is_known or not self._relay_read(shard, after_key, on_page):
            on_page(page)

    def _prefers_relay(self) -> bool:
        return self._is_away and self._clock.now() - self._turned_away_at < DIRECT_RETRY_SECONDS

    def _relay_append(self, append: ShardAppend, on_result: OnAppend) -> bool:
        link = self._choose_peer()
        if link is None:
            return False
        relay_id = self._add_relay(on_result, None)
        link.send(AppendRelay(relay_id, append))
        return True

    def _relay_read(self, shard: ShardId, after_key: str, on_page: OnPage) -> bool:
        link = self._choose_peer()
        if link is None:
            return False
        relay_id = self._add_relay(None, on_page)
        link.send(NewestRelay(relay_id, shard, after_key))
        return True

    def _add_relay(self, on_append: OnAppend | None, on_page: OnPage | None) -> int:
        self._last_relay_id += 1
        self._relays[self._last_relay_id] = _Relay(self._clock.now(), on_append, on_page)
        return self._last_relay_id

    def _choose_peer(self) -> PeerLink | None:
        """Return a peer that the store serves, in turn."""
        able = [link for link in self._peers() if link.can_reach_store]
        if not able:
            return None
        self._next_peer += 1
        return able[self._next_peer % len(able)]

    def _note_relayed(self, relay: _Relay) -> None:
        now = self._clock.now()
        self._relayed_at = now
        self._relay_seconds = now - relay.sent_at

    def _note(self, is_served: bool) -> None:
        now = self._clock.now()
        if is_served:
            self._served_at = now
            self._away_since = math.inf
        else:
            self._turned_away_at = now
            self._away_since = min(self._away_since, now)
        if self._is_away is is_served:
            self._is_away = not is_served
            event = "dependency_regained" if is_served else "dependency_lost"
            logging.info("event=%s dependency=store call=shard_log", event)


def _timed(result: AppendResult, seconds: float) -> AppendResult:
    return msgspec.structs.replace(result, call_seconds=seconds)


def _is_served(result: AppendResult) -> bool:
    return result.outcome not in (AppendOutcome.NOT_DONE, AppendOutcome.UNKNOWN)
