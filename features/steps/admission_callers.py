"""Callers who come back when they are told to, on a cell in virtual time."""

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
from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

SETTLE_SECONDS = 3.0
#: Every task takes a second of 4 of the 16 processors that a worker has.
WORK_SECONDS = 1.0
PROCESSORS_MILLI = 4_000
TASKS_A_WORKER = 4
#: By the queues of the simulated cell: 2 times the work and half a second.
OBJECTIVE_SECONDS = 2.5
UNANSWERED_PAUSE_SECONDS = 0.4
#: After the last hand-in, until everybody was served or has given up.
REST_SECONDS = 16.0
WITH, WITHOUT = "with admission", "without"


@dataclass(slots=True)
class Caller:
    """One caller: its job, and what became of it."""

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
    def is_of_use(self) -> bool:
        bound = EXPIRY_FACTOR * OBJECTIVE_SECONDS
        return self.done_at is not None and self.done_at - self.first_submitted_at <= bound


class Arrivals:
    """Callers who hand jobs in, come back when they are told to, and give up in the end."""

    def __init__(self, cluster: JobCluster) -> None:
        self.cluster = cluster
        self.callers: dict[str, Caller] = {}
        self._left: Counter[str] = Counter()
        handle_ended = cluster.audit.handle_ended

        def note_ended(worker: Any, run: Any, end: RunEnd) -> None:
            handle_ended(worker, run, end)
            if end is RunEnd.DONE:
                self._note_done(run.task.job_id)

        cluster.audit.handle_ended = note_ended

    def _note_done(self, job_id: str) -> None:
        self._left[job_id] -= 1
        if self._left[job_id] == 0 and job_id in self.callers:
            self.callers[job_id].done_at = self.cluster.time.now()

    @property
    def broken(self) -> list[Caller]:
        """Callers whose jobs were taken at once, and came too late to be of use."""
        return [
            caller
            for caller in self.callers.values()
            if caller.accepted_at and not caller.refusals and not caller.is_of_use
        ]

    def send(self, rate: float, seconds: float, queue: str, tenant: str = "") -> None:
        """Have jobs handed in evenly from now on; this returns at once."""
        for number in range(round(rate * seconds)):
            at = number / rate
            self.cluster.time.schedule(at, partial(self.hand_in, queue, tenant))

    def hand_in(
        self, queue: str, tenant: str = "", estimated_ms: int = int(WORK_SECONDS * 1_000)
    ) -> Caller:
        cluster = self.cluster
        job_id = f"{len(self.callers) + 1:016x}"
        step = StepSpec(
            task_count=1,
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
        self._left[job_id] = 1
        caller = self.callers[job_id] = Caller(spec, cluster.time.now())
        self.try_again(caller)
        return caller

    def try_again(self, caller: Caller) -> None:
        cluster = self.cluster
        ready = [node for node in cluster.nodes.values() if node.is_up and node.node.is_ready]
        if not ready:
            self._come_back(caller, UNANSWERED_PAUSE_SECONDS)
            return
        node = ready[int(caller.spec.job_id, 16) % len(ready)]
        call = SubmitCall(caller.spec)
        cluster.call(node, caller.spec.job_id, call, partial(self._take, caller))

    def _take(self, caller: Caller, reply: CallReply | None) -> None:
        now = self.cluster.time.now()
        self.cluster.audit.handle_submit_reply(caller.spec.job_id, reply)
        if reply is not None and reply.code is ReplyCode.OK:
            caller.accepted_at = caller.accepted_at or now
        elif reply is not None and reply.code is ReplyCode.REFUSED:
            caller.refusals.append((now, reply.retry_after_seconds, reply.reason))
            self._come_back(caller, reply.retry_after_seconds)
        else:
            self._come_back(caller, UNANSWERED_PAUSE_SECONDS)

    def _come_back(self, caller: Caller, seconds: float) -> None:
        gives_up_at = caller.first_submitted_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS
        if self.cluster.time.now() + seconds < gives_up_at:
            self.cluster.time.schedule(seconds, partial(self.try_again, caller))

    def of(self, queue: str = "", tenant: str = "") -> list[Caller]:
        return [
            caller
            for caller in self.callers.values()
            if queue in ("", caller.spec.queue.name) and tenant in ("", caller.spec.tenant)
        ]


def _expected_as_told(
    _durations: DurationEstimator, _queue: str, _tenant: str, estimated_ms: float, _worker: str = ""
) -> DurationEstimate:
    """Stand for what was learned of work that takes as long as its callers say."""
    seconds = estimated_ms / 1_000.0
    return DurationEstimate(seconds, seconds, evidence=100.0)


def start_cluster(
    context: Any, workers: int, *, admission: bool, tenants: dict[str, float], nodes: int = 3
) -> None:
    patch = mock.patch.object(DurationEstimator, "expected", _expected_as_told)
    patch.start()
    context.add_cleanup(patch.stop)
    work = WorkOptions(seed=7, shortest_seconds=WORK_SECONDS, longest_seconds=WORK_SECONDS)
    policies = tuple(TenantPolicy(name=name, weight=weight) for name, weight in tenants.items())
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
    cluster.run(SETTLE_SECONDS)
    context.arrivals = Arrivals(cluster)
    context.capacity = workers * TASKS_A_WORKER / WORK_SECONDS


def play_both(context: Any, tenants: dict[str, float], load: Callable[[Arrivals], float]) -> None:
    """Play the same load on a cell with the part, and on one without."""
    context.played = {}
    for name in (WITH, WITHOUT):
        start_cluster(context, 4, admission=name == WITH, tenants=tenants)
        seconds = load(context.arrivals)
        context.cluster.run(seconds + REST_SECONDS)
        assert not context.cluster.audit.findings, context.cluster.audit.findings
        context.played[name] = context.arrivals


def summary_of(cluster: JobCluster) -> AdmissionSummary | None:
    scheduler = cluster.holder().node.seats[0].scheduler
    return scheduler.admission_summary(cluster.time.now())
