"""Steps that speak HTTP to one entry of a simulated cell."""

import json

from behave import given, then, when
from settings_file_steps import deployment_path
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from onyxspoke.entry.api import make_api_site
from onyxspoke.entry.telemetry import NullMetricsSink, Telemetry
from onyxspoke.kit.hollow_work import digest_of
from onyxspoke.settings_file import load_settings
from onyxspoke.sim.cell import SimulatedCell

SETTLE_SECONDS = 4.0


class Exchange:
    """One connection of a caller."""

    def __init__(self, site):
        self.transport = StringTransport()
        self.protocol = site.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def send(self, data):
        if not self.transport.disconnecting:
            self.protocol.dataReceived(data)

    @property
    def head(self):
        return self.transport.value().partition(b"\r\n\r\n")[0].decode()

    @property
    def status(self):
        return int(self.head.split()[1])

    @property
    def body(self):
        return json.loads(self.transport.value().partition(b"\r\n\r\n")[2])


def post(context, path, body, key=""):
    data = body.encode()
    key_line = f"Idempotency-Key: {key}\r\n" if key else ""
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{key_line}Content-Length: {len(data)}\r\n\r\n"
    context.exchange = Exchange(context.site)
    context.exchange.send(head.encode() + data)


def window_command(payload):
    return json.dumps(
        {
            "tenant": "vent-controllers",
            "service": "klimaplan",
            "task_class": "window-command",
            "payload": json.loads(payload),
        },
        separators=(",", ":"),
    )


@given('a running cell of the deployment "{name}"')
def step_cell(context, name):
    settings = load_settings(deployment_path(name))
    context.cell = SimulatedCell(settings, seed=7)
    context.cell.start()
    context.cell.time.run_until(SETTLE_SECONDS)
    context.settings = settings
    _use_entry(context, next(iter(context.cell.entries.values())))


def _use_entry(context, entry):
    context.entry = entry
    reactor = entry.node.reactor
    telemetry = Telemetry(NullMetricsSink())
    context.site = make_api_site(context.settings, entry.shell, telemetry, reactor, reactor)


@when("a caller posts a window command with payload '{payload}'")
def step_window(context, payload):
    post(context, "/v1/requests", window_command(payload), key=payload)


@when("a caller posts an unkeyed window command")
def step_unkeyed(context):
    post(context, "/v1/requests", window_command("null"))


@when('a caller posts {body} to "{path}"')
def step_post(context, body, path):
    post(context, path, body)


@when('a caller sends "{line}" without a body')
def step_bare(context, line):
    context.exchange = Exchange(context.site)
    context.exchange.send(f"{line}\r\nHost: x\r\n\r\n".encode())


@when("a caller announces a body of {announced:d} bytes and sends {sent:d} of them")
def step_announce(context, announced, sent):
    context.exchange = Exchange(context.site)
    head = f"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: {announced}\r\n\r\n"
    context.exchange.send(head.encode() + b"x" * sent)


@when("a caller sends chunks of {size:d} bytes until {total:d} are sent or the connection closes")
def step_chunks(context, size, total):
    context.exchange = Exchange(context.site)
    context.exchange.send(
        b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    sent = 0
    while sent < total and not context.exchange.transport.disconnecting:
        context.exchange.send(b"%x\r\n" % size + b"x" * size + b"\r\n")
        sent += size
    assert sent < total, "the whole body was read"


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.cell.time.run_until(context.cell.time.now() + seconds)


@when("the caller drops the connection")
def step_drop(context):
    context.exchange.protocol.connectionLost(Failure(ConnectionLost()))


@when("the caller waits for the job")
def step_wait_job(context):
    job_id = context.exchange.body["job_id"]
    step_bare(context, f"GET /v1/jobs/{job_id}?wait=30 HTTP/1.1")


@when("the caller waits for the job at another entry")
def step_wait_elsewhere(context):
    job_id = context.exchange.body["job_id"]
    _use_entry(context, list(context.cell.entries.values())[-1])
    step_bare(context, f"GET /v1/jobs/{job_id}?wait=30 HTTP/1.1")


@given("the log falls silent")
def step_silent_log(context):
    context.cell.platform.begin_outage()


@when("the site is closed")
def step_close_site(context):
    context.site.close()
    context.site.refuse_unread()


@when("the entry is told to stop")
def step_stop(context):
    context.entry.shell.stop()


@then("the answer has status {status:d}, code {code:d} and the result of payload '{payload}'")
def step_result(context, status, code, payload):
    step_status_and_code(context, status, code)
    assert context.exchange.body["result"]["digest"] == digest_of(payload.encode())


@then("the answer has status {status:d} and code {code:d}")
def step_status_and_code(context, status, code):
    assert context.exchange.status == status, context.exchange.head
    assert context.exchange.body["code"] == code, context.exchange.body


@then("the answer has status {status:d}")
def step_status(context, status):
    assert context.exchange.status == status, context.exchange.head


@then("the entry's process has ended")
def step_entry_ended(context):
    assert context.entry.stopped


@then("the answer has status {first:d} or {second:d}")
def step_one_status(context, first, second):
    assert context.exchange.transport.value(), "no answer came"
    assert context.exchange.status in (first, second), context.exchange.head


@then("the answer has status {status:d} and says that the job is accepted")
def step_accepted(context, status):
    assert context.exchange.transport.value(), "no answer came"
    step_status(context, status)
    assert context.exchange.body["state"] == "accepted", context.exchange.body


@then("the answer says when to come back")
def step_retry_after(context):
    assert "retry-after: " in context.exchange.head.lower(), context.exchange.head


@then("the connection is closed")
def step_closed(context):
    assert context.exchange.transport.disconnecting


@then("the job has ended with code {code:d}")
def step_job_ended(context, code):
    assert context.exchange.body["state"] == "ended", context.exchange.body
    assert context.exchange.body["answer"]["code"] == code


@then("no worker has started anything")
def step_nothing_started(context):
    context.cell.time.run_until(context.cell.time.now() + 5)
    assert context.cell.journal.events == []
