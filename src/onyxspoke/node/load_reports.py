"""What a node tells operators of admission and of learned durations."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from onyxspoke.core.admission.summary import AdmissionSummary, QueueNotice
from onyxspoke.core.admission.summary_cache import LONGEST_CLOSED_SECONDS
from onyxspoke.core.jobs.model import QueuePolicy
from onyxspoke.core.placement.queue_order import Lateness, StepRank
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.node.node import Node

#: Durations are asked about a task of this estimate.
PROBE_MS = 1_000.0
_PROBE_SECONDS = 1.0
#: Workers whose factor differs by less are not named.
LEAST_DIFFERENCE = 0.01


class HeldQueue(msgspec.Struct, kw_only=True):
    """A queue in a shard that this node holds.

    Attributes
    ----------
    closed_seconds : float
        For how much longer it takes nothing; 0 where it is open.
    closed_for : tuple of str
        For whose jobs; empty for everybody's, or for nobody's where it is open.
    advice_wait_seconds : float
        About how long a call for advice of a job that comes now would wait.
    """

    shard: ShardId
    queue: str
    waiting_jobs: int
    closed_seconds: float = 0.0
    closed_for: tuple[str, ...] = ()
    advice_wait_seconds: float = 0.0


class ToldQueue(msgspec.Struct, kw_only=True):
    """A queue of another's shard that is closed, by what its holder told ``age_seconds`` ago."""

    shard: ShardId
    queue: str
    closed_seconds: float
    closed_for: tuple[str, ...]
    age_seconds: float


class AdmissionAnswer(msgspec.Struct):
    """Which queues take jobs, as far as this node knows."""

    options: LoadOptions
    held_shards: list[ShardId]
    shard_count: int
    held: list[HeldQueue]
    told: list[ToldQueue]


class QueueFactor(msgspec.Struct, kw_only=True):
    """How long tasks of a queue take, as shares of their callers' estimates.

    ``tenant`` is empty for the queue as a whole; ``evidence`` is how many runs told it.
    """

    shard: ShardId
    queue: str
    tenant: str = ""
    median: float
    upper: float
    evidence: float


class WorkerFactor(msgspec.Struct, kw_only=True):
    """How long a worker takes, as a share of what one of usual speed takes."""

    shard: ShardId
    worker_id: str
    kind: str
    factor: float


class EstimatesAnswer(msgspec.Struct):
    """What the shards that a node holds have learned of how long work takes."""

    options: LoadOptions
    held_shards: list[ShardId]
    shard_count: int
    queues: list[QueueFactor]
    workers: list[WorkerFactor]


def describe_admission(node: Node) -> AdmissionAnswer:
    """Return which queues take jobs, by the shards held here and by others' word."""
    held = _held(node)
    now = node.now()
    return AdmissionAnswer(
        options=node.settings.shard_options.load,
        held_shards=list(held),
        shard_count=_shard_count(node),
        held=[
            line
            for shard, scheduler in held.items()
            for line in _held_queues(shard, scheduler, now)
        ],
        told=[
            ToldQueue(
                shard=shard,
                queue=closed.queue,
                closed_seconds=closed.seconds,
                closed_for=closed.tenants,
                age_seconds=closed.age_seconds,
            )
            for shard in node.seats
            for closed in node.summary_cache.closed_queues(shard, now)
        ],
    )


def describe_estimates(node: Node) -> EstimatesAnswer:
    """Return the factors of queues, of their tenants, and of workers unlike the usual."""
    held = _held(node)
    return EstimatesAnswer(
        options=node.settings.shard_options.load,
        held_shards=list(held),
        shard_count=_shard_count(node),
        queues=[
            line for shard, scheduler in held.items() for line in _queue_factors(shard, scheduler)
        ],
        workers=[
            line for shard, scheduler in held.items() for line in _worker_factors(shard, scheduler)
        ],
    )


def learned_factors(node: Node) -> dict[tuple[ShardId, str], float]:
    """Return each queue's factor in the shards that a node holds."""
    return {
        (shard, queue): _median_factor(scheduler, queue)
        for shard, scheduler in _held(node).items()
        for queue in scheduler.context.policy.queues
    }


def _median_factor(scheduler: ShardScheduler, queue: str) -> float:
    expected = scheduler.context.durations.expected(queue, "", PROBE_MS)
    return expected.median_seconds / _PROBE_SECONDS


def _held(node: Node) -> dict[ShardId, ShardScheduler]:
    return {
        shard: seat.scheduler
        for shard, seat in node.seats.items()
        if seat.is_holding and seat.scheduler is not None
    }


def _shard_count(node: Node) -> int:
    return node.layout.shard_count if node.layout is not None else 0


def _held_queues(shard: ShardId, scheduler: ShardScheduler, now: float) -> Iterator[HeldQueue]:
    """Yield a line for each queue, or several where it is closed for some tenants and others."""
    context = scheduler.context
    summary = scheduler.admission_summary(now) or AdmissionSummary(token=0)
    for name, queue in context.policy.queues.items():
        waiting = context.job_registry.waiting_count(name)
        advice_wait = _advice_wait(scheduler, queue, now)
        notices = [notice for notice in summary.notices if notice.queue == name]
        for notice in notices or [QueueNotice(queue=name, closed_seconds=0.0)]:
            rest = max(0.0, notice.closed_seconds - summary.age_seconds)
            yield HeldQueue(
                shard=shard,
                queue=name,
                waiting_jobs=waiting,
                closed_seconds=min(LONGEST_CLOSED_SECONDS, rest),
                closed_for=notice.tenants,
                advice_wait_seconds=advice_wait,
            )


def _advice_wait(scheduler: ShardScheduler, queue: QueuePolicy, now: float) -> float:
    """Return about how long the first call for advice of a job that comes now would wait."""
    if queue.advice is None:
        return 0.0
    rank = StepRank(
        is_expired=False,
        is_over_share=False,
        priority=queue.priority,
        lateness=Lateness.ON_TIME,
        latest_start=now,
        step=0,
    )
    return scheduler.context.advice_dispatcher.wait_seconds(queue.advice.call_seconds(1), rank, now)


def _queue_factors(shard: ShardId, scheduler: ShardScheduler) -> Iterator[QueueFactor]:
    """Yield the factor of each queue, and those of tenants that differ from it."""
    context = scheduler.context
    for queue in context.policy.queues:
        whole = context.durations.expected(queue, "", PROBE_MS)
        for tenant in ("", *context.policy.tenants):
            found = context.durations.expected(queue, tenant, PROBE_MS)
            if tenant and found == whole:
                continue
            yield QueueFactor(
                shard=shard,
                queue=queue,
                tenant=tenant,
                median=found.median_seconds / _PROBE_SECONDS,
                upper=found.upper_seconds / _PROBE_SECONDS,
                evidence=found.evidence,
            )


def _worker_factors(shard: ShardId, scheduler: ShardScheduler) -> Iterator[WorkerFactor]:
    """Yield the workers unlike the usual; their factor is the same for every queue."""
    context = scheduler.context
    queue = next(iter(context.policy.queues), "")
    usual = context.durations.expected(queue, "", PROBE_MS).median_seconds
    for worker in context.table.workers.values():
        worker_id = worker.record.worker_id
        seconds = context.durations.expected(queue, "", PROBE_MS, worker_id).median_seconds
        factor = seconds / usual if usual > 0 else 1.0
        if abs(factor - 1.0) >= LEAST_DIFFERENCE:
            yield WorkerFactor(
                shard=shard, worker_id=worker_id, kind=worker.record.kind, factor=factor
            )
