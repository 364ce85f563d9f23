"""What the settings in force say of a class of work at an entry's place in the tree."""

from __future__ import annotations

import msgspec

from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import PlacementPolicy, Priority, TaskClass


def resolve_task_class(context: EntryContext, task_class: TaskClass) -> TaskClass:
    """Return a task class with the settings in force."""
    settings = context.settings
    if settings.revision == 0:
        return task_class
    path = _path_of(context, task_class)
    policy = settings.resolve(path, "placement.policy")
    if policy is not None:
        value = PlacementPolicy(policy.value)
        task_class = msgspec.structs.replace(task_class, policy=value)
    patience = settings.resolve(path, "task.patience_seconds")
    if patience is not None:
        seconds = float(patience.value)
        task_class = msgspec.structs.replace(task_class, patience_seconds=seconds)
    priority = settings.resolve(path, "task.priority")
    if priority is not None:
        level = Priority(int(priority.value))
        task_class = msgspec.structs.replace(task_class, priority=level)
    return task_class


def admits_new_work(context: EntryContext, task_class: TaskClass) -> bool:
    """Return whether new work of a service is let in."""
    admitted = context.settings.resolve(_path_of(context, task_class), "service.admitted")
    return admitted is None or bool(admitted.value)


def _path_of(context: EntryContext, task_class: TaskClass) -> str:
    identity = context.identity
    return f"{identity.region}/{identity.zone}/{task_class.service}/{task_class.name}"
