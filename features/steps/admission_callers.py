"""Simulated callers that retry refused jobs at the given time, on a cell in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from unittest import mock

from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import JobSpec, ResourceVector, StepSpec
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

STARTUP_SECONDS = 3.0
#: Every task takes one second and 4 of a worker's 16 processors.
WORK_SECONDS = 1.0
PROCESSORS_MILLI = 4_000
TASKS_PER_WORKER = 4
#: Objective in the queues of the simulated cell: twice the work plus half a second.
OBJECTIVE_SECONDS = 2.5
UNANSWERED_RETRY_SECONDS = 0.4
#: Time after the last submission until every caller is served or has given up.
COMPLETION_SECONDS = 16.0
WITH, WITHOUT = "with admission control", "without admission control"


@dataclass(slots=True)
class Caller:
    """A simulated caller: its job, and the outcome of each call."""

    spec: JobSpec
    first_submitted_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    refusals: list[tuple[float, float, str]] = field(default_factory=list)

    @property
    def is_on_time(self) -> bool:
        return (
            self.done_at is not None and self.done_at - self.first_submitted_at <= OBJECTIVE_SECONDS
        )

    @property
    def is_done_before_expiry(self) -> bool:
        expiry_seconds = EXPIRY_FACTOR * OBJECTIVE_SECONDS
        return self.done_at is not None and self.done_at - self.first_submitted_at <= expiry_seconds


class CallerTraffic:
    """Simulated callers that submit jobs, retry refused ones, and give up when jobs expire."""

    def __init__(self, cluster: JobCluster) -> None:
        self.cluster = cluster
        self.callers: dict[str, Caller] = {}
        self._remaining_tasks: Counter[str] = Counter()
        handle_ended = cluster.audit.handle_ended

        def note_ended(worker: Any, run: Any, end: RunEnd) -> None:
            handle_ended(worker, run, end)
            if end is RunEnd.DONE:
                self._note_done(run.task.job_id)

        cluster.audit.handle_ended = note_ended

    def _note_done(self, job_id: str) -> None:
        self._remaining_tasks[job_id] -= 1
        if self._remaining_tasks[job_id] == 0 and job_id in self.callers:
            self.callers[job_id].done_at = self.cluster.time.now()

    @property
    def expired_after_admission(self) -> list[Caller]:
        """Callers whose jobs were admitted on the first call, and expired."""
        return [
            caller
            for caller in self.callers.values()
            if caller.accepted_at and not caller.refusals and not caller.is_done_before_expiry
        ]

    def schedule_submissions(
        self, rate: float, seconds: float, queue: str, tenant: str = ""
    ) -> None:
        """Schedule evenly spaced submissions from now on, and return at once."""
        for index in range(round(rate * seconds)):
            delay_seconds = index / rate
            self.cluster.time.schedule(delay_seconds, partial(self.submit, queue, tenant))

    def submit(
        self,
        queue: str,
        tenant: str = "",
        estimated_ms: int = int(WORK_SECONDS * 1_000),
        task_count: int = 1,
    ) -> Caller:
        cluster = self.cluster
        job_id = f"{len(self.callers) + 1:016x}"
        step = StepSpec(
            task_count=task_count,
            processors_milli=PROCESSORS_MILLI,
            memory_mb=100,
            estimated_ms=estimated_ms,
            checkpointing=queue == "patient",
        )
        spec = JobSpec(
            job_id=job_id,
            queue=cluster.configuration.configuration.policy.queues[queue],
            payload="p",
            steps=(step,),
            tenant=tenant,
        )
        cluster.pool.specs[job_id] = spec
        cluster.audit.handle_submitted(spec)
        self._remaining_tasks[job_id] = task_count
        caller = self.callers[job_id] = Caller(spec, cluster.time.now())
        self.send_call(caller)
        return caller

    def send_call(self, caller: Caller) -> None:
        cluster = self.cluster
        ready = [node for node in cluster.nodes.values() if node.is_up and node.node.is_ready]
        if not ready:
            self._schedule_retry(caller, UNANSWERED_RETRY_SECONDS)
            return
        node = ready[int(caller.spec.job_id, 16) % len(ready)]
        call = SubmitCall(caller.spec)
        cluster.call(node, caller.spec.job_id, call, partial(self._handle_reply, caller))

    def _handle_reply(self, caller: Caller, reply: CallReply | None) -> None:
        now = self.cluster.time.now()
        self.cluster.audit.handle_submit_reply(caller.spec.job_id, reply)
        if reply is not None and reply.code is ReplyCode.OK:
            caller.accepted_at = caller.accepted_at or now
        elif reply is not None and reply.code is ReplyCode.REFUSED:
            caller.refusals.append((now, reply.retry_after_seconds, reply.reason))
            self._schedule_retry(caller, reply.retry_after_seconds)
        else:
            self._schedule_retry(caller, UNANSWERED_RETRY_SECONDS)

    def _schedule_retry(self, caller: Caller, seconds: float) -> None:
        expires_at = caller.first_submitted_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS
        if self.cluster.time.now() + seconds < expires_at:
            self.cluster.time.schedule(seconds, partial(self.send_call, caller))

    def select(self, queue: str = "", tenant: str = "") -> list[Caller]:
        return [
            caller
            for caller in self.callers.values()
            if queue in ("", caller.spec.queue.name) and tenant in ("", caller.spec.tenant)
        ]


def _expected_as_estimated(
    _durations: DurationEstimator, _queue: str, _tenant: str, estimated_ms: float, _worker: str = ""
) -> DurationEstimate:
    """Stand in for learned durations, as if every task took as long as its caller estimated."""
    seconds = estimated_ms / 1_000.0
    return DurationEstimate(seconds, seconds, evidence=100.0)


def start_cluster(
    context: Any,
    workers: int,
    *,
    admission: bool,
    tenants: dict[str, float],
    nodes: int = 3,
    quota: ResourceVector | None = None,
) -> None:
    patch = mock.patch.object(DurationEstimator, "expected", _expected_as_estimated)
    patch.start()
    context.add_cleanup(patch.stop)
    work = WorkOptions(seed=7, shortest_seconds=WORK_SECONDS, longest_seconds=WORK_SECONDS)
    policies = tuple(
        TenantPolicy(name=name, weight=weight, quota=quota or ResourceVector())
        for name, weight in tenants.items()
    )
    options = ClusterOptions(
        seed=7,
        nodes=nodes,
        workers=workers,
        with_advice=False,
        work=work,
        tenants=policies,
        load=LoadOptions(admission=admission),
    )
    cluster = context.cluster = JobCluster(options)
    cluster.start()
    cluster.run(STARTUP_SECONDS)
    context.traffic = CallerTraffic(cluster)
    context.served_per_second = workers * TASKS_PER_WORKER / WORK_SECONDS


def run_with_and_without(
    context: Any, tenants: dict[str, float], load: Callable[[CallerTraffic], float]
) -> None:
    """Run the same load on a cell with admission control, and on a cell without it."""
    context.traffic_by_mode = {}
    for name in (WITH, WITHOUT):
        start_cluster(context, 4, admission=name == WITH, tenants=tenants)
        seconds = load(context.traffic)
        context.cluster.run(seconds + COMPLETION_SECONDS)
        assert not context.cluster.audit.findings, context.cluster.audit.findings
        context.traffic_by_mode[name] = context.traffic


def summary_of(cluster: JobCluster) -> AdmissionSummary | None:
    scheduler = cluster.holder().node.seats[0].scheduler
    return scheduler.admission_summary(cluster.time.now())
