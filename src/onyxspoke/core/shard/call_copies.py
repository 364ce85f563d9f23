"""Decides what the replies to the copies of a submission allow to tell the caller.

An entry sends a call again when it loses its holder before the reply.  Holders decide about each
copy on its own, so a refusal is final only once no other copy can be accepted any more.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.shard.calls import CallReply, ReplyCode

#: When a caller whose call may have been accepted is told to come back, in seconds.
IN_DOUBT_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class CopyTarget:
    """Where a copy of a call was sent.

    Attributes
    ----------
    token : int
        Fencing token under which the shard was held there.
    incarnation : str
        Process that receives the copy.
    is_checked : bool
        Whether that process rejects a copy that was meant for another token, or that arrives after
        a later copy from the same entry.
    """

    token: int
    incarnation: str
    is_checked: bool


@dataclass(slots=True)
class _Copy:
    target: CopyTarget
    #: The path of its reply is gone.
    is_lost: bool = False


class CallCopies:
    """The copies of one call that may have been, or may still be, accepted.

    Copies are numbered in the order in which they were sent.
    """

    def __init__(self) -> None:
        self._undecided: dict[int, _Copy] = {}
        self._refusal: CallReply | None = None
        self._refusing_token = 0

    @property
    def is_in_doubt(self) -> bool:
        """Whether a copy may have been accepted, or may still be."""
        return bool(self._undecided)

    def handle_sent(self, number: int, target: CopyTarget) -> None:
        """A copy was sent."""
        self._undecided[number] = _Copy(target)

    def handle_lost(self, number: int) -> None:
        """The reply to a copy cannot arrive any more."""
        copy = self._undecided.get(number)
        if copy is not None:
            copy.is_lost = True

    def handle_not_taken(self, number: int) -> None:
        """The receiver of a copy did not hold the shard."""
        self._undecided.pop(number, None)

    def handle_refused(self, number: int, reply: CallReply) -> None:
        """A holder refused a copy.

        The refusal of a holder that has been replaced is ignored while its successor may still
        decide about another copy.
        """
        copy = self._undecided.pop(number, None)
        if copy is None:
            return
        token = copy.target.token
        if any(other.target.token > token for other in self._undecided.values()):
            return
        self._refusal, self._refusing_token = reply, token
        self._undecided = {
            other_number: other
            for other_number, other in self._undecided.items()
            if not _excludes(copy.target, number, other.target, other_number)
        }

    def conclude(self) -> CallReply | None:
        """Return the final reply that follows from the refusals, or None while there is none.

        The outcome is unknown if no copy in doubt will be answered for certain: the stream of the
        reply is gone, or its holder has been replaced and may never reply.
        """
        if self._refusal is None or not self._undecided:
            return self._refusal
        if all(
            copy.is_lost or copy.target.token < self._refusing_token
            for copy in self._undecided.values()
        ):
            return CallReply(
                code=ReplyCode.UNKNOWN,
                retry_after_seconds=IN_DOUBT_RETRY_SECONDS,
                reason="copies_in_doubt",
            )
        return None


def _excludes(refusing: CopyTarget, number: int, other: CopyTarget, other_number: int) -> bool:
    """Return whether a holder's refusal of a copy means that another copy is not accepted.

    A new holder reads every job that was accepted under an earlier token, and the store rejects
    later appends of earlier holders.  A holder also knows the jobs that it accepted itself, and
    rejects copies that it reads after a later one.
    """
    if not other.is_checked:
        return False
    is_same_process = other.incarnation == refusing.incarnation
    return other.token < refusing.token or (is_same_process and other_number < number)
