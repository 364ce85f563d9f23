"""Steps for the soak: schedules, the merge of events, late timers, the proxy, a short real run."""

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from onyxspoke.core.jobs.model import ResourceVector, RunKey, StepSpec, TaskKey
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.node.settings import Address
from onyxspoke.platform.settings import parse_settings
from onyxspoke.soak import events
from onyxspoke.soak.event_audit import EventAudit
from onyxspoke.soak.events import LinkMode, StrikeLinks
from onyxspoke.soak.faults import (
    FaultInjector,
    ScheduledFault,
    SoakFault,
    draw_schedule,
    read_schedule,
)
from onyxspoke.soak.links import list_links
from onyxspoke.soak.listening import LOOK_SECONDS, FollowedTarget
from onyxspoke.soak.networks import NetworkLock
from onyxspoke.soak.payloads import make_job
from onyxspoke.soak.plan import SoakPlan, make_settings
from onyxspoke.soak.proxy import LinkPlan, ProxyLink
from onyxspoke.soak.timers import DueTimers
from onyxspoke.soak.worker_server import WorkerHost

JOB = make_job("00000001", "normal", "service", (StepSpec(task_count=1, processors_milli=500),))
NOTHING = b""
#: A network that runs, which begin with the number of their process, hardly come by.
LOCKED_NUMBER = 15_901
#: Far beyond what a short run takes on a busy machine: a bound on a hang.
RUN_SECONDS = 900


def _tell(context, name, event):
    context.soak_audit.take_line(name, msgspec.json.encode(event))


def _tell_start(context, worker, at):
    record = WorkerRecord(
        worker_id=worker,
        host="127.0.0.1",
        port=1,
        service="service",
        zone="zone",
        capacity=ResourceVector(1_000, 1_000, 0),
    )
    _tell(context, "workers", events.WorkerBorn(at, record))
    context.soak_run_number += 1
    run = RunKey(TaskKey(JOB.job_id, 0, 0, 0), context.soak_run_number)
    _tell(context, "workers", events.RunStarted(at, worker, run, JOB.payload, "node"))
    context.soak_runs[worker] = run


@when("the soak's schedule of seed {seed:d} is drawn twice")
def _draw_twice(context, seed):
    context.schedules = [draw_schedule(SoakPlan(seed=seed, network="127.9.9")) for _ in range(2)]


@then("both soak schedules are alike and hold {count:d} faults")
def _alike(context, count):
    first, second = context.schedules
    assert first == second
    assert len(first) == count


@given('a soak audit that hears from "{first}" and "{second}"')
def _audit(context, first, second):
    context.soak_audit = EventAudit()
    context.soak_run_number = 0
    context.soak_runs = {}
    context.soak_audit.add_source(first)
    context.soak_audit.add_source(second)


@given('a soak audit of planned work that hears from "{first}" and "{second}"')
def _planned_audit(context, first, second):
    _audit(context, first, second)
    context.soak_audit = EventAudit(is_planned_only=True)
    context.soak_audit.add_source(first)
    context.soak_audit.add_source(second)


@when('"{name}" tell that a call was cut at {at:f}')
def _cut(context, name, at):
    _tell(context, name, events.CallCut(at, JOB.job_id, "127.0.0.1", 0.9))


@given('"{name}" told that a job was handed in at {at:f}')
def _handed_in(context, name, at):
    _tell(context, name, events.JobSubmitted(at, JOB))


@when('"workers" tell of a start on worker "{worker}" at {at:f}')
def _start(context, worker, at):
    _tell_start(context, worker, at)


@when('"workers" tell of a lapse on worker "{worker}" at {at:f}')
def _lapse(context, worker, at):
    run = context.soak_runs[worker]
    _tell(context, "workers", events.RunEnded(at, worker, run, RunEnd.LEASE_EXPIRED))


@when('"workers" tell of an end "{end}" on worker "{worker}" at {at:f}')
def _end(context, end, worker, at):
    run = context.soak_runs[worker]
    _tell(context, "workers", events.RunEnded(at, worker, run, RunEnd(end)))


@when('"workers" tell that the end on worker "{worker}" is noted at {at:f}')
def _noted(context, worker, at):
    run = context.soak_runs[worker]
    _tell(context, "workers", events.RunNoted(at, worker, run, RunEnd.DONE))


