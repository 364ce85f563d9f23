"""Jobs that can never be done come among others; later the node that holds the shard is stopped.

The stop is planned work and happens with TROUBLE=0, too.  Every accepted job must stay known, and
every one that can be done must be done.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402

#: One task that asks for more than any machine has: the job can never be done.
HOPELESS_STEP = {"count": 1, "cpu": 2**64, "memMb": 256, "estimatedMs": 900}
HOPELESS = {"spec": "seconds=1", "steps": [HOPELESS_STEP]}
ORDINARY_STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 8000}
ORDINARY = {"spec": "seconds=8", "steps": [ORDINARY_STEP]}
#: In three seconds 120 jobs, one in twenty of them hopeless; each node gets as many as the others.
ROUNDS, ROUND_SECONDS, JOBS_A_ROUND = 6, 0.5, 20
VISIBLE_SECONDS, FINISH_SECONDS = 3.0, 14.0


async def play(record: rig.Record, has_trouble: bool) -> int:
    cell = rig.Cell(record, nodes=3, workers=6)
    try:
        if not await cell.start():
            record.say("the cell did not come up")
            return rig.NOT_RUN
        return await judge(cell, record, has_trouble)
    finally:
        await cell.stop()


async def judge(cell: rig.Cell, record: rig.Record, has_trouble: bool) -> int:
    await asyncio.sleep(3.0)
    accepted: dict[str, bool] = {}

    async def submit(index: int, body: dict) -> None:
        job_id = rig.new_job_id()
        if await cell.submit(index, job_id, body) == 200:
            accepted[job_id] = body is ORDINARY

    for round_number in range(ROUNDS):
        bodies = [ORDINARY] * JOBS_A_ROUND
        if has_trouble:
            bodies[JOBS_A_ROUND // 2] = HOPELESS
        calls = [submit((round_number + n) % 3, body) for n, body in enumerate(bodies)]
        await asyncio.gather(*calls)
        await asyncio.sleep(ROUND_SECONDS)
    ordinary = [job_id for job_id, can_be_done in accepted.items() if can_be_done]
    hopeless = [job_id for job_id in accepted if job_id not in ordinary]
    record.say(f"accepted: {len(ordinary)} ordinary jobs, {len(hopeless)} hopeless ones")

    await asyncio.sleep(VISIBLE_SECONDS + 1.0)
    before = await find_unknown(cell, list(accepted), [0, 1, 2])
    record.say(f"410 before the stop: {count(before, ordinary)}")

    stopped = cell.holder()
    cell.signal(stopped, signal.SIGTERM)
    others = [index for index in range(3) if index != stopped]
    await asyncio.sleep(7.0)
    await cell.start_node(stopped)
    await asyncio.sleep(FINISH_SECONDS)
    after = await find_unknown(cell, list(accepted), others)
    record.say(f"410 after the stop, from nodes that were not stopped: {count(after, ordinary)}")
    undone = []
    for job_id in ordinary:
        status, state = await cell.state(others[0], job_id)
        if (status, state) != (200, "completed"):
            undone.append(f"{job_id} ({status} {state})")
    record.say(f"ordinary jobs not shown as completed: {len(undone)} {undone[:4]}")
    return rig.BROKEN if before or after or undone else rig.HELD


async def find_unknown(cell: rig.Cell, job_ids: list[str], nodes: list[int]) -> set[str]:
    """Return the jobs that one of these nodes answers 410 for."""
    unknown = set()
    for job_id in job_ids:
        answers = await asyncio.gather(*(cell.state(index, job_id) for index in nodes))
        if any(status == 410 for status, _state in answers):
            unknown.add(job_id)
    return unknown


def count(unknown: set[str], ordinary: list[str]) -> str:
    lost = len(unknown.intersection(ordinary))
    return f"{lost} ordinary accepted jobs, {len(unknown) - lost} hopeless ones"


rig.main(str(Path(__file__).parent), play)
