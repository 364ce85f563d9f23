"""Port to the workers: orders, each answered once, at worst as unanswered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from onyxspoke.core.shard.actions import (
    SendHold,
    SendPace,
    SendStart,
    SendStop,
    WorkerAddress,
)
from onyxspoke.core.shard.orders import HoldResult, OrderResult


class WorkerOrdersPort(Protocol):
    """Orders to workers.

    An order reaches the life of a worker that its address names, and no other one of that name.
    Where another one answers, the outcome is ``OTHER_INCARNATION``, for a hold with that one's
    birth.
    """

    def hold(self, order: SendHold, on_result: Callable[[HoldResult], None]) -> None:
        """Fence, extend and look."""

    def start(self, order: SendStart, on_result: Callable[[OrderResult], None]) -> None:
        """Start a run."""

    def stop(self, order: SendStop, on_result: Callable[[OrderResult], None]) -> None:
        """Stop a run."""

    def pace(self, order: SendPace, on_result: Callable[[OrderResult], None]) -> None:
        """Change the pace of a run."""

    def drop(self, address: WorkerAddress) -> None:
        """Close the connections to a life that is over."""
