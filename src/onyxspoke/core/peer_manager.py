"""Advertises this entry's free capacity to its peers and drops peers that timed out."""

from __future__ import annotations

from onyxspoke.core.actions import AdvertiseCapacity, DisconnectPeer
from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import NO_RESOURCES


class PeerManager:
    """Advertises capacity when it changes, at a limited rate, and at least once per interval."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._next_check_at = float("-inf")
        self._last_sent: AdvertiseCapacity | None = None
        self._last_sent_at = float("-inf")

    def keep(self, now: float) -> None:
        """Advertise if an advertisement is due, and drop peers that timed out."""
        self._advertise(now)
        self._drop_timed_out_peers(now)

    def advertise_soon(self) -> None:
        """Check for a changed advertisement at the next tick, without waiting for the interval."""
        self._next_check_at = float("-inf")

    def _advertise(self, now: float) -> None:
        options = self._context.options
        if now < self._next_check_at:
            return
        self._next_check_at = now + options.advertise_interval_seconds
        advertisement = self._make_advertisement(now)
        is_changed = advertisement != self._last_sent
        if is_changed or now - self._last_sent_at >= options.maximum_advertise_interval_seconds:
            self._last_sent = advertisement
            self._last_sent_at = now
            self._context.emit(advertisement)

    def _make_advertisement(self, now: float) -> AdvertiseCapacity:
        context = self._context
        free, largest = NO_RESOURCES, NO_RESOURCES
        if context.holds_lease(now) and not context.stopping:
            free = context.workers.free_total()
            free_by_worker = [worker.free for worker in context.workers.usable()]
            largest = max(
                free_by_worker, key=lambda amount: amount.processors, default=NO_RESOURCES
            )
        return AdvertiseCapacity(free, largest, context.settings.revision)

    def _drop_timed_out_peers(self, now: float) -> None:
        member_timeout_seconds = self._context.options.lease.member_timeout_seconds
        for peer_id, peer in list(self._context.peers.peers.items()):
            member = self._context.cell.members.get(peer_id)
            timed_out = member is None or now - member.last_seen_at > member_timeout_seconds
            if timed_out and not peer.connected:
                del self._context.peers.peers[peer_id]
                self._context.emit(DisconnectPeer(peer_id))
