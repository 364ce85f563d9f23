"""Calls to the advice service, made by the holder's own machine or by its peers'.

The service works for each calling machine on one call at a time, so a holder spreads its calls
over the nodes that are connected to it.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from onyxspoke.core.shard.actions import RequestAdvice
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult
from onyxspoke.node.messages import AdviceAnswer, AdviceForward
from onyxspoke.node.peers import PeerLink, PeerLinks
from onyxspoke.ports.advice import AdvicePort

#: Takes an answer.
OnAdvice = Callable[[AdviceResult], None]


class AdviceExchange:
    """Carries calls for advice between nodes.

    Calls are numbered by the node: a shard's holder numbers its own anew in each term, and an
    answer that was asked for in an earlier term must not count for a later call.

    Parameters
    ----------
    port : AdvicePort
        The service, as this machine reaches it.
    own_life : str
        This node's own name among the advisors.
    peers : PeerLinks
        Streams to the others.
    """

    def __init__(self, port: AdvicePort, own_life: str, peers: PeerLinks) -> None:
        self._port = port
        self._own_life = own_life
        self._peers = peers
        self._last_number = 0
        #: Calls that were passed on to a peer, by the stream on which its answer comes.
        self._passed_on: dict[PeerLink, dict[int, OnAdvice]] = {}

    def advisors(self) -> list[str]:
        """Return the lives of the nodes through which calls can go, this one's first.

        The others are in the same order at every holder.
        """
        lives = [link.identity.incarnation for link in self._peers.up_links() if link.identity]
        return [self._own_life, *sorted(lives, key=lambda life: zlib.crc32(life.encode()))]

    def ask(self, shard: ShardId, action: RequestAdvice, on_result: OnAdvice) -> None:
        """Have the advisor of a call ask; ``on_result`` is called at most once."""
        if action.advisor == self._own_life:
            self._port.ask(action.step, action.worker_ids, on_result)
            return
        for link in self._peers.up_links():
            if link.identity is not None and link.identity.incarnation == action.advisor:
                self._last_number += 1
                self._passed_on.setdefault(link, {})[self._last_number] = on_result
                link.send(AdviceForward(shard, self._last_number, action.step, action.worker_ids))
                return
        on_result(AdviceResult(AdviceOutcome.NO_ANSWER))

    def serve(self, link: PeerLink, message: AdviceForward) -> None:
        """Ask for a peer."""

        def answer(result: AdviceResult) -> None:
            link.send(AdviceAnswer(message.shard, message.call_id, result))

        self._port.ask(message.step, message.worker_ids, answer)

    def handle_link_lost(self, link: PeerLink) -> None:
        """Answers to what was passed on over a stream will not come."""
        for on_result in self._passed_on.pop(link, {}).values():
            on_result(AdviceResult(AdviceOutcome.NO_ANSWER))

    def take(self, link: PeerLink, message: AdviceAnswer) -> None:
        """A peer tells what the service said."""
        on_result = self._passed_on.get(link, {}).pop(message.call_id, None)
        if on_result is not None:
            on_result(message.result)
