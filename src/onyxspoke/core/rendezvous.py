"""Rendezvous hashing: every node picks the same candidate for a name.

When a candidate is removed, only the names assigned to it move; source: Thaler and Ravishankar,
"Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def choose_by_rendezvous_hash(name: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest hash for a name, ``None`` if there is none."""
    best: tuple[int, str] | None = None
    for candidate in candidates:
        weight = (xxhash.xxh3_64_intdigest(f"{candidate}\0{name}".encode()), candidate)
        if best is None or weight > best:
            best = weight
    return None if best is None else best[1]
