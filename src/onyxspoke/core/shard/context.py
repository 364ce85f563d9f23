"""Options and state that the components of a shard's holder share."""

from __future__ import annotations

import math
from enum import Enum

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
from onyxspoke.core.shard.order_bounds import OWNERSHIP_PROOF_SECONDS
from onyxspoke.core.tenants.quota_lender import QuotaLender
from onyxspoke.core.tenants.quota_usage import QuotaUsage
from onyxspoke.core.tenants.share_meter import ShareMeter

_MILLISECONDS = 1_000.0


class ShardOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform sets, and timings of the scheduler.

    Attributes
    ----------
    maximum_hold_ms : int
        Longest lease that a worker grants.
    stop_grace_ms : int
        Longest time that a worker takes to stop a run.
    finished_job_retention_seconds : float
        Time for which a finished job's state is kept.
    repetition_lead_ms : float
        Longest time by which a repetition may start before its scheduled time.
    start_validity_ms : int
        Time after which a start order expires if the worker has not carried it out.
    hold_wait_ms : int
        Longest time for which a worker may delay its answer until a run ends.
    hold_interval_seconds : float
        Pause between two holds to a worker, so that one answer reports several ends that occur
        close together.
    refusal_retry_seconds : float
        Time after which a refused caller is asked to retry.
    record_bytes : int
        Largest record that the store accepts.
    load : LoadOptions
        Options for the handling of overload.
    """

    maximum_hold_ms: int = 6_000
    stop_grace_ms: int = 1_000
    finished_job_retention_seconds: float = 120.0
    repetition_lead_ms: float = 0.0
    start_validity_ms: int = 1_200
    hold_wait_ms: int = 1_000
    hold_interval_seconds: float = 0.03
    refusal_retry_seconds: float = 1.0
    record_bytes: int = 262_144
    load: LoadOptions = LoadOptions()


class OrderRight(Enum):
    """What the right of a holder to send orders rests on.

    ``PROVEN``: the latest proof of ownership.  ``LAPSED``: nothing; the proof is too old.
    ``REFUTED``: nothing; the shard was given up, or a stall has voided the proof.
    """

    PROVEN = "proven"
    LAPSED = "lapsed"
    REFUTED = "refuted"


class ShardContext:
    """State of a shard's holder, and the actions that have not been returned yet.

    Parameters
    ----------
    options : ShardOptions
        Limits and timings.
    token : int
        Fencing token of the claim.
    shard : int
        Identifier of the shard.
    commit : CommitQueue
        Queue that writes the state to the store.
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
        #: Number of shards of the cell; the shards share every tenant's quota and weight.
        self.shard_count = 1
        self.policy = PolicySet()
        self.commit: CommitQueue
        self.actions: list[ShardAction] = []
        self.needs_placement = False
        self.has_stepped_down = False
        #: Layout of a new cell, until an append contains it; otherwise ``None``.
        self.uncommitted_layout: CellLayout | None = None
        #: Offset from the holder's clock to the time of day, in milliseconds; ``None`` if unknown.
        self.wall_offset_ms: float | None = None
        #: When the process last found that it had been stalled; another node may have claimed the
        #: shard before that time.
        self.stall_ended_at = -math.inf

    def emit(self, action: ShardAction) -> None:
        """Add an action for the caller of the scheduler to carry out."""
        self.actions.append(action)

    def log(self, event: str, **fields: FieldValue) -> None:
        """Log a decision as one line with an event and its fields."""
        self.actions.append(DecisionLogLine(event, tuple(fields.items())))

    def wall_ms(self, now: float) -> int:
        """Return the time of day in milliseconds since 1970, or 0 while it is not known."""
        if self.wall_offset_ms is None:
            return 0
        return int(now * _MILLISECONDS + self.wall_offset_ms)

    def step_down(self, reason: StepDownReason) -> None:
        """Give the shard up; the holder sends no more orders."""
        if not self.has_stepped_down:
            self.has_stepped_down = True
            self.actions.append(StepDown(reason))

    def may_send_orders(self, now: float) -> bool:
        """Return whether this node certainly holds the shard and may therefore send orders."""
        return self.order_right(now) is OrderRight.PROVEN

    def may_plan(self, now: float) -> bool:
        """Return whether starts may be planned; they are ordered only with a new proof.

        While the store is away, planning goes on, so that starts are recorded as soon as it is
        back.  If another node has claimed the shard meanwhile, the record is refused.
        """
        return self.order_right(now) is not OrderRight.REFUTED

    def order_right(self, now: float) -> OrderRight:
        """Return what the right to send orders rests on now."""
        # An append that was sent before a stall does not prove ownership after the stall.
        if self.has_stepped_down or self.commit.ownership_proven_at < self.stall_ended_at:
            return OrderRight.REFUTED
        proven_until = self.commit.ownership_proven_at + OWNERSHIP_PROOF_SECONDS
        return OrderRight.PROVEN if now < proven_until else OrderRight.LAPSED


def address_of(worker: Worker) -> WorkerAddress:
    """Return the network address and incarnation of a worker."""
    record = worker.record
    return WorkerAddress(record.worker_id, record.host, record.port, worker.born_ms)
