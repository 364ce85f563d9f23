"""Steps in which orders leave, arrive or are answered long after they were decided."""

from __future__ import annotations

from functools import partial
from typing import Any
from unittest import mock

from behave import given, then, when
from job_directed_steps import SECOND_JOB, _send, _whole_worker_job
from order_bound_steps import _cut_zone, _other_names
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from onyxspoke.core.jobs.model import RunKey, TaskKey
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.worker_clock import SLOWEST_CLOCK_FACTOR, WorkerClock
from onyxspoke.core.shard.actions import SendStart, WorkerAddress
from onyxspoke.core.shard.orders import OrderOutcome
from onyxspoke.kit.jobs.workers import FakeWorker
from onyxspoke.net.http_client import HttpClient
from onyxspoke.platform import order_ages
from onyxspoke.platform.workers import ORDER_SECONDS, WorkerOrders

STEP_SECONDS = 0.0005
LONGEST_WAIT_SECONDS = 3.0
#: So long after the cut the holder may order for less than a second more.
LAST_CALLS_SECONDS = 2.7
#: When orders over the wire are decided.
DECIDED_AT = 64.0
LEASE_MS = 6_000
READ_MS = 1_000
_MILLISECONDS = 1_000.0


def _wait_until(context: Any, what: str, is_so: Any) -> None:
    for _ in range(int(LONGEST_WAIT_SECONDS / STEP_SECONDS)):
        context.cluster.run(STEP_SECONDS)
        if is_so():
            return
    raise AssertionError(f"it never came about that {what}")


def _cut_others(context: Any, workers: list[str]) -> None:
    for name in _other_names(context):
        context.cluster.cut(f"host-{name}", workers)


@given("workers whose leases count from the arrival of an order")
def _leases_from_arrival(context: Any) -> None:
    original = FakeWorker._extend

    def extend(worker: FakeWorker, until_ms: int) -> None:
        original(worker, worker.clock_ms() + worker._pool.maximum_hold_ms)

    patch = mock.patch.object(FakeWorker, "_extend", extend)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "the holder and that worker are cut off, and at its last call there it stands still for"
    " {seconds:g} s"
)
def _stand_still_at_call(context: Any, seconds: float) -> None:
    cluster, process = context.cluster, context.holder.process
    (worker_id,) = context.busy
    _cut_zone(context, [context.holder.name], _other_names(context))
    cluster.run(LAST_CALLS_SECONDS)
    process.pause_at_call_to = worker_id
    _wait_until(context, "the holder is about to call", lambda: process.paused)
    shard = context.holder.node.seats[0].scheduler.context
    assert shard.may_send_orders(cluster.time.now())
    cluster.time.schedule(seconds, process.resume)
    # What it had decided leaves, and nothing after that: its way to the worker is cut, too.
    cut = partial(cluster.cut, context.holder.host, context.busy)
    cluster.time.schedule(seconds + STEP_SECONDS, cut)


@when(
    "a second job's start is on its way for {seconds:g} s while its holder dies, and the next"
    " holder {case}"
)
def _start_on_its_way(context: Any, seconds: float, case: str) -> None:
    cluster = context.cluster
    for worker in cluster.pool.workers.values():
        worker.faults.late_share, worker.faults.late_seconds = 1.0, seconds
    _send(context, _whole_worker_job(context, SECOND_JOB), 0.0)
    table = context.holder.node.seats[0].scheduler.context.table

    def starting() -> list[str]:
        return [
            worker.worker_id
            for worker in table.workers.values()
            for key, run in worker.runs.items()
            if key.task.job_id == SECOND_JOB and run.state is RunState.STARTING
        ]

    _wait_until(context, "the start is ordered", lambda: bool(starting()))
    cluster.run(2 * STEP_SECONDS)
    for worker in cluster.pool.workers.values():
        worker.faults.late_share = 0.0
    if case != "reaches the worker":
        _cut_others(context, starting())
    cluster.kill_node(context.holder.name)


@then("the second job has been started {count:d} time(s)")
def _second_starts(context: Any, count: int) -> None:
    assert context.cluster.audit.counts["starts"] == context.starts_before + count, (
        context.cluster.audit.counts
    )


@when(
    "the holder stands still for {seconds:g} s while that worker answers, and does not reach it"
    " after"
)
def _answer_late(context: Any, seconds: float) -> None:
    cluster, process = context.cluster, context.holder.process
    worker = cluster.pool.workers[context.busy[0]]
    _cut_others(context, context.busy)
    # The holder's call is there, and its answer waits for an end.
    _wait_until(context, "a call waits", lambda: bool(worker._waiting))
    process.pause()
    cluster.time.schedule(seconds, process.resume)
    for answer in worker._waiting:
        answer()
    cluster.run(2 * STEP_SECONDS)
    cluster.cut(context.holder.host, context.busy)


