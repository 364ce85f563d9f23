"""What of a job outlives its holder, and how it is encoded.

A job has a record of its specification, written once, and one of its progress, written
again whenever something that must not be forgotten happens.  Both are msgpack arrays.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.crashes import CrashTally
from onyxspoke.core.jobs.model import JobId, JobSpec, StepKey, WorkerId
from onyxspoke.core.jobs.progress import JobProgress, StepProgress, TaskProgress
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.tenants.policy import TenantName

SPEC_PREFIX = "job-spec/"
PROGRESS_PREFIX = "job/"


class StepRecord(msgspec.Struct, array_like=True):
    """What is kept of one step: which tasks are done, failed runs and checkpoints by index.

    ``placed`` tells by worker which tasks it may have a run of: it stands here before the worker is
    ordered to start any, so that a new holder knows which tasks a silent worker may run.
    ``crashes`` counts by index the workers that went down under a task.  A crash is counted in the
    record that clears the task's place, so that a new holder counts each one once.
    """

    repetition: int
    step: int
    done: bytes
    failed_runs: dict[int, list[int]]
    checkpoints: dict[int, str]
    failed_gang_runs: list[int]
    placed: dict[WorkerId, bytes] = {}
    crashes: dict[int, CrashTally] = {}


class ProgressRecord(msgspec.Struct, array_like=True):
    """What is kept of a job's progress.

    ``was_submitted`` is false for a cancel that came before its job.  ``tenant`` is empty in
    records written where there were no tenants.
    """

    state: int
    done_repetitions: list[int]
    steps: list[StepRecord]
    was_submitted: bool = True
    tenant: TenantName = ""


class JobRecordKind(Enum):
    """Which record of a job a key names."""

    SPEC = SPEC_PREFIX
    PROGRESS = PROGRESS_PREFIX


class RecordFormatError(Exception):
    """A record that this version cannot read; the key is in the message."""


_encoder = msgspec.msgpack.Encoder()
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(ProgressRecord)


def spec_key(job_id: JobId) -> str:
    """Return the key of a job's specification."""
    return SPEC_PREFIX + job_id


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def encode_spec(spec: JobSpec) -> bytes:
    """Return the record of a specification."""
    return _encoder.encode(spec)


def decode_spec(key: str, data: bytes) -> JobSpec:
    """Return the specification in a record; raise :class:`RecordFormatError`."""
    try:
        return _spec_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise RecordFormatError(f"{key}: {error}") from error


def encode_progress(job: JobProgress) -> bytes:
    """Return the record of a job's progress as it is now."""
    steps = []
    if not job.state.is_final:
        steps = [_step_record(step) for step in job.steps() if _has_progress(step)]
    done = sorted(job.done_repetitions)
    record = ProgressRecord(int(job.state), done, steps, tenant=job.spec.tenant)
    return _encoder.encode(record)


def decode_progress(key: str, data: bytes) -> ProgressRecord:
    """Return the progress in a record; raise :class:`RecordFormatError`."""
    try:
        return _progress_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise RecordFormatError(f"{key}: {error}") from error


def restore_progress(job: JobProgress, record: ProgressRecord, now: float) -> None:
    """Bring a job to where its record says that it was.

    Tasks that are not done are in doubt: the former holder may have started them.
    """
    job.done_repetitions = set(record.done_repetitions)
    state = JobState(record.state)
    job.committed_state = state
    if state is not JobState.QUEUED:
        job.has_started = state is JobState.RUNNING
        job.move_to(state, now)
    if state.is_final:
        return
    for kept in record.steps:
        if kept.repetition not in job.repetitions:
            job.begin_repetition(kept.repetition, now)
        step = job.find_step(StepKey(job.job_id, kept.repetition, kept.step))
        if step is not None:
            _restore_step(step, kept)


def _restore_step(step: StepProgress, kept: StepRecord) -> None:
    step.failed_gang_runs = list(kept.failed_gang_runs)
    for index in _read_bitmap(kept.done, len(step.tasks)):
        step.tasks[index].move_to(TaskState.DONE)
    for index, numbers in kept.failed_runs.items():
        step.tasks[index].failed_runs = list(numbers)
    for index, checkpoint in kept.checkpoints.items():
        step.tasks[index].checkpoint = checkpoint
    for index, tally in kept.crashes.items():
        step.tasks[index].crashes = tally
    for worker_id, tasks in kept.placed.items():
        for index in _read_bitmap(tasks, len(step.tasks)):
            if step.tasks[index].state is not TaskState.DONE:
                step.tasks[index].placed_on = worker_id


def has_progress(job: JobProgress) -> bool:
    """Return whether there is anything to keep of a job beside its specification."""
    if job.state is not JobState.QUEUED or job.committed_state is not None:
        return True
    return any(_has_progress(step) for step in job.steps())


def _has_progress(step: StepProgress) -> bool:
    if step.done_count or step.failed_gang_runs:
        return True
    return any(
        task.failed_runs or task.checkpoint or task.placed_on or task.crashes.total
        for task in step.tasks
    )


def _step_record(step: StepProgress) -> StepRecord:
    open_tasks = [task for task in step.tasks if task.state is not TaskState.DONE]
    return StepRecord(
        repetition=step.key.repetition,
        step=step.key.step,
        done=_make_bitmap(step, [t.index for t in step.tasks if t.state is TaskState.DONE]),
        failed_runs={task.index: task.failed_runs for task in open_tasks if task.failed_runs},
        checkpoints={task.index: task.checkpoint for task in open_tasks if task.checkpoint},
        failed_gang_runs=step.failed_gang_runs,
        placed=_placements(step, open_tasks),
        crashes={task.index: task.crashes for task in open_tasks if task.crashes.total},
    )


def _placements(step: StepProgress, open_tasks: list[TaskProgress]) -> dict[WorkerId, bytes]:
    by_worker: dict[WorkerId, list[int]] = {}
    for task in open_tasks:
        if task.placed_on:
            by_worker.setdefault(task.placed_on, []).append(task.index)
    return {worker_id: _make_bitmap(step, tasks) for worker_id, tasks in by_worker.items()}


def _make_bitmap(step: StepProgress, tasks: list[int]) -> bytes:
    bits = 0
    for index in tasks:
        bits |= 1 << index
    return bits.to_bytes((len(step.tasks) + 7) // 8, "little")


def _read_bitmap(data: bytes, count: int) -> list[int]:
    bits = int.from_bytes(data, "little")
    return [index for index in range(count) if bits >> index & 1]


def encode_cancelled_before(tenant: TenantName) -> bytes:
    """Return the record of a tenant's cancel that came before its job."""
    state = int(JobState.CANCELLED)
    return _encoder.encode(ProgressRecord(state, [], [], was_submitted=False, tenant=tenant))
