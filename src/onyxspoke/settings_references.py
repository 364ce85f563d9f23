"""Checks that a settings document refers only to what it defines.

It works on the document as parsed, before its types are known to be right, so that one
check names every fault of a file.  Parts of the wrong type are left to the type check.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def find_reference_faults(document: Any) -> Iterator[str]:
    """Yield one line for each reference to something that the document does not define."""
    root = _mapping(document)
    yield from _find_zone_faults(root, "entries")
    yield from _find_zone_faults(root, "workers")
    yield from _find_load_faults(root)


def _find_zone_faults(root: dict[str, Any], section: str) -> Iterator[str]:
    zones = _mapping(root.get("zones"))
    items = root.get(section)
    for index, item in enumerate(items if isinstance(items, list) else []):
        zone = _mapping(item).get("zone")
        if isinstance(zone, str) and zone not in zones:
            yield f"{section}.{index}.zone: expected a zone of this file (got {zone!r})"


def _find_load_faults(root: dict[str, Any]) -> Iterator[str]:
    services = _mapping(root.get("services"))
    for service, classes in _mapping(_mapping(root.get("load")).get("classes")).items():
        known = _mapping(_mapping(services.get(service)).get("classes"))
        for name in _mapping(classes):
            if name not in known:
                yield f"load.classes.{service}.{name}: expected a task class of this file"


def _mapping(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
