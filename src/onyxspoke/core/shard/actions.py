"""Instructions that a shard's holder gives to the shell."""

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
    """Append to the shard's partition; unknown without an answer in time."""

    append: ShardAppend
    answer_timeout_seconds: float


class WorkerAddress(msgspec.Struct, frozen=True):
    """Where one life of a worker is reached.

    ``born_ms`` tells it from other lives of that name; 0 where that is not known.
    """

    worker_id: WorkerId
    host: str
    port: int
    born_ms: int = 0


class SendHold(msgspec.Struct, frozen=True):
    """Fence a worker, extend what runs there, and ask what runs and what ended.

    ``until_ms`` is 0 where nothing is to be extended; ``wait_ms`` is for how long the answer
    may wait for an end.
    """

    address: WorkerAddress
    token: Token
    acknowledged_through: int
    until_ms: int
    wait_ms: int
    number: int


class SendStart(msgspec.Struct, frozen=True):
    """Start a run; void after ``until_ms`` on the worker's clock."""

    address: WorkerAddress
    token: Token
    run: RunKey
    payload: str
    until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class SendStop(msgspec.Struct, frozen=True):
    """Stop a run; a run that is not there yet will never be."""

    address: WorkerAddress
    token: Token
    run: RunKey


class SendPace(msgspec.Struct, frozen=True):
    """Let a run work, and disturb others, at a share of its speed."""

    address: WorkerAddress
    token: Token
    run: RunKey
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Let one of the entries ask the advice service about a step."""

    call_id: int
    advisor: str
    step: StepKey
    worker_ids: tuple[WorkerId, ...]


class RequestQuota(msgspec.Struct, frozen=True):
    """Ask the holder of a tenant's home shard for a part of its quota."""

    home: ShardId
    request: QuotaRequest


class ReplyToCall(msgspec.Struct, frozen=True):
    """Answer a call that an entry passed on."""

    call_id: int
    reply: CallReply


class LayoutKnown(msgspec.Struct, frozen=True):
    """The store holds the cell's layout."""

    layout: CellLayout


class DropWorkerConnections(msgspec.Struct, frozen=True):
    """A life of a worker is over; its connections are of no more use."""

    address: WorkerAddress


class JobEnded(msgspec.Struct, frozen=True):
    """The store has the end of a job; for figures."""

    queue: str
    tenant: str
    state: str
    seconds: float


class JobStarted(msgspec.Struct, frozen=True):
    """A worker has the first run of a job; for figures."""

    queue: str
    tenant: str
    seconds: float


class ReturnOutcome(Enum):
    """What came of a caller that was refused and came again."""

    ON_TIME = "on_time"
    EARLY_OR_LATE = "early_or_late"
    REFUSED_AGAIN = "refused_again"


class CallerReturned(msgspec.Struct, frozen=True):
    """A caller that was refused for load came again; for figures."""

    queue: str
    outcome: ReturnOutcome


class AdviceRequested(msgspec.Struct, frozen=True):
    """A call for advice left the line after so many seconds; for figures."""

    queue: str
    tenant: str
    seconds: float


class StepDownReason(Enum):
    """Why a holder gives its shard up."""

    STORE_FENCED = "store_fenced"
    WORKER_FENCED = "worker_fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    PLANNED = "planned"
    STORE_UNREACHABLE = "store_away"
    LARGER_NODE = "larger_node"


class StepDown(msgspec.Struct, frozen=True):
    """The shard is no longer ours; nothing more is to be sent for it."""

    reason: StepDownReason


class DecisionLogLine(msgspec.Struct, frozen=True):
    """One line for the log: what was decided or believed, and from what."""

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
