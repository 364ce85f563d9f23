"""Steps about the preemption of runs for more urgent steps, without a cluster."""

from __future__ import annotations

import random
from itertools import combinations
from typing import Any

from behave import given, then, when
from placement_steps import MILLI, _Scene

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.preemption import choose_preemption
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity, count_fitting_tasks
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket

TRAITS: dict[str, dict[str, bool]] = {
    "with checkpoints": {"checkpointing": True},
    "without checkpoints": {},
    "long-running": {"checkpointing": True, "long_running": True},
}
#: Objectives as multiples of the work of a job: one with much slack, and one with little.
PATIENT_STRETCH, PRESSED_STRETCH = 4.0, 2.0
WORK_SECONDS = 2.0
RESTART_SECONDS = 3.0


@given("its job would be late after a restart")
def _late_after_restart(context: Any) -> None:
    context.run.task.step.job.objective_seconds = PRESSED_STRETCH * WORK_SECONDS


@given('"{worker}" runs "{name}" of {processors:d} processors, priority {priority:d}, {traits}')
def _runs(
    context: Any, worker: str, name: str, processors: int, priority: int, traits: str
) -> None:
    scene = context.scene
    step = scene.add_step(name, 1, processors, priority, stretch=PATIENT_STRETCH, **TRAITS[traits])
    run = scene.start(step, 0, scene.table.workers[worker])
    run.move_to(RunState.RUNNING)
    run.confirmed_at = scene.now
    scene.runs[name] = context.run = run


@given("it ends in {seconds:g} seconds")
@when("it ends in {seconds:g} seconds")
def _ends_in(context: Any, seconds: float) -> None:
    context.run.confirmed_at = context.scene.now - WORK_SECONDS + seconds


@given("it resumed from its checkpoint {seconds:g} seconds ago, at {percent:d} percent")
def _resumed(context: Any, seconds: float, percent: int) -> None:
    run = context.run
    run.is_resumed = True
    run.percent = percent
    run.confirmed_at = run.progressed_at = context.scene.now - seconds


@when('"{name}" has been stopped')
def _stopped(context: Any, name: str) -> None:
    run = context.scene.runs[name]
    run.move_to(RunState.ENDED)
    run.worker.remove(run)
    context.scene.table.note_capacity_gain(run.worker)


@when('the advice is that "{name}" may run on "{worker}"')
def _advice(context: Any, name: str, worker: str) -> None:
    scene = context.scene
    call = next(call for call in scene.calls if call.step.job_id == name)
    tickets = [Ticket(worker, "ticket")]
    result = AdviceResult(AdviceOutcome.ANSWERED, tickets, validity_ms=2_000)
    scene.placer.reconsider(scene.advice_dispatcher.handle_result(call.call_id, result, scene.now))


@when('the advice on "{name}" arrived {seconds:g} seconds ago')
def _advised_before(context: Any, name: str, seconds: float) -> None:
    scene = context.scene
    # No run can be preempted yet, because the only run is about to end.
    _ends_in(context, 0.3)
    scene.make_pass()
    _advice(context, name, "a")
    scene.now += seconds


@then('"{victim}" is preempted for "{step}"')
def _is_preempted(context: Any, victim: str, step: str) -> None:
    requests = context.scene.placer.take_preemption_requests()
    found = [
        (run.task.step.job.job_id, request.step.job.job_id)
        for request in requests
        for run in request.preemption.runs
    ]
    assert found == [(victim, step)], found


@then("no run is preempted")
def _none_preempted(context: Any) -> None:
    assert context.scene.placer.take_preemption_requests() == []


@then('"{name}" of {processors:d} processors, priority {priority:d}, submitted now, does not start')
def _does_not_start(context: Any, name: str, processors: int, priority: int) -> None:
    scene = context.scene
    scene.add_step(name, 1, processors, priority)
    scene.make_pass()
    assert name not in scene.started, scene.started


@then('advice on "{name}" and worker "{worker}" is requested')
def _asked(context: Any, name: str, worker: str) -> None:
    calls = [(call.step.job_id, call.worker_ids) for call in context.scene.calls]
    assert (name, (worker,)) in calls, calls


@when("preemptions are chosen in {count:d} random cells")
def _random_cells(context: Any, count: int) -> None:
    context.cells = [_random_cell(random.Random(seed)) for seed in range(count)]


def _random_cell(rng: random.Random) -> Any:
    """Return a cell, a demand, the chosen preemption, and whether a search finds any."""
    scene = _Scene()
    for index in range(rng.randint(1, 3)):
        name = f"w{index}"
        scene.add_worker(name, rng.randint(4, 16))
        worker = scene.table.workers[name]
        for number in range(rng.randint(0, 5)):
            processors = rng.randint(1, 6)
            if processors * MILLI > worker.free_processors:
                continue
            traits = TRAITS[rng.choice([*TRAITS, "with checkpoints", "with checkpoints"])]
            step = scene.add_step(
                f"{name}-{number}",
                1,
                processors,
                rng.choice([0, 1, 2, 2]),
                stretch=rng.choice([PATIENT_STRETCH, PRESSED_STRETCH]),
                **traits,
            )
            run = scene.start(step, 0, worker)
            run.move_to(RunState.RUNNING)
            run.confirmed_at = scene.now - rng.choice([0.0, 0.5, 1.7])
    needs = ResourceVector(rng.randint(3, 16) * MILLI, 100, 0)
    workers = [item for item in scene.table.workers.values() if not item.fits(needs)]
    found = choose_preemption(1, needs, workers, ScratchCapacity(), PolicySet(), scene.now)
    return (
        scene,
        needs,
        found,
        any(_exhaustive_search(worker, needs, scene.now) for worker in workers),
    )


def _exhaustive_search(worker: Any, needs: ResourceVector, now: float) -> bool:
    """Return whether trying every set of runs finds a set that must be preempted and is enough."""
    ending_soon, preemptible = [], []
    for run in worker.runs.values():
        spec = run.task.step.spec
        left = WORK_SECONDS - (now - run.confirmed_at)
        step = run.task.step
        slack = step.due_at + step.job.objective_seconds - now - left
        if not spec.long_running and left < 0.6:
            ending_soon.append(run)
        elif (
            spec.checkpointing
            and not spec.long_running
            and not 0.0 < slack < RESTART_SECONDS
            and run.task.step.job.spec.queue.priority > 1
        ):
            preemptible.append(run)
    for size in range(len(preemptible) + 1):
        for chosen in combinations(preemptible, size):
            freed = sum(run.needs.processors_milli for run in [*ending_soon, *chosen])
            if worker.free_processors + freed >= needs.processors_milli:
                # No preemption is needed if the runs that are about to end free enough capacity.
                return size > 0
    return False


@then("a preemption is found exactly if an exhaustive search finds one")
def _agrees_with_search(context: Any) -> None:
    found_count = 0
    for _scene, needs, found, is_possible in context.cells:
        assert (found is not None) == is_possible, (needs, found, is_possible)
        found_count += found is not None
    assert found_count > len(context.cells) // 20


@then("no run is preempted unnecessarily")
def _none_unnecessary(context: Any) -> None:
    for scene, needs, found, _is_possible in context.cells:
        if found is None:
            continue
        free = found.worker.free_processors
        for run in found.worker.runs.values():
            left = 2.0 - (scene.now - run.confirmed_at)
            if run in found.runs or (not run.task.step.spec.long_running and left < 0.6):
                free += run.needs.processors_milli
        for run in found.runs:
            left = ResourceVector(free - run.needs.processors_milli, 1_000_000, 0)
            assert count_fitting_tasks(left, needs) == 0, (needs, found)
