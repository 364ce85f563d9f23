"""Arithmetic on amounts of processors, memory and accelerators."""

from __future__ import annotations

import sys

from onyxspoke.core.jobs.model import ResourceVector

#: More tasks than any step has.
_UNBOUNDED = sys.maxsize


def add_vectors(first: ResourceVector, second: ResourceVector) -> ResourceVector:
    """Return the sum of two amounts."""
    return ResourceVector(first[0] + second[0], first[1] + second[1], first[2] + second[2])


def subtract_vectors(first: ResourceVector, second: ResourceVector) -> ResourceVector:
    """Return what is left of one amount without another; it may be below zero."""
    return ResourceVector(first[0] - second[0], first[1] - second[1], first[2] - second[2])


def scale_vector(amount: ResourceVector, count: int) -> ResourceVector:
    """Return so many times an amount."""
    return ResourceVector(amount[0] * count, amount[1] * count, amount[2] * count)


def elementwise_minimum(amount: ResourceVector, bound: ResourceVector) -> ResourceVector:
    """Return an amount that is at most a bound, resource by resource."""
    return ResourceVector(
        min(amount[0], bound[0]), min(amount[1], bound[1]), min(amount[2], bound[2])
    )


def count_fitting_tasks(room: ResourceVector, needs: ResourceVector) -> int:
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
