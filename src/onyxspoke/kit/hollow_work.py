"""Payload and result of hollow work: time passes, and a digest proves what was run."""

from __future__ import annotations

import msgspec
import xxhash


class HollowWork(msgspec.Struct, frozen=True):
    """Payload that hollow workers understand."""

    nonce: str = ""
    work_ms: float = 0.0
    filler: str = ""


class HollowResult(msgspec.Struct, frozen=True):
    """Result of hollow work; the digest proves which payload was run."""

    nonce: str
    digest: str


def digest_of(payload: bytes) -> str:
    """Return the digest that the result of a payload carries."""
    return xxhash.xxh3_64_hexdigest(payload)
