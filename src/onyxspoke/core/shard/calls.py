"""Client calls that an entry forwards to a shard's holder, and the replies to them."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.core.tenants.quota_lender import QuotaRequest


class SubmitCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Submit a job; a second submission with the same identifier creates no second job."""

    job: JobSpec


class CancelCall(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Cancel a job; jobs of other tenants are reported as unknown."""

    job_id: JobId
    tenant: TenantName = ""


class StateCall(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Query a job's state; jobs of other tenants are reported as unknown."""

    job_id: JobId
    tenant: TenantName = ""


class WaitingCountCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Query how many accepted jobs of a queue have not started."""

    queue: str


class QuotaCall(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Request a part of a tenant's quota on behalf of another shard's holder."""

    request: QuotaRequest


Call = SubmitCall | CancelCall | StateCall | WaitingCountCall | QuotaCall

#: Names of the calls in logs and metrics.
CALL_NAMES: dict[type[Call], str] = {
    SubmitCall: "submit",
    CancelCall: "cancel",
    StateCall: "state",
    WaitingCountCall: "waiting",
    QuotaCall: "quota",
}


def job_id_of(call: Call) -> JobId:
    """Return the identifier of the job that a call refers to, or an empty string."""
    if isinstance(call, SubmitCall):
        return call.job.job_id
    return "" if isinstance(call, (WaitingCountCall, QuotaCall)) else call.job_id


def queue_of(call: Call) -> str:
    """Return the name of the queue that a call refers to, or an empty string."""
    if isinstance(call, SubmitCall):
        return call.job.queue.name
    return call.queue if isinstance(call, WaitingCountCall) else ""


class ReplyCode(Enum):
    """Code of a holder's reply.

    ``REFUSED``: the job was not accepted; other copies of the call may be.  ``NOT_HOLDER``: another
    node holds the shard, or the copy came too late.  ``UNKNOWN``: the holder may have carried out
    the call; the caller should retry.
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
        Name of the job's state, for :class:`StateCall`.
    waiting : int
        Number of jobs that have not started, for :class:`WaitingCountCall`.
    granted : ResourceVector or None
        Resources that the shard's runs may use, for :class:`QuotaCall`.
    retry_after_seconds : float
        Time after which the caller should retry, for ``REFUSED`` and ``UNKNOWN``.
    reason : str
        Reason for the reply, for logs.
    """

    code: ReplyCode
    state: str = ""
    waiting: int = 0
    retry_after_seconds: float = 0.0
    reason: str = ""
    granted: ResourceVector | None = None
