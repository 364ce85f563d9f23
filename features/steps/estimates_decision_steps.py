"""Steps about the effect of learned durations on decisions, and about forecast errors."""

from __future__ import annotations

import math
import random
import statistics
from typing import Any

import msgspec
from behave import given, then, when
from estimates_simulation import TICK_SECONDS, EstimatesSimulation
from hypothesis import Phase, settings
from hypothesis import given as drawn_from
from hypothesis import strategies as st
from placement_steps import _Scene

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.runs import GangRun, Run

#: Shrinking a long workload would take minutes.
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)

_jobs = st.lists(
    st.tuples(
        st.integers(0, 2),  # priority of the queue
        st.integers(1, 6),  # number of tasks
        st.integers(1, 6),  # processors
        st.integers(3, 40),  # estimate in tenths of a second
        st.booleans(),  # whether the step is a gang
        st.integers(0, 12),  # tenths of a second until the next job
        st.integers(5, 30),  # actual duration in tenths of the estimate
    ),
    min_size=4,
    max_size=40,
)


class _Played:
    """Simulates a workload on a placer and its workers, and records where and when tasks start."""

    def __init__(self, durations: DurationEstimator, unlike: bool, lag: float) -> None:
        self.scene = _Scene()
        self.durations = durations
        self.lag = lag
        self.slowdown_factors: dict[str, float] = {}
        self.runs: dict[Run, float] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        for number in range(6):
            name = f"w{number}"
            self.scene.add_worker(name, 10)
            self.scene.table.workers[name].speed = durations.begin_incarnation(name, 0, "", 0.0)
            self.slowdown_factors[name] = 2.5 if unlike and number % 3 == 0 else 1.0

    def submit(self, number: int, drawn: tuple[int, int, int, int, bool, int, int]) -> None:
        priority, tasks, processors, tenths, is_gang, _pause, takes = drawn
        scene = self.scene
        step = scene.add_step(
            f"j{number}", tasks, processors, priority, gang=is_gang, checkpointing=not is_gang
        )
        spec = msgspec.structs.replace(step.spec, estimated_ms=tenths * 100)
        job = step.job
        job_spec = msgspec.structs.replace(job.spec, steps=(spec,))
        work = self.durations.work_model_for(job.spec.queue.name, "")
        made = JobProgress(job_spec, scene.now, work)
        made.committed_state = JobState.QUEUED
        scene.steps[f"j{number}"] = made.begin_repetition(0, scene.now)[0]
        self.takes[made.job_id] = takes / 10.0

    def play(self, history: list[Any], holds: bool) -> list[tuple[float, str, int, str]]:
        self.takes: dict[str, float] = {}
        scene = self.scene
        next_at = scene.now
        waiting = list(enumerate(history))
        end = scene.now + 60.0
        while scene.now < end and (waiting or self.runs):
            scene.now = round(scene.now + TICK_SECONDS, 6)
            while waiting and next_at <= scene.now:
                number, drawn = waiting.pop(0)
                self.submit(number, drawn)
                next_at += drawn[5] / 10.0
            self._pass(holds)
        return self.starts

    def _pass(self, holds: bool) -> None:
        scene = self.scene
        for run in list(self.runs):
            self._advance(run, holds)
        self.durations.refresh_if_due(scene.now)
        before = {name: set(worker.runs) for name, worker in scene.table.workers.items()}
        scene.make_pass()
        for name, worker in scene.table.workers.items():
            for key in worker.runs.keys() - before[name]:
                self._begin(worker.runs[key])
        for eviction in scene.placer.take_preemption_requests():
            for run in eviction.preemption.runs:
                if run not in self.runs:
                    continue
                self.starts.append((scene.now, run.task.step.job.job_id, -1, run.worker.worker_id))
                self._end(run)
                run.task.move_to(TaskState.WAITING)

    def _begin(self, run: Run) -> None:
        scene = self.scene
        run.move_to(RunState.RUNNING)
        run.ordered_at = run.confirmed_at = scene.now
        self.runs[run] = 0.0
        step = run.task.step
        if step.spec.gang:
            gangs = [task.run.gang for task in step.tasks if task.run and task.run.gang]
            run.gang = gangs[0] if gangs else GangRun(step, 1)
            run.gang.members.append(run)
        where = run.worker.worker_id
        self.starts.append((scene.now, step.job.job_id, run.task.index, where))

    def _advance(self, run: Run, holds: bool) -> None:
        if run not in self.runs:
            return
        step = run.task.step
        times = 1.0 if holds else self.takes[step.job.job_id]
        whole = (
            step.spec.estimated_ms / 1_000.0 * times * self.slowdown_factors[run.worker.worker_id]
        )
        self.runs[run] += TICK_SECONDS
        percent = min(100, int(100 * self.runs[run] / whole))
        if percent // 10 != run.percent // 10 and percent < 100:
            run.percent = percent
            run.progressed_at = run.listed_at = self.scene.now
            self.durations.observe_progress(run, self.scene.now)
        if self.runs[run] >= whole + self.lag - 1e-9:
            self.durations.observe_run_end(run, RunEnd.DONE, self.scene.now)
            self._end(run)
            run.task.move_to(TaskState.DONE)

    def _end(self, run: Run) -> None:
        del self.runs[run]
        run.move_to(RunState.ENDED)
        run.worker.remove(run)
        run.task.run = None
        self.scene.table.note_capacity_gain(run.worker)


