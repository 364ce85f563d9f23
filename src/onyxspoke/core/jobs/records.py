"""The records of a job in the store, and their encoding.

The specification record of a job is written once. The progress record is rewritten after
each change that must survive a change of holder.  Both are msgpack arrays.  The tasks of a large
job are recorded in parts, of which only those that change are rewritten: the store limits the size
of a record.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.crashes import NO_CRASHES, CrashTally
from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector, StepKey, WorkerId
from onyxspoke.core.jobs.progress import JobProgress, StepProgress, TaskProgress
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.tenants.policy import TenantName

SPEC_PREFIX = "job-spec/"
PROGRESS_PREFIX = "job/"
PART_PREFIX = "job-part/"
#: Tasks that one part of a job's progress covers; also with long checkpoints it fits into a record.
TASKS_PER_PART = 128
#: A job whose open repetitions have at most this many tasks, and whose record has at most this many
#: bytes, is recorded without parts.
MAXIMUM_UNDIVIDED_TASKS = 512
MAXIMUM_UNDIVIDED_BYTES = 65_536
#: More done repetitions than this are recorded as ranges.
MAXIMUM_LISTED_REPETITIONS = 1_000
_BYTE_BITS = 8


class StepRecord(msgspec.Struct, array_like=True):
    """The recorded progress of one step: done tasks, and failed runs and checkpoints by task index.

    ``placed`` maps each worker to a bitmap of the tasks that it may be running. A task
    is recorded here before its start is ordered, so that a new holder knows which tasks an
    unresponsive worker may run.  ``crashes`` maps task indexes to crash tallies.  The record that
    adds a crash also removes the task's placement, so that a new holder counts each crash once.
    All indexes and bitmaps are relative to ``first_task``, which is 0 unless the record is a part.
    """

    repetition: int
    step: int
    done: bytes
    failed_runs: dict[int, list[int]]
    checkpoints: dict[int, str]
    failed_gang_runs: list[int]
    placed: dict[WorkerId, bytes] = {}
    crashes: dict[int, CrashTally] = {}
    first_task: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no task of the record has any progress."""
        has_tasks = any(self.done) or self.placed or self.failed_runs or self.checkpoints
        return not (has_tasks or self.crashes or self.failed_gang_runs)


class ProgressRecord(msgspec.Struct, array_like=True):
    """The recorded progress of a job.

    ``was_submitted`` is false if the job was cancelled before it was submitted.  ``tenant`` is
    empty if no tenants were configured when the record was written.  ``left_running`` tells of a
    tenant's job that has ended what its runs may still use on each worker, so that a new holder
    counts them towards the tenant's quota; earlier versions neither write nor read it.
    ``done_ranges`` holds the first and the last of each range of done repetitions, if those are too
    many for ``done_repetitions``.
    """

    state: int
    done_repetitions: list[int]
    steps: list[StepRecord]
    was_submitted: bool = True
    tenant: TenantName = ""
    left_running: dict[WorkerId, ResourceVector] = {}
    done_ranges: list[tuple[int, int]] = []


class JobRecordKind(Enum):
    """The kind of job record that a key refers to."""

    SPEC = SPEC_PREFIX
    PROGRESS = PROGRESS_PREFIX


class RecordFormatError(Exception):
    """A record cannot be decoded by this version; the message contains the record's key."""


_encoder = msgspec.msgpack.Encoder()
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(ProgressRecord)
_part_decoder = msgspec.msgpack.Decoder(StepRecord)


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
    """Return the encoded record of a job's current progress, without parts."""
    steps = []
    if not job.state.is_final:
        steps = [_step_record(step, 0, len(step.tasks)) for step in _steps_with_progress(job)]
    return _encode_progress(job, steps)


def _encode_progress(job: JobProgress, steps: list[StepRecord]) -> bytes:
    done = sorted(job.done_repetitions)
    ranges: list[tuple[int, int]] = []
    if len(done) > MAXIMUM_LISTED_REPETITIONS:
        done, ranges = [], _find_ranges(done)
    record = ProgressRecord(
        int(job.state),
        done,
        steps,
        tenant=job.spec.tenant,
        left_running=job.left_running,
        done_ranges=ranges,
    )
    return _encoder.encode(record)


def encode_divided_progress(job: JobProgress) -> tuple[bytes, dict[str, bytes]]:
    """Return a job's encoded progress record, and its parts by their keys.

    The parts are empty for a job that has few tasks, or has ended.
    """
    open_tasks = sum(len(step.tasks) for step in job.steps())
    if job.state.is_final or open_tasks <= MAXIMUM_UNDIVIDED_TASKS:
        value = encode_progress(job)
        if job.state.is_final or len(value) <= MAXIMUM_UNDIVIDED_BYTES:
            return value, {}
    parts = {}
    for step in _steps_with_progress(job):
        for first in range(0, len(step.tasks), TASKS_PER_PART):
            part = _step_record(step, first, min(first + TASKS_PER_PART, len(step.tasks)))
            if not part.is_empty:
                parts[_part_key(step.key, first)] = _encoder.encode(part)
    return _encode_progress(job, []), parts


