"""Actions that a shard's scheduler returns to its caller, which carries them out."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import RunKey, StepKey, WorkerId
from onyxspoke.core.shard.calls import CallReply
from onyxspoke.core.shard.layout import CellLayout
from onyxspoke.core.shard.log_records import ShardAppend, ShardId
from onyxspoke.core.tenants.quota_lender import QuotaRequest

Token = int
FieldValue = str | int | float


class SendAppend(msgspec.Struct, frozen=True):
    """Append records to the shard's partition; the outcome is unknown after the timeout."""

    append: ShardAppend
    answer_timeout_seconds: float


class WorkerAddress(msgspec.Struct, frozen=True):
    """Network address of one incarnation of a worker.

    ``born_ms`` distinguishes the incarnation from others of the same name; 0 if it is not known.
    """

    worker_id: WorkerId
    host: str
    port: int
    born_ms: int = 0


class SendHold(msgspec.Struct, frozen=True):
    """Fence a worker, extend its lease, and ask which runs are active and which have ended.

    ``acknowledged_through`` is the number of the last end that the holder has recorded.
    ``until_ms`` is the new end of the lease, 0 if the lease is not extended.  ``wait_ms`` is the
    longest time for which the worker may delay its answer until a run ends.  ``decided_at`` is when
    the holder decided on it, by its own clock; 0 if that is not known.
    """

    address: WorkerAddress
    token: Token
    acknowledged_through: int
    until_ms: int
    wait_ms: int
    number: int
    decided_at: float = 0.0


class SendStart(msgspec.Struct, frozen=True):
    """Start a run; the order expires at ``until_ms`` on the worker's clock.

    ``decided_at`` is when the holder decided on it, by its own clock; 0 if that is not known.
    """

    address: WorkerAddress
    token: Token
    run: RunKey
    payload: str
    until_ms: int
    checkpoint: str = ""
    ticket: str = ""
    decided_at: float = 0.0


class SendStop(msgspec.Struct, frozen=True):
    """Stop a run; a run that has not arrived at the worker will never start there."""

    address: WorkerAddress
    token: Token
    run: RunKey


class SendPace(msgspec.Struct, frozen=True):
    """Throttle a run to a percentage of its full speed, to limit its load on other runs."""

    address: WorkerAddress
    token: Token
    run: RunKey
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Have an entry call the advice service about a step and a set of workers."""

    call_id: int
    advisor: str
    step: StepKey
    worker_ids: tuple[WorkerId, ...]


class RequestQuota(msgspec.Struct, frozen=True):
    """Request a part of a tenant's quota from the holder of the tenant's home shard."""

    home: ShardId
    request: QuotaRequest


class ReplyToCall(msgspec.Struct, frozen=True):
    """Reply to a call that an entry forwarded."""

    call_id: int
    reply: CallReply


class LayoutKnown(msgspec.Struct, frozen=True):
    """Report the cell's layout once it is stored."""

    layout: CellLayout


class DropWorkerConnections(msgspec.Struct, frozen=True):
    """Close the connections to an incarnation of a worker that has ended."""

    address: WorkerAddress


class JobEnded(msgspec.Struct, frozen=True):
    """Count a job in the metrics once its end is committed to the store."""

    queue: str
    tenant: str
    state: str
    seconds: float


class JobStarted(msgspec.Struct, frozen=True):
    """Count a job in the metrics when a worker confirms a run of the job for the first time."""

    queue: str
    tenant: str
    seconds: float


class ReturnOutcome(Enum):
    """Outcome of submitting a job again after a refusal."""

    ON_TIME = "on_time"
    EARLY_OR_LATE = "early_or_late"
    REFUSED_AGAIN = "refused_again"


class CallerReturned(msgspec.Struct, frozen=True):
    """Count in the metrics a repeated submission of a job that was refused for overload."""

    queue: str
    outcome: ReturnOutcome


class AdviceRequested(msgspec.Struct, frozen=True):
    """Count in the metrics an advice call that was sent; ``seconds`` is its time in the queue."""

    queue: str
    tenant: str
    seconds: float


class StepDownReason(Enum):
    """Reason for which a holder gives its shard up."""

    STORE_FENCED = "store_fenced"
    WORKER_FENCED = "worker_fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    APPEND_INVALID = "append_invalid"
    PLANNED = "planned"
    STORE_UNREACHABLE = "store_away"
    LARGER_NODE = "larger_node"
    INTERNAL_ERROR = "internal_error"


class StepDown(msgspec.Struct, frozen=True):
    """Stop all sending for the shard, because this node no longer holds it."""

    reason: StepDownReason


class DecisionLogLine(msgspec.Struct, frozen=True):
    """Log a decision or an inference, with the values on which it is based."""

    event: str
    fields: tuple[tuple[str, FieldValue], ...] = ()


ShardAction = (
    SendAppend
    | SendHold
    | SendStart
    | SendStop
    | SendPace
    | RequestAdvice
    | RequestQuota
    | ReplyToCall
    | DropWorkerConnections
    | JobStarted
    | JobEnded
    | CallerReturned
    | AdviceRequested
    | LayoutKnown
    | StepDown
    | DecisionLogLine
)
