"""The summary of closed queues that a holder sends to the entries with its heartbeats.

Only the holder knows which jobs it has admitted, so an entry that reaches the holder always asks
it.  An entry that cannot reach the holder uses the summary to refuse early with a retry time.
"""

from __future__ import annotations

import msgspec

#: Maximum size of a summary in a heartbeat, in bytes.
MAX_SUMMARY_BYTES = 1_024
_encoder = msgspec.msgpack.Encoder()
#: Additional bytes in the header of a long array, compared with a short one.
_ARRAY_HEADER_BYTES = 4


class QueueNotice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A queue that is closed for some time.

    Attributes
    ----------
    closed_seconds : float
        Rest of the closure, in seconds from the time at which the summary was made.
    tenants : tuple of str
        Tenants for which the queue is closed; empty if it is closed for all.
    """

    queue: str
    closed_seconds: float
    tenants: tuple[str, ...] = ()


class AdmissionSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The closed queues of one shard; a queue that is not named is open.

    Attributes
    ----------
    token : int
        Fencing token of the holder that made the summary; a previous holder's summary is ignored.
    age_seconds : float
        Age of the summary when it was sent.
    """

    token: int
    age_seconds: float = 0.0
    notices: tuple[QueueNotice, ...] = ()


def summary_size_bytes(summary: AdmissionSummary) -> int:
    """Return the encoded size of a summary in bytes."""
    return len(_encoder.encode(summary))


def truncate_summary(
    summary: AdmissionSummary, max_bytes: int = MAX_SUMMARY_BYTES
) -> AdmissionSummary:
    """Return the summary; if it exceeds ``max_bytes``, leave out notices until it fits.

    Queues that are closed for longer are kept first; a queue that is left out counts as open.
    """
    if summary_size_bytes(summary) <= max_bytes:
        return summary
    notices = sorted(summary.notices, key=lambda notice: -notice.closed_seconds)
    kept: list[QueueNotice] = []
    # A long array has a longer header than the empty one that is measured here.
    total_bytes = (
        summary_size_bytes(msgspec.structs.replace(summary, notices=())) + _ARRAY_HEADER_BYTES
    )
    for notice in notices:
        notice_bytes = len(_encoder.encode(notice))
        if total_bytes + notice_bytes <= max_bytes:
            total_bytes += notice_bytes
            kept.append(notice)
    return msgspec.structs.replace(summary, notices=tuple(kept))
