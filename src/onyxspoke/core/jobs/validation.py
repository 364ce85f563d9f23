"""Validation of submitted jobs; the error message names the invalid field."""

from __future__ import annotations

from onyxspoke.core.codes import RequestRefusedError, ResultCode
from onyxspoke.core.jobs.model import JobSpec, StepSpec

MAXIMUM_PAYLOAD_BYTES = 4_000
MAXIMUM_STEPS = 100
MAXIMUM_TASKS = 10_000
MAXIMUM_REPETITIONS = 100_000
#: Longest accepted duration, in milliseconds; floats and records can hold sums of such durations.
MAXIMUM_TIME_MS = 2**53
#: Largest accepted amount of a resource or number of tasks; a record holds the sum over all tasks
#: of a job in 64 bits.
MAXIMUM_AMOUNT = 2**40
#: Longest accepted image, label or rack name; the names of all steps fit into one record.
MAXIMUM_NAME_BYTES = 512
JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def check_job(job: JobSpec) -> None:
    """Raise :class:`RequestRefusedError` with ``MALFORMED_REQUEST`` for an invalid job."""
    if len(job.job_id) != JOB_ID_LENGTH or not _HEX_DIGITS.issuperset(job.job_id):
        _reject(f"identifier: expected {JOB_ID_LENGTH} hexadecimal digits")
    if len(job.payload.encode()) > MAXIMUM_PAYLOAD_BYTES:
        _reject(f"payload: at most {MAXIMUM_PAYLOAD_BYTES} bytes")
    if not 1 <= len(job.steps) <= MAXIMUM_STEPS:
        _reject(f"steps: 1 to {MAXIMUM_STEPS} are allowed")
    if sum(max(step.task_count, 0) for step in job.steps) > MAXIMUM_TASKS:
        _reject(f"steps: at most {MAXIMUM_TASKS} tasks in all")
    _check_schedule(job)
    for number, step in enumerate(job.steps):
        _check_step(number, step)


def _check_schedule(job: JobSpec) -> None:
    schedule = job.schedule
    if not 0 <= schedule.count <= MAXIMUM_REPETITIONS:
        _reject(f"schedule: 0 to {MAXIMUM_REPETITIONS} repetitions are allowed")
    if min(schedule.start_at_ms, schedule.interval_ms) < 0:
        _reject("schedule: times must not be negative")
    if max(schedule.start_at_ms, schedule.interval_ms) > MAXIMUM_TIME_MS:
        _reject(f"schedule: times of at most {MAXIMUM_TIME_MS} ms are allowed")


def _check_step(number: int, step: StepSpec) -> None:
    if step.task_count < 1:
        _reject(f"step {number}: needs at least one task")
    _check_amounts(number, step)
    _check_names(number, step)
    if any(not 0 <= earlier < number for earlier in step.depends_on):
        _reject(f"step {number}: may depend on earlier steps only")
    if len(set(step.depends_on)) != len(step.depends_on):
        _reject(f"step {number}: names a dependency twice")


def _check_amounts(number: int, step: StepSpec) -> None:
    times = (step.estimated_ms, step.target_ms)
    amounts = (step.processors_milli, step.memory_mb, step.accelerators, step.spread_limit)
    if min(*times, *amounts, step.disruption_budget + 1) < 0:
        _reject(f"step {number}: amounts must not be negative")
    if max(times) > MAXIMUM_TIME_MS:
        _reject(f"step {number}: times of at most {MAXIMUM_TIME_MS} ms are allowed")
    if max(*amounts, step.disruption_budget) > MAXIMUM_AMOUNT:
        _reject(f"step {number}: amounts of at most {MAXIMUM_AMOUNT} are allowed")


def _check_names(number: int, step: StepSpec) -> None:
    for name in (step.image, step.required_label, step.preferred_rack):
        if len(name.encode()) > MAXIMUM_NAME_BYTES:
            _reject(f"step {number}: names of at most {MAXIMUM_NAME_BYTES} bytes are allowed")


def _reject(message: str) -> None:
    raise RequestRefusedError(ResultCode.MALFORMED_REQUEST, message)
