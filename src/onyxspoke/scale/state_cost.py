"""Memory of each kind of state: builds the real records and reads the process's size."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import CoreOptions, EntryContext, make_context
from onyxspoke.core.log_records import (
    ClaimItem,
    JobAccepted,
    JobEnded,
    KeyIntent,
    LogBatch,
    LogRecord,
    SettingChange,
    SettingsApply,
    WorkerClaim,
)
from onyxspoke.core.requests import ActiveRequest, CallerOrigin, RequestState
from onyxspoke.core.schema import (
    Answer,
    EntryIdentity,
    JobSubmission,
    MachineRecord,
    Resources,
    RunningTask,
    TaskClass,
    TaskRequest,
)
from onyxspoke.scale.slopes import Point

_PAGE_BYTES = 4_096
_CLASS = TaskClass(service="s", name="c", resources=Resources(1, 256), patience_seconds=5)
_TASK_RESOURCES = Resources(1, 256)
_WORKER_RESOURCES = Resources(64, 131_072, 2, 64)
_RECORDS_A_BATCH = 50


class StateCost(msgspec.Struct, frozen=True):
    """Sizes of a process that holds so many items of one kind."""

    kind: str
    points: list[Point]


def _identity() -> EntryIdentity:
    return EntryIdentity("e", "r", "z", "127.0.0.1", 1)


def _batch(number: int, records: list[LogRecord]) -> LogBatch:
    return LogBatch("e", "z", "127.0.0.1", 1, number, False, records)


def _fold(context: EntryContext, records: list[LogRecord]) -> None:
    """Fold records as they arrive: decoded from the log's bytes."""
    offset = context.cell.applied_offset
    for start in range(0, len(records), _RECORDS_A_BATCH):
        offset += 1
        data = msgspec.msgpack.encode(_batch(offset, records[start : start + _RECORDS_A_BATCH]))
        context.cell.apply(offset, msgspec.msgpack.decode(data, type=LogBatch), 0.0)


def _add_workers(context: EntryContext, count: int) -> None:
    for index in range(count):
        name = f"worker-{index:05d}"
        machine = MachineRecord(name, f"10.0.{index // 250}.{index % 250}", 7000, "z", "r", "g")
        context.machines[name] = machine
        worker = context.workers.add(machine, 1)
        worker.load_inventory(_WORKER_RESOURCES, [])


def _add_listed_workers(context: EntryContext, count: int) -> None:
    """Workers of other entries: on the machine list and in the fold, but not owned."""
    records: list[LogRecord] = []
    for index in range(count):
        name = f"worker-{index:05d}"
        host = f"10.0.{index // 250}.{index % 250}"
        context.machines[name] = MachineRecord(name, host, 7000, "z", "r", "g")
        records.append(WorkerClaim([ClaimItem(name, 0, 0)]))
    _fold(context, records)


def _add_running_tasks(context: EntryContext, count: int) -> None:
    _add_workers(context, 1)
    worker = next(iter(context.workers.workers.values()))
    worker.load_inventory(
        Resources(10**9, 10**9, 0, 10**9),
        [RunningTask(f"e.00000001/{index}", _TASK_RESOURCES) for index in range(count)],
    )
    for index in range(count):
        attempt_id = f"e.00000001/{index}"
        request = _request(index)
        request.attempt_id = attempt_id
        request.state = RequestState.DISPATCHED
        context.requests[request.request_id] = request
        context.attempts[attempt_id] = request


def _request(index: int) -> ActiveRequest:
    return ActiveRequest(
        request_id=f"e.00000001-{index}",
        request=TaskRequest(tenant="t", task_class=_CLASS, payload=b"x" * 200 + b"%d" % index),
        origin=CallerOrigin(),
        deadline=float(index),
        received_at=0.0,
    )


def _add_queued(context: EntryContext, count: int) -> None:
    for index in range(count):
        request = _request(index)
        request.state = RequestState.QUEUED
        context.requests[request.request_id] = request
        context.queue.push(request)


def _add_keys(context: EntryContext, count: int) -> None:
    _fold(context, [KeyIntent(f"tenant/{index:032x}", index) for index in range(count)])


def _add_jobs(context: EntryContext, count: int) -> None:
    accepted: list[LogRecord] = []
    ended: list[LogRecord] = []
    for index in range(count):
        request = TaskRequest(tenant="t", task_class=_CLASS, payload=b"x" * 200)
        accepted.append(JobAccepted(JobSubmission(job_id=f"job-{index:032x}", request=request)))
        answer = Answer(code=ResultCode.OK, result=b"y" * 200, worker_id="w")
        ended.append(JobEnded(f"job-{index:032x}", answer))
    _fold(context, accepted)
    _fold(context, ended)


def _add_settings(context: EntryContext, count: int) -> None:
    for index in range(count):
        change = SettingChange(f"region/zone/service/job-{index}", "task.priority", 1, 0)
        context.settings.apply(index + 1, SettingsApply(f"c{index}", "operator", [change]))


def _add_members(context: EntryContext, count: int) -> None:
    for index in range(count):
        batch = LogBatch(f"entry-{index}.00000001", "z", "10.0.0.1", 7000, 1, False, [])
        context.cell.apply(index + 1, batch, 0.0)


BUILDERS: dict[str, Callable[[EntryContext, int], None]] = {
    "owned worker": _add_workers,
    "listed worker": _add_listed_workers,
    "running task": _add_running_tasks,
    "queued request": _add_queued,
    "remembered key": _add_keys,
    "ended job": _add_jobs,
    "setting": _add_settings,
    "member": _add_members,
}


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * _PAGE_BYTES


def measure(kind: str, counts: list[int]) -> StateCost:
    """Measure one kind of state at growing counts, in one fresh process."""
    points = []
    kept = []
    gc.collect()
    base = resident_bytes()
    built = 0
    for count in counts:
        context = make_context(_identity(), CoreOptions())
        BUILDERS[kind](context, count)
        kept.append(context)
        built += count
        gc.collect()
        points.append(Point(size=built, cost=(resident_bytes() - base) / 1024))
    return StateCost(kind, points)


def main() -> None:
    """Measure the kind given as the first argument at the counts that follow."""
    kind, *counts = sys.argv[1:]
    result = measure(kind, [int(count) for count in counts])
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
