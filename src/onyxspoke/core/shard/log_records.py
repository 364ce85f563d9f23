"""Records of a shard's partition, appends, and the store's answers."""

from __future__ import annotations

from enum import Enum

import msgspec

ShardId = int

#: The keys of the claim, the cell's layout and the marker of starts sort after all other keys, so
#: that a node can read these three records without the others.
CLAIM_KEY = "~claim"
LAYOUT_KEY = "~layout"
#: Key of the marker of starts: it says that all starts are recorded before they are ordered.  Its
#: value is the token of the latest holder that recorded them.
STARTS_KEY = "~starts"
#: Key of the latest holder's learned estimates of durations and worker speeds.
ESTIMATES_KEY = "estimates"
#: Reading the keys after this one returns the claim, the layout and the marker of starts.
BEFORE_CLAIM_KEY = "~"
WORKER_PREFIX = "worker/"


class ShardRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a partition; an empty value deletes the key."""

    key: str
    value: bytes

    @property
    def size(self) -> int:
        """Bytes that the record takes in the store."""
        return len(self.key) + len(self.value) + 1


class ShardAppend(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Records that the store appends atomically.

    Attributes
    ----------
    epoch : int
        Epoch of the writer; the store rejects all later appends with a lower epoch.
    sequence : int
        Number of the append within the epoch; the store ignores the records of a duplicate.
    expected_end : int
        The append succeeds only if the partition ends at this offset; -1 for any offset.
    """

    shard: ShardId
    epoch: int
    sequence: int
    records: list[ShardRecord]
    expected_end: int = -1


class AppendOutcome(Enum):
    """Outcome of an append.

    ``NOT_DONE``: the store refused the append and changed nothing.  ``UNKNOWN``: the store may
    have carried out the append, or may do so later.  ``END_MOVED``: the partition does not end at
    the expected offset.  ``FENCED``: the store has seen a higher epoch.  ``OUT_OF_SEQUENCE``: the
    sequence number is not the next one.  ``INVALID``: the store rejects the request as malformed.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    END_MOVED = "moved"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out_of_sequence"
    INVALID = "invalid"


class AppendResult(msgspec.Struct, frozen=True, array_like=True):
    """The store's answer to an append; ``end`` is -1 if the answer does not contain it."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    #: Duration of the answered call, without earlier attempts; 0 if it is not known.
    call_seconds: float = 0.0


class LatestRecordsPage(msgspec.Struct, frozen=True, array_like=True):
    """The latest record of each key after a given key, in the order of the keys.

    ``is_known`` is false if the store did not answer.
    """

    is_known: bool
    records: list[ShardRecord] = []
    has_more: bool = False
    end: int = -1


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Claim of a shard's holder; each renewal of the record moves the partition's end.

    Attributes
    ----------
    incarnation : str
        Unique name of the incarnation of the holder's process.
    token : int
        Fencing token of the claim: the end of the partition before the claim, plus one.
    renewal : int
        Number of times that the holder has renewed the record.
    earlier_orders_seconds : float or None
        For how long after the holder sent this record the holders before it may still send orders;
        ``None`` in records of builds that do not tell.
    """

    incarnation: str
    host: str
    port: int
    token: int
    renewal: int = 0
    earlier_orders_seconds: float | None = None


_encoder = msgspec.msgpack.Encoder()
_claim_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode_claim(claim: ClaimRecord) -> bytes:
    """Return a claim as the value of its record."""
    return _encoder.encode(claim)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return the claim in a record's value, or ``None`` if the value cannot be decoded."""
    try:
        return _claim_decoder.decode(value)
    except msgspec.MsgspecError:
        return None
