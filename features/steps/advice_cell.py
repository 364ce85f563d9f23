"""Simulates a busy cell in virtual time, with placement and calls to the advice service."""

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
class JobKind:
    """The policy and the advice service of one queue, and the jobs that are submitted to it."""

    priority: int
    approval_rate: float
    decide_ms: float
    per_item_ms: float
    task_count: int
    processors_milli: int
    seconds: float
    stretch: float = 4.0
    target_latency_ms: int = 1_000


#: Jobs for a cell of small workers.
SMALL_WORKER_JOBS = {
    "urgent": JobKind(0, 0.7, 9.4, 0.13, 3, 2_500, 0.64),
    "gang": JobKind(1, 0.25, 455.0, 6.5, 20, 4_500, 4.0),
    "patient": JobKind(2, 0.45, 156.0, 2.34, 25, 1_700, 3.4),
}
#: Jobs for a cell of large workers, with shorter objectives.
LARGE_WORKER_JOBS = {
    "urgent": JobKind(0, 0.7, 9.36, 0.13, 3, 9_900, 0.64, 1.5, 300),
    "gang": JobKind(1, 0.3, 559.0, 8.06, 20, 18_000, 5.0, 2.2, 1_000),
    "patient": JobKind(2, 0.45, 130.0, 1.82, 25, 6_900, 2.7, 4.0, 3_000),
}


class TaskStart(NamedTuple):
    """One start of a task."""

    at: float
    job_id: str
    worker_id: str


