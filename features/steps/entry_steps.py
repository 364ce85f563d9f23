"""Steps about entries of the directory that another writer left or damaged."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from behave import then, when
from crash_steps import make_job, submit
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from room_steps import CORE

from onyxspoke.core.jobs.model import StepSpec
from onyxspoke.core.placement.worker_record import EntryFault, UnusableEntry, WorkerRecord
from onyxspoke.net.http_client import HttpAnswer
from onyxspoke.platform.advice import read_advice
from onyxspoke.platform.configuration import decode_configuration
from onyxspoke.platform.directory import decode_worker
from onyxspoke.platform.store import read_append, read_page, read_tail
from onyxspoke.platform.workers import read_hold, read_order
from onyxspoke.ports.configuration import ConfigurationError

ENTRY: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "hala-sever",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "sequence": 4,
}
DEEP = 20_000


@when('the directory lists "{worker_id}" with "{field}" left out')
def _left_out(context: Any, worker_id: str, field: str) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != field}
    context.found = decode_worker(worker_id, json.dumps(entry).encode())


@when('the directory lists "{worker_id}" with "{field}" as {value}')
def _changed(context: Any, worker_id: str, field: str, value: str) -> None:
    entry = {**ENTRY, field: json.loads(value)}
    context.found = decode_worker(worker_id, json.dumps(entry).encode())


@when('the directory lists "{worker_id}" with "{field}" of {count:d} {kind}')
def _sized(context: Any, worker_id: str, field: str, count: int, kind: str) -> None:
    values = {"letters": "x" * count, "texts": ["x"] * count, "long text": ["x" * 101] * count}
    _changed(context, worker_id, field, json.dumps(values[kind]))


@when('the directory lists "{worker_id}" with all of it as {text}')
def _whole(context: Any, worker_id: str, text: str) -> None:
    context.found = decode_worker(worker_id, text.encode())


@then('no worker is named, because of "{fault}"')
def _not_named(context: Any, fault: str) -> None:
    assert context.found == UnusableEntry("i-1", EntryFault(fault)), context.found


@then("a worker is named")
def _named(context: Any) -> None:
    assert isinstance(context.found, WorkerRecord), context.found


_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@when("any bytes, cut entries and entries with any fields are read, {count:d} of each")
def _any_bytes(context: Any, count: int) -> None:
    context.found_all = []
    whole = json.dumps(ENTRY).encode()
    wide = settings(max_examples=count, deadline=None, derandomize=True, database=None)

    def read(value: bytes) -> None:
        context.found_all.append(decode_worker("i-1", value))

    wide(for_all(st.binary(max_size=200))(read))()
    wide(for_all(st.integers(0, len(whole) - 1).map(lambda end: whole[:end]))(read))()
    fields = st.dictionaries(st.sampled_from(sorted(ENTRY)), _values, min_size=1)
    entries = fields.map(lambda changed: json.dumps({**ENTRY, **changed}).encode())
    wide(for_all(entries)(read))()
    for value in (b"[" * DEEP, b'{"a":' * DEEP, b'{"service":"\xff\xfe"}', b'{"slots":1e999}'):
        read(value)
    read(json.dumps(ENTRY).encode().replace(b'"clockMs": 482113', b'"x": ' + b"[" * DEEP))


@then("each names a worker to use or has a fault")
def _each(context: Any) -> None:
    assert context.found_all
    for found in context.found_all:
        assert isinstance(found, UnusableEntry) or _is_usable(found), found


def _is_usable(found: WorkerRecord) -> bool:
    return bool(found.service and found.host) and found.port > 0 and min(found.capacity) >= 0


@when("{count:d} more tasks of {cores:d} cores are handed in")
def _more(context: Any, count: int, cores: int) -> None:
    step = StepSpec(task_count=1, processors_milli=cores * CORE, memory_mb=64, estimated_ms=1_000)
    for number in range(count, 2 * count):
        submit(context, make_job(context, f"{number:016x}", step), seconds=0.0)


@when("the entries of both workers are damaged")
def _damaged(context: Any) -> None:
    for worker_id in context.cluster.pool.workers:
        context.cluster.directory.damage(worker_id, EntryFault.UNREADABLE)


@when("the entries of both workers are written anew")
def _written(context: Any) -> None:
    for worker in context.cluster.pool.workers.values():
        context.cluster.directory.list(worker.record)


@when("each worker that runs something crashes")
def _crash(context: Any) -> None:
    pool = context.cluster.pool
    for worker_id in [worker.worker_id for worker in pool.workers.values() if worker.runs]:
        context.cluster.crash_worker(worker_id)


@then("{count:d} tasks were started")
def _started(context: Any, count: int) -> None:
    assert context.cluster.audit.counts["starts"] == count, context.cluster.audit.counts


def _read_configuration(answer: HttpAnswer) -> None:
    with suppress(ConfigurationError):
        decode_configuration(answer.body)


READERS: dict[str, tuple[Callable[[HttpAnswer], Any], bytes]] = {
    "the newest records": (
        read_page,
        b'{"items":[{"privateKey":"k","value":"e30=","offset":1}],"more":false,"end":2}',
    ),
    "the tail of a topic": (read_tail, bytes(15) + b"\x02" + bytes(8) + b"\x00\x00\x00\x03\x01kv"),
    "an append": (read_append, b'{"offset":1,"end":2,"reason":"seq"}'),
    "what a worker holds": (
        read_hold,
        b'{"clockMs":1,"running":[["5c.0.0.1",2,"",4]],"ended":[[1,"5c.0.0.1",1,"done",""]]}',
    ),
    "a worker's order": (read_order, b'{"clockMs":1,"reason":"room"}'),
    "advice": (read_advice, b'{"good":[["i-1","ticket"]],"validityMs":1500}'),
    "a configuration": (_read_configuration, b'{"version":7,"routes":[],"services":[]}'),
}


@when(
    "answers with any bytes, cut ones and deeply nested ones are read as {what}, {count:d} of each"
)
def _any_answers(context: Any, what: str, count: int) -> None:
    reader, whole = READERS[what]
    context.read_count = 0

    def read(body: bytes) -> None:
        for status in (200, 409):
            reader(HttpAnswer(status, body))
        context.read_count += 1

    wide = settings(max_examples=count, deadline=None, derandomize=True, database=None)
    wide(for_all(st.binary(max_size=80))(read))()
    wide(for_all(st.integers(0, len(whole)).map(lambda end: whole[:end]))(read))()
    swaps = st.tuples(st.integers(0, len(whole) - 1), st.binary(min_size=1, max_size=3))
    wide(for_all(swaps.map(lambda swap: whole[: swap[0]] + swap[1] + whole[swap[0] :]))(read))()
    for body in (b"[" * DEEP, b'{"items":' + b"[" * DEEP, b'{"x":"\xff"}', bytes(16) + bytes(4)):
        read(body)


@then("none of them raised")
def _none_raised(context: Any) -> None:
    assert context.read_count > 0
