"""Advice from the advice service: per step, and statistics per job queue."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.shard.orders import AdviceResult

_MILLISECONDS = 1_000.0
#: A ticket is not used during the last part of its validity, of this many seconds.
TICKET_MARGIN_SECONDS = 0.08
#: Weight of the previous totals when an answer updates an approval rate.
APPROVAL_HISTORY_WEIGHT = 0.95
#: Lower limit of an approval rate, so that a few negative answers do not lead to calls about all
#: workers.
MINIMUM_APPROVAL_RATE = 0.05


@dataclass(slots=True)
class HeldTicket:
    """A ticket, and the time by the holder's clock after which it is not used."""

    text: str
    use_before: float


@dataclass(slots=True)
class StepAdvice:
    """Advice on one step: tickets of the approved workers, and all workers queried."""

    tickets: dict[WorkerId, HeldTicket] = field(default_factory=dict)
    queried_workers: set[WorkerId] = field(default_factory=set)
    #: Numbers of the step's calls that are queued or in flight.
    open_calls: set[int] = field(default_factory=set)
    retry_at: float = 0.0
    #: Whether the log has recorded that the step defers its request for advice.
    deferral_logged: bool = False
    #: Earliest time for a call about workers that have not been queried, such as new workers.
    new_workers_due_at: float = -math.inf

    @property
    def has_open_calls(self) -> bool:
        """Whether a call about the step is queued or in flight."""
        return bool(self.open_calls)

    def valid_ticket(self, worker_id: WorkerId, now: float) -> str | None:
        """Return the ticket for a worker, or ``None`` if there is none or it has expired."""
        ticket = self.tickets.get(worker_id)
        if ticket is None or now >= ticket.use_before:
            return None
        return ticket.text

    def may_run_on(self, worker_id: WorkerId) -> bool:
        """Return whether a worker is approved for the step, or has not been queried yet."""
        return worker_id in self.tickets or worker_id not in self.queried_workers


@dataclass(slots=True)
class ApprovalRate:
    """Share of workers that the advice service approves for the steps of one job queue.

    The rate starts at one half, with the weight of a small call; old answers decay.
    """

    approved_count: float = 12.0
    queried_count: float = 24.0

    @property
    def value(self) -> float:
        """The share of queried workers that were approved, at least ``MINIMUM_APPROVAL_RATE``."""
        return max(self.approved_count / self.queried_count, MINIMUM_APPROVAL_RATE)

    def add_answer(self, call: AdviceCall, result: AdviceResult) -> None:
        """Update the totals from the answer to a call."""
        self.approved_count = self.approved_count * APPROVAL_HISTORY_WEIGHT + len(result.tickets)
        self.queried_count = self.queried_count * APPROVAL_HISTORY_WEIGHT + len(call.worker_ids)


def record_answer(advice: StepAdvice, call: AdviceCall, result: AdviceResult, now: float) -> None:
    """Store the tickets of an answer, and record the workers that the call named."""
    advice.queried_workers.update(call.worker_ids)
    use_before = now + result.validity_ms / _MILLISECONDS - TICKET_MARGIN_SECONDS
    for ticket in result.tickets:
        advice.tickets[ticket.worker_id] = HeldTicket(ticket.text, use_before)
