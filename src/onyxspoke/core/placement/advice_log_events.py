"""Log events about the advice queue and its entries."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import StepKey
from onyxspoke.core.placement.advice_entries import AdviceEntry

_DIGITS = 3


@dataclass(slots=True)
class AdviceLogEvent:
    """The name and the fields of one log event."""

    event: str
    fields: dict[str, str | int | float]


def entry_suspected(
    entry: AdviceEntry, reason: str, requeued_count: int, now: float
) -> AdviceLogEvent:
    """Return the event for a suspected entry, with the number of its calls that were requeued."""
    fields: dict[str, str | int | float] = {
        "advisor": entry.name,
        "reason": reason,
        "doubts": entry.suspect_count,
        "pause_s": round(entry.suspected_until - now, _DIGITS),
        "moved": requeued_count,
        "slowness": round(entry.slowness, _DIGITS),
    }
    return AdviceLogEvent("advisor_doubted", fields)


def entry_recovered(entry: AdviceEntry, suspect_count: int, now: float) -> AdviceLogEvent:
    """Return the event for a suspected entry that answers again."""
    fields: dict[str, str | int | float] = {
        "advisor": entry.name,
        "doubts": suspect_count,
        "after_s": round(now - entry.suspected_at, _DIGITS),
        "slowness": round(entry.slowness, _DIGITS),
    }
    return AdviceLogEvent("advisor_regained", fields)


def step_deferred(step: StepKey, queued_before_milli: int, capacity_milli: int) -> AdviceLogEvent:
    """Return the event for a step that defers its request because earlier steps need capacity."""
    fields: dict[str, str | int | float] = {
        "step": step.name,
        "ahead_cpu": queued_before_milli,
        "room_cpu": capacity_milli,
    }
    return AdviceLogEvent("advice_put_off", fields)