def decode_part(key: str, data: bytes) -> StepRecord:
    """Return the part in a record, or raise :class:`RecordFormatError`."""
    try:
        return _part_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise RecordFormatError(f"{key}: {error}") from error


def job_of_part(key: str) -> JobId:
    """Return the job to which the part under a key belongs."""
    return key.removeprefix(PART_PREFIX).partition("/")[0]


def _part_key(step: StepKey, first_task: int) -> str:
    return f"{PART_PREFIX}{step.job_id}/{step.repetition}.{step.step}.{first_task}"


def _find_ranges(numbers: list[int]) -> list[tuple[int, int]]:
    """Return the first and the last number of each range of successive ones."""
    ranges: list[tuple[int, int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1] = (ranges[-1][0], number)
        else:
            ranges.append((number, number))
    return ranges


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
    for first, last in record.done_ranges:
        job.done_repetitions.update(range(first, last + 1))
    state = JobState(record.state)
    job.committed_state = state
    if state is not JobState.QUEUED:
        job.has_started = state is JobState.RUNNING
        job.move_to(state, now)
    if state.is_final:
        job.left_running = dict(record.left_running)
        return
    for stored in record.steps:
        if stored.repetition in job.done_repetitions:
            continue
        if stored.repetition not in job.repetitions:
            job.begin_repetition(stored.repetition, now)
        step = job.find_step(StepKey(job.job_id, stored.repetition, stored.step))
        if step is not None:
            _restore_step(step, stored)


def _restore_step(step: StepProgress, stored: StepRecord) -> None:
    step.failed_gang_runs = list(stored.failed_gang_runs)
    tasks = step.tasks[stored.first_task :]
    for index in _read_bitmap(stored.done, len(tasks)):
        tasks[index].move_to(TaskState.DONE)
    for index, numbers in stored.failed_runs.items():
        tasks[index].failed_runs = list(numbers)
    for index, checkpoint in stored.checkpoints.items():
        tasks[index].checkpoint = checkpoint
    for index, tally in stored.crashes.items():
        tasks[index].crashes = tally
    for worker_id, placed in stored.placed.items():
        for index in _read_bitmap(placed, len(tasks)):
            if tasks[index].state is not TaskState.DONE:
                tasks[index].placed_on = worker_id


def has_progress(job: JobProgress) -> bool:
    """Return whether a job has progress that must be recorded besides its specification."""
    if job.state is not JobState.QUEUED or job.committed_state is not None:
        return True
    return any(_has_progress(step) for step in job.steps())


def _steps_with_progress(job: JobProgress) -> list[StepProgress]:
    return [step for step in job.steps() if _has_progress(step)]


def _has_progress(step: StepProgress) -> bool:
    if step.done_count or step.failed_gang_runs:
        return True
    return any(
        task.failed_runs or task.checkpoint or task.placed_on or task.crashes.total
        for task in step.tasks
    )


def _step_record(step: StepProgress, first: int, end: int) -> StepRecord:
    """Return the record of a step's tasks from ``first`` until before ``end``."""
    tasks = step.tasks if end - first == len(step.tasks) else step.tasks[first:end]
    size = (len(tasks) + _BYTE_BITS - 1) // _BYTE_BITS
    done = bytearray(size)
    record = StepRecord(
        step.key.repetition, step.key.step, b"", {}, {}, step.failed_gang_runs, {}, {}, first
    )
    for index, task in enumerate(tasks):
        if task.state is TaskState.DONE:
            done[index // _BYTE_BITS] |= 1 << index % _BYTE_BITS
            continue
        if task.failed_runs:
            record.failed_runs[index] = task.failed_runs
        if task.checkpoint:
            record.checkpoints[index] = task.checkpoint
        if task.crashes is not NO_CRASHES and task.crashes.total:
            record.crashes[index] = task.crashes
    record.done = bytes(done)
    record.placed = _placements(size, tasks)
    return record


def _placements(size: int, tasks: list[TaskProgress]) -> dict[WorkerId, bytes]:
    """Return for each worker the bitmap, of ``size`` bytes, of the tasks that it may be running."""
    placed: dict[WorkerId, bytearray] = {}
    for index, task in enumerate(tasks):
        if task.placed_on and task.state is not TaskState.DONE:
            bitmap = placed.get(task.placed_on)
            if bitmap is None:
                bitmap = placed[task.placed_on] = bytearray(size)
            bitmap[index // _BYTE_BITS] |= 1 << index % _BYTE_BITS
    return {worker_id: bytes(bitmap) for worker_id, bitmap in placed.items()}


def _read_bitmap(data: bytes, count: int) -> list[int]:
    present = min(count, len(data) * _BYTE_BITS)
    return [i for i in range(present) if data[i // _BYTE_BITS] >> i % _BYTE_BITS & 1]


def encode_cancelled_before(tenant: TenantName) -> bytes:
    """Return the encoded record of a job that its tenant cancelled before submitting it."""
    state = int(JobState.CANCELLED)
    return _encoder.encode(ProgressRecord(state, [], [], was_submitted=False, tenant=tenant))
