"""What the answers of the advice service say: of one step, and of the steps of a queue."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.shard.orders import AdviceResult

_MILLISECONDS = 1_000.0
#: A ticket is not used in its last moments.
TICKET_MARGIN_SECONDS = 0.08
#: Of what was learned of the share of good workers, so much is kept at each answer.
GOOD_SHARE_KEPT = 0.95
#: The share is never taken for lower, so that a few bad answers don't have everybody asked about.
LOWEST_GOOD_SHARE = 0.05


@dataclass(slots=True)
class HeldTicket:
    """A ticket and the holder's second after which it is not used."""

    text: str
    use_before: float


@dataclass(slots=True)
class StepAdvice:
    """What is known about one step: tickets of the good workers, and those asked about."""

    tickets: dict[WorkerId, HeldTicket] = field(default_factory=dict)
    queried_workers: set[WorkerId] = field(default_factory=set)
    #: Numbers of the calls about it that wait or are under way.
    open_calls: set[int] = field(default_factory=set)
    retry_at: float = 0.0
    #: Whether it was told that the step does not ask yet.
    is_put_off: bool = False
    #: From when on workers that were not asked about, as those that came into use, may be asked
    #: about by themselves.
    new_workers_due_at: float = -math.inf

    @property
    def has_open_calls(self) -> bool:
        """Whether a call about the step waits or is under way."""
        return bool(self.open_calls)

    def valid_ticket(self, worker_id: WorkerId, now: float) -> str | None:
        """Return the ticket for a worker, if it may still be used."""
        held = self.tickets.get(worker_id)
        if held is None or now >= held.use_before:
            return None
        return held.text

    def may_run_on(self, worker_id: WorkerId) -> bool:
        """Return whether a worker is good for the step, or was not asked about yet."""
        return worker_id in self.tickets or worker_id not in self.queried_workers


@dataclass(slots=True)
class GoodShare:
    """Which share of the workers is good for the steps of one queue.

    Starts at a half of a few; what was learned from long ago counts less and less.
    """

    good: float = 12.0
    queried_workers: float = 24.0

    @property
    def value(self) -> float:
        """The share, by the answers so far."""
        return max(self.good / self.queried_workers, LOWEST_GOOD_SHARE)

    def note(self, call: AdviceCall, result: AdviceResult) -> None:
        """Take an answer."""
        self.good = self.good * GOOD_SHARE_KEPT + len(result.tickets)
        self.queried_workers = self.queried_workers * GOOD_SHARE_KEPT + len(call.worker_ids)


def note_answer(advice: StepAdvice, call: AdviceCall, result: AdviceResult, now: float) -> None:
    """Keep what an answer says of the workers that were asked about."""
    advice.queried_workers.update(call.worker_ids)
    use_before = now + result.validity_ms / _MILLISECONDS - TICKET_MARGIN_SECONDS
    for ticket in result.tickets:
        advice.tickets[ticket.worker_id] = HeldTicket(ticket.text, use_before)
