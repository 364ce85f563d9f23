"""Steps about machines that are suspended."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given, then, when

from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
from onyxspoke.net.reactor_clock import SuspensionWatch

TOLERANCE_SECONDS = 0.001


@given("a boot clock at {boot:g} and a monotonic clock at {monotonic:g}")
def _clocks(context: Any, boot: float, monotonic: float) -> None:
    context.boot, context.monotonic = boot, monotonic
    context.watch = SuspensionWatch(lambda: context.boot, lambda: context.monotonic)


@when("the machine runs for {seconds:g} seconds")
def _machine_runs(context: Any, seconds: float) -> None:
    context.boot += seconds
    context.monotonic += seconds


@when("the machine is suspended for {seconds:g} seconds")
def _machine_is_suspended(context: Any, seconds: float) -> None:
    context.boot += seconds


@then("no suspension is reported")
def _no_suspension(context: Any) -> None:
    assert context.watch.take_suspended_seconds() == 0.0


@then("a suspension of {seconds:g} seconds is reported once")
def _suspension_reported(context: Any, seconds: float) -> None:
    assert abs(context.watch.take_suspended_seconds() - seconds) < TOLERANCE_SECONDS
    assert context.watch.take_suspended_seconds() == 0.0


@given("the test records the start orders of the cell's holder")
def _record_starts(context: Any) -> None:
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
    " while an append that records starts is in flight"
)
def _suspend_holder(context: Any, seconds: float) -> None:
    cluster = context.cluster
    shard_context = context.holder.node.seats[0].scheduler.context
    while not any(
        run.state is RunState.PLANNED
        for worker in shard_context.table.workers.values()
        for run in worker.runs.values()
    ):
        cluster.run(0.01)
    context.holder.process.pause()
    cluster.run(seconds)
    context.resumed_at = cluster.time.now()
    context.holder.process.resume()


@then("every start order after the suspension was sent after a new proof of ownership")
def _starts_follow_proof(context: Any) -> None:
    starts_after_resume = [
        (moment, ownership_proven_at)
        for moment, token, ownership_proven_at in context.starts
        if moment >= context.resumed_at and token == context.token
    ]
    unproven_starts = [item for item in starts_after_resume if item[1] < context.resumed_at]
    assert not unproven_starts, unproven_starts


@when("each machine in turn is suspended for {shortest:d} to {longest:d} seconds")
def _suspend_each_machine(context: Any, shortest: int, longest: int) -> None:
    cluster = context.cluster
    for number, name in enumerate(list(cluster.nodes)):
        process = cluster.nodes[name].process
        process.pause()
        cluster.run(shortest + number * (longest - shortest) / max(1, len(cluster.nodes) - 1))
        process.resume()
        cluster.run(0.3)
