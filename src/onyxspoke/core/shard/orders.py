"""What workers answer to orders, in the scheduler's own words."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import RunKey, WorkerId
from onyxspoke.core.jobs.states import RunEnd


class OrderOutcome(Enum):
    """What became of one order to a worker.

    ``FENCED``: the worker has seen a higher token.  ``STALE``: the run is not above one that
    was stopped or ended there.  ``EXPIRED``: the order came after its time.  ``OTHER_INCARNATION``:
    the life that was meant is over, another one answers.  ``NO_ANSWER``: the order may have
    been carried out, or may yet be.  ``NOT_SENT``: nothing left this machine.
    """

    DONE = "done"
    FENCED = "fenced"
    STALE = "stale"
    EXPIRED = "expired"
    INSUFFICIENT_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    NO_ANSWER = "no_answer"
    NOT_SENT = "not_sent"

    @property
    def is_fenced(self) -> bool:
        """Whether the worker has seen a higher token."""
        return self is OrderOutcome.FENCED


#: Outcomes after which the order was certainly not carried out.
CERTAINLY_NOT_DONE = frozenset(
    {
        OrderOutcome.FENCED,
        OrderOutcome.STALE,
        OrderOutcome.EXPIRED,
        OrderOutcome.INSUFFICIENT_CAPACITY,
        OrderOutcome.NO_TICKET,
        OrderOutcome.INVALID,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_INCARNATION,
        OrderOutcome.NOT_SENT,
    }
)


class OrderResult(msgspec.Struct, frozen=True):
    """A worker's answer to a start, a stop or a change of pace; 0 where no clock came."""

    outcome: OrderOutcome
    clock_ms: int = 0


class RunningReport(msgspec.Struct, frozen=True, gc=False):
    """One run that a worker has; ``usage`` is its rough figure of the last half second."""

    run: RunKey
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


class EndReport(msgspec.Struct, frozen=True, gc=False):
    """One end that a worker lists until it is told that it was noted."""

    number: int
    run: RunKey
    end: RunEnd
    checkpoint: str = ""


class HoldResult(msgspec.Struct, frozen=True):
    """A worker's answer to a hold: everything that runs there and every end not yet noted.

    ``is_complete`` is false where the list of ends was cut off at its bound.  ``born_ms`` is when
    the
    worker that answered started, counted from 1970 on its own clock; 0 where it did not say.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    running: list[RunningReport] = []
    ended: list[EndReport] = []
    is_complete: bool = True
    born_ms: int = 0


class AdviceOutcome(Enum):
    """What became of a call for advice."""

    ANSWERED = "answered"
    BUSY = "busy"
    NO_ANSWER = "no_answer"


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Leave to run a step's tasks on one life of a worker."""

    worker_id: WorkerId
    text: str


class AdviceResult(msgspec.Struct, frozen=True, array_like=True):
    """Which of the workers asked about may run a step, for so long from the answer on."""

    outcome: AdviceOutcome
    tickets: list[Ticket] = []
    validity_ms: float = 0.0
