"""A job of many small tasks comes to a cell that has room for all of them three times over.

No accepted job may run nothing for 3 s while capacity for it exists twice over and under half of
the service's capacity is in use.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402

TASKS = 10_000
LARGE_STEP = {"count": TASKS, "cpu": 50, "memMb": 16, "estimatedMs": 20_000}
LARGE = {"spec": "seconds=20", "steps": [LARGE_STEP]}
ORDINARY_STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 2000}
ORDINARY = {"spec": "seconds=2", "steps": [ORDINARY_STEP]}
QUIET_SECONDS, TRAFFIC_SECONDS, PAUSE_SECONDS, FINISH_SECONDS = 8.0, 30.0, 0.25, 14.0
#: The rule says 3 s; the rest is for the answer's way.
IDLE_SECONDS = 3.5


async def play(record: rig.Record, has_trouble: bool) -> int:
    cell = rig.Cell(record, nodes=3, workers=24)
    for worker in cell.workers:
        worker.log_runs = False
    try:
        if not await cell.start():
            record.say("the cell did not come up")
            return rig.NOT_RUN
        return await judge(cell, record, has_trouble)
    finally:
        await cell.stop()


async def judge(cell: rig.Cell, record: rig.Record, has_trouble: bool) -> int:
    accepted: dict[str, float] = {}
    answers: dict[int, int] = {}

    async def submit(index: int) -> None:
        job_id = rig.new_job_id()
        status = await cell.submit(index, job_id, ORDINARY)
        answers[status] = answers.get(status, 0) + 1
        if status == 200:
            accepted[job_id] = rig.now()

    async def send(seconds: float) -> None:
        calls, until, number = [], rig.now() + seconds, 0
        while rig.now() < until:
            number += 1
            calls.append(asyncio.create_task(submit(number % 3)))
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*calls)

    most_in_use = [0.0]
    watching = asyncio.create_task(watch(cell, record, most_in_use))
    await asyncio.sleep(2.0)
    await send(QUIET_SECONDS)
    record.say(f"before: answers to POST by status {dict(answers)}")
    answers.clear()
    large = asyncio.create_task(hand_in_large(cell, record)) if has_trouble else None
    await send(TRAFFIC_SECONDS)
    record.say(f"then: answers to POST by status, 0 for none: {dict(sorted(answers.items()))}")
    await asyncio.sleep(FINISH_SECONDS)
    watching.cancel()
    if large is not None:
        large.cancel()

    late = find_idle(cell, accepted)
    for job_id, seconds in late.items():
        record.line(f"job {job_id} ran nothing for {seconds:.1f} s after its 2xx")
    longest = max(late.values(), default=0.0)
    record.say(f"of {len(accepted)} accepted ordinary jobs, {len(late)} ran nothing for over"
               f" {IDLE_SECONDS} s, the longest for {longest:.0f} s")
    asked = list(late)[-9:] or list(accepted)[-9:]
    states = await asyncio.gather(
        *(cell.state(number % 3, job_id) for number, job_id in enumerate(asked))
    )
    record.say(f"states of {len(asked)} of them, 0 for no answer: {states}")
    record.say(f"most cpu in use: {most_in_use[0]:.0%}; changes of holder: {len(cell.holders) - 1}")
    return rig.BROKEN if late and most_in_use[0] < 0.5 else rig.HELD


async def hand_in_large(cell: rig.Cell, record: rig.Record) -> None:
    """Hand the large job in, again at another node where no answer came."""
    job_id = rig.new_job_id()
    for attempt in range(5):
        status = await cell.submit(attempt % 3, job_id, LARGE)
        record.say(f"the large job: {status or 'no answer'}")
        if status not in (0, 502, 504):
            return


async def watch(cell: rig.Cell, record: rig.Record, most_in_use: list[float]) -> None:
    while True:
        await asyncio.sleep(1.0)
        tasks = sum(len(worker.runs) for worker in cell.workers)
        used = sum(cpu_of(run) for worker in cell.workers for run in worker.runs.values())
        share = used / sum(worker.cpu for worker in cell.workers)
        most_in_use[0] = max(most_in_use[0], share)
        record.line(f"workers: {tasks} tasks at work, {share:.0%} of the cpu in use")


def cpu_of(run: rig.Run) -> int:
    step = LARGE_STEP if run.spec == LARGE["spec"] else ORDINARY_STEP
    return int(step["cpu"])


def find_idle(cell: rig.Cell, accepted: dict[str, float]) -> dict[str, float]:
    """Return for how long accepted jobs ran nothing after their 2xx, where that was too long."""
    started: dict[str, float] = {}
    for worker in cell.workers:
        for moment, task, _run in worker.starts:
            job_id = task.partition(".")[0]
            started[job_id] = min(moment, started.get(job_id, moment))
    idle = {
        job_id: started.get(job_id, rig.now()) - accepted_at
        for job_id, accepted_at in accepted.items()
    }
    return {job_id: seconds for job_id, seconds in idle.items() if seconds > IDLE_SECONDS}


rig.main(str(Path(__file__).parent), play)
