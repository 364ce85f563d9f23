"""Holding over while the log is away: zone peers promise not to take over.

Only entries of the same zone may claim this entry's workers or adopt its jobs.  If each
of them promises not to for a lease from now, the lease may go on without the log.
A member that cannot be reached promises nothing, and the lease then lapses.
"""

from __future__ import annotations

from onyxspoke.core.actions import GrantHoldover, RequestHoldover
from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import EntryId

_BEGIN_AT_LEASE_SHARE = 0.7
_ROUNDS_PER_LEASE = 5


class HoldoverKeeper:
    """Asks for promises when the lease runs short, and gives them."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._round_number = 0
        self._round_began_at = float("-inf")
        self._missing: set[EntryId] = set()

    def keep(self, now: float) -> None:
        """Begin a round of requests if the lease runs short without the log."""
        context = self._context
        lease_seconds = context.options.lease.lease_seconds
        remaining = context.lease_until - now
        if not 0 < remaining < lease_seconds * _BEGIN_AT_LEASE_SHARE:
            return
        if now - self._round_began_at < lease_seconds / _ROUNDS_PER_LEASE:
            return
        self._round_number += 1
        self._round_began_at = now
        self._missing = set(self._zone_members())
        for peer_id in sorted(self._missing):
            context.emit(RequestHoldover(peer_id, self._round_number))
        self._extend_if_complete()

    def handle_grant(self, peer_id: EntryId, round_number: int) -> None:
        """Take a promise; the round counts from when it began, not from the promise."""
        if round_number == self._round_number and peer_id in self._missing:
            self._missing.discard(peer_id)
            self._extend_if_complete()

    def handle_request(self, peer_id: EntryId, round_number: int, now: float) -> None:
        """Promise a peer to claim nothing of its own, unless a claim is on its way."""
        context = self._context
        if peer_id in context.takeover_pending_from:
            return
        context.holdover_promised_until[peer_id] = (
            now + context.options.lease.member_timeout_seconds
        )
        context.emit(GrantHoldover(peer_id, round_number))

    def _zone_members(self) -> list[EntryId]:
        """Return the members of the zone that had not lapsed when the log was last read."""
        context = self._context
        horizon = context.log_read_at - context.options.lease.member_timeout_seconds
        return [
            member.entry_id
            for member in context.cell.members.values()
            if member.zone == context.identity.zone
            and member.entry_id != context.identity.entry_id
            and member.last_seen_at > horizon
            and not member.stopping
        ]

    def _extend_if_complete(self) -> None:
        if self._missing:
            return
        context = self._context
        lease_until = self._round_began_at + context.options.lease.lease_seconds
        context.lease_until = max(context.lease_until, lease_until)
