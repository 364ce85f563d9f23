"""Answers of the platform's store, and the calls of those who are no nodes."""

from __future__ import annotations

import base64

from onyxspoke.core.shard.log_records import AppendOutcome, AppendResult, LatestRecordsPage
from onyxspoke.platform.counterpart.answers import (
    HTTP_BAD_REQUEST,
    HTTP_CONFLICT,
    HTTP_MOVED,
    HTTP_UNAVAILABLE,
    Answer,
)

APPEND_CALL = "log-append"
NEWEST_CALL = "log-newest"
READ_CALL = "log-read"
#: Parameter of a page of newest records: the key behind which it begins.
AFTER_KEY = "dependsOn"


def append_target(topic: str, part: int) -> str:
    """Return the target of an append without a condition."""
    return f"/onyxspoke/{APPEND_CALL}?topic={topic}&part={part}"


def encode_append_result(result: AppendResult) -> Answer | None:
    """Return the answer to an append; None where its outcome is not known."""
    if result.outcome is AppendOutcome.DONE:
        return Answer({"offset": result.offset, "end": result.end})
    if result.outcome is AppendOutcome.END_MOVED:
        return Answer({"end": result.end}, HTTP_MOVED)
    if result.outcome is AppendOutcome.FENCED:
        return Answer({"reason": "fenced"}, HTTP_CONFLICT)
    if result.outcome is AppendOutcome.OUT_OF_SEQUENCE:
        return Answer({"reason": "seq"}, HTTP_CONFLICT)
    if result.outcome is AppendOutcome.NOT_DONE:
        return Answer({}, HTTP_UNAVAILABLE)
    if result.outcome is AppendOutcome.INVALID:
        return Answer({}, HTTP_BAD_REQUEST)
    return None


def encode_page(page: LatestRecordsPage) -> Answer:
    """Return the answer that holds the newest records."""
    items = [
        {"privateKey": record.key, "value": base64.b64encode(record.value).decode(), "offset": 0}
        for record in page.records
    ]
    return Answer({"items": items, "more": page.has_more, "end": page.end})
