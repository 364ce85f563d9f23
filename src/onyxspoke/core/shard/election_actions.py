"""What an election says and does: states of a node towards a shard, and instructions."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.shard.log_records import ClaimRecord, ShardAppend


class ElectionState(Enum):
    """What a node does about a shard."""

    READING = "reading"
    CONNECTING = "connecting"
    FOLLOWING = "following"
    WATCHING = "watching"
    WAITING_TURN = "waiting_turn"
    CLAIMING = "claiming"
    HOLDING = "holding"


class ConnectionLossReason(Enum):
    """How a connection to a peer ended, or failed.

    ``REFUSED``: nobody listens there.  ``CLOSED``: it was closed or reset.  ``SILENT``:
    nothing was heard in time.
    """

    REFUSED = "refused"
    CLOSED = "closed"
    SILENT = "silent"


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """One life of a node's process, and where its peers reach it."""

    incarnation: str
    host: str
    port: int
    zone: str = ""
    #: Processor share; larger nodes are to hold shards.
    weight: float = 1.0


class ReadClaim(msgspec.Struct, frozen=True):
    """Read the claim and the partition's end."""


class ConnectToHolder(msgspec.Struct, frozen=True):
    """Have a stream to a node."""

    host: str
    port: int


class SendClaim(msgspec.Struct, frozen=True):
    """Append a claim."""

    append: ShardAppend


class BecomeHolder(msgspec.Struct, frozen=True):
    """The claim stands; ``previous_holder_dead_since`` is known where the former holder has ended.

    ``claim_call_seconds`` is how long the store took to answer the claim; ``previous_token`` is
    that of
    the claim which it replaces, 0 where there was none.
    """

    claim: ClaimRecord
    next_sequence: int
    claimed_at: float
    claim_call_seconds: float
    previous_holder_dead_since: float | None
    previous_token: int = 0


class HolderChanged(msgspec.Struct, frozen=True):
    """Another node holds the shard, or nobody that is known (``claim`` is ``None``)."""

    claim: ClaimRecord | None


class ElectionLogLine(msgspec.Struct, frozen=True):
    """One line for the log."""

    state: ElectionState
    reason: str
    token: int


ElectionAction = (
    ReadClaim | ConnectToHolder | SendClaim | BecomeHolder | HolderChanged | ElectionLogLine
)
