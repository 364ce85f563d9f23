"""How many jobs of a queue wait, summed over the shards."""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.shard.calls import CallReply, ReplyCode


class WaitingSum:
    """Gathers one reply a shard, and replies once.

    Parameters
    ----------
    count : int
        How many shards are asked.
    on_reply : callable
        Takes the sum, or the first reply that tells no number.
    """

    def __init__(self, count: int, on_reply: Callable[[CallReply], None]) -> None:
        self._missing = count
        self._waiting = 0
        self._is_over = False
        self._on_reply = on_reply

    def add(self, reply: CallReply) -> None:
        """Take the reply of one shard."""
        if self._is_over:
            return
        self._missing -= 1
        self._waiting += reply.waiting
        if reply.code is not ReplyCode.OK:
            self._finish(reply)
        elif self._missing == 0:
            self._finish(CallReply(code=ReplyCode.OK, waiting=self._waiting))

    def _finish(self, reply: CallReply) -> None:
        self._is_over = True
        self._on_reply(reply)
