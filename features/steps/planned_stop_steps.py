"""Steps about planned stops of nodes whose clients speak HTTP, in a simulated cell."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

from behave import given, then, when
from job_ingress_steps import HOST, QUEUES, SMALL_JOB
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from onyxspoke.core.routing import RouteEntry
from onyxspoke.core.tenants.keys import KeyRing
from onyxspoke.net.bounded_http import BoundedSite, HttpLimits
from onyxspoke.node import planned_stop
from onyxspoke.node.planned_stop import PlannedStop
from onyxspoke.node.stop_schedule import OpenWork, StopPhase, StopSchedule
from onyxspoke.platform.ingress import IngressResource
from onyxspoke.ports.configuration import CellConfiguration
from onyxspoke.sim.job_cluster import (
    START_SECONDS,
    ClusterOptions,
    JobCluster,
    SimulatedNode,
    key_of,
    make_configuration,
)

SETTLE_SECONDS = 2.0
DEADLINE_MS = 3_000
NETWORK_SECONDS = 0.001
RESTART_SECONDS = 0.5
STEP_SECONDS = 0.005
#: An accepted job, and a job that nobody has submitted.
SERVED_STATUSES = (200, 410)
#: What clients send in turn.
METHODS = ("POST", "POST", "GET", "POST", "DELETE")
#: The last requests of a run; a cell that has recovered serves them.
RECOVERED_SECONDS = 3.0


@dataclass
class ClientRequest:
    """One request of a client, as the client sees it."""

    node: str
    sent_at: float
    is_whole: bool = True
    answer: bytes = b""
    answered_at: float | None = None
    was_cut: bool = False

    @property
    def head(self) -> str:
        return self.answer.partition(b"\r\n\r\n")[0].decode().lower()

    @property
    def status(self) -> int:
        return int(self.head.split()[1])

    @property
    def is_served(self) -> bool:
        """Whether a holder decided about the request."""
        return self.answered_at is not None and self.status in SERVED_STATUSES


class ClientConnection(StringTransport):
    """A connection that a client keeps until the process at its other end closes it."""

    def __init__(self, cell: Cell, front: Front, reads: bool = True) -> None:
        super().__init__()
        self._cell = cell
        self._reads = reads
        self._requests: list[ClientRequest] = []
        self.node_name = front.simulated.name
        self.is_open = True
        self._front = front
        self._protocol: Any = None
        front.connections.append(self)
        self._read_later(self._accept)

    @property
    def is_idle(self) -> bool:
        """Whether the client may send its next request."""
        return self.is_open and not self.disconnecting and not self._requests

    def send(self, data: bytes, is_whole: bool = True) -> ClientRequest:
        request = ClientRequest(self.node_name, self._cell.cluster.time.now(), is_whole)
        self._requests.append(request)
        self._read_later(lambda: self._receive(data))
        return request

    def _read_later(self, read: Callable[[], None]) -> None:
        """Have the process read after its timers, as a reactor does that was held up."""
        process = self._front.simulated.process
        time = self._cell.cluster.time
        process.run(lambda: time.schedule(0.0, lambda: process.run(read)))

    def _accept(self) -> None:
        if self._front.port.is_open:
            self._protocol = self._front.site.buildProtocol(None)
            self._protocol.makeConnection(self)
        else:
            self.end()

    def _receive(self, data: bytes) -> None:
        if self.is_open and not self.disconnecting:
            self._protocol.dataReceived(data)

    def write(self, data: bytes) -> None:
        super().write(data)
        text = self.value()
        head, end, body = text.partition(b"\r\n\r\n")
        if not end or not self._requests:
            return
        length = next(
            int(line.partition(b":")[2])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        if len(body) >= length:
            request = self._requests.pop(0)
            request.answer = text
            request.answered_at = self._cell.cluster.time.now()
            self.clear()

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        if not self.disconnecting:
            super().loseConnection()
            if self._reads:
                self._cell.cluster.time.schedule(NETWORK_SECONDS, self.end)

    def end(self) -> None:
        """The connection is gone; what was not answered by now never is."""
        if self.is_open:
            self.is_open = False
            for request in self._requests:
                request.was_cut = True
            if self._protocol is not None:
                self._protocol.connectionLost(Failure(ConnectionDone()))


class ListeningPort:
    """The front's server socket."""

    def __init__(self) -> None:
        self.is_open = True

    def stopListening(self) -> None:  # noqa: N802
        self.is_open = False


