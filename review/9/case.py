"""A rack with accelerators is lost for good; jobs wait for ever beside the idle other one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-3"))

from rig import CannotRun, Cell, Work, has_trouble, main, now  # noqa: E402

WORKERS = 408
RACK = 4
JOBS = 12
CALM_SECONDS = 12.0
ALLOWED_SECONDS = 3.0


class Hall(Cell):
    """The first two racks have accelerators."""

    def capacity_of(self, index: int) -> dict:
        return self.capacity | {"gpu": 4 if index < 2 * RACK else 0}


def make(path: Path) -> Cell:
    cell = Hall(path, nodes=3, workers=WORKERS)
    cell.rack_size = RACK
    return cell


async def course(cell: Cell) -> list[str]:
    await asyncio.sleep(3)
    if has_trouble():
        for worker in [item for item in cell.workers if item.index < RACK]:
            cell.crash_worker(worker, None)
    await asyncio.sleep(CALM_SECONDS)
    sent = {}
    for number in range(JOBS):
        job = f"9c9{number:013x}"
        cell.works[job] = Work(seconds=0.5)
        step = {"count": 1, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimatedMs": 500}
        if await cell.submit("jobs", job, [step], number) != 200:
            raise CannotRun("not accepted")
        sent[job] = now()
    await asyncio.sleep(25)
    faults = []
    for job, at in sent.items():
        state = await cell.state("jobs", job)
        seconds = (cell.first_start(job) or now()) - at
        idle = [
            worker.id
            for worker in cell.workers
            if worker.is_up and worker.capacity["gpu"] and not worker.runs
        ]
        if seconds > ALLOWED_SECONDS and len(idle) >= 2:
            text = f"LOST: {job} ran nothing for {seconds:.1f} s, is {state}"
            faults.append(f"{text}; {len(idle)} workers with 4 accelerators each are idle")
    return faults


main(HERE, make, course)
