"""A way on which calls can be sent to a shard's holder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxspoke.core.shard.calls import Call


@dataclass(frozen=True, slots=True)
class CallRoute:
    """A way to a shard's holder.

    Attributes
    ----------
    token : int
        Fencing token under which the holder was last known to hold the shard.
    incarnation : str
        Process at the other end.
    path : object
        Stream, or scheduler of this node, that delivers the reply; compared by identity.
    send : callable
        Sends a copy of a call under its number.
    """

    token: int
    incarnation: str
    path: object
    send: Callable[[int, Call], None]