@when('"workers" tell that the lease of worker "{worker}" is over at {at:f}')
def _lease_over(context, worker, at):
    run = context.soak_runs[worker]
    _tell(context, "workers", events.LeaseLapsed(at, worker, (run,)))


@when('"workers" tell of nothing at {at:f}')
def _passed(context, at):
    _tell(context, "workers", events.Passed(at))


@when('"callers" tell that the job is shown as "{state}" at {at:f}')
def _shown(context, state, at):
    reply = CallReply(code=ReplyCode.OK, state=state)
    _tell(context, "callers", events.StateAnswered(at, JOB.job_id, reply))


@when('"{name}" have told everything until {at:f}')
def _told_until(context, name, at):
    _tell(context, "workers", events.Passed(at))
    _tell(context, name, events.Passed(at))


@then("the soak audit found nothing in {count:d} starts")
def _found_nothing(context, count):
    audit = context.soak_audit.audit
    assert not audit.findings, audit.findings
    assert audit.counts["starts"] == count


@then('the soak audit found "{violation}"')
@then('the soak audit found ""')
def _found(context, violation=""):
    found = [finding.violation.value for finding in context.soak_audit.audit.findings]
    assert found == ([violation] if violation else []), found


@given("a stand-in's timers")
def _timers(context):
    context.late_now = [0.0]
    context.late_timers = DueTimers(Clock(), lambda: context.late_now[0])


@when("something is due after {due:d} seconds and the process runs only after {late:d}")
def _runs_late(context, due, late):
    context.late_seen = []
    timers = context.late_timers
    timers.schedule(due, lambda: context.late_seen.append(timers.now()))
    context.late_now[0] = float(late)
    timers.catch_up()


@then("it saw second {due:d} as the present one")
def _saw_due(context, due):
    assert context.late_seen == [float(due)], context.late_seen


@given("a connection through the proxy")
@given('a connection through the proxy from "{source}"')
def _proxied(context, source="10.0.0.1"):
    context.link_clock = Clock()
    context.far_end = StringTransport()
    context.near_end = StringTransport()
    for end in (context.far_end, context.near_end):
        end.setTcpNoDelay = lambda _enabled: None

    def connect(_plan, factory, _source):
        context.far_side = factory.buildProtocol(None)
        context.far_side.makeConnection(context.far_end)
        return succeed(context.far_side)

    plan = LinkPlan("link", Address("127.0.0.1", 1), Address("127.0.0.1", 2))
    context.link = ProxyLink(context.link_clock, plan, connect)
    context.near_side = context.link.buildProtocol(IPv4Address("TCP", source, 1))
    context.near_side.makeConnection(context.near_end)


@when('the link is struck by "{mode}" for {seconds:d} seconds')
@when('the link is struck by "{mode}" for {seconds:d} seconds for "{source}"')
def _strike(context, mode, seconds, source=""):
    context.link.strike(LinkMode(mode), seconds, (source,) if source else ())


@when("both ends of the connection write")
def _write(context):
    context.near_side.dataReceived(b"out")
    context.far_side.dataReceived(b"back")


def _arrived(context):
    return context.far_end.value(), context.near_end.value()


@then('"{before}" has arrived, and after {seconds:d} seconds both have')
def _arrives(context, before, seconds):
    expected = {
        "out": (b"out", NOTHING),
        "back": (NOTHING, b"back"),
        "nothing": (NOTHING, NOTHING),
    }[before]
    assert _arrived(context) == expected, _arrived(context)
    context.link_clock.advance(seconds)
    assert _arrived(context) == (b"out", b"back"), _arrived(context)


@then("both have arrived at once")
def _arrive_at_once(context):
    assert _arrived(context) == (b"out", b"back"), _arrived(context)


@given('a link of the proxy that is cut for {seconds:d} seconds for "{source}"')
def _cut_link(context, seconds, source):
    context.link_clock = Clock()
    context.reached = []

    def connect(plan, _factory, connected_from):
        context.reached.append((plan.name, connected_from))
        return Deferred()

    plan = LinkPlan("link", Address("127.0.0.1", 1), Address("127.0.0.1", 2))
    context.link = ProxyLink(context.link_clock, plan, connect)
    context.link.strike(LinkMode.CUT, seconds, (source,))


@when('a host connects through it from "{source}"')
def _connect_through(context, source):
    end = StringTransport()
    end.setTcpNoDelay = lambda _enabled: None
    context.link.buildProtocol(IPv4Address("TCP", source, 1)).makeConnection(end)


