"""What follows from whether this node, and its peers, reach the store."""

from __future__ import annotations

from onyxspoke.node.peers import PeerLinks
from onyxspoke.node.store_gateway import StoreGateway

#: A holder that the store turns away for so long leaves its shards to another node.
HANDOVER_SECONDS = 0.8
#: It claims nothing, and hands over nothing more, for so long after.
HANDOVER_PAUSE_SECONDS = 4.0


class StoreWatch:
    """Keeps who could reach the store, and decides when a node is worse off than its peers.

    Parameters
    ----------
    store : StoreGateway
        The store, as this node reaches it.
    peers : PeerLinks
        Streams to the others.
    """

    def __init__(self, store: StoreGateway, peers: PeerLinks) -> None:
        self._store = store
        self._peers = peers
        #: Hosts that were connected when the store last served this node, and since.
        self._claimants: set[str] = set()
        self._handover_at = 0.0

    @property
    def is_isolated(self) -> bool:
        """Whether the store and some peers were lost: others are better off, and go on."""
        if self._store.is_reachable or self._store.is_relayed():
            return False
        return any(self._peers.link_to(host) is None for host in self._claimants)

    def take_handover(self, now: float) -> bool:
        """Return whether to leave the shards to nodes that the store serves, once each time."""
        if self._store.away_seconds() < HANDOVER_SECONDS or now < self._handover_at:
            return False
        if not self._store.serves_peers_sooner():
            return False
        self._handover_at = now + HANDOVER_PAUSE_SECONDS
        return True

    def nobody_reaches_store(self, now: float) -> bool:
        """Return whether every node that could claim says that the store is away."""
        linked = {link.host for link in self._peers.up_links()}
        if self._store.is_reachable:
            self._claimants = linked
            return False
        # One that was lost since may reach the store, and claim.
        self._claimants |= linked
        for host in self._claimants:
            link = self._peers.link_to(host)
            if link is None or not link.was_heard_lately(now) or link.can_reach_store:
                return False
        return True