class SimulatedCell:
    """A placer with its workers, entries and advice service, and a virtual clock in seconds."""

    def __init__(
        self,
        workers: int,
        entries: int,
        job_kinds: dict[str, JobKind] = SMALL_WORKER_JOBS,
        capacity: ResourceVector = SMALL_WORKER,
        validity_ms: float = 1_500.0,
        uses_fair_shares: bool = False,
    ) -> None:
        self.job_kinds = job_kinds
        self.validity_ms = validity_ms
        self.now = 100.0
        self.random = random.Random(workers)
        self.table = WorkerTable()
        self.advice_dispatcher = AdviceDispatcher(0, uses_fair_shares)
        self.placer = Placer(self.table, self.advice_dispatcher, stop_seconds=0.9)
        self.steps: dict[str, StepProgress] = {}
        self.submissions: dict[str, list[tuple[str, float]]] = {}
        self.first_start_at: dict[str, float] = {}
        self.completed_at: dict[str, float] = {}
        self.starts: list[TaskStart] = []
        self.busy_until: dict[str, float] = {}
        self.entries_by_queue: dict[str, set[str]] = {}
        #: When the first answer about each job arrived.
        self.first_answer_at: dict[str, float] = {}
        #: Time until which an entry does not answer, and factor by which an entry is slow.
        self.disconnected_until: dict[str, float] = {}
        self.slowdown: dict[str, float] = {}
        self.calls: list[AdviceCall] = []
        self.sent_calls: list[tuple[float, str, tuple[str, ...], str]] = []
        self.entries = [f"entry-{number:02}" for number in range(entries)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
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

    def schedule(self, seconds: float, function: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + seconds, self._count, function))

    def submit_job(self, kind: str, is_over_share: bool = False) -> StepProgress:
        job_kind = self.job_kinds[kind]
        queue = QueuePolicy(
            name=kind,
            service=SERVICE,
            priority=job_kind.priority,
            stretch=job_kind.stretch,
            target_latency_ms=job_kind.target_latency_ms,
            advice=AdvicePolicy(job_kind.decide_ms, job_kind.per_item_ms, self.validity_ms),
        )
        spec = StepSpec(
            task_count=job_kind.task_count,
            processors_milli=job_kind.processors_milli,
            memory_mb=100,
            estimated_ms=int(job_kind.seconds * 1_000),
            gang=kind == "gang",
        )
        submitter = f"flood {kind}" if is_over_share else kind
        name = f"{submitter}-{len(self.submissions.setdefault(submitter, []))}"
        job_spec = JobSpec(
            job_id=name, queue=queue, payload="", steps=(spec,), is_over_share=is_over_share
        )
        job = JobProgress(job_spec, self.now)
        job.committed_state = JobState.QUEUED
        self.steps[name] = job.begin_repetition(0, self.now)[0]
        self.submissions[submitter].append((name, self.now))
        return self.steps[name]

    def submit_evenly(
        self,
        kind: str,
        jobs_per_second: float,
        delay_seconds: float,
        seconds: float,
        is_over_share: bool = False,
    ) -> None:
        """Submit jobs of a kind at a constant rate, beginning after a delay."""
        for number in range(int(jobs_per_second * seconds)):
            self.schedule(
                delay_seconds + number / jobs_per_second,
                lambda: self.submit_job(kind, is_over_share),
            )

    def disconnect_entries(self, count: int, delay_seconds: float, seconds: float) -> None:
        """Disconnect entries after a delay, evenly spread over all entries except the first."""
        selected = self.entries[1:][:: max(1, (len(self.entries) - 1) // count)][:count]
        for name in selected:
            self.schedule(
                delay_seconds,
                lambda name=name: self.disconnected_until.update({name: self.now + seconds}),
            )

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += PASS_SECONDS
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._make_pass()

    def _make_pass(self) -> None:
        waiting = [step for step in self.steps.values() if step.waiting]
        for key in self.advice_dispatcher.take_due_retries(self.now):
            self.placer.reconsider(key)
        quotas = unlimited_quotas()
        for plan in self.placer.plan(waiting, PolicySet(), quotas, self.now):
            name = plan.step.job.job_id
            self.first_start_at.setdefault(name, self.now)
            for placement in plan.placements:
                self._start(plan.step, placement.task.index, placement.worker)
        for call in self.advice_dispatcher.dispatch(self.now):
            self._answer_call(call)

    def _start(self, step: StepProgress, index: int, worker: Worker) -> None:
        self.starts.append(TaskStart(self.now, step.job.job_id, worker.worker_id))
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
                self.completed_at[step.job.job_id] = self.now

        self.schedule(step.spec.estimated_ms / 1_000.0, end)

    def _answer_call(self, call: AdviceCall) -> None:
        """Schedule the answer to a call after the answers to the entry's earlier calls."""
        kind = call.queue
        self.calls.append(call)
        self.sent_calls.append((self.now, call.step.name, call.worker_ids, call.entry_name))
        self.entries_by_queue.setdefault(kind, set()).add(call.entry_name)
        if self.now < self.disconnected_until.get(call.entry_name, 0.0):
            return
        starts_at = max(self.busy_until.get(call.entry_name, 0.0), self.now)
        self.busy_until[call.entry_name] = ends_at = starts_at + call.seconds * self.slowdown.get(
            call.entry_name, 1.0
        )
        approved_names = [
            name for name in call.worker_ids if self.is_approved(call.step, name, kind)
        ]
        tickets = [Ticket(name, "leave") for name in approved_names]
        call_id, job_id, entry_name = call.call_id, call.step.job_id, call.entry_name
        result = AdviceResult(AdviceOutcome.ANSWERED, tickets, self.validity_ms)

        def answer() -> None:
            if self.now < self.disconnected_until.get(entry_name, 0.0):
                return
            self.first_answer_at.setdefault(job_id, self.now)
            step = self.advice_dispatcher.handle_result(call_id, result, self.now)
            if step is not None:
                self.placer.reconsider(step)

        self.schedule(ends_at - self.now, answer)

    def is_approved(self, step: StepKey, worker_id: str, kind: str) -> bool:
        """Return whether the advice service approves a worker for a step."""
        return random.Random(f"{step}/{worker_id}").random() < self.job_kinds[kind].approval_rate

    def wait_seconds(self, submitter: str, end_times: dict[str, float]) -> list[float]:
        """Return the seconds that each job waited until its end time, or until now, in order."""
        submissions = self.submissions.get(submitter, [])
        return sorted(end_times.get(name, self.now) - at for name, at in submissions)

    def share_started_within(self, kind: str, seconds: float) -> float:
        submissions = self.submissions[kind]
        started_in_time = [
            name
            for name, at in submissions
            if self.first_start_at.get(name, float("inf")) - at <= seconds
        ]
        return len(started_in_time) / len(submissions)
