"""Cost of one placement as the cell grows, and how well work is packed.

Core only, on one thread: workers of several generations, some with accelerators, filled with
running tasks of many tenants. Prints medians, p99s and ratios; writes run/bench-placement.json.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from pathlib import Path

from onyxspoke.core.owned_worker import WorkerState
from onyxspoke.core.schema import (
    MachineRecord,
    PlacementPolicy,
    Resources,
    RunningTask,
    TaskClass,
)
from onyxspoke.core.worker_table import WorkerTable
from onyxspoke.kit.naive_placement import choose_worker

RUN = Path(__file__).resolve().parent.parent / "run"
SIZES = (24, 1_000, 15_000)
TASKS_A_WORKER = 72_000 / 15_000
DECISIONS = 20_000
NAIVE_DECISIONS = 200
RATIO_GOAL = 2.0
RATE_GOAL = 10_000
P99_GOAL_US = 1_000.0
PACKING_GOAL = 0.95
DEMAND = 0.90

#: Generation, capacity and share of the workers: 23,000 accelerators on 15,000 workers.
MACHINES = (
    ("gen1", Resources(32, 65_536, 0, 8), 0.35),
    ("gen2", Resources(64, 131_072, 0, 8), 0.35),
    ("gen3", Resources(64, 262_144, 4, 16), 0.20),
    ("gen4", Resources(128, 524_288, 8, 16), 0.10),
)
CLASSES = tuple(
    TaskClass(
        service="bench",
        name=f"class-{index}",
        resources=resources,
        patience_seconds=10.0,
        policy=policy,
    )
    for policy in PlacementPolicy
    for index, resources in enumerate(
        (
            Resources(1, 256),
            Resources(2, 4_096),
            Resources(4, 8_192),
            Resources(8, 16_384),
            Resources(16, 32_768),
            Resources(4, 16_384, 1),
            Resources(8, 65_536, 2),
        )
    )
)


_PAGE_BYTES = 4_096


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * _PAGE_BYTES


def make_table(count: int) -> WorkerTable:
    """Return a table of so many free workers."""
    table = WorkerTable()
    for index in range(count):
        generation, capacity, _ = draw_machine(index / count)
        machine = MachineRecord(f"w{index:05d}", "10.0.0.1", 7000, "z", "r", generation)
        worker = table.add(machine, 1)
        worker.load_inventory(capacity, [])
        worker.transition(WorkerState.ACTIVE)
        table.refresh(worker)
    return table


def draw_machine(share: float) -> tuple[str, Resources, float]:
    """Return the kind of machine at a share of the whole."""
    for kind in MACHINES:
        share -= kind[2]
        if share < 0:
            return kind
    return MACHINES[-1]


class Load:
    """Tasks that run in a table."""

    def __init__(self, table: WorkerTable, seed: int) -> None:
        self.table = table
        self._random = random.Random(seed)
        self._running: list[tuple[str, str]] = []
        self._counter = 0

    def start_one(self) -> float:
        """Place one task and return the seconds that the decision took."""
        task_class = self._random.choice(CLASSES)
        began = time.perf_counter()
        worker = self.table.choose(task_class)
        if worker is not None:
            self._counter += 1
            attempt_id = f"a{self._counter}"
            self.table.reserve(worker, RunningTask(attempt_id, task_class.resources))
            self._running.append((worker.worker_id, attempt_id))
        return time.perf_counter() - began

    def end_one(self) -> None:
        """End a random task."""
        if self._running:
            index = self._random.randrange(len(self._running))
            self._running[index], self._running[-1] = self._running[-1], self._running[index]
            self.table.release(*self._running.pop())

    def naive_choice(self) -> float:
        """Return the seconds that the naive scan takes for one decision."""
        task_class = self._random.choice(CLASSES)
        began = time.perf_counter()
        choose_worker(task_class, self.table.usable())
        return time.perf_counter() - began


def measure(count: int) -> dict[str, float]:
    """Measure one size in a steady state."""
    before = resident_bytes()
    table = make_table(count)
    worker_bytes = (resident_bytes() - before) / count
    load = Load(table, seed=count)
    before = resident_bytes()
    tasks = int(count * TASKS_A_WORKER)
    for _ in range(tasks):
        load.start_one()
    task_bytes = (resident_bytes() - before) / tasks
    times = []
    for _ in range(DECISIONS):
        load.end_one()
        times.append(load.start_one())
    naive = [load.naive_choice() for _ in range(NAIVE_DECISIONS)]
    times.sort()
    return {
        "workers": count,
        "median_us": statistics.median(times) * 1e6,
        "p99_us": times[int(len(times) * 0.99)] * 1e6,
        "decisions_per_second": len(times) / sum(times),
        "naive_median_us": statistics.median(naive) * 1e6,
        "worker_bytes": worker_bytes,
        "task_bytes": task_bytes,
    }


def measure_packing(seed: int, count: int = 1_000) -> float:
    """Offer work for 90% of the processors; return the placed share of what could be.

    The upper bound is the fractional relaxation: as if tasks could be cut in pieces, all
    of the offered work fits as long as no resource is asked for beyond its sum.
    """
    table = make_table(count)
    source = random.Random(seed)
    offered = total = placed = 0
    total = sum(worker.capacity.processors for worker in table.workers.values())
    plain = [item for item in CLASSES if item.policy is PlacementPolicy.PACK]
    weights = [1, 1, 2, 4, 4, 1, 1]
    number = 0
    while True:
        (task_class,) = source.choices(plain, weights)
        if offered + task_class.resources.processors > DEMAND * total:
            return placed / offered
        offered += task_class.resources.processors
        number += 1
        worker = table.choose(task_class)
        if worker is not None:
            table.reserve(worker, RunningTask(f"p{number}", task_class.resources))
            placed += task_class.resources.processors


def main() -> int:
    """Run the benchmark."""
    figures = [measure(count) for count in SIZES]
    for figure in figures:
        print(
            f"bench-placement: {figure['workers']:.0f} workers:"
            f" median {figure['median_us']:.1f} us, p99 {figure['p99_us']:.1f} us,"
            f" {figure['decisions_per_second']:.0f} decisions/s;"
            f" naive median {figure['naive_median_us']:.0f} us;"
            f" {figure['worker_bytes']:.0f} bytes a worker, {figure['task_bytes']:.0f} a task"
        )
    small, large = figures[0], figures[-1]
    ratio = large["median_us"] / small["median_us"]
    packing = [measure_packing(seed) for seed in (1, 2, 3)]
    print(f"bench-placement: ratio of medians 15,000 to 24: {ratio:.2f} (goal {RATIO_GOAL})")
    print(
        "bench-placement: placed at 90% demand, of the fractional bound: "
        + ", ".join(f"{share:.3f}" for share in packing)
        + f" (goal {PACKING_GOAL})"
    )
    RUN.mkdir(exist_ok=True)
    result = {"sizes": figures, "ratio": ratio, "packing": packing}
    (RUN / "bench-placement.json").write_text(json.dumps(result, indent=1))
    met = (
        ratio <= RATIO_GOAL
        and large["decisions_per_second"] >= RATE_GOAL
        and large["p99_us"] <= P99_GOAL_US
        and min(packing) >= PACKING_GOAL
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
