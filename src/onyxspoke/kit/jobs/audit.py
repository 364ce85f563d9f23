"""Checks what must always hold of jobs, from what callers and workers have seen."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.core.jobs.model import (
    JobId,
    JobSpec,
    ResourceVector,
    RunKey,
    StepKey,
    TaskKey,
    WorkerId,
)
from onyxspoke.core.jobs.resource_vectors import add_vectors, subtract_vectors
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.shard.calls import CallReply, ReplyCode
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.kit.jobs.timers import Timers
from onyxspoke.kit.jobs.workers import SeenWorker

#: A task of a cancelled job may start so long after the cancel was acknowledged.
CANCEL_SECONDS = 3.0
#: A task of a job may start so long after a caller was shown the job as completed.
COMPLETED_SECONDS = 1.0
#: A worker's room that has shrunk counts so long after the worker said so.
ROOM_SECONDS = 0.5
#: A task may be given up once so many workers have crashed under it.
CRASHES_TO_GIVE_UP = 2
#: Once so many have, a task that crashes its workers must not be started ...
CRASHES_OF_CULPRIT = 3
#: ... so many times more.
STARTS_TOO_MANY = 3
#: What a tenant has running may exceed its quota by a tenth, and by one task.
QUOTA_OVERAGE = 1.1


class Violation(Enum):
    """What must never happen."""

    OVER_CAPACITY = "over_capacity"
    TWO_RUNS = "two_runs"
    RUN_AFTER_DONE = "run_after_done"
    DEPENDENCY = "dependency"
    LABEL = "label"
    SPREAD = "spread"
    ATTEMPTS = "attempts"
    GANG_ALONE = "gang_alone"
    UNKNOWN_JOB = "unknown_job"
    PAYLOAD = "payload"
    AFTER_CANCEL = "after_cancel"
    REFUSED_RAN = "refused_ran"
    SHOWN_COMPLETED = "shown_completed"
    ACCEPTED_UNKNOWN = "accepted_unknown"
    FAILED_WITHOUT_CAUSE = "failed_without_cause"
    NOT_FINISHED = "not_finished"
    QUOTA = "quota"
    CRASHES = "crashes"
    IDLE = "idle"
    CUT_BY_STOP = "cut_by_stop"
    STOP_OVERDUE = "stop_overdue"


@dataclass(slots=True)
class Finding:
    """One violation."""

    at: float
    violation: Violation
    detail: str


@dataclass(slots=True)
class _JobFacts:
    spec: JobSpec
    replies: Counter[ReplyCode] = field(default_factory=Counter)
    accepted_at: float | None = None
    cancelled_at: float | None = None
    cancel_sent: bool = False
    #: When a caller was shown the job as completed first.
    completed_at: float | None = None
    has_started: bool = False


@dataclass(slots=True)
class TaskFacts:
    """What was seen of one task."""

    running: dict[tuple[WorkerId, RunKey], None] = field(default_factory=dict)
    is_done: bool = False
    #: Runs that ended ``failed``: all of them, those that may still be noted, those noted.
    failed: set[RunKey] = field(default_factory=set)
    open_failed: set[RunKey] = field(default_factory=set)
    noted_failed: set[RunKey] = field(default_factory=set)
    #: For each start, the failed runs that were noted then, or might yet be.
    failed_before_start: list[set[RunKey]] = field(default_factory=list)
    #: Ends ``done`` that may still be noted, by run; the value tells that a start followed.
    open_done: dict[RunKey, bool] = field(default_factory=dict)
    is_done_noted: bool = False
    #: Workers that crashed under it, and its starts since there were enough to tell.
    crashes: int = 0
    starts_of_culprit: int = 0


class JobAudit:
    """Takes in everything that callers and workers see; keeps what is wrong."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self.findings: list[Finding] = []
        self.jobs: dict[JobId, _JobFacts] = {}
        self.tasks: dict[TaskKey, TaskFacts] = {}
        self._taken: dict[WorkerId, dict[RunKey, ResourceVector]] = {}
        #: Former rooms of workers that have changed them, and when.
        self._former_rooms: dict[WorkerId, list[tuple[float, ResourceVector]]] = {}
        self._done_in_step: Counter[StepKey] = Counter()
        #: The highest quota of each tenant among the configurations that may be in force.
        self.quotas: dict[TenantName, ResourceVector] = {}
        self._running_of: dict[TenantName, ResourceVector] = {}
        self.counts: Counter[str] = Counter()
        self.checks = 0

    # Callers

    def handle_submitted(self, spec: JobSpec) -> None:
        """A caller hands a job in, perhaps again."""
        self.jobs.setdefault(spec.job_id, _JobFacts(spec))

    def handle_submit_reply(self, job_id: JobId, reply: CallReply | None) -> None:
        """A caller was answered, or not at all."""
        facts = self.jobs[job_id]
        code = ReplyCode.UNKNOWN if reply is None else reply.code
        facts.replies[code] += 1
        self.counts[f"submit_{code.value}"] += 1
        if code is ReplyCode.OK and facts.accepted_at is None:
            facts.accepted_at = self._timers.now()

    def handle_cancel_sent(self, job_id: JobId) -> None:
        """A caller cancels a job."""
        self.jobs[job_id].cancel_sent = True

    def handle_cancel_reply(self, job_id: JobId, reply: CallReply) -> None:
        """The cancel was answered."""
        if reply.code in (ReplyCode.OK, ReplyCode.NO_SUCH_JOB):
            facts = self.jobs[job_id]
            if facts.cancelled_at is None:
                facts.cancelled_at = self._timers.now()

    def handle_state_reply(self, job_id: JobId, reply: CallReply) -> None:
        """A caller was told a job's state."""
        self.checks += 1
        facts = self.jobs[job_id]
        if reply.code is ReplyCode.NO_SUCH_JOB:
            if facts.accepted_at is not None and not facts.cancel_sent:
                self.note(Violation.ACCEPTED_UNKNOWN, job_id)
        elif reply.code is ReplyCode.OK:
            self._check_state(facts, reply.state)

    def check_finished(self, job_id: JobId, state: str) -> None:
        """At the end, every accepted job is to be in a final state."""
        facts = self.jobs[job_id]
        if facts.accepted_at is None:
            return
        self.checks += 1
        self.counts[f"end_{state}"] += 1
        if state not in ("completed", "failed", "cancelled"):
            self.note(Violation.NOT_FINISHED, f"{job_id} is {state}")

    # Workers

    def handle_started(self, worker: SeenWorker, run: RunKey, payload: str, node: str) -> None:
        """A run was started on a node's order."""
        self.checks += 1
        self.counts["starts"] += 1
        facts = self.jobs.get(run.task.job_id)
        if facts is None:
            self.note(Violation.UNKNOWN_JOB, f"{run} by {node}")
            return
        facts.has_started = True
        if payload != facts.spec.payload:
            self.note(Violation.PAYLOAD, f"{run} by {node}")
        self._check_room(worker, run, facts, node)
        self._check_quota(run, facts, node)
        self._check_task(worker, run, facts, node)
        self._check_place(worker, run, facts, node)

    def handle_ended(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A run ended."""
        self.counts[f"run_{end.value}"] += 1
        needs = self._taken.get(worker.worker_id, {}).pop(run, None)
        facts = self.jobs.get(run.task.job_id)
        if needs is not None and facts is not None:
            tenant = facts.spec.tenant
            self._running_of[tenant] = subtract_vectors(
                self._running_of.get(tenant, ResourceVector()), needs
            )
        task = self._task(run.task)
        task.running.pop((worker.worker_id, run), None)
        if end is RunEnd.DONE:
            task.open_done[run] = False
            if not task.is_done:
                task.is_done = True
                self._done_in_step[run.task.step_key] += 1
        elif end is RunEnd.FAILED:
            task.failed.add(run)
            task.open_failed.add(run)

    def handle_noted(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A node told the worker that an end was noted."""
        task = self._task(run.task)
        if end is RunEnd.DONE and run in task.open_done:
            if task.open_done.pop(run):
                self.note(Violation.RUN_AFTER_DONE, f"{run} was noted after another start")
            task.is_done_noted = True
        if end is RunEnd.FAILED and run in task.open_failed:
            task.open_failed.discard(run)
            task.noted_failed.add(run)
            self._check_attempts(run, task)

    def handle_crashed(self, worker: SeenWorker, run: RunKey) -> None:
        """The worker crashed under a run."""
        self.counts["crashes"] += 1
        self._task(run.task).crashes += 1

    def handle_resized(self, worker: SeenWorker, former: ResourceVector) -> None:
        """The worker has said that its room is another one now."""
        until = self._timers.now() + ROOM_SECONDS
        self._former_rooms.setdefault(worker.worker_id, []).append((until, former))

    def handle_lapsed(self, worker: SeenWorker) -> None:
        """What ended on the worker before its lease ran out may no longer count."""
        for run in worker.listed_runs():
            task = self._task(run.task)
            task.open_done.pop(run, None)
            task.open_failed.discard(run)

    # Checks

    def _check_room(self, worker: SeenWorker, run: RunKey, facts: _JobFacts, node: str) -> None:
        needs = facts.spec.steps[run.task.step].needs
        taken = self._taken.setdefault(worker.worker_id, {})
        taken[run] = needs
        capacity = self._room_of(worker)
        for index in range(len(capacity)):
            if sum(item[index] for item in taken.values()) > capacity[index]:
                self.note(Violation.OVER_CAPACITY, f"{run} on {worker.worker_id} by {node}")
                return

    def _room_of(self, worker: SeenWorker) -> ResourceVector:
        """Return the most room that a worker has had of late."""
        room = worker.record.capacity
        for until, former in self._former_rooms.get(worker.worker_id, []):
            if self._timers.now() <= until:
                room = ResourceVector(*map(max, room, former))
        return room

    def _check_quota(self, run: RunKey, facts: _JobFacts, node: str) -> None:
        """No start brings a tenant over its quota, a tenth more, and one task more."""
        tenant = facts.spec.tenant
        needs = facts.spec.steps[run.task.step].needs
        self._running_of[tenant] = running = add_vectors(
            self._running_of.get(tenant, ResourceVector()), needs
        )
        for amount, most, one in zip(
            running, self.quotas.get(tenant, ResourceVector()), needs, strict=True
        ):
            if most and amount > most * QUOTA_OVERAGE + one:
                self.note(Violation.QUOTA, f"{run} of {tenant} by {node}: {running}")
                return

    def _check_task(self, worker: SeenWorker, run: RunKey, facts: _JobFacts, node: str) -> None:
        task = self._task(run.task)
        step = facts.spec.steps[run.task.step]
        if task.running:
            self.note(Violation.TWO_RUNS, f"{run} by {node}, beside {list(task.running)}")
        task.running[(worker.worker_id, run)] = None
        if task.is_done_noted:
            self.note(Violation.RUN_AFTER_DONE, f"{run} by {node}")
        completed_at = facts.completed_at
        if completed_at is not None and self._timers.now() > completed_at + COMPLETED_SECONDS:
            self.note(Violation.RUN_AFTER_DONE, f"{run} by {node}, shown as completed before")
        for done in task.open_done:
            task.open_done[done] = True
        task.failed_before_start.append(task.noted_failed | task.open_failed)
        self._check_crashes(run, task, node)
        self._check_attempts(run, task)
        for number in step.depends_on:
            earlier = StepKey(run.task.job_id, run.task.repetition, number)
            if self._done_in_step[earlier] < facts.spec.steps[number].task_count:
                self.note(Violation.DEPENDENCY, f"{run} by {node}")
        cancelled_at = facts.cancelled_at
        if cancelled_at is not None and self._timers.now() > cancelled_at + CANCEL_SECONDS:
            self.note(Violation.AFTER_CANCEL, f"{run} by {node}")

    def _check_attempts(self, run: RunKey, task: TaskFacts) -> None:
        """No start comes after the last attempt, counted by ends that are ever noted."""
        spec = self.jobs[run.task.job_id].spec
        if spec.steps[run.task.step].gang:
            return
        for failed in task.failed_before_start:
            if len(failed & task.noted_failed) >= spec.queue.max_attempts:
                self.note(Violation.ATTEMPTS, f"{run}")

    def _check_crashes(self, run: RunKey, task: TaskFacts, node: str) -> None:
        """A task under which workers crash one after the other is not started for ever."""
        if task.crashes < CRASHES_OF_CULPRIT:
            return
        task.starts_of_culprit += 1
        if task.starts_of_culprit >= STARTS_TOO_MANY:
            self.note(Violation.CRASHES, f"{run} by {node}, after {task.crashes} crashes")

    def _check_place(self, worker: SeenWorker, run: RunKey, facts: _JobFacts, node: str) -> None:
        step = facts.spec.steps[run.task.step]
        if step.required_label and step.required_label not in worker.record.labels:
            self.note(Violation.LABEL, f"{run} on {worker.worker_id} by {node}")
        if step.spread_limit:
            beside = [
                key
                for key in self._taken[worker.worker_id]
                if key.task.step_key == run.task.step_key
            ]
            if len(beside) > step.spread_limit:
                self.note(Violation.SPREAD, f"{run} on {worker.worker_id} by {node}")

    def _check_state(self, facts: _JobFacts, state: str) -> None:
        spec = facts.spec
        if state == "completed":
            if facts.completed_at is None:
                facts.completed_at = self._timers.now()
            for number, step in enumerate(spec.steps):
                for repetition in range(max(1, spec.schedule.count)):
                    key = StepKey(spec.job_id, repetition, number)
                    if self._done_in_step[key] < step.task_count:
                        self.note(Violation.SHOWN_COMPLETED, f"{key}")
        elif state == "failed" and not self._has_cause_to_fail(spec):
            self.note(Violation.FAILED_WITHOUT_CAUSE, spec.job_id)

    def _has_cause_to_fail(self, spec: JobSpec) -> bool:
        failed_gang_runs: dict[StepKey, set[int]] = {}
        for key, task in self.tasks.items():
            if key.job_id != spec.job_id:
                continue
            if len(task.failed) >= spec.queue.max_attempts:
                return True
            if task.crashes >= CRASHES_TO_GIVE_UP:
                return True
            numbers = failed_gang_runs.setdefault(key.step_key, set())
            numbers.update(run.number for run in task.failed)
        return any(
            len(numbers) >= spec.queue.max_attempts and spec.steps[key.step].gang
            for key, numbers in failed_gang_runs.items()
        )

    def check_refused(self) -> None:
        """At the end, no job ran of which every attempt to hand it in was refused."""
        for job_id, facts in self.jobs.items():
            self.checks += 1
            if facts.has_started and set(facts.replies) == {ReplyCode.REFUSED}:
                self.note(Violation.REFUSED_RAN, job_id)

    def _task(self, key: TaskKey) -> TaskFacts:
        return self.tasks.setdefault(key, TaskFacts())

    def note(self, violation: Violation, detail: str) -> None:
        """Keep something that must never happen."""
        self.findings.append(Finding(self._timers.now(), violation, detail))
