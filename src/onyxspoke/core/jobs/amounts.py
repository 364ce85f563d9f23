"""Arithmetic on amounts of processors, memory and accelerators."""

from __future__ import annotations

import sys

from onyxspoke.core.jobs.model import Needs

#: More tasks than any step has.
_UNBOUNDED = sys.maxsize


def plus(first: Needs, second: Needs) -> Needs:
    """Return the sum of two amounts."""
    return Needs(first[0] + second[0], first[1] + second[1], first[2] + second[2])


def minus(first: Needs, second: Needs) -> Needs:
    """Return what is left of one amount without another; it may be below zero."""
    return Needs(first[0] - second[0], first[1] - second[1], first[2] - second[2])


def times(amount: Needs, count: int) -> Needs:
    """Return so many times an amount."""
    return Needs(amount[0] * count, amount[1] * count, amount[2] * count)


def bounded(amount: Needs, bound: Needs) -> Needs:
    """Return an amount that is at most a bound, resource by resource."""
    return Needs(min(amount[0], bound[0]), min(amount[1], bound[1]), min(amount[2], bound[2]))


def slots_within(room: Needs, needs: Needs) -> int:
    """Return how many tasks with these needs go into a room; none where any of it is over."""
    if min(room) < 0:
        return 0
    count = _UNBOUNDED
    if needs.processors_milli > 0:
        count = room.processors_milli // needs.processors_milli
    if needs.memory_mb > 0:
        count = min(count, room.memory_mb // needs.memory_mb)
    if needs.accelerators > 0:
        count = min(count, room.accelerators // needs.accelerators)
    return max(0, count)
