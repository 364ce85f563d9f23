"""Steps for the parts of a product around a node."""

import os
import socket
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from job_ingress_steps import _cluster, _send
from twisted.internet import reactor
from twisted.internet.defer import succeed
from twisted.internet.protocol import Factory
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactor
from twisted.test.iosim import FakeTransport, connect

from onyxspoke.cli.explain_log import parse_line, select_lines
from onyxspoke.cli.node import METRICS_PORT, make_endpoints, make_identity
from onyxspoke.cli.process import use_boot_clock_timers
from onyxspoke.core.placement.health import WorkerHealth
from onyxspoke.core.placement.pacing import WorkerPace
from onyxspoke.net.log_stream import BoundedLogStream
from onyxspoke.net.network import Network
from onyxspoke.node.operator_api import make_operator_site
from onyxspoke.node.peers import PeerLinks
from onyxspoke.node.settings import SettingsError
from onyxspoke.platform.settings import load_settings, parse_settings

#: Paths, headers and fields of the platform's pages.
PLATFORM_NAMES = (
    "/onyxspoke/",
    "keyed.",
    "fencingToken",
    "Fencing-Token",
    "Expected-Instance",
    "Request-Deadline-Ms",
    "untilMs",
    "lastSeen",
    "clockMs",
    "dependsOn",
    "privateKey",
    "pathPrefix",
    "maxHoldMs",
    "antiAffinity",
    "mayMiss",
    "perItemMs",
    "bindAddresses",
)
LINE = "x" * 99 + "\n"
#: A node's settings but for the rates of the store.
SETTINGS_WITHOUT_RATES = """
nodeName=front-1
ip=10.1.0.13
zone=zone-a
bindAddresses.front=10.1.0.13:8161
bindAddresses.readiness=10.1.0.13:8167
internalPortRange=7720,7735
limits.cpuShare=0.5
limits.cores=2
heartbeatMs=1500
bounds.graceS=6
bounds.maxHoldMs=6000
bounds.stopGraceMs=200
bounds.status_s=120
bounds.configApplyMs=2000
bounds.maxStretchMs=5000
platform.address=10.200.1.7:8169
platform.parts=24
platform.record_bytes=262144
platform.call_bytes=2097152
"""


@given("a running cluster with the product's own interface")
def _operators(context):
    _cluster(context)
    context.site = make_operator_site(context.simulated.node, context.simulated.process.reactor)


@when('an operator posts to "{path}"')
def _operator_posts(context, path):
    _send(context, f"POST {path}", context.text)


@when('an operator posts to "{path}" the body {body}')
def _operator_posts_body(context, path, body):
    _send(context, f"POST {path}", body)


@when('an operator gets "{path}"')
def _operator_gets(context, path):
    _send(context, f"GET {path}")


@then("it names {count:d} shard and its holder")
def _names_holder(context, count):
    shards = context.exchange.body["shards"]
    assert len(shards) == count
    assert shards[0]["holder"] == context.cluster.holder().node.identity.incarnation


@when("the settings are read")
def _read_settings(context):
    try:
        context.settings_text = context.text
        context.settings = parse_settings(context.text)
        context.faults = []
    except SettingsError as error:
        context.faults = error.faults


@then("the settings' faults name")
def _faults(context):
    for row in context.table:
        assert any(fault.startswith(row["fault"]) for fault in context.faults), (
            row["fault"],
            context.faults,
        )


@when('a settings file is read whose store takes "{writes}" and "{reads}"')
@when('a settings file is read whose store takes "" and ""')
def _read_store_settings(context, writes="", reads=""):
    context.text = "\n".join([SETTINGS_WITHOUT_RATES, writes, reads])
    _read_settings(context)


@then("the store is known to take {writes:d} writes and {reads:d} reads a second")
def _store_rates(context, writes, reads):
    assert not context.faults, context.faults
    budget = context.settings.node.store_budget
    assert (budget.writes_per_second, budget.reads_per_second) == (writes, reads)


@then("no default was taken")
def _no_default(context):
    assert context.settings.warnings == ()


@then("the settings are valid")
def _valid(context):
    assert not context.faults, context.faults


