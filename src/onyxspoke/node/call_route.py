"""A way on which calls can be sent to a shard's holder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxspoke.core.shard.call_copies import CopyTarget
from onyxspoke.core.shard.calls import Call


@dataclass(frozen=True, slots=True)
class CallRoute:
    """A way to a shard's holder.

    Attributes
    ----------
    target : CopyTarget
        The holder at the other end.
    path : object
        Stream, or seat of this node, on which the reply comes; compared by identity.
    send : callable
        Sends a copy of a call under its number.
    """

    target: CopyTarget
    path: object
    send: Callable[[int, Call], None]
