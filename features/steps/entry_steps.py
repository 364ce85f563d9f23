"""Steps about entries of the directory that another writer left or damaged."""

from __future__ import annotations

import json
from typing import Any

from behave import then, when
from crash_steps import make_job, submit
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from room_steps import CORE

from onyxspoke.core.jobs.model import StepSpec
from onyxspoke.core.placement.workers import EntryFault, UnusableEntry, WorkerRecord
from onyxspoke.platform.directory import decode_worker

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
