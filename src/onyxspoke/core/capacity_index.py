"""Free capacity indexed by class, so that a placement does not grow with the workers.

Workers that are alike (generation and capacity) form a group.  Within a group, workers with
the same free amounts share a bucket, and buckets are sorted by how occupied their workers
are.  A placement looks at the groups and, in each, at buckets from the best one on until one
fits; the number of workers does not enter.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedList

from onyxspoke.core.owned_worker import OwnedWorker
from onyxspoke.core.schema import PlacementPolicy, Resources, TaskClass, WorkerId

#: Occupied share, then free processors, memory, accelerators and slots.
BucketKey = tuple[float, int, int, int, int]


class GroupKey(msgspec.Struct, frozen=True):
    """What the workers of one group have in common."""

    generation: str
    capacity: Resources


class CapacityGroup:
    """The buckets of like workers, sorted by occupied share."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self._order: SortedList[BucketKey] = SortedList()
        self._buckets: dict[BucketKey, dict[WorkerId, OwnedWorker]] = {}

    def add(self, key: BucketKey, worker: OwnedWorker) -> None:
        """Add a worker to a bucket."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._order.add(key)
        bucket[worker.worker_id] = worker

    def remove(self, key: BucketKey, worker_id: WorkerId) -> None:
        """Take a worker out of its bucket."""
        bucket = self._buckets[key]
        del bucket[worker_id]
        if not bucket:
            del self._buckets[key]
            self._order.remove(key)

    def best_key(self, needed: Resources, policy: PlacementPolicy) -> BucketKey | None:
        """Return the best bucket that has room, by the policy."""
        for key in self._candidates(needed, policy):
            if _fits(needed, key):
                return key
        return None

    def any_worker(self, key: BucketKey) -> OwnedWorker:
        """Return a worker of a bucket; all of them are alike."""
        return next(iter(self._buckets[key].values()))

    def _candidates(self, needed: Resources, policy: PlacementPolicy) -> Iterator[BucketKey]:
        if policy is PlacementPolicy.SPREAD:
            return iter(self._order)
        highest = (_highest_share_with_room(needed, self.key.capacity), *_UNBOUNDED)
        candidates: Iterator[BucketKey] = self._order.irange(maximum=highest, reverse=True)
        return candidates


class CapacityIndex:
    """All workers that accept work, by group and free amount."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, CapacityGroup] = {}
        self._places: dict[WorkerId, tuple[CapacityGroup, BucketKey]] = {}

    def update(self, worker: OwnedWorker) -> None:
        """Put a worker where its present state belongs, or nowhere if it takes no work."""
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
        self._places[worker.worker_id] = (group, key)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker."""
        place = self._places.pop(worker_id, None)
        if place is not None:
            group, key = place
            group.remove(key, worker_id)

    def choose(self, task_class: TaskClass) -> OwnedWorker | None:
        """Return the worker that suits a task best, or ``None`` if none has room.

        ``SPREAD`` takes the least occupied worker, ``PACK`` the most occupied one that
        still fits.  Either keeps machines with accelerators for work that needs them.
        """
        needed = task_class.resources
        spared: list[CapacityGroup] = []
        preferred: list[CapacityGroup] = []
        for group in self._groups.values():
            if not _may_run(task_class, group.key):
                continue
            wastes = group.key.capacity.accelerators and not needed.accelerators
            (spared if wastes else preferred).append(group)
        return self._best_of(preferred, task_class) or self._best_of(spared, task_class)

    def _best_of(self, groups: list[CapacityGroup], task_class: TaskClass) -> OwnedWorker | None:
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


_UNBOUNDED = (1 << 62,) * 4
_ROUNDING = 1e-9


def _fits(needed: Resources, key: BucketKey) -> bool:
    _, processors, memory_mb, accelerators, slots = key
    return (
        needed.slots <= slots
        and needed.processors <= processors
        and needed.memory_mb <= memory_mb
        and needed.accelerators <= accelerators
    )


def _may_run(task_class: TaskClass, group: GroupKey) -> bool:
    generations = task_class.generations
    if generations and group.generation not in generations:
        return False
    return task_class.resources.fits_in(group.capacity)


def _is_better(key: BucketKey, best: BucketKey, policy: PlacementPolicy) -> bool:
    return key[0] > best[0] if policy is PlacementPolicy.PACK else key[0] < best[0]


def _highest_share_with_room(needed: Resources, capacity: Resources) -> float:
    """Return the occupied share above which no worker of that capacity has room.

    The most occupied resource of a worker needs room for at least the smallest share
    that the task takes of any resource.
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
    return 1.0 - min(shares, default=0.0) + _ROUNDING
