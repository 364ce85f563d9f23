"""Requests in progress at one entry, their states and the allowed transitions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from onyxspoke.core.schema import AttemptId, EntryId, JobId, Priority, TaskRequest, WorkerId


class RequestState(Enum):
    """State of a request at the entry that must answer it."""

    RECEIVED = "received"
    WAITING_FOR_LOG = "waiting_for_log"
    WAITING_FOR_HOLDER = "waiting_for_holder"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"
    ANSWERED = "answered"


ALLOWED_REQUEST_TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.RECEIVED: frozenset(
        {
            RequestState.WAITING_FOR_LOG,
            RequestState.WAITING_FOR_HOLDER,
            RequestState.QUEUED,
            RequestState.ANSWERED,
        }
    ),
    RequestState.WAITING_FOR_LOG: frozenset(
        {RequestState.QUEUED, RequestState.WAITING_FOR_HOLDER, RequestState.ANSWERED}
    ),
    RequestState.WAITING_FOR_HOLDER: frozenset({RequestState.ANSWERED}),
    RequestState.QUEUED: frozenset(
        {RequestState.DISPATCHED, RequestState.FORWARDED, RequestState.ANSWERED}
    ),
    # A sent request returns to QUEUED only if it did not run.
    RequestState.DISPATCHED: frozenset({RequestState.QUEUED, RequestState.ANSWERED}),
    RequestState.FORWARDED: frozenset({RequestState.QUEUED, RequestState.ANSWERED}),
    RequestState.ANSWERED: frozenset(),
}


class CallerOrigin(msgspec.Struct, frozen=True):
    """The request came from a caller of this entry, who waits for the answer."""


class PeerOrigin(msgspec.Struct, frozen=True):
    """A peer entry forwarded the request and waits for the answer."""

    peer_id: EntryId
    request_id: str


class JobOrigin(msgspec.Struct, frozen=True):
    """The request is one task of a durable job."""

    job_id: JobId
    task_index: int


RequestOrigin = CallerOrigin | PeerOrigin | JobOrigin


@dataclass(slots=True)
class ActiveRequest:
    """A request that has not been answered yet."""

    request_id: str
    request: TaskRequest
    origin: RequestOrigin
    deadline: float
    received_at: float
    state: RequestState = RequestState.RECEIVED
    attempts: int = 0
    attempt_id: AttemptId = ""
    worker_id: WorkerId = ""
    peer_id: EntryId = ""

    @property
    def is_sent(self) -> bool:
        """Whether a worker or a peer may have the request now."""
        return self.state in (RequestState.DISPATCHED, RequestState.FORWARDED)

    @property
    def priority(self) -> Priority:
        """Priority of the request's task class."""
        return self.request.task_class.priority

    def transition(self, target: RequestState) -> None:
        """Change the state; raise ``ValueError`` if the transition is not allowed."""
        if target not in ALLOWED_REQUEST_TRANSITIONS[self.state]:
            raise ValueError(f"request {self.request_id}: {self.state.value} -> {target.value}")
        self.state = target


class QueueLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the queue, the attempts and the overdue answers of one entry."""

    maximum_queued: int = 2_000
    maximum_queued_bytes: int = 16 * 1024 * 1024
    maximum_attempts: int = 16
    answer_grace_seconds: float = 0.25
