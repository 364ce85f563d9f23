"""Finds copies of calls about which a holder must not decide any more.

A copy may arrive late: from a stream that its entry has given up, or after this node has lost and
regained the shard.  Its entry may then have told the caller that the call was refused.
"""

from __future__ import annotations

from enum import Enum

from onyxspoke.node.messages import CallForward

#: Maximum number of entries whose latest call is remembered.  Of an entry that is forgotten, a
#: copy that comes late is not found to be overtaken.
MAXIMUM_ENTRIES = 4_096


class CallFault(Enum):
    """Why a copy of a call is rejected.

    ``OVERTAKEN``: a later one from the same entry arrived before it.  ``OTHER_TOKEN``: it was sent
    to another holder, or to this node while it held the shard earlier.
    """

    OVERTAKEN = "overtaken"
    OTHER_TOKEN = "other_token"


class CallChecks:
    """Checks the calls that entries forward to this node."""

    def __init__(self) -> None:
        #: The number of the latest call of each entry, by incarnation; the least recent first.
        self._latest_numbers: dict[str, int] = {}

    def handle_call(
        self, incarnation: str, message: CallForward, held_token: int | None
    ) -> CallFault | None:
        """Remember a call as its entry's latest, and return why it must be rejected, or None.

        Parameters
        ----------
        incarnation : str
            The entry's process.
        held_token : int or None
            Token under which this node holds the shard, if it does.
        """
        if not message.token:
            # Entries of earlier builds send no token, and repeat a call under its first number.
            return None
        latest = self._latest_numbers.pop(incarnation, 0)
        self._latest_numbers[incarnation] = max(latest, message.call_id)
        if len(self._latest_numbers) > MAXIMUM_ENTRIES:
            del self._latest_numbers[next(iter(self._latest_numbers))]
        if message.call_id <= latest:
            return CallFault.OVERTAKEN
        return CallFault.OTHER_TOKEN if message.token != held_token else None
