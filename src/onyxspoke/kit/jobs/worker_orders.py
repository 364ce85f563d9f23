"""The stand-ins for workers as one node reaches them: orders that are lost, late or unanswered."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Generic, TypeVar

from onyxspoke.core.shard.actions import (
    SendHold,
    SendPace,
    SendStart,
    SendStop,
    WorkerAddress,
)
from onyxspoke.core.shard.orders import HoldResult, OrderOutcome, OrderResult
from onyxspoke.kit.jobs.timers import Path, Timers
from onyxspoke.kit.jobs.workers import FakeWorker, FakeWorkerPool

ORDER_TIMEOUT_SECONDS = 0.3
HOLD_SLACK_SECONDS = 0.3
_MILLISECONDS = 1_000.0

Result = TypeVar("Result")


class FakeWorkerOrders:
    """The workers as one node reaches them; implements ``WorkerOrdersPort``."""

    def __init__(self, pool: FakeWorkerPool, node_name: str, path: Path) -> None:
        self._pool = pool
        self._node_name = node_name
        self._path = path

    def hold(self, order: SendHold, on_result: Callable[[HoldResult], None]) -> None:
        """Fence, extend and look."""
        timeout = order.wait_ms / _MILLISECONDS + HOLD_SLACK_SECONDS
        exchange = _Exchange(self._path, self._pool.timers, order.address, on_result)
        exchange.expire(timeout, HoldResult(OrderOutcome.NO_ANSWER))
        self._send(
            order.address,
            lambda worker, is_late: worker.hold(
                order, exchange.ignore if is_late else exchange.answer
            ),
            lambda outcome, born_ms: exchange.answer(HoldResult(outcome, born_ms=born_ms)),
            outlives_worker=False,
        )

    def start(self, order: SendStart, on_result: Callable[[OrderResult], None]) -> None:
        """Start a run."""
        self._order(order.address, lambda worker: worker.start(order, self._node_name), on_result)

    def stop(self, order: SendStop, on_result: Callable[[OrderResult], None]) -> None:
        """Stop a run."""
        self._order(order.address, lambda worker: worker.stop(order), on_result)

    def pace(self, order: SendPace, on_result: Callable[[OrderResult], None]) -> None:
        """Change the pace of a run."""
        self._order(order.address, lambda worker: worker.set_pace(order), on_result)

    def drop(self, address: WorkerAddress) -> None:
        """Do nothing: there are no connections."""

    def _order(
        self,
        address: WorkerAddress,
        carry_out: Callable[[FakeWorker], OrderResult],
        on_result: Callable[[OrderResult], None],
    ) -> None:
        exchange = _Exchange(self._path, self._pool.timers, address, on_result)
        exchange.expire(ORDER_TIMEOUT_SECONDS, OrderResult(OrderOutcome.NO_ANSWER))

        def arrive(worker: FakeWorker, is_late: bool) -> None:
            result = carry_out(worker)
            if not is_late:
                exchange.answer(result)

        self._send(
            address,
            arrive,
            lambda outcome, _born_ms: exchange.answer(OrderResult(outcome)),
            outlives_worker=True,
        )

    def _send(
        self,
        address: WorkerAddress,
        arrive: Callable[[FakeWorker, bool], None],
        refuse: Callable[[OrderOutcome, int], None],
        *,
        outlives_worker: bool,
    ) -> None:
        """Send an order; a late one that outlives its worker reaches the next one of that name."""
        pool = self._pool

        def reach() -> None:
            worker = pool.find(address)
            if worker is None:
                is_replaced = address.worker_id in pool.replaced
                refuse(OrderOutcome.OTHER_INCARNATION if is_replaced else OrderOutcome.NO_ANSWER, 0)
                return
            if address.born_ms not in (0, worker.record.born_ms):
                refuse(OrderOutcome.OTHER_INCARNATION, worker.record.born_ms)
                return
            if pool.random.random() < worker.faults.late_share:
                late = partial(carry_out_late, worker)
                pool.timers.schedule(worker.faults.late_seconds, late)
                return
            arrive(worker, False)

        def carry_out_late(worker: FakeWorker) -> None:
            present = pool.find(address) if outlives_worker else worker
            if present is None or not present.is_up:
                return
            if present is not worker and not present.token:
                # No node has reached the next life yet, so none could have prevented this.
                return
            arrive(present, True)

        self._path.to_outside(address.worker_id, reach)


class _Exchange(Generic[Result]):
    """One order: the first of its answer and its timeout counts."""

    def __init__(
        self,
        path: Path,
        timers: Timers,
        address: WorkerAddress,
        on_result: Callable[[Result], None],
    ) -> None:
        self._path = path
        self._timers = timers
        self._address = address
        self._on_result = on_result
        self._is_over = False

    def answer(self, result: Result) -> None:
        self._path.to_node(self._address.worker_id, lambda: self._finish(result))

    def ignore(self, result: Result) -> None:
        """Lose an answer."""

    def expire(self, seconds: float, result: Result) -> None:
        self._timers.schedule(seconds, lambda: self._path.to_node("", lambda: self._finish(result)))

    def _finish(self, result: Result) -> None:
        if not self._is_over:
            self._is_over = True
            self._on_result(result)
