"""Messages between nodes; each stream carries them both ways."""

from __future__ import annotations

from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.shard.calls import Call, CallReply
from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.core.shard.log_records import (
    AppendResult,
    ClaimRecord,
    LatestRecordsPage,
    ShardAppend,
    ShardId,
)
from onyxspoke.core.shard.orders import AdviceResult
from onyxspoke.net.messages import Message


class Hello(Message, frozen=True):
    """Who the sender is; the first message either way.

    ``checks_calls`` tells that the sender rejects copies of calls that were sent to another holder
    or that a later call has overtaken; earlier builds don't.
    """

    identity: NodeIdentity
    checks_calls: bool = False


class Status(Message, frozen=True):
    """Heartbeat: the claims that the sender holds or follows, and its configuration.

    ``can_reach_store`` tells whether the store served the sender lately, ``may_hold``
    whether the sender would take a shard over, ``is_isolated`` that it has lost both the
    store and peers, ``wall_ms`` is its time of day.  ``shard_count`` is 0 while the sender
    does not know the cell's layout; ``interval_seconds`` tells when the next one comes.
    ``summaries`` tells the closed queues of shards that the sender holds.
    """

    claims: list[tuple[ShardId, ClaimRecord]]
    shard_count: int
    interval_seconds: float
    configuration_version: int
    can_reach_store: bool
    may_hold: bool
    is_isolated: bool
    wall_ms: float
    summaries: tuple[tuple[ShardId, AdmissionSummary], ...] = ()


class Members(Message, frozen=True):
    """The nodes that are to take over from a shard's holder, in order, and how many there are."""

    shard: ShardId
    members: list[NodeIdentity]
    node_count: int


class CallForward(Message, frozen=True):
    """A client's call, passed on to the holder of its shard.

    ``call_id`` is higher for each later call of the entry, also for a further copy of the same
    one.  ``token`` is the fencing token of the holder that it is meant for; 0 from earlier builds.
    """

    shard: ShardId
    call_id: int
    call: Call
    token: int = 0


class CallAnswer(Message, frozen=True):
    """The holder's reply to a call."""

    call_id: int
    reply: CallReply


class AdviceForward(Message, frozen=True):
    """Ask the advice service from the receiver's machine."""

    shard: ShardId
    call_id: int
    step: StepKey
    worker_ids: tuple[WorkerId, ...]


class AdviceAnswer(Message, frozen=True):
    """What the advice service said."""

    shard: ShardId
    call_id: int
    result: AdviceResult


class ConfigurationCopy(Message, frozen=True):
    """A configuration that the receiver does not have yet, as the sender read it.

    ``compressed`` is in zlib's format.
    """

    compressed: bytes


class AppendRelay(Message, frozen=True):
    """Make a call to the store for a node that the store turns away."""

    relay_id: int
    append: ShardAppend


class AppendRelayAnswer(Message, frozen=True):
    """What the store said."""

    relay_id: int
    result: AppendResult


class NewestRelay(Message, frozen=True):
    """Read from the store for a node that the store turns away."""

    relay_id: int
    shard: ShardId
    after_key: str


class NewestRelayAnswer(Message, frozen=True):
    """What the store said."""

    relay_id: int
    page: LatestRecordsPage


NodeMessage = (
    Hello
    | Status
    | Members
    | CallForward
    | CallAnswer
    | AdviceForward
    | AdviceAnswer
    | ConfigurationCopy
    | AppendRelay
    | AppendRelayAnswer
    | NewestRelay
    | NewestRelayAnswer
)
