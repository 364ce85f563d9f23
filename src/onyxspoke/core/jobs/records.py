"""The records of a job in the store, and their encoding.

The specification record of a job is written once. The progress record is rewritten after
each change that must survive a change of holder.  Both are msgpack arrays.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.crashes import NO_CRASHES, CrashTally
from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector, StepKey, WorkerId
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.tenants.policy import TenantName

SPEC_PREFIX = "job-spec/"
PROGRESS_PREFIX = "job/"
_BYTE_BITS = 8


class StepRecord(msgspec.Struct, array_like=True):
    """The recorded progress of one step: done tasks, and failed runs and checkpoints by task index.

    ``placed`` maps each worker to a bitmap of the tasks that it may be running. A task
    is recorded here before its start is ordered, so that a new holder knows which tasks an
    unresponsive worker may run.  ``crashes`` maps task indexes to crash tallies.  The record that
    adds a crash also removes the task's placement, so that a new holder counts each crash once.
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
    """The recorded progress of a job.

    ``was_submitted`` is false if the job was cancelled before it was submitted.  ``tenant`` is
    empty if no tenants were configured when the record was written.  ``left_running`` tells of a
    tenant's job that has ended what its runs may still use on each worker, so that a new holder
    counts them towards the tenant's quota; earlier versions neither write nor read it.
    """

    state: int
    done_repetitions: list[int]
    steps: list[StepRecord]
    was_submitted: bool = True
    tenant: TenantName = ""
    left_running: dict[WorkerId, ResourceVector] = {}


class JobRecordKind(Enum):
    """The kind of job record that a key refers to."""

    SPEC = SPEC_PREFIX
    PROGRESS = PROGRESS_PREFIX


class RecordFormatError(Exception):
    """A record cannot be decoded by this version; the message contains the record's key."""


_encoder = msgspec.msgpack.Encoder()
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(ProgressRecord)


def spec_key(job_id: JobId) -> str:
    """Return the key of a job's specification record."""
    return SPEC_PREFIX + job_id


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress record."""
    return PROGRESS_PREFIX + job_id


def encode_spec(spec: JobSpec) -> bytes:
    """Return the encoded specification record."""
    return _encoder.encode(spec)


def decode_spec(key: str, data: bytes) -> JobSpec:
    """Return the specification in a record, or raise :class:`RecordFormatError`."""
    try:
        return _spec_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise RecordFormatError(f"{key}: {error}") from error


def encode_progress(job: JobProgress) -> bytes:
    """Return the encoded record of a job's current progress."""
    steps = []
    if not job.state.is_final:
        steps = [_step_record(step) for step in job.steps() if _has_progress(step)]
    done = sorted(job.done_repetitions)
    record = ProgressRecord(
        int(job.state), done, steps, tenant=job.spec.tenant, left_running=job.left_running
    )
    return _encoder.encode(record)


def decode_progress(key: str, data: bytes) -> ProgressRecord:
    """Return the progress in a record, or raise :class:`RecordFormatError`."""
    try:
        return _progress_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise RecordFormatError(f"{key}: {error}") from error


def restore_progress(job: JobProgress, record: ProgressRecord, now: float) -> None:
    """Set a job's progress to the recorded progress.

    Unfinished tasks stay ``WAITING``; the job registry marks as in doubt those that a previous
    holder may have started.
    """
    job.done_repetitions = set(record.done_repetitions)
    state = JobState(record.state)
    job.committed_state = state
    if state is not JobState.QUEUED:
        job.has_started = state is JobState.RUNNING
        job.move_to(state, now)
    if state.is_final:
        job.left_running = dict(record.left_running)
        return
    for stored in record.steps:
        if stored.repetition not in job.repetitions:
            job.begin_repetition(stored.repetition, now)
        step = job.find_step(StepKey(job.job_id, stored.repetition, stored.step))
        if step is not None:
            _restore_step(step, stored)


def _restore_step(step: StepProgress, stored: StepRecord) -> None:
    step.failed_gang_runs = list(stored.failed_gang_runs)
    for index in _read_bitmap(stored.done, len(step.tasks)):
        step.tasks[index].move_to(TaskState.DONE)
    for index, numbers in stored.failed_runs.items():
        step.tasks[index].failed_runs = list(numbers)
    for index, checkpoint in stored.checkpoints.items():
        step.tasks[index].checkpoint = checkpoint
    for index, tally in stored.crashes.items():
        step.tasks[index].crashes = tally
    for worker_id, tasks in stored.placed.items():
        for index in _read_bitmap(tasks, len(step.tasks)):
            if step.tasks[index].state is not TaskState.DONE:
                step.tasks[index].placed_on = worker_id


def has_progress(job: JobProgress) -> bool:
    """Return whether a job has progress that must be recorded besides its specification."""
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
    """Return a step's record; one pass over the tasks, because a step may have thousands."""
    size = (len(step.tasks) + _BYTE_BITS - 1) // _BYTE_BITS
    done = bytearray(size)
    placed: dict[WorkerId, bytearray] = {}
    record = StepRecord(
        step.key.repetition, step.key.step, b"", {}, {}, step.failed_gang_runs, {}, {}
    )
    for index, task in enumerate(step.tasks):
        bit = 1 << index % _BYTE_BITS
        if task.state is TaskState.DONE:
            done[index // _BYTE_BITS] |= bit
            continue
        if task.placed_on:
            bitmap = placed.get(task.placed_on)
            if bitmap is None:
                bitmap = placed[task.placed_on] = bytearray(size)
            bitmap[index // _BYTE_BITS] |= bit
        if task.failed_runs:
            record.failed_runs[index] = task.failed_runs
        if task.checkpoint:
            record.checkpoints[index] = task.checkpoint
        if task.crashes is not NO_CRASHES and task.crashes.total:
            record.crashes[index] = task.crashes
    record.done = bytes(done)
    record.placed = {worker_id: bytes(bitmap) for worker_id, bitmap in placed.items()}
    return record


def _read_bitmap(data: bytes, count: int) -> list[int]:
    present = min(count, len(data) * _BYTE_BITS)
    return [i for i in range(present) if data[i // _BYTE_BITS] >> i % _BYTE_BITS & 1]


def encode_cancelled_before(tenant: TenantName) -> bytes:
    """Return the encoded record of a job that its tenant cancelled before submitting it."""
    state = int(JobState.CANCELLED)
    return _encoder.encode(ProgressRecord(state, [], [], was_submitted=False, tenant=tenant))
