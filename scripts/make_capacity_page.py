"""Writes docs/CAPACITY.md from docs/capacity.json, without measuring again."""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.scale.page import CapacityData, write_page

DOCS = Path(__file__).resolve().parent.parent / "docs"


def main() -> None:
    """Write the page."""
    data = msgspec.json.decode((DOCS / "capacity.json").read_bytes(), type=CapacityData)
    write_page(data, DOCS / "CAPACITY.md")


if __name__ == "__main__":
    main()
