"""Steps about workers of unlike speed, without a cluster."""

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
ARRIVALS_A_SECOND = 12.0


@given('"{worker}" is known to take {times:g} times as long')
def _known_slow(context: Any, worker: str, times: float) -> None:
    context.scene.table.workers[worker].speed.factor = times


@given('a step "{name}" of 1 task whose job may take {times:g} times its work')
def _stretched(context: Any, name: str, times: float) -> None:
    context.scene.add_step(name, 1, 2, 0, stretch=times)


@given('a gang "{name}" of {count:d} tasks whose job may take {times:g} times its work')
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
    for number, (room, quarters) in enumerate(workers):
        scene.add_worker(f"w{number}", room)
        if factors:
            scene.table.workers[f"w{number}"].speed.factor = quarters / 4.0
    step = scene.add_step("step", tasks, processors, 0, age_seconds=age, stretch=stretch)
    candidates = [Candidate(worker, "") for worker in scene.table.workers.values()]
    placed = place_tasks(step, candidates, ScratchCapacity(), tasks, scene.now, is_on)
    if placed is None:
        return []
    return [(item.task.index, item.worker.worker_id) for item in placed.placements]


@when("{count:d} random cells are placed with the part on, off and with all workers alike")
def _random_cells(context: Any, count: int) -> None:
    context.differed = 0

    @settings(max_examples=count)
    @drawn_from(_cells)
    def check(cell: Any) -> None:
        today = _place(cell, factors=False, is_on=False)
        assert _place(cell, factors=True, is_on=False) == today
        assert _place(cell, factors=False, is_on=True) == today
        unlike = _place(cell, factors=True, is_on=True)
        assert len(unlike) == len(today) or not today
        context.differed += unlike != today

    check()


@then("workers' speeds changed nothing where the part is off or they are alike")
def _differed(context: Any) -> None:
    assert context.differed > 0


class _Cell:
    """A third of its workers is slow; jobs of two kinds are handed in."""

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

    def hand_in(self) -> None:
        for kind, rank, stretch in (("pressed", 0, 2.0), ("patient", 1, 8.0)):
            if self.random.random() < ARRIVALS_A_SECOND * PASS_SECONDS:
                name = f"{kind}-{self.scene.now:.3f}"
                self.scene.add_step(name, 1, 2, rank, stretch=stretch)

    def pass_time(self) -> None:
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


def _late(is_speed_aware: bool, seconds: float) -> dict[str, float]:
    """Play a cell; return the share of late jobs by kind."""
    cell = _Cell(is_speed_aware)
    end = cell.scene.now + seconds
    while cell.scene.now < end:
        cell.hand_in()
        cell.pass_time()
    while cell.ends or cell.scene.started:
        cell.pass_time()
    return {kind: sum(found) / len(found) for kind, found in cell.late.items()}


@when("pressed and patient steps are handed in for {seconds:d} seconds, with the part and without")
def _play_unlike(context: Any, seconds: int) -> None:
    context.with_part = _late(True, seconds)
    context.without = _late(False, seconds)


@then("with the part fewer pressed steps are late, and no more patient ones")
def _fewer_late(context: Any) -> None:
    figures = (context.without, context.with_part)
    assert context.with_part["pressed"] < 0.5 * context.without["pressed"], figures
    assert context.with_part["patient"] <= context.without["patient"], figures
