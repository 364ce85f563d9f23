"""Calls of clients as an entry passes them on to a shard's holder, and the replies."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.core.tenants.quota_lender import QuotaRequest


class SubmitCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Hand a job in; the same identifier again stays one job."""

    job: JobSpec


class CancelCall(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Cancel a job; only one of the caller's tenant is known to it."""

    job_id: JobId
    tenant: TenantName = ""


class StateCall(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask for a job's state; only one of the caller's tenant is known to it."""

    job_id: JobId
    tenant: TenantName = ""


class WaitingCountCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Ask how many accepted jobs of a queue have not begun."""

    queue: str


class QuotaCall(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Another shard's holder asks for a part of a tenant's quota."""

    request: QuotaRequest


Call = SubmitCall | CancelCall | StateCall | WaitingCountCall | QuotaCall

#: Names of the calls in logs and figures.
CALL_NAMES: dict[type[Call], str] = {
    SubmitCall: "submit",
    CancelCall: "cancel",
    StateCall: "state",
    WaitingCountCall: "waiting",
    QuotaCall: "quota",
}


def job_id_of(call: Call) -> JobId:
    """Return the job that a call is about, or nothing."""
    if isinstance(call, SubmitCall):
        return call.job.job_id
    return "" if isinstance(call, (WaitingCountCall, QuotaCall)) else call.job_id


def queue_of(call: Call) -> str:
    """Return the queue that a call names, or nothing."""
    if isinstance(call, SubmitCall):
        return call.job.queue.name
    return call.queue if isinstance(call, WaitingCountCall) else ""


class ReplyCode(Enum):
    """What a holder replies.

    ``REFUSED``: not taken, and it never runs.  ``NOT_HOLDER``: ask another.  ``UNKNOWN``: it
    may have been done; ask again.
    """

    OK = "ok"
    NO_SUCH_JOB = "no_such_job"
    REFUSED = "refused"
    NOT_HOLDER = "not_holder"
    UNKNOWN = "unknown"


class CallReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The reply to a call.

    Attributes
    ----------
    state : str
        The job's state as a word, for :class:`StateCall`.
    waiting : int
        For :class:`WaitingCountCall`.
    granted : ResourceVector or None
        What may be running, for :class:`QuotaCall`.
    retry_after_seconds : float
        When to come back, for ``REFUSED`` and ``UNKNOWN``.
    reason : str
        Why, for logs.
    """

    code: ReplyCode
    state: str = ""
    waiting: int = 0
    retry_after_seconds: float = 0.0
    reason: str = ""
    granted: ResourceVector | None = None
