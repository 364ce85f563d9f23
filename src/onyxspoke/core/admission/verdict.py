"""The outcome of an admission decision."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

_LOG_DIGITS = 3


class RefusalReason(Enum):
    """Why a job is refused.

    ``TOO_LATE``: the job expires before it finishes, even in the best case.  ``IN_DOUBT``: the job
    expires in the worst case and its tenant is not entitled to it, or admitting it would make an
    admitted late job expire.  ``STORE_UNREACHABLE``: the store does not answer, so no job can be
    accepted.
    """

    TOO_LATE = "too_late"
    IN_DOUBT = "in_doubt"
    STORE_UNREACHABLE = "store_in_trouble"
    #: No holder can be reached, and the last summary said that the queue is closed.
    CLOSED = "queue_closed"


#: Reasons that are due to load; any other refusal is due to a fault.
_LOAD_REASONS = frozenset(
    reason.value
    for reason in (RefusalReason.TOO_LATE, RefusalReason.IN_DOUBT, RefusalReason.CLOSED)
)


def is_load_refusal(reason: str) -> bool:
    """Return whether the reason of a refusal, as in a reply, is load rather than a fault."""
    return reason in _LOAD_REASONS


class VerdictInputs(msgspec.Struct, frozen=True, kw_only=True):
    """The values on which a verdict is based, for log lines.

    Attributes
    ----------
    start_delay_seconds, start_delay_upper_seconds : float
        Best-case and worst-case delay until the job could start.
    advice_seconds : float
        Expected time until the advice service has answered for the job.
    work_median_seconds, work_upper_seconds : float
        Median and upper quantile of the duration of the job's longest chain of steps.
    seconds_to_expiry : float
        Time until the job expires.
    load_view_age_seconds : float
        Age of the view of the load.
    """

    start_delay_seconds: float
    advice_seconds: float
    work_median_seconds: float
    work_upper_seconds: float
    seconds_to_expiry: float
    load_view_age_seconds: float
    start_delay_upper_seconds: float = 0.0

    def as_fields(self) -> dict[str, float]:
        """Return the values as the fields of a log line."""
        return {
            "ahead_s": round(self.start_delay_seconds, _LOG_DIGITS),
            "ahead_upper_s": round(self.start_delay_upper_seconds, _LOG_DIGITS),
            "advice_s": round(self.advice_seconds, _LOG_DIGITS),
            "work_s": round(self.work_median_seconds, _LOG_DIGITS),
            "work_upper_s": round(self.work_upper_seconds, _LOG_DIGITS),
            "patience_s": round(self.seconds_to_expiry, _LOG_DIGITS),
            "view_age_s": round(self.load_view_age_seconds, _LOG_DIGITS),
        }


class Admit(msgspec.Struct, frozen=True):
    """The job is admitted."""

    inputs: VerdictInputs


class Refuse(msgspec.Struct, frozen=True):
    """The job is refused and never runs; its caller should retry."""

    reason: RefusalReason
    retry_after_seconds: float
    inputs: VerdictInputs


Verdict = Admit | Refuse


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason for a refusal, and the retry time that the caller is given."""

    reason: RefusalReason
    retry_after_seconds: float