@when("{count:d} random workloads with exact estimates are simulated with and without learning")
def _equal_decisions(context: Any, count: int) -> None:
    context.pairs = []

    @settings(max_examples=count, phases=WITHOUT_SHRINKING)
    @drawn_from(_jobs, st.sampled_from([0.0, 0.02, 0.05]))
    def check(history: list[Any], lag: float) -> None:
        learning = DurationEstimator()
        first = _Played(learning, False, lag).play(history * 3, holds=True)
        second = _Played(DurationEstimator(False), False, lag).play(history * 3, holds=True)
        known = sum(work.is_known for work in learning.queues.values())
        context.pairs.append((first, second, known))
        assert first == second, (first, second)

    check()
    known_count = sum(known for _first, _second, known in context.pairs)
    assert known_count > count, known_count


@when(
    "{count:d} random workloads with wrong estimates are simulated"
    " with learning disabled and without runs observed"
)
def _learning_disabled(context: Any, count: int) -> None:
    context.pairs = []

    @settings(max_examples=count, phases=WITHOUT_SHRINKING)
    @drawn_from(_jobs)
    def check(history: list[Any]) -> None:
        first = _Played(DurationEstimator(False), True, 0.02).play(history * 3, holds=False)
        naive = _Played(_Unaware(False), True, 0.02).play(history * 3, holds=False)
        context.pairs.append((first, naive, 0))
        assert first == naive

    check()


class _Unaware(DurationEstimator):
    """A reference version that ignores all observations."""

    def observe_progress(self, run: Run, now: float) -> None:
        pass

    def observe_run_end(self, run: Run, end: RunEnd, now: float) -> None:
        pass

    def refresh_if_due(self, now: float) -> bool:
        return False


@then("the same tasks started on the same workers at the same times")
def _same_starts(context: Any) -> None:
    assert all(first == second for first, second, _known in context.pairs)
    starts = sum(len(first) for first, _second, _known in context.pairs)
    assert starts > 1_000, starts


# Forecast errors


QUEUE_ERRORS = {"tenth": 0.1, "half": 0.5, "sound": 1.0, "double": 1.9}


@given(
    "a cell of {count:d} workers of two speeds and four queues whose estimates are off by up to 0.9"
)
def _cell_of_two_speeds(context: Any, count: int) -> None:
    simulation = context.simulation = EstimatesSimulation()
    for number in range(count):
        name = f"w{number}"
        simulation.add_worker(name)
        simulation.slowdown_factors[name] = 2.0 if number % 5 == 0 else 1.0
    simulation.long_task_percent = 2


@when("{jobs:d} jobs are run in it")
def _run_in_cell(context: Any, jobs: int) -> None:
    simulation = context.simulation
    forecasts: list[tuple[str, Run, float, float]] = []
    source = random.Random(11)
    for number in range(jobs):
        queue = source.choice(list(QUEUE_ERRORS))
        seconds = source.uniform(2.0, 6.0)
        times = QUEUE_ERRORS[queue] * math.exp(source.gauss(0.0, 0.15))

        def note(run: Run, queue: str = queue, seconds: float = seconds) -> None:
            worker = run.worker.worker_id
            learned = simulation.durations.expected(queue, "", seconds * 1_000.0, worker)
            forecasts.append((queue, run, seconds, learned.median_seconds))

        late = number >= jobs // 2
        step = simulation.start(source.randint(1, 12), seconds, queue=queue, times=times)
        if late:
            for run in [run for run in simulation.runs if run.task.step is step]:
                note(run)
        simulation.pass_time(0.25)
    simulation.drain()
    context.errors = {queue: ([], []) for queue in QUEUE_ERRORS}
    for queue, run, estimate, learned in forecasts:
        actual = run.usage / 1e6 * simulation.slowdown_factors[run.worker.worker_id]
        before, after = context.errors[queue]
        before.append(abs(math.log(actual / estimate)))
        after.append(abs(math.log(actual / learned)))


@then("forecasts are off by less than half as much as callers' estimates, and in no queue by more")
def _errors(context: Any) -> None:
    errors_before = [error for before, _after in context.errors.values() for error in before]
    errors_after = [error for _before, after in context.errors.values() for error in after]
    figures = {
        queue: (round(statistics.mean(before), 3), round(statistics.mean(after), 3))
        for queue, (before, after) in context.errors.items()
    }
    assert statistics.mean(errors_after) < 0.5 * statistics.mean(errors_before), figures
    assert all(after <= before for before, after in figures.values()), figures
