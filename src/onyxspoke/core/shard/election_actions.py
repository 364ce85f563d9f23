"""States of a shard's election at one node, and the actions that the election requests."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.shard.log_records import ClaimRecord, ShardAppend
from onyxspoke.core.shard.order_bounds import OrderBound


class ElectionState(Enum):
    """State of a node in the election of one shard."""

    READING = "reading"
    CONNECTING = "connecting"
    FOLLOWING = "following"
    WATCHING = "watching"
    WAITING_TURN = "waiting_turn"
    CLAIMING = "claiming"
    HOLDING = "holding"


class ConnectionLossReason(Enum):
    """Why a connection to a peer was lost or could not be opened.

    ``REFUSED``: no process listens on the peer's port.  ``CLOSED``: the connection was closed or
    reset.  ``SILENT``: no message arrived before the timeout.
    """

    REFUSED = "refused"
    CLOSED = "closed"
    SILENT = "silent"


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a node's process, and the address at which its peers reach it."""

    incarnation: str
    host: str
    port: int
    zone: str = ""
    #: Relative processor share of the node; larger nodes are preferred as holders.
    weight: float = 1.0


class ReadClaim(msgspec.Struct, frozen=True):
    """Read the claim and the end of the partition from the store."""


class ConnectToHolder(msgspec.Struct, frozen=True):
    """Open a connection to the holder's node unless one is open."""

    host: str
    port: int


class SendClaim(msgspec.Struct, frozen=True):
    """Append a claim to the shard's partition."""

    append: ShardAppend


class BecomeHolder(msgspec.Struct, frozen=True):
    """Start to act as the shard's holder: the store has accepted the claim.

    ``claimed_at`` is when the claim was first sent, ``claim_call_seconds`` how long the store took
    to answer it.  ``earlier_orders`` bounds the orders of all earlier holders.  ``previous_token``
    is the fencing token of the claim that was replaced, 0 if there was none.
    """

    claim: ClaimRecord
    next_sequence: int
    claimed_at: float
    claim_call_seconds: float
    earlier_orders: OrderBound
    previous_token: int = 0


class HolderChanged(msgspec.Struct, frozen=True):
    """Report the node that now holds the shard; ``claim`` is ``None`` if no holder is known."""

    claim: ClaimRecord | None


class ElectionLogLine(msgspec.Struct, frozen=True):
    """Log a change of the election's state."""

    state: ElectionState
    reason: str
    token: int


ElectionAction = (
    ReadClaim | ConnectToHolder | SendClaim | BecomeHolder | HolderChanged | ElectionLogLine
)
