"""Applies the settings in force in an entry's zone to task classes and services."""

from __future__ import annotations

import msgspec

from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import PlacementPolicy, Priority, TaskClass


def resolve_task_class(context: EntryContext, task_class: TaskClass) -> TaskClass:
    """Return a copy of a task class in which the settings in force override its own values."""
    settings = context.settings
    if settings.revision == 0:
        return task_class
    path = _settings_path(context, task_class)
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
    """Return whether the settings in force admit new work of a task class."""
    admitted = context.settings.resolve(_settings_path(context, task_class), "service.admitted")
    return admitted is None or bool(admitted.value)


def _settings_path(context: EntryContext, task_class: TaskClass) -> str:
    identity = context.identity
    return f"{identity.region}/{identity.zone}/{task_class.service}/{task_class.name}"
