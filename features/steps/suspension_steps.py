"""Steps about machines that are suspended."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when

from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
from onyxspoke.net.reactor_clock import SuspensionWatch

CLOSE_SECONDS = 0.001


@given("a boot clock at {boot:g} and a steady clock at {steady:g}")
def _clocks(context: Any, boot: float, steady: float) -> None:
    context.boot, context.steady = boot, steady
    context.watch = SuspensionWatch(lambda: context.boot, lambda: context.steady)


@when("the machine works for {seconds:g} seconds")
def _works(context: Any, seconds: float) -> None:
    context.boot += seconds
    context.steady += seconds


@when("the machine is suspended for {seconds:g} seconds")
def _suspended(context: Any, seconds: float) -> None:
    context.boot += seconds


@then("no suspension is told")
def _none(context: Any) -> None:
    assert context.watch.take_suspended_seconds() == 0.0


@then("a suspension of {seconds:g} seconds is told, once")
def _told(context: Any, seconds: float) -> None:
    assert abs(context.watch.take_suspended_seconds() - seconds) < CLOSE_SECONDS
    assert context.watch.take_suspended_seconds() == 0.0


@given("the starts that its holder orders are noted")
def _noted(context: Any) -> None:
    cluster = context.cluster
    holder = context.holder = cluster.holder()
    context.starts = []
    original = FakeWorkerOrders.start

    def start(orders: FakeWorkerOrders, order: SendStart, on_result: Any) -> None:
        if holder.is_holding:
            ownership_proven_at = holder.node.seats[0].scheduler.context.commit.ownership_proven_at
            context.starts.append((cluster.time.now(), order.token, ownership_proven_at))
        original(orders, order, on_result)

    patch = mock.patch.object(FakeWorkerOrders, "start", start)
    patch.start()
    context.add_cleanup(patch.stop)
    context.token = holder.node.seats[0].scheduler.context.token


@when(
    "the holder's machine is suspended for {seconds:g} seconds,"
    " with starts on their way to the store"
)
def _suspend(context: Any, seconds: float) -> None:
    cluster = context.cluster
    book = context.holder.node.seats[0].scheduler.context
    while not any(
        run.state is RunState.PLANNED
        for worker in book.table.workers.values()
        for run in worker.runs.values()
    ):
        cluster.run(0.01)
    context.holder.process.pause()
    cluster.run(seconds)
    context.woken_at = cluster.time.now()
    context.holder.process.resume()


@then("every start after it was ordered on a proof from after it")
def _proved(context: Any) -> None:
    after = [
        (moment, ownership_proven_at)
        for moment, token, ownership_proven_at in context.starts
        if moment >= context.woken_at and token == context.token
    ]
    early = [item for item in after if item[1] < context.woken_at]
    assert not early, early


@when("every machine is suspended for {shortest:d} to {longest:d} seconds, one after the other")
def _each(context: Any, shortest: int, longest: int) -> None:
    cluster = context.cluster
    for number, name in enumerate(list(cluster.nodes)):
        process = cluster.nodes[name].process
        process.pause()
        cluster.run(shortest + number * (longest - shortest) / max(1, len(cluster.nodes) - 1))
        process.resume()
        cluster.run(0.3)