@given("a worker's clock that is slow by 2%, read {age:g} s ago")
def _slow_clock(context: Any, age: float) -> None:
    context.clock = WorkerClock()
    context.clock.read(READ_MS, 0.0)
    context.now = age


def _true_ms(now: float) -> float:
    return READ_MS + now / SLOWEST_CLOCK_FACTOR * _MILLISECONDS


@then("a time of 6 s after now, as its holder puts it, is at most 6 s ahead on that clock")
def _at_most(context: Any) -> None:
    until_ms = context.clock.estimate_ms(context.now) + LEASE_MS
    latest_ms = _true_ms(context.now) + LEASE_MS
    assert until_ms <= latest_ms, (until_ms, latest_ms)


@then("the holder takes it for passed only once it is")
def _passed(context: Any) -> None:
    until_ms = context.clock.estimate_ms(context.now) + LEASE_MS
    passed_at = context.clock.passes_at(until_ms)
    assert _true_ms(passed_at) >= until_ms - 1e-6, (_true_ms(passed_at), until_ms)


class _HeldEndpoints:
    """Connections that come about when they are told to."""

    def __init__(self) -> None:
        self._held: list[tuple[Deferred[Any], Any]] = []
        self.protocols: list[Any] = []

    def client(self, _host: str, _port: int) -> _HeldEndpoints:
        return self

    def connect(self, factory: Any) -> Deferred[Any]:
        attempt: Deferred[Any] = Deferred()
        self._held.append((attempt, factory))
        return attempt

    def let_through(self) -> None:
        for attempt, factory in self._held:
            protocol = factory.buildProtocol(None)
            transport = StringTransport()
            transport.abortConnection = transport.loseConnection
            transport.setTcpNoDelay = lambda _enabled: None
            self.protocols.append(protocol)
            protocol.makeConnection(transport)
            attempt.callback(protocol)

    def written(self) -> bytes:
        return b"".join(protocol.transport.value() for protocol in self.protocols)


@given("an order that waits for a connection to its worker")
def _waiting_order(context: Any) -> None:
    _make_orders(context, 1)


@given("{count:d} orders that wait for a connection to their worker")
def _waiting_orders(context: Any, count: int) -> None:
    _make_orders(context, count)


def _make_orders(context: Any, count: int) -> None:
    context.clock, context.endpoints, context.results = Clock(), _HeldEndpoints(), []
    context.clock.advance(DECIDED_AT)
    orders = WorkerOrders(HttpClient(context.clock, context.endpoints))
    patch = mock.patch.object(order_ages.logging, "info")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)
    for index in range(count):
        run = RunKey(TaskKey("00000000000000c1", 0, 0, index), 1)
        address = WorkerAddress("i-1", "10.9.0.1", 8_000, 0)
        order = SendStart(address, 7, run, "text", until_ms=9, decided_at=DECIDED_AT)
        orders.start(order, context.results.append)


@then("the log tells of no late order")
def _told_of_none(context: Any) -> None:
    assert not context.logged.called, context.logged.call_args


@then("the log tells of one of them, {age:d} ms late")
def _told_of_one(context: Any, age: int) -> None:
    lines = [call.args[0] % call.args[1:] for call in context.logged.call_args_list]
    assert lines == [f"event=order_late order=run-start worker=i-1 age_ms={age} late=1"], lines


@when("its time is over, and the connection comes about after that")
def _connect_later(context: Any) -> None:
    context.clock.advance(ORDER_SECONDS + 0.01)
    context.endpoints.let_through()


@then("it counts as not sent, and nothing was written")
def _not_sent(context: Any) -> None:
    assert [result.outcome for result in context.results] == [OrderOutcome.NOT_SENT]
    assert not context.endpoints.written()


@when("the process stands still for {seconds:g} s, and the connection comes about as it goes on")
def _stand_still(context: Any, seconds: float) -> None:
    # The connection is looked at before the timers that are due.
    context.clock.rightNow += seconds
    context.endpoints.let_through()


@when("the worker does not answer")
def _no_answer(context: Any) -> None:
    context.clock.advance(ORDER_SECONDS)


@then("it was written, and counts as unanswered")
def _unanswered(context: Any) -> None:
    assert b"run-start" in context.endpoints.written()
    assert [result.outcome for result in context.results] == [OrderOutcome.NO_ANSWER]
