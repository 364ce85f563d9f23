"""The capacity page: placeholder until the slopes are known."""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.scale.slopes import Slope


class CapacityData(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a scale run measured."""

    slopes: list[Slope]
    takeover_seconds: float
    takeover_workers: int
    largest_entries: int
    largest_workers: int


def write_page(data: CapacityData, path: Path) -> None:
    """Write the page."""
    path.write_text("")
