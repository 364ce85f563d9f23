"""What is told of the line for advice in the log."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import StepKey
from onyxspoke.core.placement.advice_entries import Advisor

_DIGITS = 3


@dataclass(slots=True)
class AdviceNotice:
    """One line."""

    event: str
    fields: dict[str, str | int | float]


def advisor_doubted(entry_name: Advisor, reason: str, moved: int, now: float) -> AdviceNotice:
    """Tell that an entry gets no calls for a while, and that so many were moved."""
    fields: dict[str, str | int | float] = {
        "advisor": entry_name.name,
        "reason": reason,
        "doubts": entry_name.doubts,
        "pause_s": round(entry_name.doubted_until - now, _DIGITS),
        "moved": moved,
        "slowness": round(entry_name.slowness, _DIGITS),
    }
    return AdviceNotice("advisor_doubted", fields)


def advisor_regained(entry_name: Advisor, doubts: int, now: float) -> AdviceNotice:
    """Tell that an entry answers again, which was doubted so often in a row."""
    fields: dict[str, str | int | float] = {
        "advisor": entry_name.name,
        "doubts": doubts,
        "after_s": round(now - entry_name.doubted_at, _DIGITS),
        "slowness": round(entry_name.slowness, _DIGITS),
    }
    return AdviceNotice("advisor_regained", fields)


def step_put_off(step: StepKey, ahead_milli: int, room_milli: int) -> AdviceNotice:
    """Tell that a step does not ask yet, because what goes before it takes the room."""
    fields: dict[str, str | int | float] = {
        "step": step.name,
        "ahead_cpu": ahead_milli,
        "room_cpu": room_milli,
    }
    return AdviceNotice("advice_put_off", fields)
