"""Plain tables and JSON for a terminal."""

from __future__ import annotations

from typing import Any

import msgspec


def print_table(columns: list[str], rows: list[dict[str, Any]]) -> None:
    """Print the named columns of rows, each as wide as its widest value."""
    cells = [[_to_text(row.get(column)) for column in columns] for row in rows]
    widths = [
        max([len(column), *(len(row[index]) for row in cells)])
        for index, column in enumerate(columns)
    ]
    for row in [columns, *cells]:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def _to_text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in value.items())
    return str(value)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())
