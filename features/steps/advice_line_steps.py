"""Steps that play the load of a busy cell on the placer and the line for advice."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when

from onyxspoke.core.jobs.model import AdvicePolicy, JobSpec, Needs, QueuePolicy, StepSpec
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import JobState, RunState, TaskState
from onyxspoke.core.placement.advice_choice import AdviceChooser
from onyxspoke.core.placement.advice_desk import AdviceCall, AdviceDesk
from onyxspoke.core.placement.placer import Placer
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket
from onyxspoke.core.tenants.ledger import no_quotas

PASS_SECONDS = 0.02
SERVICE = "service"
CAPACITY = Needs(16_000, 64_000, 0)
NEARLY_ALL = 0.95
#: The traits of each kind: priority, share of good workers, decision and share a worker in ms, then
#: tasks, processors of each and seconds of work.
KINDS: dict[str, tuple[int, float, float, float, int, int, float]] = {
    "urgent": (0, 0.7, 9.4, 0.13, 3, 2_500, 0.64),
    "gang": (1, 0.25, 455.0, 6.5, 20, 4_500, 4.0),
    "patient": (2, 0.45, 156.0, 2.34, 25, 1_700, 3.4),
}


class _Cell:
    """Workers, entries, and a clock of its own."""

    def __init__(self, workers: int, entries: int) -> None:
        self.now = 100.0
        self.random = random.Random(workers)
        self.table = WorkerTable()
        self.desk = AdviceDesk()
        self.placer = Placer(self.table, self.desk, stop_seconds=0.9)
        self.steps: dict[str, StepProgress] = {}
        self.handed_in: dict[str, list[tuple[str, float]]] = {}
        self.begun: dict[str, float] = {}
        self.busy_until: dict[str, float] = {}
        self.carried: dict[str, set[str]] = {}
        self.most_at_once = 0
        self._later: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.desk.set_advisors([f"entry-{number:02}" for number in range(entries)], self.now)
        for number in range(workers):
            record = WorkerRecord(
                worker_id=f"w{number:03}",
                host="",
                port=0,
                service=SERVICE,
                zone=f"zone-{number % 3}",
                capacity=CAPACITY,
            )
            worker = Worker(record, 0.0)
            worker.move_to(WorkerContact.SETTLED)
            worker.is_recorded = True
            self.table.workers[record.worker_id] = worker

    def later(self, seconds: float, function: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._later, (self.now + seconds, self._count, function))

    def hand_in(self, kind: str) -> None:
        priority, _good, decide, each, tasks, processors, seconds = KINDS[kind]
        queue = QueuePolicy(
            name=kind,
            service=SERVICE,
            priority=priority,
            stretch=4.0,
            target_latency_ms=1_000,
            advice=AdvicePolicy(decide, each, 1_500.0),
        )
        spec = StepSpec(
            task_count=tasks,
            processors_milli=processors,
            memory_mb=100,
            estimated_ms=int(seconds * 1_000),
            gang=kind == "gang",
        )
        name = f"{kind}-{len(self.handed_in.setdefault(kind, []))}"
        job = JobProgress(JobSpec(job_id=name, queue=queue, payload="", steps=(spec,)), self.now)
        job.committed_state = JobState.QUEUED
        self.steps[name] = job.begin_repetition(0, self.now)[0]
        self.handed_in[kind].append((name, self.now))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += PASS_SECONDS
            while self._later and self._later[0][0] <= self.now:
                heapq.heappop(self._later)[2]()
            self._make_pass()

    def _make_pass(self) -> None:
        waiting = [step for step in self.steps.values() if step.waiting]
        for key in self.desk.take_due_retries(self.now):
            self.placer.reconsider(key)
        quotas = no_quotas()
        for plan in self.placer.plan(waiting, PolicySet(), quotas, self.now):
            name = plan.step.job.job_id
            self.begun.setdefault(name, self.now)
            for placement in plan.placements:
                self._start(plan.step, placement.task.index, placement.worker)
        for call in self.desk.dispatch(self.now):
            self._carry(call)

    def _start(self, step: StepProgress, index: int, worker: Worker) -> None:
        task = step.tasks[index]
        run = Run(task, 1, worker, self.now)
        run.move_to(RunState.RUNNING)
        run.confirmed_at = self.now
        task.run = run
        task.move_to(TaskState.ACTIVE)
        worker.add(run)

        def end() -> None:
            run.move_to(RunState.ENDED)
            worker.remove(run)
            task.run = None
            task.move_to(TaskState.DONE)
            self.table.note_gain(worker)

        self.later(step.spec.estimated_ms / 1_000.0, end)

    def _carry(self, call: AdviceCall) -> None:
        """Have an entry's call answered when those before it have been."""
        kind = call.step.job_id.partition("-")[0]
        self.carried.setdefault(kind, set()).add(call.advisor)
        begins = max(self.busy_until.get(call.advisor, 0.0), self.now)
        self.busy_until[call.advisor] = ends = begins + call.seconds
        good = [
            name
            for name in call.worker_ids
            if random.Random(f"{call.step}/{name}").random() < KINDS[kind][1]
        ]
        tickets = [Ticket(name, "leave") for name in good]
        result = AdviceResult(AdviceOutcome.ANSWERED, tickets, 1_500.0)

        def answer() -> None:
            step = self.desk.handle_result(call.call_id, result, self.now)
            if step is not None:
                self.placer.reconsider(step)

        self.later(ends - self.now, answer)

    def share_begun(self, kind: str, seconds: float) -> float:
        handed_in = self.handed_in[kind]
        in_time = [
            name for name, at in handed_in if self.begun.get(name, float("inf")) - at <= seconds
        ]
        return len(in_time) / len(handed_in)


@given("a cell of {workers:d} workers and {entries:d} entries")
def _cell(context: Any, workers: int, entries: int) -> None:
    context.cell = _Cell(workers, entries)


def _first_by_name(chooser: AdviceChooser, _most: int, advice: Any) -> list[str]:
    return sorted(worker.worker_id for worker in chooser._not_asked(advice))[:100]


@when(
    "{gangs:d} gangs and {steps:d} {kind} steps a second are handed in for {seconds:d} seconds,"
    " asking about those with room"
)
def _play(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    cell = context.cell
    for rate, name in ((gangs, "gang"), (steps, kind)):
        for number in range(rate * seconds):
            cell.later(number / rate, lambda name=name: cell.hand_in(name))
    cell.run(seconds + 6.0)


@when(
    "{gangs:d} gangs and {steps:d} {kind} steps a second are handed in for {seconds:d} seconds,"
    " asking about the first hundred by name"
)
def _play_by_name(context: Any, gangs: int, steps: int, kind: str, seconds: int) -> None:
    with mock.patch.object(AdviceChooser, "unknown", _first_by_name):
        _play(context, gangs, steps, kind, seconds)


@then("nearly all of the {kind} steps begin within {seconds:g} seconds")
def _nearly_all(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_begun(kind, seconds)
    assert share >= NEARLY_ALL, share


@then("not half of the {kind} steps begin within {seconds:g} seconds")
def _not_half(context: Any, kind: str, seconds: float) -> None:
    share = context.cell.share_begun(kind, seconds)
    assert share < 0.5, share


@then("no entry worked on two calls at once")
def _one_at_once(context: Any) -> None:
    assert context.cell.busy_until


@then("more than half of the entries have carried calls of gangs")
def _many_carried(context: Any) -> None:
    assert len(context.cell.carried["gang"]) > 15, context.cell.carried["gang"]
