"""Steps that place waiting tasks on workers, without a cluster."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from onyxspoke.core.jobs.model import AdvicePolicy, JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import JobState, RunState, TaskState
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.placer import Placer
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket
from onyxspoke.core.tenants.quota_usage import QuotaBudget, QuotaUsage, unlimited_quotas

MILLI = 1_000
ESTIMATED_MS = 2_000
SERVICE = "service"

#: The quotas of a cell without tenants, which limit nothing.
NO_QUOTAS = unlimited_quotas()


class _Scene:
    """A cell of workers, waiting steps and a placer, with a clock that the steps advance."""

    def __init__(self) -> None:
        self.now = 100.0
        self.table = WorkerTable()
        self.advice_dispatcher = AdviceDispatcher()
        self.placer = Placer(self.table, self.advice_dispatcher, stop_seconds=0.4)
        self.advice: AdvicePolicy | None = None
        self.steps: dict[str, StepProgress] = {}
        self.runs: dict[str, Run] = {}
        self.started: dict[str, list[Run]] = {}
        self.calls: list[Any] = []
        self.first_calls: list[Any] = []
        #: Quotas of tenants; the others have none.
        self.quotas: dict[str, ResourceVector] = {}

    def add_worker(self, name: str, processors: int, rack: str = "one") -> None:
        record = WorkerRecord(
            worker_id=name,
            host=name,
            port=1,
            service=SERVICE,
            zone="zone",
            capacity=ResourceVector(processors * MILLI, 64_000, 0),
            rack=rack,
        )
        worker = Worker(record, previous_lease_expires_at=0.0)
        worker.move_to(WorkerContact.RECONCILED)
        worker.is_recorded = True
        self.table.workers[name] = worker

    def add_step(
        self,
        name: str,
        count: int,
        processors: int,
        priority: int,
        age_seconds: float = 0.0,
        stretch: float = 2.0,
        **traits: bool,
    ) -> StepProgress:
        queue = QueuePolicy(
            name=f"queue-{priority}",
            service=SERVICE,
            priority=priority,
            stretch=stretch,
            advice=self.advice,
        )
        spec = StepSpec(
            task_count=count,
            processors_milli=processors * MILLI,
            memory_mb=100,
            estimated_ms=ESTIMATED_MS,
            **traits,
        )
        accepted_at = self.now - age_seconds
        job = JobProgress(JobSpec(job_id=name, queue=queue, payload="", steps=(spec,)), accepted_at)
        job.committed_state = JobState.QUEUED
        step = job.begin_repetition(0, self.now)[0]
        self.steps[name] = step
        self.now += 0.001
        return step

    def start(self, step: StepProgress, index: int, worker: Worker) -> Run:
        task = step.tasks[index]
        run = Run(task, 1, worker, self.now)
        task.run = run
        task.move_to(TaskState.ACTIVE)
        worker.add(run)
        return run

    def _quota_budget(self) -> QuotaBudget:
        if not self.quotas:
            return NO_QUOTAS
        usage = QuotaUsage()
        for worker in self.table.workers.values():
            for run in worker.runs.values():
                usage.add(run.task.step.job.spec.tenant, run.needs)
        return QuotaBudget(lambda tenant: self.quotas[tenant], usage, {})

    def make_pass(self) -> None:
        waiting = [step for step in self.steps.values() if step.waiting]
        self.started = {}
        for plan in self.placer.plan(waiting, PolicySet(), self._quota_budget(), self.now):
            runs = [self.start(plan.step, item.task.index, item.worker) for item in plan.placements]
            self.started[plan.step.job.job_id] = runs
        self.calls = self.advice_dispatcher.dispatch(self.now)


@given("workers {names} of {processors:d} processors each")
def _workers(context: Any, names: str, processors: int) -> None:
    context.scene = getattr(context, "scene", None) or _Scene()
    for name in _names(names):
        context.scene.add_worker(name, processors)


@given('workers {names} of {processors:d} processors each in rack "{rack}"')
def _workers_in_rack(context: Any, names: str, processors: int, rack: str) -> None:
    for name in _names(names):
        context.scene.add_worker(name, processors, rack)


@given("{count:d} more workers of {processors:d} processors each")
def _more_workers(context: Any, count: int, processors: int) -> None:
    for number in range(count):
        context.scene.add_worker(f"more-{number:03}", processors)


@given(
    "{count:d} entries that make advice calls, each taking {decide:d} ms"
    " plus {each:d} ms per worker"
)
def _advisors(context: Any, count: int, decide: int, each: int) -> None:
    scene = context.scene
    scene.advice = AdvicePolicy(decide, each, 1_500.0)
    scene.advice_dispatcher.set_advice_entries(
        [f"entry-{number}" for number in range(count)], scene.now
    )


@given('a waiting step "{name}" of {count:d} task of {processors:d} processors, priority {rank:d}')
@given('a waiting step "{name}" of {count:d} tasks of {processors:d} processors, priority {rank:d}')
def _step(context: Any, name: str, count: int, processors: int, rank: int) -> None:
    context.scene.add_step(name, count, processors, rank)


@given(
    'a waiting step "{name}" of {count:d} task of {processors:d} processors, priority {rank:d},'
    " submitted {age:g} seconds ago"
)
@given(
    'a waiting step "{name}" of {count:d} tasks of {processors:d} processors, priority {rank:d},'
    " submitted {age:g} seconds ago"
)
def _old_step(context: Any, name: str, count: int, processors: int, rank: int, age: float) -> None:
    context.scene.add_step(name, count, processors, rank, age_seconds=age)


@given('a waiting gang "{name}" of {count:d} tasks of {processors:d} processors, priority {rank:d}')
def _gang(context: Any, name: str, count: int, processors: int, rank: int) -> None:
    context.scene.add_step(name, count, processors, rank, gang=True)


@given(
    'a waiting same-rack gang "{name}" of {count:d} tasks of {processors:d} processors,'
    " priority {rank:d}"
)
def _rack_gang(context: Any, name: str, count: int, processors: int, rank: int) -> None:
    context.scene.add_step(name, count, processors, rank, gang=True, same_rack=True)


@given('"{worker}" runs a task of {processors:d} processors')
def _running(context: Any, worker: str, processors: int) -> None:
    scene = context.scene
    step = scene.add_step(f"running-{worker}", 1, processors, 0)
    scene.runs[worker] = scene.start(step, 0, scene.table.workers[worker])


@given('"{worker}" failed the runs of {count:d} jobs')
def _failed(context: Any, worker: str, count: int) -> None:
    scene = context.scene
    for number in range(count):
        scene.table.workers[worker].health.note_failure(f"job-{number}", scene.now)


@when('the task on "{worker}" has ended')
def _ended(context: Any, worker: str) -> None:
    scene = context.scene
    run = scene.runs.pop(worker)
    run.move_to(RunState.ENDED)
    run.worker.remove(run)
    run.task.move_to(TaskState.DONE)
    scene.table.note_capacity_gain(run.worker)


@when('"{name}" no longer waits')
def _waits_no_longer(context: Any, name: str) -> None:
    del context.scene.steps[name]


@when("a placement pass runs")
def _pass(context: Any) -> None:
    context.scene.make_pass()


@when("{seconds:g} seconds pass before a placement pass")
def _later_pass(context: Any, seconds: float) -> None:
    context.scene.now += seconds
    context.scene.placer.reconsider_all()
    context.scene.make_pass()


@when('the advice is that every worker suits "{name}" for {validity:d} ms')
def _advice(context: Any, name: str, validity: int) -> None:
    scene = context.scene
    assert scene.calls
    for call in scene.calls:
        tickets = [Ticket(worker_id, "ticket") for worker_id in call.worker_ids]
        result = AdviceResult(AdviceOutcome.ANSWERED, tickets, float(validity))
        scene.advice_dispatcher.handle_result(call.call_id, result, scene.now)
    scene.placer.reconsider(scene.steps[name].key)


@when('the advice is that no worker suits "{name}"')
def _no_advice(context: Any, name: str) -> None:
    scene = context.scene
    for call in scene.calls:
        result = AdviceResult(AdviceOutcome.ANSWERED, [], 1_500.0)
        scene.advice_dispatcher.handle_result(call.call_id, result, scene.now)
    scene.placer.reconsider(scene.steps[name].key)


@then('"{name}" starts {count:d} task')
@then('"{name}" starts {count:d} tasks')
def _starts(context: Any, name: str, count: int) -> None:
    runs = context.scene.started.get(name, [])
    assert len(runs) == count, [run.worker.worker_id for run in runs]
    context.latest = runs


@then("they are on {names}")
def _are_on(context: Any, names: str) -> None:
    assert sorted(run.worker.worker_id for run in context.latest) == _names(names)


@then("{count:d} advice calls are sent, about {workers:d} workers")
@then("{count:d} advice call is sent, about {workers:d} workers")
def _calls(context: Any, count: int, workers: int) -> None:
    calls = context.scene.calls
    assert len(calls) == count, calls
    assert sum(len(call.worker_ids) for call in calls) == workers, calls


@then("{count:d} advice calls are sent")
def _call_count(context: Any, count: int) -> None:
    assert len(context.scene.calls) == count, context.scene.calls


def _names(text: str) -> list[str]:
    return sorted(part.strip('" ') for part in text.replace(" and ", ",").split(",") if part)


@when("{seconds:g} seconds pass without a notification before a placement pass")
def _pass_without_notification(context: Any, seconds: float) -> None:
    scene = context.scene
    scene.now += seconds
    scene.first_calls = scene.calls or scene.first_calls
    for key in scene.advice_dispatcher.take_due_retries(scene.now):
        scene.placer.reconsider(key)
    scene.make_pass()


@then('only the periodic sweep found "{name}"')
def _only_sweep(context: Any, name: str) -> None:
    found = [step.job.job_id for step in context.scene.placer.take_overlooked()]
    assert found == [name], found


@given("an advice call takes {decide:d} ms plus {each:d} ms per worker")
def _advice_takes(context: Any, decide: int, each: int) -> None:
    context.scene.advice = AdvicePolicy(decide, each, 1_500.0)


def _position(context: Any, name: str) -> int:
    [call] = [call for call in context.scene.calls if call.step.job_id == name]
    return int(call.entry_name.rpartition("-")[2])


@then('the advice call for "{name}" uses none of the first {count:d} entries')
def _not_among_first(context: Any, name: str, count: int) -> None:
    assert _position(context, name) >= count, _position(context, name)


@given("{count:d} waiting steps of 1 task of {processors:d} processors, priority {rank:d}")
def _several_steps(context: Any, count: int, processors: int, rank: int) -> None:
    for number in range(count):
        context.scene.add_step(f"urgent-{number}", 1, processors, rank)


@then("their advice calls use the first {count:d} entries, one entry each")
def _one_each_of_first(context: Any, count: int) -> None:
    positions = [_position(context, f"urgent-{number}") for number in range(count)]
    assert sorted(positions) == list(range(count)), positions


@then('the advice call for "{name}" uses another entry')
def _another_entry(context: Any, name: str) -> None:
    [first] = context.scene.first_calls
    [second] = [call for call in context.scene.calls if call.step.job_id == name]
    assert second.entry_name != first.entry_name, first.entry_name


@when("the first call is answered with tickets for every worker, valid for {validity:d} ms")
def _first_answered(context: Any, validity: int) -> None:
    scene = context.scene
    [first] = scene.first_calls
    tickets = [Ticket(name, f"ticket-{name}") for name in first.worker_ids]
    result = AdviceResult(AdviceOutcome.ANSWERED, tickets, validity)
    key = scene.advice_dispatcher.handle_result(first.call_id, result, scene.now)
    assert key is not None
    scene.placer.reconsider(key)


@given('"{worker}" runs a checkpointing task of {processors:d} processors, priority {priority:d}')
def _runs_with_checkpoints(context: Any, worker: str, processors: int, priority: int) -> None:
    scene = context.scene
    step = scene.add_step(
        f"patient-{worker}", 1, processors, priority, stretch=20.0, checkpointing=True
    )
    run = scene.start(step, 0, scene.table.workers[worker])
    run.move_to(RunState.RUNNING)
    run.confirmed_at = scene.now


def _preempted_runs(context: Any) -> list[Run]:
    requests = context.scene.placer.take_preemption_requests()
    for request in requests:
        assert request.step.job.job_id == "gang"
    return [run for request in requests for run in request.preemption.runs]


@then("no run is preempted for a gang")
def _none_preempted(context: Any) -> None:
    assert not _preempted_runs(context)


@then("{count:d} runs are preempted for the gang")
def _runs_preempted(context: Any, count: int) -> None:
    context.preempted = _preempted_runs(context)
    assert len(context.preempted) == count, context.preempted
    for run in context.preempted:
        run.move_to(RunState.STOPPING)
        run.stop_sent_at = context.scene.now


@when("the preempted runs have ended, and a placement pass runs")
def _they_have_ended(context: Any) -> None:
    scene = context.scene
    for run in context.preempted:
        run.worker.remove(run)
        scene.table.note_capacity_gain(run.worker)
    scene.now += 0.3
    scene.make_pass()


@then('"{name}" runs on {count:d} worker')
def _on_workers(context: Any, name: str, count: int) -> None:
    workers = {run.worker.worker_id for run in context.scene.started[name]}
    assert len(workers) == count, workers


@given(
    'a waiting step "{name}" of {count:d} tasks of {processors:d} processors, priority {rank:d},'
    " at most {most:d} on a worker"
)
def _spread_step(
    context: Any, name: str, count: int, processors: int, rank: int, most: int
) -> None:
    context.scene.add_step(name, count, processors, rank, spread_limit=most)


@when('{seconds:g} seconds pass, and the second task of "{name}" has ended without success')
def _second_ends(context: Any, seconds: float, name: str) -> None:
    scene = context.scene
    scene.now += seconds
    task = scene.steps[name].tasks[1]
    run = task.run
    assert run is not None
    run.move_to(RunState.RUNNING)
    run.move_to(RunState.ENDED)
    run.worker.remove(run)
    task.run = None
    task.move_to(TaskState.WAITING)
    scene.table.note_capacity_gain(run.worker)


@then('the advice call for "{name}" names no worker that runs one of its tasks')
def _names_others(context: Any, name: str) -> None:
    scene = context.scene
    busy = {task.run.worker.worker_id for task in scene.steps[name].tasks if task.run is not None}
    [call] = [call for call in scene.calls if call.step.job_id == name]
    assert call.worker_ids and not busy & set(call.worker_ids), (busy, call.worker_ids)
