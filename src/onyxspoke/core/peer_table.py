"""Free capacity of the peers, as known to this entry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from onyxspoke.core.schema import NO_RESOURCES, EntryId, Resources


@dataclass(slots=True)
class PeerState:
    """One peer entry.

    ``free`` is the last advertised capacity minus the tasks forwarded since.
    """

    peer_id: EntryId
    host: str
    port: int
    zone: str
    connected: bool = False
    valid_until: float = float("-inf")
    free: Resources = NO_RESOURCES
    largest_free: Resources = NO_RESOURCES


class PeerTable:
    """Peer entries found in the log, by ID."""

    def __init__(self) -> None:
        self.peers: dict[EntryId, PeerState] = {}

    def handle_advertisement(
        self, peer_id: EntryId, free: Resources, largest_free: Resources, valid_until: float
    ) -> None:
        """Store the free capacity that a peer advertised."""
        peer = self.peers.get(peer_id)
        if peer is not None:
            peer.free = free
            peer.largest_free = largest_free
            peer.valid_until = valid_until

    def choose(self, resources: Resources, zone: str, now: float) -> PeerState | None:
        """Return the connected peer with the most free slots among those that may fit a task.

        Only peers in ``zone`` are considered; an empty ``zone`` admits peers of all zones.
        """
        return max(
            self._peers_that_fit(resources, zone, now),
            key=lambda peer: peer.free.slots,
            default=None,
        )

    def subtract_forwarded(self, peer: PeerState, resources: Resources) -> None:
        """Subtract a task just forwarded from the peer's advertised capacity."""
        peer.free = peer.free.minus(resources)

    def mark_full(self, peer_id: EntryId) -> None:
        """Treat a peer as full until its next advertisement."""
        peer = self.peers.get(peer_id)
        if peer is not None:
            peer.free = NO_RESOURCES

    def _peers_that_fit(self, resources: Resources, zone: str, now: float) -> Iterator[PeerState]:
        for peer in self.peers.values():
            if (
                peer.connected
                and zone in ("", peer.zone)
                and now < peer.valid_until
                and resources.fits_in(peer.largest_free)
                and resources.fits_in(peer.free)
            ):
                yield peer
