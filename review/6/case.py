"""The worker under a task crashes four times; no run ever ends `failed`.

A task that lasts is to be started again however it ends, and a job must not show as failed.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402

WORKERS, CRASHES, DOWN_SECONDS, WORK_SECONDS = 24, 4, 4.5, 3.0
LASTING_STEP = {"count": 1, "cpu": 4000, "memMb": 1024, "estimatedMs": 1000, "longRunning": True}
LASTING = {"spec": "seconds=1000000", "steps": [LASTING_STEP]}
#: From 6 s after its last run a task that lasts must run again, and within 3 s does.
START_SECONDS = 9.0


async def play(record: rig.Record, has_trouble: bool) -> int:
    cell = rig.Cell(record, nodes=3, workers=WORKERS)
    try:
        if not await cell.start():
            record.say("the cell did not come up")
            return rig.NOT_RUN
        return await judge(cell, record, has_trouble)
    finally:
        await cell.stop()


async def judge(cell: rig.Cell, record: rig.Record, has_trouble: bool) -> int:
    await asyncio.sleep(3.0)
    job_id = rig.new_job_id()
    if await cell.submit(0, job_id, LASTING) != 200:
        return rig.NOT_RUN
    crashes = 0
    for _crash in range(CRASHES):
        worker = await find_worker(cell, job_id)
        if worker is None:
            break
        await asyncio.sleep(WORK_SECONDS)
        if has_trouble:
            crashes += 1
            await cell.crash(worker, DOWN_SECONDS)
    await asyncio.sleep(START_SECONDS + 5.0)
    states = [await cell.state(index, job_id) for index in range(3)]
    is_at_work = running(cell, job_id) is not None
    ends = [end[3] for worker in cell.workers for end in worker.all_ends if job_id in end[1]]
    record.say(f"crashes: {crashes}, one worker of {WORKERS} at a time; ends told by workers: {ends}")
    record.say(f"the job that lasts shows as {states}; its task is at work: {is_at_work}")
    is_failed = any(state == "failed" for _status, state in states)
    return rig.BROKEN if is_failed or not is_at_work else rig.HELD


def running(cell: rig.Cell, job_id: str) -> rig.Worker | None:
    """Return the worker that runs the job's task."""
    for worker in cell.workers:
        if worker.is_up and any(task.startswith(job_id) for task in worker.runs):
            return worker
    return None


async def find_worker(cell: rig.Cell, job_id: str) -> rig.Worker | None:
    """Wait for the job's task to be at work, and return its worker."""
    until = rig.now() + 20.0
    while rig.now() < until:
        worker = running(cell, job_id)
        if worker is not None:
            return worker
        await asyncio.sleep(0.05)
    return None


rig.main(str(Path(__file__).parent), play)
