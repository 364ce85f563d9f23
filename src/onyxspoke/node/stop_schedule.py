"""Decides how far a planned stop has come, from its time and from what is still open."""

from __future__ import annotations

from enum import IntEnum

import msgspec

#: The load balancer needs this time to see that a node is not ready, and to send it no more calls.
BALANCER_SECONDS = 2.6
#: A node without open calls looks again after this time: requests that arrived while its process
#: was held up are read only after its timers.
CONFIRM_SECONDS = 0.02
#: If the second look is later than this, the process was held up again in between.
LATEST_CONFIRM_SECONDS = 0.15
#: Before the end of the grace: no more calls are taken.
CLOSE_RESERVE_SECONDS = 0.7
#: Before the end of the grace: calls that still have no reply are answered by the node itself.
ANSWER_RESERVE_SECONDS = 0.55
#: Before the end of the grace: the process ends, also with connections whose clients do not read.
END_RESERVE_SECONDS = 0.35


class StopPhase(IntEnum):
    """Phases of a planned stop, in their order.

    ``SERVING``: calls are taken.  ``CLOSING``: new calls are refused, and those that a holder has
    may still be replied to.  ``FLUSHING``: every call has its answer, and the answers are sent.
    ``ENDED``: the process ends.
    """

    SERVING = 0
    CLOSING = 1
    FLUSHING = 2
    ENDED = 3


#: How long before the end of the grace a phase ends at the latest.
_RESERVE_SECONDS = {
    StopPhase.SERVING: CLOSE_RESERVE_SECONDS,
    StopPhase.CLOSING: ANSWER_RESERVE_SECONDS,
    StopPhase.FLUSHING: END_RESERVE_SECONDS,
}
#: Pause between two looks at what is open.
_LOOK_SECONDS = {StopPhase.SERVING: 0.1, StopPhase.CLOSING: 0.02, StopPhase.FLUSHING: 0.01}
#: A shorter wait may be lost in rounding, and the time would not pass.
_SHORTEST_LOOK_SECONDS = 0.001


class OpenWork(msgspec.Struct, frozen=True):
    """What a stopping node has not finished.

    Attributes
    ----------
    calls : int
        Calls without a reply: those of its own clients, and those that it decides about; a call of
        its own client that it decides about counts twice.
    connections : int
        Open connections of clients.
    is_needed : bool
        Whether callers depend on a shard that the node holds and that no other node can take over.
    """

    calls: int
    connections: int
    is_needed: bool = False


class StopSchedule:
    """The phase of one planned stop; it never goes back."""

    def __init__(self) -> None:
        self.phase = StopPhase.SERVING
        #: When the node was found without open calls, to be confirmed by the next look.
        self._quiet_at: float | None = None

    def advance(self, elapsed_seconds: float, grace_seconds: float, work: OpenWork) -> bool:
        """Enter the next phase if it is due, and return whether it was.

        Parameters
        ----------
        elapsed_seconds : float
            Time since the stop began.
        grace_seconds : float
            Time from the beginning of the stop until the process is killed.
        work : OpenWork
            What is still open.
        """
        if self.phase is StopPhase.ENDED:
            return False
        is_late = elapsed_seconds >= grace_seconds - _RESERVE_SECONDS[self.phase]
        is_due = is_late or self._is_finished(elapsed_seconds, work)
        if is_due:
            self.phase = StopPhase(self.phase + 1)
        return is_due

    def _is_finished(self, elapsed_seconds: float, work: OpenWork) -> bool:
        """Return whether there is nothing left to do in this phase."""
        if self.phase is StopPhase.SERVING:
            return self._is_quiet(elapsed_seconds, work)
        if self.phase is StopPhase.CLOSING:
            return not work.calls
        return not work.connections

    def _is_quiet(self, elapsed_seconds: float, work: OpenWork) -> bool:
        """Return whether two looks, soon after each other, have found nothing open."""
        is_busy = work.calls > 0 or work.is_needed
        if is_busy or elapsed_seconds < BALANCER_SECONDS - CONFIRM_SECONDS:
            self._quiet_at = None
            return False
        previous, self._quiet_at = self._quiet_at, elapsed_seconds
        if previous is None or elapsed_seconds < BALANCER_SECONDS:
            return False
        return elapsed_seconds - previous <= LATEST_CONFIRM_SECONDS

    def next_look_seconds(self, elapsed_seconds: float, grace_seconds: float) -> float:
        """Return after how long the schedule is to be advanced again."""
        deadlines = [grace_seconds - _RESERVE_SECONDS[self.phase]]
        if self.phase is StopPhase.SERVING:
            deadlines.append(BALANCER_SECONDS - CONFIRM_SECONDS)
            if self._quiet_at is not None:
                deadlines.append(self._quiet_at + CONFIRM_SECONDS)
        waits = [moment - elapsed_seconds for moment in deadlines if moment > elapsed_seconds]
        return max(_SHORTEST_LOOK_SECONDS, min([*waits, _LOOK_SECONDS[self.phase]]))
