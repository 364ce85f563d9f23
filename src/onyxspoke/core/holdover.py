"""Holdover: extends this entry's lease while the log is unavailable.

Only entries of the same zone may claim this entry's workers or adopt its jobs.  If every
one of them promises not to do so until the extended lease has ended, the lease may be
extended without the log.  An unreachable member gives no promise, so the lease expires.
"""

from __future__ import annotations

from onyxspoke.core.actions import GrantHoldover, RequestHoldover
from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import EntryId

_START_BELOW_LEASE_FRACTION = 0.7
_ROUNDS_PER_LEASE = 5


class HoldoverManager:
    """Requests promises from zone peers before this entry's lease ends, and grants promises."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._round_number = 0
        self._round_started_at = float("-inf")
        self._peers_without_promise: set[EntryId] = set()

    def keep(self, now: float) -> None:
        """Start a round of requests if the lease is about to expire without the log."""
        context = self._context
        lease_seconds = context.options.lease.lease_seconds
        remaining = context.lease_until - now
        if not 0 < remaining < lease_seconds * _START_BELOW_LEASE_FRACTION:
            return
        if now - self._round_started_at < lease_seconds / _ROUNDS_PER_LEASE:
            return
        self._round_number += 1
        self._round_started_at = now
        self._peers_without_promise = set(self._zone_members())
        for peer_id in sorted(self._peers_without_promise):
            context.emit(RequestHoldover(peer_id, self._round_number))
        self._extend_if_complete()

    def handle_grant(self, peer_id: EntryId, round_number: int) -> None:
        """Record a promise; the last one extends the lease, counted from the start of the round."""
        if round_number == self._round_number and peer_id in self._peers_without_promise:
            self._peers_without_promise.discard(peer_id)
            self._extend_if_complete()

    def handle_request(self, peer_id: EntryId, round_number: int, now: float) -> None:
        """Promise not to claim a peer's workers or jobs, unless a claim is being recorded."""
        context = self._context
        if peer_id in context.takeover_pending_from:
            return
        context.holdover_promised_until[peer_id] = (
            now + context.options.lease.member_timeout_seconds
        )
        context.emit(GrantHoldover(peer_id, round_number))

    def _zone_members(self) -> list[EntryId]:
        """Return the other zone members that were live at the last read of the log."""
        context = self._context
        oldest_live_seen_at = context.log_read_at - context.options.lease.member_timeout_seconds
        return [
            member.entry_id
            for member in context.cell.members.values()
            if member.zone == context.identity.zone
            and member.entry_id != context.identity.entry_id
            and member.last_seen_at > oldest_live_seen_at
            and not member.stopping
        ]

    def _extend_if_complete(self) -> None:
        if self._peers_without_promise:
            return
        context = self._context
        lease_until = self._round_started_at + context.options.lease.lease_seconds
        context.lease_until = max(context.lease_until, lease_until)