class Front:
    """What one process of a node shows its clients."""

    def __init__(self, cell: Cell, simulated: SimulatedNode) -> None:
        self._cell = cell
        self.simulated = simulated
        self.connections: list[ClientConnection] = []
        self.port = ListeningPort()
        reactor = simulated.process.reactor
        self.site = BoundedSite(IngressResource(simulated.node), reactor, HttpLimits())
        self.site.listen(mock.Mock(listen=lambda _site: succeed(self.port)))
        self._stop = PlannedStop(simulated.node, reactor, [self.site], self._end)
        self.stopped_at: float | None = None
        self.ended_at: float | None = None

    @property
    def grace_seconds(self) -> float:
        return self.simulated.node.settings.stop_grace_seconds

    @property
    def stop_seconds(self) -> float:
        """How long the stop took; without a bound if it is not over."""
        if self.stopped_at is None or self.ended_at is None:
            return math.inf
        return self.ended_at - self.stopped_at

    def stop(self) -> None:
        self.stopped_at = self._cell.cluster.time.now()
        self._cell.cluster.time.schedule(self.grace_seconds, self._kill)
        self.simulated.process.run(self._stop.begin)

    def lose_process(self) -> None:
        """The process is gone; what was not answered by now never is."""
        self._cell.cluster.kill_node(self.simulated.name)
        self.port.is_open = False
        for connection in self.connections:
            connection.end()

    def _kill(self) -> None:
        if self.ended_at is None:
            self._end()

    def _end(self) -> None:
        self.ended_at = self._cell.cluster.time.now()
        self.lose_process()
        self._cell.cluster.time.schedule(RESTART_SECONDS, self._start_again)

    def _start_again(self) -> None:
        self._cell.start_node(self.simulated.name)