@then("the target has been reached {count:d} times, and after {seconds:d} seconds {then:d} time")
def _reached(context, count, seconds, then):
    assert len(context.reached) == count, context.reached
    context.link_clock.advance(seconds)
    assert len(context.reached) == then, context.reached


class _Port:
    """A server socket of the test."""

    is_open = True

    def stopListening(self):  # noqa: N802 - Twisted's name
        self.is_open = False


@given("a link that follows its target")
def _following_link(context):
    context.link_clock = Clock()
    context.target_is_up = True
    context.ports = []

    def connect(_plan, factory, _source):
        if not context.target_is_up:
            return fail(ConnectionRefusedError())
        context.far_end = StringTransport()
        context.far_end.setTcpNoDelay = lambda _enabled: None
        context.far_side = factory.buildProtocol(None)
        context.far_side.makeConnection(context.far_end)
        return succeed(context.far_side)

    def listen(_link):
        context.ports.append(_Port())
        return context.ports[-1]

    plan = LinkPlan("link", Address("127.0.0.1", 1), Address("127.0.0.1", 2))
    context.link = ProxyLink(context.link_clock, plan, connect)
    FollowedTarget(context.link_clock, context.link, listen, connect).start()
    _connect_through(context, "10.0.0.1")


@when("the target's process ends while the link is cut")
def _ends_cut(context):
    context.link.strike(LinkMode.CUT, 2, ("10.0.0.2",))
    _ends(context)


@when("the target's process ends while the link is not cut")
def _ends(context):
    context.target_is_up = False
    context.far_side.connectionLost()


@when("the target's process has started again")
def _starts_again(context):
    context.target_is_up = True
    context.link_clock.pump([LOOK_SECONDS] * 3)


@then("connections through the link are {outcome}")
def _link_takes(context, outcome):
    assert context.ports[-1].is_open is (outcome == "taken")


@given("a soak plan of {nodes:d} nodes in {zones:d} zones with leases of {hold:d} ms")
def _zone_plan(context, nodes, zones, hold):
    context.soak_plan = SoakPlan(
        seed=1, network="127.9.9", nodes=nodes, zones=zones, maximum_hold_ms=hold
    )


@then("each node's settings tell an address of the proxy that leads to the node")
def _tell_proxy(context):
    plan = context.soak_plan
    leads_to = {link.listen: link.target for link in list_links(plan)}
    context.told = []
    for index in range(plan.nodes):
        node = parse_settings(make_settings(plan, index)).node
        context.told.append(node.told_address)
        assert leads_to[node.told_address] == node.peer_address, node
        assert node.connects_from_host
        assert node.zone == f"zone-{index % plan.zones}"


@then("no two nodes tell the same address")
def _tell_apart(context):
    assert len(set(context.told)) == context.soak_plan.nodes


@then("workers and nodes agree on leases of {hold:d} ms")
def _agree(context, hold):
    plan = context.soak_plan
    options = parse_settings(make_settings(plan, 0)).node.shard_options
    host = WorkerHost(plan, DueTimers(Clock()), None, None, None)
    assert (options.maximum_hold_ms, host.maximum_hold_ms) == (hold, hold)


@when("the soak's schedule of seed {seed:d} is drawn for {seconds:d} seconds and {count:d} faults")
def _draw(context, seed, seconds, count):
    plan = SoakPlan(seed=seed, network="127.9.9", fault_seconds=seconds, fault_count=count)
    context.schedule = draw_schedule(plan)


@when("a soak's schedule is read from a file")
def _read_file(context):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "schedule.json"
        path.write_text(context.text, encoding="utf-8")
        context.schedule = read_schedule(path)


@then('every file of "{directory}" holds a schedule')
def _holds_schedule(_context, directory):
    paths = list((Path(__file__).parents[2] / directory).iterdir())
    assert paths
    assert all(read_schedule(path) for path in paths), paths


@then('it is "{schedule}"')
def _schedule_is(context, schedule):
    drawn = [f"{item.fault.value} {item.at} {item.seconds}" for item in context.schedule]
    assert ", ".join(drawn) == schedule, drawn


class _Nodes:
    """Nodes of which one may be known to hold the shard."""

    def __init__(self, holder):
        self._holder = holder

    def holder(self):
        return self._holder


