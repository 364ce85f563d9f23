"""A busy cell whose steps are placed and ask for advice, played in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.jobs.model import (
    AdvicePolicy,
    JobSpec,
    QueuePolicy,
    ResourceVector,
    StepKey,
    StepSpec,
)
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import JobState, RunState, TaskState
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.placer import Placer
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket
from onyxspoke.core.tenants.quota_usage import unlimited_quotas

PASS_SECONDS = 0.02
SERVICE = "service"
SMALL_WORKER = ResourceVector(16_000, 64_000, 0)
LARGE_WORKER = ResourceVector(64_000, 262_144, 0)


@dataclass(frozen=True)
class Kind:
    """Jobs of one queue: its policy, its advice, and what a job is."""

    priority: int
    good: float
    decide_ms: float
    per_item_ms: float
    tasks: int
    processors_milli: int
    seconds: float
    stretch: float = 4.0
    target_ms: int = 1_000


#: A cell of many small workers.
INSTITUTE = {
    "urgent": Kind(0, 0.7, 9.4, 0.13, 3, 2_500, 0.64),
    "gang": Kind(1, 0.25, 455.0, 6.5, 20, 4_500, 4.0),
    "patient": Kind(2, 0.45, 156.0, 2.34, 25, 1_700, 3.4),
}
#: A cell of larger ones, with shorter objectives.
REPAIR = {
    "urgent": Kind(0, 0.7, 9.36, 0.13, 3, 9_900, 0.64, 1.5, 300),
    "gang": Kind(1, 0.3, 559.0, 8.06, 20, 18_000, 5.0, 2.2, 1_000),
    "patient": Kind(2, 0.45, 130.0, 1.82, 25, 6_900, 2.7, 4.0, 3_000),
}


class Start(NamedTuple):
    """A start of a task."""

    at: float
    job_id: str
    worker_id: str


class Cell:
    """Workers, entries, and a clock of its own."""

    def __init__(
        self,
        workers: int,
        entries: int,
        kinds: dict[str, Kind] = INSTITUTE,
        capacity: ResourceVector = SMALL_WORKER,
        validity_ms: float = 1_500.0,
        uses_fair_shares: bool = False,
    ) -> None:
        self.kinds = kinds
        self.validity_ms = validity_ms
        self.now = 100.0
        self.random = random.Random(workers)
        self.table = WorkerTable()
        self.advice_dispatcher = AdviceDispatcher(0, uses_fair_shares)
        self.placer = Placer(self.table, self.advice_dispatcher, stop_seconds=0.9)
        self.steps: dict[str, StepProgress] = {}
        self.handed_in: dict[str, list[tuple[str, float]]] = {}
        self.begun: dict[str, float] = {}
        self.done: dict[str, float] = {}
        self.starts: list[Start] = []
        self.busy_until: dict[str, float] = {}
        self.carried: dict[str, set[str]] = {}
        #: When each job's first answer came.
        self.advised: dict[str, float] = {}
        #: Entries that do not answer until a moment, and those that take many times as long.
        self.cut_until: dict[str, float] = {}
        self.slow: dict[str, float] = {}
        self.calls: list[AdviceCall] = []
        self.sent: list[tuple[float, str, tuple[str, ...], str]] = []
        self.entries = [f"entry-{number:02}" for number in range(entries)]
        self._later: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.advice_dispatcher.set_advice_entries(self.entries, self.now)
        for number in range(workers):
            record = WorkerRecord(
                worker_id=f"w{number:03}",
                host="",
                port=0,
                service=SERVICE,
                zone=f"zone-{number % 3}",
                capacity=capacity,
            )
            worker = Worker(record, 0.0)
            worker.move_to(WorkerContact.RECONCILED)
            worker.is_recorded = True
            self.table.workers[record.worker_id] = worker

    def later(self, seconds: float, function: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._later, (self.now + seconds, self._count, function))

    def hand_in(self, kind: str, is_over_share: bool = False) -> StepProgress:
        traits = self.kinds[kind]
        queue = QueuePolicy(
            name=kind,
            service=SERVICE,
            priority=traits.priority,
            stretch=traits.stretch,
            target_latency_ms=traits.target_ms,
            advice=AdvicePolicy(traits.decide_ms, traits.per_item_ms, self.validity_ms),
        )
        spec = StepSpec(
            task_count=traits.tasks,
            processors_milli=traits.processors_milli,
            memory_mb=100,
            estimated_ms=int(traits.seconds * 1_000),
            gang=kind == "gang",
        )
        group = f"flood {kind}" if is_over_share else kind
        name = f"{group}-{len(self.handed_in.setdefault(group, []))}"
        job_spec = JobSpec(
            job_id=name, queue=queue, payload="", steps=(spec,), is_over_share=is_over_share
        )
        job = JobProgress(job_spec, self.now)
        job.committed_state = JobState.QUEUED
        self.steps[name] = job.begin_repetition(0, self.now)[0]
        self.handed_in[group].append((name, self.now))
        return self.steps[name]

    def hand_in_evenly(
        self, kind: str, a_second: float, since: float, seconds: float, beyond: bool = False
    ) -> None:
        """Have jobs of a kind handed in from a moment on, counted from now."""
        for number in range(int(a_second * seconds)):
            self.later(since + number / a_second, lambda: self.hand_in(kind, beyond))

    def cut(self, count: int, since: float, seconds: float) -> None:
        """Cut so many entries off, spread over all of them but the first."""
        chosen = self.entries[1:][:: max(1, (len(self.entries) - 1) // count)][:count]
        for name in chosen:
            self.later(since, lambda name=name: self.cut_until.update({name: self.now + seconds}))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += PASS_SECONDS
            while self._later and self._later[0][0] <= self.now:
                heapq.heappop(self._later)[2]()
            self._make_pass()

    def _make_pass(self) -> None:
        waiting = [step for step in self.steps.values() if step.waiting]
        for key in self.advice_dispatcher.take_due_retries(self.now):
            self.placer.reconsider(key)
        quotas = unlimited_quotas()
        for plan in self.placer.plan(waiting, PolicySet(), quotas, self.now):
            name = plan.step.job.job_id
            self.begun.setdefault(name, self.now)
            for placement in plan.placements:
                self._start(plan.step, placement.task.index, placement.worker)
        for call in self.advice_dispatcher.dispatch(self.now):
            self._carry(call)

    def _start(self, step: StepProgress, index: int, worker: Worker) -> None:
        self.starts.append(Start(self.now, step.job.job_id, worker.worker_id))
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
            self.table.note_capacity_gain(worker)
            if step.is_done:
                self.done[step.job.job_id] = self.now

        self.later(step.spec.estimated_ms / 1_000.0, end)

    def _carry(self, call: AdviceCall) -> None:
        """Have an entry's call answered when those before it have been."""
        kind = call.queue
        self.calls.append(call)
        self.sent.append((self.now, call.step.name, call.worker_ids, call.entry_name))
        self.carried.setdefault(kind, set()).add(call.entry_name)
        if self.now < self.cut_until.get(call.entry_name, 0.0):
            return
        begins = max(self.busy_until.get(call.entry_name, 0.0), self.now)
        self.busy_until[call.entry_name] = ends = begins + call.seconds * self.slow.get(
            call.entry_name, 1.0
        )
        good = [name for name in call.worker_ids if self.is_good(call.step, name, kind)]
        tickets = [Ticket(name, "leave") for name in good]
        call_id, job_id, entry_name = call.call_id, call.step.job_id, call.entry_name
        result = AdviceResult(AdviceOutcome.ANSWERED, tickets, self.validity_ms)

        def answer() -> None:
            if self.now < self.cut_until.get(entry_name, 0.0):
                return
            self.advised.setdefault(job_id, self.now)
            step = self.advice_dispatcher.handle_result(call_id, result, self.now)
            if step is not None:
                self.placer.reconsider(step)

        self.later(ends - self.now, answer)

    def is_good(self, step: StepKey, worker_id: str, kind: str) -> bool:
        """Return whether the service would let a worker run a step."""
        return random.Random(f"{step}/{worker_id}").random() < self.kinds[kind].good

    def waits(self, group: str, moments: dict[str, float]) -> list[float]:
        """Return how long jobs waited until their moment, or until now, the longest last."""
        handed_in = self.handed_in.get(group, [])
        return sorted(moments.get(name, self.now) - at for name, at in handed_in)

    def share_begun(self, kind: str, seconds: float) -> float:
        handed_in = self.handed_in[kind]
        in_time = [
            name for name, at in handed_in if self.begun.get(name, float("inf")) - at <= seconds
        ]
        return len(in_time) / len(handed_in)
