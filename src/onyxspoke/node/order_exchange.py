"""Orders of a shard's holder to workers, and the answers back to the scheduler that gave them."""

from __future__ import annotations

from collections.abc import Callable

from onyxspoke.core.shard.actions import (
    DropWorkerConnections,
    SendHold,
    SendPace,
    SendStart,
    SendStop,
)
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.ports.worker_orders import WorkerOrdersPort

#: Gives an answer to the scheduler that asked, if that still decides.
Feed = Callable[[ShardScheduler, Callable[[float], None]], None]


class OrderExchange:
    """Carries orders out and feeds their answers back.

    Parameters
    ----------
    orders : WorkerOrdersPort
        The workers.
    feed : callable
        Takes the scheduler that gave an order, and what to tell it.
    """

    def __init__(self, orders: WorkerOrdersPort, feed: Feed) -> None:
        self._orders = orders
        self._feed = feed

    def hold(self, scheduler: ShardScheduler, action: SendHold) -> None:
        """Fence, extend and look."""
        self._orders.hold(
            action,
            lambda result: self._feed(
                scheduler,
                lambda now: scheduler.on_hold_result(action.address, action.number, result, now),
            ),
        )

    def start(self, scheduler: ShardScheduler, action: SendStart) -> None:
        """Start a run."""
        self._orders.start(
            action,
            lambda result: self._feed(
                scheduler,
                lambda now: scheduler.on_start_result(action.address, action.run, result, now),
            ),
        )

    def stop(self, scheduler: ShardScheduler, action: SendStop) -> None:
        """Stop a run."""
        self._orders.stop(
            action,
            lambda result: self._feed(
                scheduler,
                lambda now: scheduler.on_stop_result(action.address, action.run, result, now),
            ),
        )

    def pace(self, scheduler: ShardScheduler, action: SendPace) -> None:
        """Change the pace of a run."""
        self._orders.pace(
            action,
            lambda result: self._feed(
                scheduler, lambda now: scheduler.on_pace_result(action, result, now)
            ),
        )

    def drop(self, _scheduler: ShardScheduler, action: DropWorkerConnections) -> None:
        """Close the connections to a life that is over."""
        self._orders.drop(action.address)
