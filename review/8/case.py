"""One worker of a gang is lost for good; the gang then keeps the idle cell from other jobs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-3"))

from rig import CannotRun, Cell, Work, has_trouble, main, now  # noqa: E402

WORKERS = 12
GANG = "6a80000000000001"
PROBE_CPU = 10_000
#: Waiting is judged only after the loss, contactMs and the 3 s and 4 s of the rule.
CALM_SECONDS = 12.0
ALLOWED_SECONDS = 3.0


def make(path: Path) -> Cell:
    cell = Cell(path, nodes=3, workers=WORKERS)
    cell.queues = {"urgent": {"priority": 0}, "jobs": {"priority": 1}}
    return cell


def has_room_twice(cell: Cell) -> bool:
    """Whether two more workers could take a probe, and under half of the service is in use."""
    total = free = 0
    for worker in cell.workers:
        if worker.is_up:
            total += worker.capacity["cpu"]
            taken = sum(cell.needs[run.task.split(".")[0]] for run in worker.runs.values())
            free += worker.capacity["cpu"] - taken >= PROBE_CPU
    return free >= 2 and cell.used_cpu() < total / 2


async def course(cell: Cell) -> list[str]:
    cell.works[GANG] = Work(seconds=8.0, gang_of=WORKERS)
    step = {"count": WORKERS, "cpu": 8000, "memMb": 4096, "estimatedMs": 20000}
    step |= {"gang": True, "antiAffinity": 1}
    if await cell.submit("urgent", GANG, [step]) != 200:
        raise CannotRun("not accepted")
    await asyncio.sleep(3)
    if len([1 for worker in cell.workers if worker.runs]) != WORKERS:
        raise CannotRun("the gang is not at work")
    if has_trouble():
        cell.crash_worker(cell.workers[0], None)
    await asyncio.sleep(CALM_SECONDS)
    sent = {}
    for number in range(3):
        job = f"be8000000000001{number}"
        sent[job] = now()
        cell.works[job] = Work(seconds=1.0)
        probe = {"count": 1, "cpu": PROBE_CPU, "memMb": 4096, "estimatedMs": 1000}
        await cell.submit("jobs", job, [probe], number)
        await asyncio.sleep(1)
    waited = dict.fromkeys(sent, 0.0)
    until = now() + 20
    last = now()
    while now() < until:
        await asyncio.sleep(0.1)
        passed, last = now() - last, now()
        for job in sent:
            if cell.first_start(job) is None and has_room_twice(cell):
                waited[job] += passed
    faults = []
    for job, seconds in waited.items():
        state = await cell.state("jobs", job)
        cell.record(f"{job} waited {seconds:.1f} s beside room for two such jobs and more")
        if seconds > ALLOWED_SECONDS:
            faults.append(f"LOST: {job} ran nothing for {seconds:.1f} s, is {state}; room is idle")
    return faults


main(HERE, make, course)
