"""Steps that check the adapter's messages against what the platform's pages show."""

from __future__ import annotations

import json
from typing import Any

from behave import then, when

from onyxspoke.core.jobs.model import RunKey, StepKey, TaskKey
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.routing import RouteTable
from onyxspoke.core.shard.actions import SendHold, SendStart, SendStop, WorkerAddress
from onyxspoke.core.shard.log_records import ShardAppend, ShardRecord
from onyxspoke.net.http_client import NOT_SENT, HttpAnswer
from onyxspoke.node.settings import Address
from onyxspoke.platform.advice import AdviceClient, read_advice
from onyxspoke.platform.configuration import decode_configuration
from onyxspoke.platform.directory import decode_worker
from onyxspoke.platform.store import (
    StoreClient,
    encode_keyed_record,
    read_append,
    read_page,
    read_tail,
)
from onyxspoke.platform.workers import WorkerOrders, read_hold, read_order
from onyxspoke.ports.configuration import ConfigurationError

JOB = "5c0e7a21d94b36f8"
ADDRESS = WorkerAddress("i-7f3a91c2", "10.128.0.9", 8080)


class RecordingClient:
    """Keeps the calls that an adapter makes."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    def now(self) -> float:
        """Return the time, which stands still."""
        return 0.0

    def call(
        self,
        host,
        port,
        request,
        timeout_seconds,
        on_answer,
        lane="",
        meant_for=None,
        on_written=None,
    ) -> None:
        self.requests.append(request)


def _record(context: Any) -> RecordingClient:
    context.client = RecordingClient()
    return context.client


def _run(number: int, index: int, step: int) -> RunKey:
    return RunKey(TaskKey(JOB, 0, step, index), number)


def _start(context: Any, run: RunKey, token: int, until: int, checkpoint: str, ticket: str) -> None:
    order = SendStart(ADDRESS, token, run, "(text)", until, checkpoint, ticket)
    WorkerOrders(_record(context)).start(order, lambda _result: None)


@when(
    'the run {number:d} of task {index:d} of step {step:d} of job "{job}" is started with token'
    ' {token:d} until {until:d} from checkpoint "{checkpoint}"'
)
def _start_from_checkpoint(context, number, index, step, job, token, until, checkpoint):
    _start(context, _run(number, index, step), token, until, checkpoint, "")


@when(
    'the run {number:d} of task {index:d} of step {step:d} of job "{job}" is started with token'
    ' {token:d} until {until:d} with ticket "{ticket}"'
)
def _start_with_ticket(context, number, index, step, job, token, until, ticket):
    _start(context, _run(number, index, step), token, until, "", ticket)


@when(
    'the run {number:d} of task {index:d} of step {step:d} of job "{job}" is stopped with token'
    " {token:d}"
)
def _stop(context, number, index, step, job, token):
    order = SendStop(ADDRESS, token, _run(number, index, step))
    WorkerOrders(_record(context)).stop(order, lambda _result: None)


@when(
    "a worker is held with token {token:d} until {until:d}, seen through {seen:d}, waiting {wait:d}"
)
def _hold(context, token, until, seen, wait):
    order = SendHold(ADDRESS, token, seen, until, wait, 1)
    WorkerOrders(_record(context)).hold(order, lambda _result: None)


@when('advice is asked on step {step:d} of job "{job}" about "{workers}"')
def _advise(context, step, job, workers):
    client = AdviceClient(_record(context), Address("10.200.1.9", 8169))
    client.ask(StepKey(job, 0, step), tuple(workers.split(",")), lambda _result: None)


@when(
    'the records "{first}" and "{second}" are appended to shard {shard:d} at end {end:d} with'
    " epoch {epoch:d} and sequence {sequence:d}"
)
def _append(context, first, second, shard, end, epoch, sequence):
    records = []
    for text in (first, second):
        key, _, value = text.partition("=")
        records.append(ShardRecord(key, value.encode()))
    append = ShardAppend(
        shard=shard, epoch=epoch, sequence=sequence, records=records, expected_end=end
    )
    StoreClient(_record(context), Address("10.200.1.7", 8169)).append(append, 0.5, lambda _r: None)


@then('the call is "{line}" with the body')
def _call_with_body(context, line):
    _call_line(context, line)
    assert context.client.requests[0].partition(b"\r\n\r\n")[2].decode() == context.text


@then('the call is "{line}" with the fields')
def _call_with_fields(context, line):
    _call_line(context, line)
    body = json.loads(context.client.requests[0].partition(b"\r\n\r\n")[2])
    row = context.table[0]
    assert body == {name: int(row[name]) for name in context.table.headings}, body


@then('the call is "{line}"')
def _call_line(context, line):
    head = context.client.requests[0].partition(b"\r\n")[0].decode()
    assert head == f"{line} HTTP/1.1", head


@then('the call names the life "{life}"')
def _names_life(context, life):
    assert f"Expected-Instance: {life}\r\n".encode() in context.client.requests[0]


@then('the call\'s body in hexadecimal is "{first}" then "{second}"')
def _body_hex(context, first, second):
    body = context.client.requests[0].partition(b"\r\n\r\n")[2]
    assert body.hex() == first + second, body.hex()


def _answer(status: int, body: str) -> HttpAnswer:
    return HttpAnswer(status, body.encode())


@when("a worker answers an order with {status:d} and '{body}'")
def _order_answer(context, status, body):
    context.order = read_order(_answer(status, body))


@when("a worker answers an order with {status:d} and ''")
def _order_answer_empty(context, status):
    context.order = read_order(_answer(status, ""))


@when("no connection to the worker comes about")
def _order_not_sent(context):
    context.order = read_order(NOT_SENT)


@then('the order\'s outcome is "{outcome}"')
def _order_outcome(context, outcome):
    assert context.order.outcome.value == outcome, context.order


@when("a worker answers a hold with")
def _hold_answer(context):
    context.hold = read_hold(_answer(200, context.text))


@when("a worker answers a hold with a checkpoint of {size:d} bytes")
def _long_checkpoint(context, size):
    row = ["5c0e7a21d94b36f8.0.1.17", 2, "x" * size, 41]
    context.hold = read_hold(_answer(200, json.dumps({"clockMs": 1, "running": [row]})))


@then(
    "the run {number:d} of task {index:d} of step {step:d} has no checkpoint at {percent:d} percent"
)
def _running_anew(context, number, index, step, percent):
    _running(context, number, index, step, percent, "")


@then("the worker was born at {born_ms:d}")
def _born(context, born_ms):
    assert context.hold.born_ms == born_ms


@then("the worker does not say when it was born")
def _not_born(context):
    assert context.hold.born_ms == 0


@then("the worker's clock is {clock:d}")
def _clock(context, clock):
    assert context.hold.clock_ms == clock


@then(
    "the run {number:d} of task {index:d} of step {step:d} is at {percent:d} percent with"
    ' checkpoint "{text}"'
)
def _running(context, number, index, step, percent, text):
    report = context.hold.running[0]
    assert report.run == _run(number, index, step)
    assert (report.percent, report.checkpoint) == (percent, text)


@then("the run {number:d} of task {index:d} of step {step:d} uses {usage:d}")
def _usage(context, number, index, step, usage):
    report = context.hold.running[1]
    assert report.run == _run(number, index, step)
    assert report.usage == usage


@then('the end {place:d} of run {number:d} of task {index:d} of step {step:d} is "{end}"')
def _ended(context, place, number, index, step, end):
    report = context.hold.ended[0]
    assert report.number == place
    assert report.run == _run(number, index, step)
    assert report.end.value == end


@when('the directory lists "{worker_id}" as')
def _listed(context, worker_id):
    context.worker = decode_worker(worker_id, context.text.encode())


@then(
    'the worker is at {host} port {port:d}, of kind "{kind}" in rack "{rack}", draining with'
    " {left:d} ms left"
)
def _worker(context, host, port, kind, rack, left):
    worker = context.worker
    assert (worker.host, worker.port, worker.kind, worker.rack) == (host, port, kind, rack)
    assert worker.listing is WorkerListing.DRAINING
    assert worker.remaining_ms == left


@then("it has {cpu:d} thousandths of processors, {memory:d} MiB and {gpu:d} accelerators")
def _capacity(context, cpu, memory, gpu):
    assert context.worker.capacity == (cpu, memory, gpu)


@when("the configuration is read")
def _read_configuration(context):
    try:
        context.configuration = decode_configuration(context.text.encode())
        context.error = ""
    except ConfigurationError as error:
        context.error = str(error)


@then('reading it fails, naming "{field}"')
def _reading_fails(context, field):
    assert field in context.error, context.error


@then("its version is {version:d}")
def _version(context, version):
    assert context.configuration.version == version


@then(
    'the queue "{name}" of "{service}" has priority {priority:d}, {attempts:d} attempts, stretch'
    " {stretch:g} and {latency:d} ms of target latency"
)
def _queue(context, name, service, priority, attempts, stretch, latency):
    queue = context.queue = context.configuration.policy.queues[name]
    assert queue.service == service
    assert (queue.priority, queue.max_attempts) == (priority, attempts)
    assert (queue.stretch, queue.target_latency_ms) == (stretch, latency)


@then("its advice takes {decide:g} ms and {item:g} ms an item, and holds {valid:g} ms")
def _advice_policy(context, decide, item, valid):
    advice = context.queue.advice
    assert (advice.decide_ms, advice.per_item_ms, advice.validity_ms) == (decide, item, valid)


@then('the queue "{name}" needs no advice')
def _no_advice(context, name):
    assert context.configuration.policy.queues[name].advice is None


@then('the service "{name}" checks room')
def _checks_room(context, name):
    assert context.configuration.policy.services[name].checks_capacity


@then('callers of "{host}" at "{path}" reach the queue "{queue}" within {timeout:d} ms')
def _reach(context, host, path, queue, timeout):
    route = RouteTable(context.configuration.routes).find(host, path)
    assert route is not None
    assert (route.queue, route.timeout_ms) == (queue, timeout)


@then('callers of "{host}" at "{path}" reach no queue')
def _reach_none(context, host, path):
    assert RouteTable(context.configuration.routes).find(host, path) is None


@then(
    "heads may have {head:d} bytes in {head_ms:d} ms, bodies {body:d}, and idle connections last"
    " {idle:d} ms"
)
def _limits(context, head, head_ms, body, idle):
    limits = context.configuration.limits
    assert (limits.header_bytes, limits.header_timeout_ms) == (head, head_ms)
    assert (limits.body_bytes, limits.idle_timeout_ms) == (body, idle)


@when("the advice service answers with {status:d} and '{body}'")
def _advice_answer(context, status, body):
    context.advice = read_advice(_answer(status, body))


@when("the advice service answers with {status:d} and ''")
def _advice_answer_empty(context, status):
    context.advice = read_advice(_answer(status, ""))


@then('the ticket for "{worker_id}" is "{text}", for {validity:d} ms')
def _ticket(context, worker_id, text, validity):
    [ticket] = context.advice.tickets
    assert (ticket.worker_id, ticket.text) == (worker_id, text)
    assert context.advice.validity_ms == validity


@then('the advice outcome is "{outcome}"')
def _advice_outcome(context, outcome):
    assert context.advice.outcome.value == outcome


@when("the store answers an append with {status:d} and '{body}'")
def _append_answer(context, status, body):
    context.append = read_append(_answer(status, body))


@when("the store answers an append with {status:d} and ''")
def _append_answer_empty(context, status):
    context.append = read_append(_answer(status, ""))


@then('the append\'s outcome is "{outcome}" with end {end:d}')
def _append_outcome(context, outcome, end):
    assert (context.append.outcome.value, context.append.end) == (outcome, end), context.append


@when("the store answers a read of the newest records with")
def _page_answer(context):
    context.page = read_page(_answer(200, context.text))


@then("the page holds \"{key}\" with '{value}', has more, and ends at {end:d}")
def _page(context, key, value, end):
    assert context.page.records == [ShardRecord(key, value.encode())]
    assert context.page.has_more
    assert context.page.end == end


@when(
    "the store answers a read with the end {end:d}, the first offset {first:d} and the keyed"
    ' record "{text}"'
)
def _tail_answer(context, end, first, text):
    key, _, value = text.partition("=")
    record = encode_keyed_record(ShardRecord(key, value.encode()))
    body = end.to_bytes(8, "big") + first.to_bytes(8, "big") + record
    context.tail = read_tail(HttpAnswer(200, body))


@when("the store answers a read with status {status:d}")
def _tail_status(context, status):
    context.tail = read_tail(HttpAnswer(status))


@then('{count:d} record of key "{key}" with value "{value}" was read, and the end is {end:d}')
def _tail(context, count, key, value, end):
    assert context.tail.records == [ShardRecord(key, value.encode())] * count
    assert context.tail.end == end


@then("the records are gone")
def _gone(context):
    assert context.tail.is_gone
