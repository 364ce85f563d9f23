"""Steps about orders over the wire to workers that start again under their names."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from slow_link_steps import _Endpoints
from twisted.internet.task import Clock

from onyxspoke.core.jobs.model import RunKey, TaskKey
from onyxspoke.core.shard.actions import SendHold, SendStart, SendStop, WorkerAddress
from onyxspoke.core.shard.orders import OrderOutcome
from onyxspoke.net.http_client import HttpClient
from onyxspoke.platform.workers import ORDER_SECONDS, WorkerOrders

RUN = RunKey(TaskKey("00000000000000c1", 0, 0, 0), 1)
TOKEN = 7


class _WireWorker:
    """Answers what is written on connections, each in the name of the life that it reached."""

    def __init__(self, context: Any, born_ms: int) -> None:
        self._context = context
        self.born_ms = born_ms
        #: Calls that each life has had: their names and bodies.
        self.calls: dict[int, list[tuple[str, dict[str, Any]]]] = {}
        self._life_of: dict[int, int] = {}
        self._read: dict[int, int] = {}
        self._closed: set[int] = set()

    def answer_all(self) -> None:
        """Answer until nothing more is written."""
        while any([self._answer(protocol) for protocol in self._protocols()]):
            pass

    def reset(self) -> None:
        """Reset every connection."""
        for protocol in self._protocols():
            self._closed.add(id(protocol))
            protocol.connectionLost()

    def fall_silent(self) -> None:
        """Answer nothing more on the connections that there are."""
        self._closed.update(id(protocol) for protocol in self._protocols())

    def _protocols(self) -> list[Any]:
        protocols = self._context.endpoints.protocols
        return [protocol for protocol in protocols if id(protocol) not in self._closed]

    def _answer(self, protocol: Any) -> bool:
        life = self._life_of.setdefault(id(protocol), self.born_ms)
        written = protocol.transport.value()
        request = written[self._read.get(id(protocol), 0) :]
        if not request:
            return False
        self._read[id(protocol)] = len(written)
        head, _, body = request.partition(b"\r\n\r\n")
        name = head.split(b" ")[1].rpartition(b"/")[2].decode()
        self.calls.setdefault(life, []).append((name, json.loads(body)))
        lists = {"running": [], "ended": []} if name == "hold" else {}
        birth = {"born": life} if life and name == "hold" else {}
        answer = json.dumps({"clockMs": 5, **lists, **birth}).encode()
        protocol.dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer)
        )
        return True


def _begin(context: Any, born_ms: int) -> None:
    context.clock = Clock()
    context.endpoints = _Endpoints()
    context.orders = WorkerOrders(HttpClient(context.clock, context.endpoints))
    context.worker = _WireWorker(context, born_ms)
    context.results = []


def _address(born_ms: int) -> WorkerAddress:
    return WorkerAddress("i-1", "10.9.0.1", 8_000, born_ms)


def _hold(context: Any, born_ms: int, last_seen: int) -> None:
    order = SendHold(_address(born_ms), TOKEN, last_seen, 0, 0, 1)
    context.orders.hold(order, context.results.append)


def _start(context: Any, born_ms: int) -> None:
    order = SendStart(_address(born_ms), TOKEN, RUN, "text", until_ms=9)
    context.orders.start(order, context.results.append)


def _finish(context: Any) -> None:
    context.worker.answer_all()
    context.clock.advance(ORDER_SECONDS + 0.01)


@given("a worker on the wire that was born at {born_ms:d} and has listed ends")
def _worker(context: Any, born_ms: int) -> None:
    _begin(context, born_ms)
    for last_seen in (0, 4):
        _hold(context, born_ms, last_seen)
        context.worker.answer_all()
    _start(context, born_ms)
    _finish(context)
    assert [result.outcome for result in context.results] == [OrderOutcome.DONE] * 3
    context.results.clear()
    context.worker.calls.clear()


@given("a worker on the wire that does not say when it was born")
def _silent_on_birth(context: Any) -> None:
    _begin(context, 0)


@when("it starts again at {born_ms:d}, and its connections are reset")
def _restart(context: Any, born_ms: int) -> None:
    context.worker.reset()
    context.worker.born_ms = born_ms


@when("its connections are reset")
def _reset(context: Any) -> None:
    context.worker.reset()


@when("it loses power and starts again at {born_ms:d}, and its connections say nothing")
def _power(context: Any, born_ms: int) -> None:
    context.worker.fall_silent()
    context.worker.born_ms = born_ms


@when(
    "a hold that notes ends through {last_seen:d} that was meant for the life born at {born:d}"
    " is sent"
)
def _send_hold(context: Any, last_seen: int, born: int) -> None:
    _hold(context, born, last_seen)
    _finish(context)


@when("a start that was meant for the life born at {born_ms:d} is sent")
def _send_start(context: Any, born_ms: int) -> None:
    _start(context, born_ms)
    _finish(context)


@when("a start that was meant for any life is sent")
def _send_to_any(context: Any) -> None:
    _send_start(context, 0)


@when("a stop that was meant for the life born at {born_ms:d} is sent")
def _send_stop(context: Any, born_ms: int) -> None:
    context.orders.stop(SendStop(_address(born_ms), TOKEN, RUN), context.results.append)
    _finish(context)


@then('the order\'s outcome is "{outcome}", and {born_ms:d} is told for a hold')
def _outcome(context: Any, outcome: str, born_ms: int) -> None:
    result = context.results[-1]
    assert result.outcome.value == outcome, result
    assert getattr(result, "born_ms", born_ms) == born_ms, result


@then("the start was not answered")
def _unanswered(context: Any) -> None:
    assert context.results[-1].outcome is OrderOutcome.NO_ANSWER, context.results


@then("the life born at {born_ms:d} was asked to look and nothing else")
def _only_looks(context: Any, born_ms: int) -> None:
    calls = context.worker.calls[born_ms]
    assert calls == [("hold", {"fencingToken": TOKEN, "lastSeen": 0})], calls


@then("the life born at {born_ms:d} was asked to look once more")
def _one_look(context: Any, born_ms: int) -> None:
    names = [name for name, _body in context.worker.calls[born_ms]]
    assert names == ["hold", "run-start", "run-start"], names


@then("the worker was never asked to look")
def _no_look(context: Any) -> None:
    names = [name for calls in context.worker.calls.values() for name, _body in calls]
    assert names == ["run-start"], names


@then("both starts are done")
@then("the start is done")
def _done(context: Any) -> None:
    assert all(result.outcome is OrderOutcome.DONE for result in context.results), context.results