class Cell:
    """A simulated cell whose nodes are called over HTTP."""

    def __init__(self, nodes: int, key: str = "") -> None:
        self._key = key
        self._random = random.Random(f"clients/{nodes}")
        self.cluster = JobCluster(ClusterOptions(seed=3, nodes=nodes, with_advice=False))
        configuration = make_configuration(1, False)
        routes = tuple(RouteEntry(name, HOST, f"/{name}/", DEADLINE_MS) for name in QUEUES)
        self.cluster.configuration.configuration = CellConfiguration(
            policy=configuration.policy,
            routes=routes,
            keys=KeyRing({key_of("a"): "a"}, bool(key)),
            raw=configuration.raw,
        )
        self.fronts: dict[str, Front] = {}
        self.ended: list[Front] = []
        self.requests: list[ClientRequest] = []
        self._clients: list[ClientConnection] = []
        self._count = 0
        #: Lines that planned stops log.
        self.log: list[str] = []
        self.cluster.start()
        for simulated in self.cluster.nodes.values():
            self.fronts[simulated.name] = Front(self, simulated)
        self.cluster.run(SETTLE_SECONDS)

    def start_node(self, name: str) -> None:
        self.ended.append(self.fronts[name])
        self.fronts[name] = Front(self, self.cluster.start_node(name))

    def choose_front(self) -> Front | None:
        """Return the front that the balancer chooses: a ready one if there is any."""
        listening = [front for front in self.fronts.values() if front.port.is_open]
        ready = [front for front in listening if front.simulated.node.is_ready]
        choices = ready or listening
        return choices[self._count % len(choices)] if choices else None

    def send(self, method: str = "", reads: bool = True) -> ClientRequest | None:
        """Send a request on a kept connection that is idle, or on a new one."""
        self._count += 1
        method = method or METHODS[self._count % len(METHODS)]
        body = SMALL_JOB if method == "POST" else ""
        head = (
            f"{method} /normal/{self._count:016x} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Deadline-Ms: {DEADLINE_MS}\r\n{self._key_line()}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return self._send_on(self._idle_connection(reads), (head + body).encode())

    def _key_line(self) -> str:
        return f"Authorization: Token {self._key}\r\n" if self._key else ""

    def send_half(self) -> ClientRequest | None:
        """Send a request of which half is missing."""
        head = (
            f"POST /normal/00000000000000ff HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 99\r\n\r\n"
        )
        return self._send_on(self._idle_connection(reads=True), head.encode(), is_whole=False)

    def send_for(self, seconds: float, rate: float) -> None:
        """Send at random moments, which keep no step with the nodes' timers."""
        moment = self._random.expovariate(rate) if rate else seconds
        while moment < seconds:
            self.cluster.time.schedule(moment, self.send)
            moment += self._random.expovariate(rate)
        self.cluster.run(seconds)

    def _idle_connection(self, reads: bool) -> ClientConnection | None:
        self._clients = [client for client in self._clients if client.is_open]
        idle = [client for client in self._clients if client.is_idle]
        if idle and reads:
            return idle[0]
        front = self.choose_front()
        if front is None:
            return None
        connection = ClientConnection(self, front, reads)
        self._clients.append(connection)
        return connection

    def _send_on(
        self, connection: ClientConnection | None, data: bytes, is_whole: bool = True
    ) -> ClientRequest | None:
        if connection is None:
            return None
        request = connection.send(data, is_whole)
        self.requests.append(request)
        return request


@given("a cell of {nodes:d} nodes with clients that send {rate:d} requests a second")
@given(
    "a cell of {nodes:d} nodes with clients that send {rate:d} requests a second"
    " with an {unknown} key"
)
def _cell(context: Any, nodes: int, rate: int, unknown: str = "") -> None:
    cell = context.cell = Cell(nodes, unknown)
    log = mock.patch.object(
        planned_stop, "logging", mock.Mock(info=lambda text, *args: cell.log.append(text % args))
    )
    log.start()
    context.add_cleanup(log.stop)
    context.cluster = context.cell.cluster
    context.rate = rate


@when("the clients have sent for {seconds:g} seconds")
def _send_for(context: Any, seconds: float) -> None:
    context.cell.send_for(seconds, context.rate)


@when("every node is stopped, one every {gap:g} seconds, and started again when it has ended")
def _stop_all(context: Any, gap: float) -> None:
    for index, front in enumerate(list(context.cell.fronts.values())):
        context.cluster.time.schedule(index * gap, front.stop)
    context.cluster.run(STEP_SECONDS)


@when("the holder is stopped, and started again when it has ended")
def _stop_holder(context: Any) -> None:
    context.cell.fronts[context.cluster.holder().name].stop()


@when("the holder's process is held up for {seconds:g} seconds, while the clients send")
def _hold_up(context: Any, seconds: float) -> None:
    process = context.cluster.holder().process
    process.pause()
    context.cell.send_for(seconds, context.rate)
    process.resume()


@when("the holder's process is killed")
def _kill_holder(context: Any) -> None:
    context.cell.fronts[context.cluster.holder().name].lose_process()


@when("the node that has it is stopped")
def _stop_its_node(context: Any) -> None:
    context.cell.fronts[context.request.node].stop()


@when("a client sends a {method} request")
def _send(context: Any, method: str) -> None:
    context.request = context.cell.send(method)


@when("a client that does not read sends a POST request")
def _send_unread(context: Any) -> None:
    context.request = context.cell.send(reads=False)


@when("a client sends the first half of a request")
def _send_half(context: Any) -> None:
    context.request = context.cell.send_half()


@then("no request that was read is without an answer")
def _none_cut(context: Any) -> None:
    cell = context.cell
    cell.cluster.run(DEADLINE_MS / 1_000)
    cut = [request for request in cell.requests if request.answered_at is None]
    assert cell.requests and not cut, f"{len(cut)} of {len(cell.requests)}: {cut[:3]}"


@then('the log names calls with "{first}" and "{second}", {most:d} for each stop at most')
def _names_calls(context: Any, first: str, second: str, most: int) -> None:
    lines = [line for line in context.cell.log if "event=call_open_at_stop" in line]
    named = [line for line in lines if first in line and second in line]
    assert named, context.cell.log
    assert len(lines) <= most * len(context.cell.ended), len(lines)


@then("no request was refused before the first process ended")
def _none_refused_at_first(context: Any) -> None:
    ended_at = min(front.ended_at for front in context.cell.ended)
    early = [request for request in context.cell.requests if request.sent_at < ended_at]
    refused = [request for request in early if not request.is_served]
    assert early and not refused, f"{len(refused)}: {refused[:3]}"


@then("{count:d} requests were refused at most")
def _refused_at_most(context: Any, count: int) -> None:
    refused = [request for request in context.cell.requests if not request.is_served]
    assert len(refused) <= count, f"{len(refused)}: {refused[:3]}"


@then("the last stopped process ended after another one had started again")
def _ended_after_start(context: Any) -> None:
    ended_at = [front.ended_at for front in context.cell.ended]
    assert max(ended_at) >= min(ended_at) + RESTART_SECONDS + START_SECONDS, ended_at


@then("no request was refused")
def _none_refused(context: Any) -> None:
    refused = [request for request in context.cell.requests if not request.is_served]
    assert not refused, f"{len(refused)}: {refused[:3]}"


@then("every stopped process ended within the grace")
def _ended_in_time(context: Any) -> None:
    fronts = [*context.cell.ended, *context.cell.fronts.values()]
    stopped = [front for front in fronts if front.stopped_at is not None]
    assert stopped
    for front in stopped:
        assert front.stop_seconds < front.grace_seconds, front.simulated.name


@then("every stopped process ended {least:g} to {most:g} seconds after the signal")
def _ended_within(context: Any, least: float, most: float) -> None:
    fronts = [*context.cell.ended, *context.cell.fronts.values()]
    durations = [front.stop_seconds for front in fronts if front.stopped_at is not None]
    assert durations and all(least <= seconds <= most for seconds in durations), durations


@then("the clients are served at the end")
def _served_at_end(context: Any) -> None:
    since = context.cell.requests[-1].sent_at - RECOVERED_SECONDS
    last = [request for request in context.cell.requests if request.sent_at >= since]
    assert last and all(request.is_served for request in last), last[:3]


@then("that request was answered with status {status:d}, and told when to come back")
def _answered(context: Any, status: int) -> None:
    request = context.request
    assert request.answered_at is not None, request
    assert request.status == status, request.answer
    assert "retry-after: " in request.head, request.head


@then("that request's answer closes the connection")
def _closes(context: Any) -> None:
    assert "connection: close" in context.request.head, context.request


@given('a planned stop that is "{phase}", with a grace of {grace:g} seconds')
def _schedule(context: Any, phase: str, grace: float) -> None:
    context.schedule = StopSchedule()
    context.schedule.phase = StopPhase[phase.upper()]
    context.grace = grace


@then('{seconds:g} seconds after its signal, while it is needed, it is "{phase}"')
def _phase_needed(context: Any, seconds: float, phase: str) -> None:
    _check_phase(context, seconds, OpenWork(0, 0, is_needed=True), phase)


@then(
    "{seconds:g} seconds after its signal, with {calls:d} calls and {connections:d} connections"
    ' open, it is "{phase}"'
)
def _phase(context: Any, seconds: float, calls: int, connections: int, phase: str) -> None:
    _check_phase(context, seconds, OpenWork(calls, connections), phase)


def _check_phase(context: Any, seconds: float, work: OpenWork, phase: str) -> None:
    while context.schedule.advance(seconds, context.grace, work):
        pass
    assert context.schedule.phase is StopPhase[phase.upper()], context.schedule.phase
