"""Records of a shard's partition, and what the store answers about them."""

from __future__ import annotations

from enum import Enum

import msgspec

ShardId = int

#: The claim and the cell's layout sort behind every other key, so that they can be read
#: without the rest.
CLAIM_KEY = "~claim"
LAYOUT_KEY = "~layout"
#: Token of the latest holder under which every start is on record before it is ordered.
STARTS_KEY = "~starts"
#: What the latest holder had learned of durations and speeds.
ESTIMATES_KEY = "estimates"
#: The greatest key before the claim's.
BEFORE_CLAIM_KEY = "~"
WORKER_PREFIX = "worker/"


class ShardRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a partition; an empty value drops the key."""

    key: str
    value: bytes


class ShardAppend(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Records to append, all or nothing.

    Attributes
    ----------
    epoch : int
        Ends every writer with a lower one.
    sequence : int
        Number of the append within the epoch; the same again does nothing more.
    expected_end : int
        Append only if the partition ends there; -1 for anywhere.
    """

    shard: ShardId
    epoch: int
    sequence: int
    records: list[ShardRecord]
    expected_end: int = -1


class AppendOutcome(Enum):
    """What became of an append.

    ``NOT_DONE``: refused, nothing was done.  ``UNKNOWN``: it may have been done, or may yet
    be.  ``END_MOVED``: the partition ends elsewhere.  ``FENCED``: another epoch is higher.
    ``OUT_OF_SEQUENCE``: the sequence does not follow.  ``INVALID``: the store cannot take it.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    END_MOVED = "moved"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    INVALID = "invalid"


class AppendResult(msgspec.Struct, frozen=True, array_like=True):
    """The store's answer to an append; ``end`` is -1 where it was not told."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    #: How long the call took that was answered, without tries before it; 0 where not known.
    call_seconds: float = 0.0


class LatestRecordsPage(msgspec.Struct, frozen=True, array_like=True):
    """The newest records behind a key, in order of keys.

    ``is_known`` is false where the store gave no answer.
    """

    is_known: bool
    records: list[ShardRecord] = []
    has_more: bool = False
    end: int = -1


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Who holds a shard; written again now and then, so that the partition's end moves.

    Attributes
    ----------
    incarnation : str
        Names one life of one process; no two are alike.
    token : int
        Fencing token of the claim, one more than the partition's end before it.
    renewal : int
        Counts how often this record was written.
    """

    incarnation: str
    host: str
    port: int
    token: int
    renewal: int = 0


_encoder = msgspec.msgpack.Encoder()
_claim_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode_claim(claim: ClaimRecord) -> bytes:
    """Return the value of a claim's record."""
    return _encoder.encode(claim)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return the claim in a record, or ``None`` if it cannot be read."""
    try:
        return _claim_decoder.decode(value)
    except msgspec.MsgspecError:
        return None
