"""Steps for the soak: schedules, the merge of events, late timers, the proxy, a short real run."""

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from onyxspoke.core.jobs.model import ResourceVector, RunKey, StepSpec, TaskKey
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.node.settings import Address
from onyxspoke.soak import events
from onyxspoke.soak.event_audit import EventAudit
from onyxspoke.soak.events import LinkMode
from onyxspoke.soak.faults import draw_schedule
from onyxspoke.soak.payloads import make_job
from onyxspoke.soak.plan import SoakPlan
from onyxspoke.soak.proxy import LinkPlan, ProxyLink
from onyxspoke.soak.timers import DueTimers

JOB = make_job("00000001", "normal", "service", (StepSpec(task_count=1, processors_milli=500),))
NOTHING = b""
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
def _proxied(context):
    context.link_clock = Clock()
    context.far_end = StringTransport()
    context.near_end = StringTransport()
    for end in (context.far_end, context.near_end):
        end.setTcpNoDelay = lambda _enabled: None

    def connect(_plan, factory):
        context.far_side = factory.buildProtocol(None)
        context.far_side.makeConnection(context.far_end)
        return succeed(context.far_side)

    plan = LinkPlan("link", Address("127.0.0.1", 1), Address("127.0.0.1", 2))
    context.link = ProxyLink(context.link_clock, plan, connect)
    context.near_side = context.link.buildProtocol(None)
    context.near_side.makeConnection(context.near_end)


@when('the link is struck by "{mode}" for {seconds:d} seconds')
def _strike(context, mode, seconds):
    context.link.strike(LinkMode(mode), seconds)


@when("both ends of the connection write")
def _write(context):
    context.near_side.dataReceived(b"out")
    context.far_side.dataReceived(b"back")


def _arrived(context):
    return context.far_end.value(), context.near_end.value()


@then('"{before}" has arrived, and after {seconds:d} seconds both have')
def _arrives(context, before, seconds):
    expected = {"out": (b"out", NOTHING), "back": (NOTHING, b"back")}[before]
    assert _arrived(context) == expected, _arrived(context)
    context.link_clock.advance(seconds)
    assert _arrived(context) == (b"out", b"back"), _arrived(context)


@then("nothing has arrived on either side")
def _nothing_arrived(context):
    context.link_clock.advance(60)
    assert _arrived(context) == (NOTHING, NOTHING), _arrived(context)


@when("a soak of seed {seed:d} runs for {seconds:d} seconds with {count:d} faults")
@when(
    'a soak of seed {seed:d} runs for {seconds:d} seconds with {count:d} faults of "{kinds}"'
    " and {rate:d} jobs a second"
)
def _run_soak(context, seed, seconds, count, kinds="", rate=5):
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["--seed", seed, "--seconds", seconds, "--faults", count, "--out", directory]
        if kinds:
            arguments += ["--kinds", kinds, "--rate", rate, "--no-proxy"]
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