def _inject(context, fault, target=0, holder=None):
    context.sent = []
    injector = FaultInjector(
        context.soak_plan,
        _Nodes(holder),
        lambda _name, command: context.sent.append(command),
        lambda _seconds, _function: None,
    )
    injector.inject(ScheduledFault(1.0, SoakFault(fault), 5.0, target))
    context.injected = injector.injected


def _hosts(context, nodes):
    return tuple(context.soak_plan.node_host(int(node)) for node in nodes.split())


@when('"{fault}" strikes while the holder is {holder}')
def _strike_holder(context, fault, holder):
    _inject(context, fault, holder=None if holder == "none" else int(holder))


@when('"{fault}" strikes zone {zone:d}')
def _strike_zone(context, fault, zone):
    _inject(context, fault, target=zone)


@then('the links struck are "{links}" for the nodes "{sources}"')
@then('the links struck are "{links}" for the nodes ""')
@then('the links struck are "" for the nodes ""')
def _struck(context, links="", sources=""):
    first = context.sent[0] if context.sent else StrikeLinks((), LinkMode.CUT, 0.0)
    assert first.names == tuple(links.split()), context.sent
    assert first.sources == _hosts(context, sources), context.sent


@then("{count:d} faults have struck")
def _count_struck(context, count):
    assert context.injected == count


@then("these ways are cut, and no others")
def _ways_cut(context):
    expected = [
        (tuple(row["links"].split()), _hosts(context, row["sources"])) for row in context.table
    ]
    assert [(item.names, item.sources) for item in context.sent] == expected, context.sent
    assert {item.mode for item in context.sent} == {LinkMode.CUT}


@when("two runs lock a network from the same number on")
def _lock_networks(context):
    context.locks = [NetworkLock(LOCKED_NUMBER), NetworkLock(LOCKED_NUMBER)]


@then("their networks differ")
def _networks_differ(context):
    first, second = context.locks
    assert first.network != second.network


@then("the network that one of them lets go can be taken again")
def _taken_again(context):
    first, second = context.locks
    first.release()
    again = NetworkLock(LOCKED_NUMBER)
    assert again.network == first.network
    again.release()
    second.release()


@then("nothing has arrived on either side")
def _nothing_arrived(context):
    context.link_clock.advance(60)
    assert _arrived(context) == (NOTHING, NOTHING), _arrived(context)


@when(
    "a soak of seed {seed:d} in {zones:d} zones runs for {seconds:d} seconds with {count:d} faults"
    ' of "{kinds}"'
)
def _run_soak_of_zones(context, seed, zones, seconds, count, kinds):
    more = ["--zones", zones, "--nodes", 2 * zones, "--workers", 4 * zones, "--kinds", kinds]
    _play(context, seed, seconds, count, more)


@when("a soak of seed {seed:d} runs for {seconds:d} seconds with {count:d} faults")
@when(
    'a soak of seed {seed:d} runs for {seconds:d} seconds with {count:d} faults of "{kinds}"'
    " and {rate:d} jobs a second"
)
def _run_soak(context, seed, seconds, count, kinds="", rate=5):
    more = ["--kinds", kinds, "--rate", rate, "--no-proxy"] if kinds else []
    _play(context, seed, seconds, count, more)


def _play(context, seed, seconds, count, more):
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["--seed", seed, "--seconds", seconds, "--faults", count, "--out", directory]
        arguments += more
        done = subprocess.run(
            [sys.executable, "-m", "onyxspoke.cli.soak", "run", *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
            check=False,
        )
        context.soak_output = done.stdout + done.stderr
        context.soak_exit = done.returncode
        listed = [path.read_text().splitlines() for path in Path(directory).glob("seed-*/pids")]
    context.soak_pids = [int(line.split()[0]) for lines in listed for line in lines]


@then("its last line tells of no violation")
def _no_violation(context):
    last = context.soak_output.splitlines()[-1]
    assert context.soak_exit == 0, context.soak_output
    assert last.startswith("seeds=1 faults="), context.soak_output
    assert last.endswith(" violations=0"), context.soak_output
    told = dict(pair.split("=", 1) for pair in last.split())
    assert int(told["jobs"]) > 0 and int(told["faults"]) > 0, last


@then("no process of the soak is left")
def _none_left(context):
    assert context.soak_pids
    left = [pid for pid in context.soak_pids if Path(f"/proc/{pid}").exists() and _is_soak(pid)]
    assert not left, left


def _is_soak(pid):
    """Return whether a process is one of the soak's: its id may be another's by now."""
    try:
        return b"onyxspoke.cli" in Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
