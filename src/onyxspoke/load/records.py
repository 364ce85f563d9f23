"""What the load tool records of each submission."""

from __future__ import annotations

from pathlib import Path

import msgspec


class SubmissionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One submission and its final answer; times are monotonic seconds.

    Submissions that share a ``nonce`` are copies of one logical request under one
    idempotency key.
    """

    nonce: str
    tenant: str
    service: str
    task_class: str
    batch: bool
    repeatable: bool
    entry: str
    submitted_at: float
    answered_at: float = 0.0
    outcome: str = ""
    code: int = 0
    digest: str = ""
    expected_digest: str = ""
    result_nonce: str = ""
    job_id: str = ""
    error: str = ""

    @property
    def is_answered(self) -> bool:
        """Whether a final answer arrived."""
        return bool(self.outcome)


def write_records(path: Path, records: list[SubmissionRecord]) -> None:
    """Write records as JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.Encoder().encode_lines(records))


def read_records(path: Path) -> list[SubmissionRecord]:
    """Read records written by :func:`write_records`."""
    return msgspec.json.Decoder(SubmissionRecord).decode_lines(path.read_bytes())
