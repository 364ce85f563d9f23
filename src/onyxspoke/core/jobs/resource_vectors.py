"""Arithmetic on resource vectors of processors, memory and accelerators."""

from __future__ import annotations

import sys

from onyxspoke.core.jobs.model import ResourceVector

#: Task count for tasks that need no resources; larger than the task count of any step.
_UNBOUNDED = sys.maxsize


def add_vectors(first: ResourceVector, second: ResourceVector) -> ResourceVector:
    """Return the sum of two resource vectors."""
    return ResourceVector(first[0] + second[0], first[1] + second[1], first[2] + second[2])


def subtract_vectors(first: ResourceVector, second: ResourceVector) -> ResourceVector:
    """Return the difference of two resource vectors; components may be negative."""
    return ResourceVector(first[0] - second[0], first[1] - second[1], first[2] - second[2])


def scale_vector(amount: ResourceVector, count: int) -> ResourceVector:
    """Return a resource vector multiplied by a count."""
    return ResourceVector(amount[0] * count, amount[1] * count, amount[2] * count)


def elementwise_minimum(amount: ResourceVector, bound: ResourceVector) -> ResourceVector:
    """Return the smaller value of each resource in two resource vectors."""
    return ResourceVector(
        min(amount[0], bound[0]), min(amount[1], bound[1]), min(amount[2], bound[2])
    )


def count_fitting_tasks(free_capacity: ResourceVector, needs: ResourceVector) -> int:
    """Return how many tasks with these needs fit; 0 if any resource is overcommitted."""
    if min(free_capacity) < 0:
        return 0
    count = _UNBOUNDED
    if needs.processors_milli > 0:
        count = free_capacity.processors_milli // needs.processors_milli
    if needs.memory_mb > 0:
        count = min(count, free_capacity.memory_mb // needs.memory_mb)
    if needs.accelerators > 0:
        count = min(count, free_capacity.accelerators // needs.accelerators)
    return max(0, count)
