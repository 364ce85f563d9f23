"""What is decided about a job that is handed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

_DIGITS = 3


class RefusalReason(Enum):
    """Why a job is refused.

    ``TOO_LATE``: even the best case ends after its caller's last moment of use.  ``IN_DOUBT``: the
    worst case does, and its tenant is owed nothing for it, or a job that was taken before would
    come too late for it.  ``STORE_AWAY``: nothing can be promised, because the store does not
    answer.
    """

    TOO_LATE = "too_late"
    IN_DOUBT = "in_doubt"
    STORE_AWAY = "store_in_trouble"
    #: No holder can be reached, and the last one told its entries that the queue is closed.
    CLOSED = "queue_closed"


#: Reasons that follow from how much waits; any other refusal follows from a fault.
_LOAD_REASONS = frozenset(
    reason.value
    for reason in (RefusalReason.TOO_LATE, RefusalReason.IN_DOUBT, RefusalReason.CLOSED)
)


def is_for_load(reason: str) -> bool:
    """Return whether a refusal's reason, as a reply carries it, is load and not trouble."""
    return reason in _LOAD_REASONS


class VerdictInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What a verdict follows from, for logs.

    Attributes
    ----------
    start_delay_seconds, start_delay_upper_seconds : float
        Until what goes first has begun, at best and at worst.
    advice_seconds : float
        Until the line for advice has served what goes first.
    work_median_seconds, work_upper_seconds : float
        The job's longest chain of steps: the median, and an upper quantile.
    seconds_to_expiry : float
        From now until the last moment at which the outcome is of use.
    load_view_age_seconds : float
        How long ago what waits was looked at.
    """

    start_delay_seconds: float
    advice_seconds: float
    work_median_seconds: float
    work_upper_seconds: float
    seconds_to_expiry: float
    load_view_age_seconds: float
    start_delay_upper_seconds: float = 0.0

    def as_fields(self) -> dict[str, float]:
        """Return them as they are logged."""
        return {
            "ahead_s": round(self.start_delay_seconds, _DIGITS),
            "ahead_upper_s": round(self.start_delay_upper_seconds, _DIGITS),
            "advice_s": round(self.advice_seconds, _DIGITS),
            "work_s": round(self.work_median_seconds, _DIGITS),
            "work_upper_s": round(self.work_upper_seconds, _DIGITS),
            "patience_s": round(self.seconds_to_expiry, _DIGITS),
            "view_age_s": round(self.load_view_age_seconds, _DIGITS),
        }


class Admit(msgspec.Struct, frozen=True):
    """The job is taken."""

    inputs: VerdictInputs


class Refuse(msgspec.Struct, frozen=True):
    """The job is not taken, and never runs; its caller is to come back."""

    reason: RefusalReason
    retry_after_seconds: float
    inputs: VerdictInputs


Verdict = Admit | Refuse


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is not taken: why, and when its caller is to come back."""

    reason: RefusalReason
    retry_after_seconds: float
