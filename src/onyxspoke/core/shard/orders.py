"""Results of orders to workers and of calls for advice, independent of the wire format."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import RunKey, WorkerId
from onyxspoke.core.jobs.states import RunEnd


class OrderOutcome(Enum):
    """Outcome of one order to a worker.

    ``FENCED``: the worker has seen a higher token.  ``STALE``: the run's number is not higher than
    that of a run that was stopped or ended there.  ``EXPIRED``: the order arrived after its
    validity had ended.  ``OTHER_INCARNATION``: the incarnation that answered is not the one that
    was addressed.  ``NO_ANSWER``: the order may have been executed, or may still be executed later.
    ``NOT_SENT``: the order never left this machine.
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


#: Outcomes after which the order was certainly not executed.
NOT_EXECUTED_OUTCOMES = frozenset(
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
    """A worker's answer to a start, a stop or a change of pace.

    ``clock_ms`` is 0 if the answer contains no clock reading.
    """

    outcome: OrderOutcome
    clock_ms: int = 0


class RunningReport(msgspec.Struct, frozen=True, gc=False):
    """One run that a worker reports as running.

    ``usage`` is the worker's approximate measurement of the run over the last half second.
    """

    run: RunKey
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


class EndReport(msgspec.Struct, frozen=True, gc=False):
    """The end of one run, which its worker reports until the holder acknowledges it."""

    number: int
    run: RunKey
    end: RunEnd
    checkpoint: str = ""


class HoldResult(msgspec.Struct, frozen=True):
    """A worker's answer to a hold: all its runs, and all ends that are not acknowledged yet.

    ``is_complete`` is false if the list of ends was truncated.  ``born_ms`` is the start time of
    the worker that answered, in milliseconds since 1970 by its own clock; 0 if it gave none.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    running: list[RunningReport] = []
    ended: list[EndReport] = []
    is_complete: bool = True
    born_ms: int = 0


class AdviceOutcome(Enum):
    """Outcome of a call for advice."""

    ANSWERED = "answered"
    BUSY = "busy"
    NO_ANSWER = "no_answer"


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Permission to run a step's tasks on one incarnation of a worker."""

    worker_id: WorkerId
    text: str


class AdviceResult(msgspec.Struct, frozen=True, array_like=True):
    """The tickets for a step, one for each worker that may run it.

    The tickets are valid for ``validity_ms`` from the answer on.
    """

    outcome: AdviceOutcome
    tickets: list[Ticket] = []
    validity_ms: float = 0.0
