"""Steps about workers of different speed, without a cluster."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from hypothesis import given as drawn_from
from hypothesis import settings
from hypothesis import strategies as st
from placement_steps import _Scene

from onyxspoke.core.jobs.states import RunState, TaskState
from onyxspoke.core.placement.placer import Placer
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.spreading import Candidate, place_tasks

PASS_SECONDS = 0.05
WORK_SECONDS = 2.0
ARRIVALS_PER_SECOND = 12.0


@given('"{worker}" is known to take {times:g} times as long')
def _known_slow(context: Any, worker: str, times: float) -> None:
    context.scene.table.workers[worker].speed.factor = times


@given('a step "{name}" of 1 task whose objective is {times:g} times its work')
def _stretched(context: Any, name: str, times: float) -> None:
    context.scene.add_step(name, 1, 2, 0, stretch=times)


@given('a gang "{name}" of {count:d} tasks whose objective is {times:g} times its work')
def _stretched_gang(context: Any, name: str, count: int, times: float) -> None:
    context.scene.add_step(name, count, 2, 0, stretch=times, gang=True)


_cells = st.tuples(
    st.lists(st.tuples(st.integers(1, 9), st.integers(2, 12)), min_size=1, max_size=8),
    st.integers(1, 8),
    st.integers(1, 4),
    st.floats(1.0, 8.0),
    st.floats(0.0, 20.0),
)


def _place(cell: Any, factors: bool, is_on: bool) -> list[tuple[int, str]]:
    workers, tasks, processors, stretch, age = cell
    scene = _Scene()
    for number, (processor_count, factor_quarters) in enumerate(workers):
        scene.add_worker(f"w{number}", processor_count)
        if factors:
            scene.table.workers[f"w{number}"].speed.factor = factor_quarters / 4.0
    step = scene.add_step("step", tasks, processors, 0, age_seconds=age, stretch=stretch)
    candidates = [Candidate(worker, "") for worker in scene.table.workers.values()]
    placed = place_tasks(step, candidates, ScratchCapacity(), tasks, scene.now, is_on)
    if placed is None:
        return []
    return [(item.task.index, item.worker.worker_id) for item in placed.placements]


@when(
    "{count:d} random cells are placed with speed awareness on, off and with equally fast workers"
)
def _random_cells(context: Any, count: int) -> None:
    context.changed_count = 0

    @settings(max_examples=count)
    @drawn_from(_cells)
    def check(cell: Any) -> None:
        baseline = _place(cell, factors=False, is_on=False)
        assert _place(cell, factors=True, is_on=False) == baseline
        assert _place(cell, factors=False, is_on=True) == baseline
        with_speeds = _place(cell, factors=True, is_on=True)
        assert len(with_speeds) == len(baseline) or not baseline
        context.changed_count += with_speeds != baseline

    check()


@then("placements were the same if speed awareness is off or all workers are equally fast")
def _differed(context: Any) -> None:
    assert context.changed_count > 0


class _Cell:
    """A cell where a third of the workers is slow, and jobs of two kinds are submitted."""

    def __init__(self, is_speed_aware: bool) -> None:
        self.scene = scene = _Scene()
        scene.placer = Placer(
            scene.table, scene.advice_dispatcher, 0.4, is_speed_aware=is_speed_aware
        )
        self.random = random.Random(5)
        self.ends: dict[Run, float] = {}
        self.late: dict[str, list[bool]] = {"pressed": [], "patient": []}
        for number in range(24):
            scene.add_worker(f"w{number:02}", 8)
            if number % 3 == 0:
                scene.table.workers[f"w{number:02}"].speed.factor = 2.5

    def submit_jobs(self) -> None:
        for kind, rank, stretch in (("pressed", 0, 2.0), ("patient", 1, 8.0)):
            if self.random.random() < ARRIVALS_PER_SECOND * PASS_SECONDS:
                name = f"{kind}-{self.scene.now:.3f}"
                self.scene.add_step(name, 1, 2, rank, stretch=stretch)

    def advance(self) -> None:
        self.scene.now += PASS_SECONDS
        for run in [run for run, at in self.ends.items() if at <= self.scene.now]:
            self._end(run)
        self.scene.make_pass()
        for runs in self.scene.started.values():
            for run in runs:
                run.move_to(RunState.RUNNING)
                run.confirmed_at = self.scene.now
                self.ends[run] = self.scene.now + WORK_SECONDS * run.worker.speed.factor
        self.scene.placer.take_preemption_requests()

    def _end(self, run: Run) -> None:
        del self.ends[run]
        run.move_to(RunState.ENDED)
        run.worker.remove(run)
        run.task.move_to(TaskState.DONE)
        self.scene.table.note_capacity_gain(run.worker)
        step = run.task.step
        is_late = self.scene.now > step.due_at + step.job.objective_seconds
        self.late[step.job.job_id.partition("-")[0]].append(is_late)


def _late_shares(is_speed_aware: bool, seconds: float) -> dict[str, float]:
    """Simulate a cell; return the share of late jobs by kind."""
    cell = _Cell(is_speed_aware)
    end = cell.scene.now + seconds
    while cell.scene.now < end:
        cell.submit_jobs()
        cell.advance()
    while cell.ends or cell.scene.started:
        cell.advance()
    return {kind: sum(found) / len(found) for kind, found in cell.late.items()}


@when(
    "pressed and patient steps are submitted for {seconds:d} seconds,"
    " with and without speed awareness"
)
def _simulate(context: Any, seconds: int) -> None:
    context.with_awareness = _late_shares(True, seconds)
    context.without_awareness = _late_shares(False, seconds)


@then("with speed awareness fewer pressed steps are late, and no more patient ones")
def _fewer_late(context: Any) -> None:
    late_shares = (context.without_awareness, context.with_awareness)
    assert context.with_awareness["pressed"] < 0.5 * context.without_awareness["pressed"], (
        late_shares
    )
    assert context.with_awareness["patient"] <= context.without_awareness["patient"], late_shares