@then("the defaults taken name")
def _defaults(context):
    expected = [row["warning"] for row in context.table]
    assert len(context.settings.warnings) == len(expected)
    for warning, start in zip(context.settings.warnings, expected, strict=True):
        assert warning.startswith(start), warning


@then("the file is named with each fault when it is read from disk")
def _file_named(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.conf"
        path.write_text(context.settings_text, encoding="utf-8")
        try:
            load_settings(path)
        except SettingsError as error:
            assert all(fault.startswith(f"{path}: ") for fault in error.faults), error.faults
        else:
            raise AssertionError("the settings were taken")


@then('the node "{name}" has peers at port {port:d}, metrics at {metrics:d} and seeds "{seeds}"')
def _settings(context, name, port, metrics, seeds):
    assert not context.faults, context.faults
    node = context.settings.node
    assert (node.node_name, node.peer_port) == (name, port)
    assert ",".join(node.seeds) == seeds
    assert metrics == METRICS_PORT


@when('a settings file is read with the lines "{lines}"')
@when('a settings file is read with the lines ""')
def _read_settings_with(context, lines=""):
    rates = ["platform.writes_per_s=600", "platform.reads_per_s=2000"]
    context.text = "\n".join([SETTINGS_WITHOUT_RATES, *rates, *lines.split()])
    _read_settings(context)


class _Endpoints:
    """Connects nodes within the test: by the addresses that lead to each one's server."""

    def __init__(self, routes):
        self._routes = routes
        self.opened = []

    def client(self, host, port):
        self.opened.append((host, port))
        return _ClientEndpoint(self._routes[(host, port)])

    def server(self, host, port):
        return _ServerEndpoint(self._routes, (host, port))


class _ServerEndpoint:
    def __init__(self, routes, address):
        self._routes = routes
        self._address = address

    def listen(self, factory):
        self._routes[self._address] = factory
        return succeed(None)


class _ClientEndpoint:
    def __init__(self, server):
        self._server = server

    def connect(self, factory):
        client, server = factory.buildProtocol(None), self._server.buildProtocol(None)
        pump = connect(server, FakeTransport(server, True), client, FakeTransport(client, False))
        pump.flush()
        return succeed(client)


class _Peers:
    """One node's streams and whom they show."""

    def __init__(self, name, own, routes):
        settings = parse_settings(
            "\n".join([SETTINGS_WITHOUT_RATES, f"nodeName={name}", *own])
        ).node
        self.endpoints = _Endpoints(routes)
        self.identity = make_identity(settings)
        network = Network(Clock(), self.endpoints, lambda _attempt: 1.0)
        self.links = PeerLinks(network, self.identity, self, settings.peer_address)
        self.links.listen()
        # Peers are led to the told address as a translation of addresses does.
        told, listening = settings.told_address, settings.peer_address
        routes[(told.host, told.port)] = routes[(listening.host, listening.port)]

    def handle_peer_up(self, _link):
        """Do nothing."""

    def handle_peer_message(self, _link, _message):
        """Do nothing."""

    def handle_peer_lost(self, _host, _link, _reason):
        """Do nothing."""

    def handle_stream_ended(self, _link):
        """Do nothing."""

    def known(self, name):
        """Return the links to a node, by the name in its identity."""
        return [
            link
            for link in self.links.all_up_links()
            if link.identity.incarnation.startswith(f"{name}.")
        ]


def _parse(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@given('node "{name}" at "{own}" that tells "{told}"')
def _peers(context, name, own, told):
    if not hasattr(context, "peer_nodes"):
        context.peer_nodes, context.peer_routes = {}, {}
    host, _port = _parse(own)
    lines = [f"ip={host}", f"advertised={told}"]
    context.peer_nodes[name] = _Peers(name, lines, context.peer_routes)


@when('node "{name}" connects to "{address}"')
def _connect_to(context, name, address):
    context.peer_nodes[name].links.connect(*_parse(address))


@then('node "{name}" knows node "{other}" at "{address}"')
def _knows(context, name, other, address):
    (link,) = context.peer_nodes[name].known(other)
    assert (link.identity.host, link.identity.port) == _parse(address), link.identity


@when('node "{name}" connects to where it knows node "{other}"')
def _connect_to_known(context, name, other):
    (link,) = context.peer_nodes[name].known(other)
    context.peer_nodes[name].links.connect(link.identity.host, link.identity.port)


@then('node "{name}" reaches node "{other}" on a connection that it opened to "{address}"')
def _reaches(context, name, other, address):
    node = context.peer_nodes[name]
    assert node.endpoints.opened == [_parse(address)], node.endpoints.opened
    assert any(link.is_outgoing for link in node.known(other)), node.known(other)


@then('node "{name}" has opened no connection')
def _opened_none(context, name):
    node = context.peer_nodes[name]
    assert not node.endpoints.opened, node.endpoints.opened


@then('the node listens for peers at "{own}" and tells them "{told}"')
def _tells(context, own, told):
    assert not context.faults, context.faults
    node = context.settings.node
    identity = make_identity(node)
    listening = []
    network = Network(Clock(), _Recorder(listening), lambda _attempt: 1.0)
    PeerLinks(network, identity, None, node.peer_address).listen()
    assert listening == [_parse(own)], listening
    assert (identity.host, identity.port) == _parse(told), identity


class _Recorder:
    """Notes where a server socket is opened."""

    def __init__(self, listening):
        self._listening = listening

    def server(self, host, port):
        self._listening.append((host, port))
        return _ServerEndpoint({}, (host, port))


@then('its connections come from "{source}"')
@then('its connections come from ""')
def _come_from(context, source=""):
    endpoints = make_endpoints(context.settings.node)
    reactor = MemoryReactor()
    endpoints._reactor = reactor
    endpoints.client("127.0.0.1", 1).connect(Factory())
    (attempt,) = reactor.tcpClients
    assert attempt[4] == ((source, 0) if source else None), attempt


@given("a log stream to a pipe that nobody reads")
def _pipe(context):
    context.reader, writer = os.pipe()
    context.now = 100.0
    context.stream = BoundedLogStream(writer, lambda: context.now)


@when("{count:d} lines of 100 bytes are written at once")
def _write_lines(context, count):
    context.began = time.monotonic()
    for _ in range(count):
        context.stream.write(LINE)
    context.stream.drain()


@then("the writer was not held up, and at most {count:d} lines were taken")
def _not_held_up(context, count):
    assert context.stream.written <= count
    assert context.stream.written + context.stream.dropped == 20_000


@given("a log stream whose every write is seen by itself")
def _writes_seen(context):
    context.reader_socket, context.writer_socket = socket.socketpair(
        socket.AF_UNIX, socket.SOCK_SEQPACKET
    )
    context.stream = BoundedLogStream(context.writer_socket.fileno())


@then("all {count:d} lines came, in writes of whole lines and at most {limit:d} bytes")
def _in_pieces(context, count, limit):
    context.writer_socket.close()
    writes = list(iter(lambda: context.reader_socket.recv(1 << 20), b""))
    context.reader_socket.close()
    assert b"".join(writes) == LINE.encode() * count
    assert all(len(text) <= limit and text.endswith(b"\n") for text in writes), writes


@when("{runs:d} lines of runs and then {jobs:d} lines of jobs are written at once")
def _write_runs_and_jobs(context, runs, jobs):
    context.jobs = jobs
    for _ in range(runs):
        context.stream.write("time=x event=run_start worker=w task=e1.0.0.0".ljust(150) + "\n")
    context.taken_runs, context.dropped_runs = context.stream.written, context.stream.dropped
    for _ in range(jobs):
        context.stream.write("time=x event=job_taken job=e1 queue=forms".ljust(150) + "\n")


@then("all lines of jobs were taken, and the writer left out lines of runs only")
def _runs_left_out(context):
    assert context.stream.written == context.taken_runs + context.jobs
    assert context.stream.dropped == context.dropped_runs > 0


@when("{count:d} lines of 100 bytes are written and the logging library closes the stream")
def _write_and_close(context, count):
    for _ in range(count):
        context.stream.write(LINE)
    context.stream.close()


@when("{count:d} lines are written, and only then it is told how to be drained")
def _write_early(context, count):
    context.asked = []
    for _ in range(count):
        context.stream.write(LINE)
    context.stream.request_drains_with(lambda: context.asked.append(True))


@then("it asks to be drained once")
def _asks_once(context):
    assert context.asked == [True], context.asked
    context.stream.drain()
    context.stream.write(LINE)
    assert context.asked == [True, True], context.asked


@then("the pipe holds {count:d} lines")
def _holds_lines(context, count):
    assert os.read(context.reader, 1 << 20) == LINE.encode() * count


@when("the pipe is read and {seconds:d} seconds pass")
def _read_pipe(context, seconds):
    context.now += seconds
    os.set_blocking(context.reader, False)
    context.text_read = b""
    for _ in range(100):
        context.stream.drain()
        try:
            context.text_read += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break


@then("the log says how many lines it dropped")
def _says_dropped(context):
    expected = f"event=log_lines_dropped count={context.stream.dropped}".encode()
    assert expected in context.text_read


@given("logs of two nodes")
def _logs(context):
    lines = [parse_line(text) for text in context.text.splitlines()]
    context.lines = sorted((line for line in lines if line), key=lambda line: line.moment)


@when('"{name}" is explained with changes of belief')
def _explain(context, name):
    context.shown = select_lines(context.lines, name, with_beliefs=True)


@then('the events shown are "{events}"')
def _events(context, events):
    assert [line.event for line in context.shown] == events.split()


@when(
    "a serving task with target {target:d} ms runs for {seconds:d} seconds beside {count:d} tasks"
    " that fill and disturb"
)
def _serve_beside(context, target, seconds, count):
    """Play the worker's reaction: the tail follows the pace, half a second late."""
    pace = WorkerPace()
    context.longest_over = context.work = 0.0
    over = 0.0
    figures = [pace.percent] * 5
    step = 0.1
    for index in range(int(seconds / step)):
        disturbed = sum(figures) / len(figures)
        tail = 40 + count * 0.5 * disturbed
        over = over + step if tail > target else 0.0
        context.longest_over = max(context.longest_over, over)
        if index % 3 == 0:
            pace.adapt(tail / target, 10.0 + index * step)
        figures = [*figures[1:], pace.percent]
        context.work += pace.percent * step


@then("its tail is never over the target for {seconds:d} seconds in a row")
def _never_over(context, seconds):
    assert context.longest_over < seconds, context.longest_over


@then("what fills gets some work done")
def _fills(context):
    assert context.work > 0


@given("a worker's record of its runs")
def _health(context):
    context.health = WorkerHealth()


@when('runs of the jobs "{first}" and "{second}" fail there')
def _fail(context, first, second):
    context.health.note_failure(first, 100.0)
    context.health.note_failure(second, 100.0)


@then("it is avoided for {seconds:g} seconds, and then on trial")
def _avoided(context, seconds):
    assert context.health.is_avoided(100.0 + seconds - 0.01)
    assert not context.health.is_avoided(100.0 + seconds)
    assert context.health.is_on_trial(100.0 + seconds)


@when("a run ends well there")
def _ends_well(context):
    context.health.note_success()


@then("it is neither avoided nor on trial")
def _is_well(context):
    assert not context.health.is_avoided(101.0)
    assert not context.health.is_on_trial(101.0)


@when("the reactor of a process is set up")
def _steady(context):
    use_boot_clock_timers()


@then("its timers run on the clock that counts suspensions")
def _boot_timers(context):
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= reactor.seconds() <= time.clock_gettime(time.CLOCK_BOOTTIME)
    call = reactor.callLater(10.0, lambda: None)
    remaining = call.getTime() - time.clock_gettime(time.CLOCK_BOOTTIME)
    call.cancel()
    assert 0 < remaining <= 10.0


@when("the sources outside the adapter are searched for the platform's names")
def _search(context):
    source = Path(__file__).resolve().parents[2] / "src" / "onyxspoke"
    context.found = [
        f"{path.relative_to(source)}: {name}"
        for path in sorted(source.rglob("*.py"))
        if path.relative_to(source).parts[0] != "platform"
        for name in PLATFORM_NAMES
        if name in path.read_text(encoding="utf-8")
    ]


@then("none is found")
def _none_found(context):
    assert not context.found, context.found
