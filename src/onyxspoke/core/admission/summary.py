"""What a holder tells the entries of its queues, with its heartbeats.

Only the holder knows which jobs it has taken, so an entry that reaches it always asks it.  An entry
that does not goes by the summary: it answers early, and tells when to come back.
"""

from __future__ import annotations

import msgspec

#: A summary takes at most so many bytes of a heartbeat.
MAX_SUMMARY_BYTES = 1_024
_encoder = msgspec.msgpack.Encoder()
#: The head of a long array over that of a short one.
_ARRAY_HEAD_BYTES = 4


class QueueNotice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A queue that takes nothing for a while.

    Attributes
    ----------
    closed_seconds : float
        For how much longer, from when the summary was made.
    tenants : tuple of str
        For whose jobs; empty for everybody's.
    """

    queue: str
    closed_seconds: float
    tenants: tuple[str, ...] = ()


class AdmissionSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The queues of one shard that are closed; a queue that is not named is open.

    Attributes
    ----------
    token : int
        Fencing token of the holder that made it; one of an earlier holder counts for nothing.
    age_seconds : float
        How old it was when it was sent.
    """

    token: int
    age_seconds: float = 0.0
    notices: tuple[QueueNotice, ...] = ()


def summary_size_bytes(summary: AdmissionSummary) -> int:
    """Return how many bytes a summary takes."""
    return len(_encoder.encode(summary))


def truncate_summary(
    summary: AdmissionSummary, most_bytes: int = MAX_SUMMARY_BYTES
) -> AdmissionSummary:
    """Return a summary of at most so many bytes.

    Queues that are closed for longest are told first; one that is not told counts as open.
    """
    if summary_size_bytes(summary) <= most_bytes:
        return summary
    notices = sorted(summary.notices, key=lambda notice: -notice.closed_seconds)
    kept: list[QueueNotice] = []
    # An array of many needs a longer head than one of few.
    size = summary_size_bytes(msgspec.structs.replace(summary, notices=())) + _ARRAY_HEAD_BYTES
    for notice in notices:
        length = len(_encoder.encode(notice))
        if size + length <= most_bytes:
            size += length
            kept.append(notice)
    return msgspec.structs.replace(summary, notices=tuple(kept))
