"""Index of free capacity, so that the cost of a placement does not grow with the workers.

Workers of the same generation and capacity form a group.  Within a group, workers with the
same free amounts share a bucket, and the buckets are sorted by the occupied share of their
workers.  A placement searches the buckets of each group, best bucket first, until the task
fits; the cost depends on the number of groups and buckets, not on the number of workers.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedList

from onyxspoke.core.owned_worker import OwnedWorker
from onyxspoke.core.schema import PlacementPolicy, Resources, TaskClass, WorkerId

#: Occupied share, then free processors, memory in MiB, accelerators and slots.
BucketKey = tuple[float, int, int, int, int]


class GroupKey(msgspec.Struct, frozen=True):
    """Generation and capacity that the workers of one group have in common."""

    generation: str
    capacity: Resources


class CapacityGroup:
    """Workers of the same generation and capacity, in buckets sorted by occupied share."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self._sorted_keys: SortedList[BucketKey] = SortedList()
        self._buckets: dict[BucketKey, dict[WorkerId, OwnedWorker]] = {}

    def add(self, key: BucketKey, worker: OwnedWorker) -> None:
        """Add a worker to a bucket."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._sorted_keys.add(key)
        bucket[worker.worker_id] = worker

    def remove(self, key: BucketKey, worker_id: WorkerId) -> None:
        """Remove a worker from its bucket."""
        bucket = self._buckets[key]
        del bucket[worker_id]
        if not bucket:
            del self._buckets[key]
            self._sorted_keys.remove(key)

    def best_key(self, needed: Resources, policy: PlacementPolicy) -> BucketKey | None:
        """Return the policy's best bucket in which a task fits, or ``None`` if it fits in none."""
        for key in self._candidates(needed, policy):
            if _fits(needed, key):
                return key
        return None

    def any_worker(self, key: BucketKey) -> OwnedWorker:
        """Return any worker of a bucket; all have the same free capacity."""
        return next(iter(self._buckets[key].values()))

    def _candidates(self, needed: Resources, policy: PlacementPolicy) -> Iterator[BucketKey]:
        if policy is PlacementPolicy.SPREAD:
            return iter(self._sorted_keys)
        highest_key = (_highest_fitting_share(needed, self.key.capacity), *_UNBOUNDED_AMOUNTS)
        candidates: Iterator[BucketKey] = self._sorted_keys.irange(
            maximum=highest_key, reverse=True
        )
        return candidates


class CapacityIndex:
    """The workers that accept work, indexed by group and free capacity."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, CapacityGroup] = {}
        self._positions: dict[WorkerId, tuple[CapacityGroup, BucketKey]] = {}

    def update(self, worker: OwnedWorker) -> None:
        """Index a worker by its current state, or remove the worker if it accepts no work."""
        self.remove(worker.worker_id)
        if not worker.accepts_work:
            return
        group = self._group_of(worker)
        free = worker.free
        key = (
            worker.occupied_share,
            free.processors,
            free.memory_mb,
            free.accelerators,
            free.slots,
        )
        group.add(key, worker)
        self._positions[worker.worker_id] = (group, key)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker from the index."""
        position = self._positions.pop(worker_id, None)
        if position is not None:
            group, key = position
            group.remove(key, worker_id)

    def choose(self, task_class: TaskClass) -> OwnedWorker | None:
        """Return the best worker for a task, or ``None`` if no worker has enough free capacity.

        ``SPREAD`` chooses the least occupied worker and ``PACK`` the most occupied worker
        on which the task fits.  Under both policies, a task that needs no accelerator goes
        to a worker with accelerators only if no other worker has enough free capacity.
        """
        needed = task_class.resources
        last_resort_groups: list[CapacityGroup] = []
        preferred_groups: list[CapacityGroup] = []
        for group in self._groups.values():
            if not _is_eligible(task_class, group.key):
                continue
            wastes_accelerators = group.key.capacity.accelerators and not needed.accelerators
            (last_resort_groups if wastes_accelerators else preferred_groups).append(group)
        return self._choose_from(preferred_groups, task_class) or self._choose_from(
            last_resort_groups, task_class
        )

    def _choose_from(
        self, groups: list[CapacityGroup], task_class: TaskClass
    ) -> OwnedWorker | None:
        policy = task_class.policy
        best_group: CapacityGroup | None = None
        best_key: BucketKey | None = None
        for group in groups:
            key = group.best_key(task_class.resources, policy)
            if key is not None and (best_key is None or _is_better(key, best_key, policy)):
                best_group, best_key = group, key
        if best_group is None or best_key is None:
            return None
        return best_group.any_worker(best_key)

    def _group_of(self, worker: OwnedWorker) -> CapacityGroup:
        key = GroupKey(worker.machine.generation, worker.capacity)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = CapacityGroup(key)
        return group


_UNBOUNDED_AMOUNTS = (1 << 62,) * 4
_ROUNDING_TOLERANCE = 1e-9


def _fits(needed: Resources, key: BucketKey) -> bool:
    _, processors, memory_mb, accelerators, slots = key
    return (
        needed.slots <= slots
        and needed.processors <= processors
        and needed.memory_mb <= memory_mb
        and needed.accelerators <= accelerators
    )


def _is_eligible(task_class: TaskClass, group: GroupKey) -> bool:
    generations = task_class.generations
    if generations and group.generation not in generations:
        return False
    return task_class.resources.fits_in(group.capacity)


def _is_better(key: BucketKey, best: BucketKey, policy: PlacementPolicy) -> bool:
    return key[0] > best[0] if policy is PlacementPolicy.PACK else key[0] < best[0]


def _highest_fitting_share(needed: Resources, capacity: Resources) -> float:
    """Return the highest occupied share at which a task can still fit on a worker.

    The task takes at least its smallest share of every resource, so the worker's most
    occupied resource must have at least that share free.
    """
    shares = [
        amount / total
        for amount, total in (
            (needed.processors, capacity.processors),
            (needed.memory_mb, capacity.memory_mb),
            (needed.slots, capacity.slots),
        )
        if total
    ]
    return 1.0 - min(shares, default=0.0) + _ROUNDING_TOLERANCE
