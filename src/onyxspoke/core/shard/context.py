"""What the parts of a shard's holder share."""

from __future__ import annotations

import math

import msgspec

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.jobs.job_registry import JobRegistry
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.actions import (
    DecisionLogLine,
    FieldValue,
    ShardAction,
    StepDown,
    StepDownReason,
    WorkerAddress,
)
from onyxspoke.core.shard.commit import CommitQueue
from onyxspoke.core.shard.layout import CellLayout
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.tenants.quota_lender import QuotaLender
from onyxspoke.core.tenants.quota_usage import QuotaUsage
from onyxspoke.core.tenants.share_meter import ShareMeter

_MILLISECONDS = 1_000.0


class ShardOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the platform sets, and our own timings.

    Attributes
    ----------
    maximum_hold_ms : int
        Longest lease that a worker grants.
    stop_grace_ms : int
        Longest time that a stop takes at a worker.
    finished_job_retention_seconds : float
        For how long a finished job is remembered.
    early_ms : float
        How far ahead of its time a repetition may begin.
    start_validity_ms : int
        An order to start is void so long after it was sent.
    hold_wait_ms : int
        For how long a worker's answer may wait for an end.
    hold_interval_seconds : float
        Pause between two looks at a worker, so that ends close together share one.
    proof_seconds : float
        For how long after the latest proof of holding orders may be given.
    refusal_retry_seconds : float
        When a refused caller is told to come back.
    load : LoadOptions
        Parts that answer hard load.
    """

    maximum_hold_ms: int = 6_000
    stop_grace_ms: int = 1_000
    finished_job_retention_seconds: float = 120.0
    early_ms: float = 0.0
    start_validity_ms: int = 1_200
    hold_wait_ms: int = 1_000
    hold_interval_seconds: float = 0.03
    proof_seconds: float = 4.0
    refusal_retry_seconds: float = 1.0
    load: LoadOptions = LoadOptions()


class ShardContext:
    """State of a shard's holder, and the instructions it has not handed out yet.

    Parameters
    ----------
    options : ShardOptions
        Bounds and timings.
    token : int
        Fencing token of the claim.
    shard : int
        Which shard.
    commit : CommitQueue
        Writes the state.
    """

    def __init__(self, options: ShardOptions, token: int, shard: ShardId = 0) -> None:
        self.options = options
        self.token = token
        self.durations = DurationEstimator(options.load.learned_estimates)
        self.job_registry = JobRegistry(
            options.finished_job_retention_seconds, self.durations.work_model_for
        )
        self.table = WorkerTable()
        self.advice_dispatcher = AdviceDispatcher(shard, options.load.advice_shares)
        self.shard = shard
        self.quota_usage = QuotaUsage()
        self.quota_lender = QuotaLender(shard)
        self.share_meter = ShareMeter()
        #: Shards of the cell, which share every tenant's quota and weight.
        self.shard_count = 1
        self.policy = PolicySet()
        self.commit: CommitQueue
        self.actions: list[ShardAction] = []
        self.needs_placement = False
        self.has_stepped_down = False
        #: The cell's layout, until an append carries it.
        self.new_layout: CellLayout | None = None
        #: Until then nobody can claim the shard, because no node reaches the store.
        self.unclaimable_until = 0.0
        #: Time of day less the holder's seconds, in milliseconds, once it is known.
        self.wall_offset_ms: float | None = None
        #: The latest moment at which the process found that it had stood still; the shard may have
        #: become another's meanwhile.
        self.stall_ended_at = -math.inf

    def emit(self, action: ShardAction) -> None:
        """Hand an instruction to the shell."""
        self.actions.append(action)

    def log(self, event: str, **fields: FieldValue) -> None:
        """Write one line about a decision."""
        self.actions.append(DecisionLogLine(event, tuple(fields.items())))

    def wall_ms(self, now: float) -> int:
        """Return the time of day, counted from 1970; 0 while it is not known."""
        if self.wall_offset_ms is None:
            return 0
        return int(now * _MILLISECONDS + self.wall_offset_ms)

    def step_down(self, reason: StepDownReason) -> None:
        """Give the shard up; nothing is ordered any more."""
        if not self.has_stepped_down:
            self.has_stepped_down = True
            self.actions.append(StepDown(reason))

    def may_send_orders(self, now: float) -> bool:
        """Return whether the shard is surely still ours, so that workers may be ordered."""
        # An append that was sent before a pause proves nothing of the time since.
        if self.has_stepped_down or self.commit.ownership_proven_at < self.stall_ended_at:
            return False
        proven_until = self.commit.ownership_proven_at + self.options.proof_seconds
        return now < max(proven_until, self.unclaimable_until)


def address_of(worker: Worker) -> WorkerAddress:
    """Return where a worker is reached."""
    record = worker.record
    return WorkerAddress(record.worker_id, record.host, record.port, worker.born_ms)
