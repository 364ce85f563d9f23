"""What follows from whether this node, and its peers, reach the store."""

from __future__ import annotations

from onyxspoke.node.peers import PeerLinks
from onyxspoke.node.store_gateway import StoreGateway

#: A holder that the store turns away for so long leaves its shards to another node.
HANDOVER_SECONDS = 0.8
#: It claims nothing, and hands over nothing more, for so long after.
HANDOVER_PAUSE_SECONDS = 4.0


class StoreWatch:
    """Decides when a node is worse off with the store than its peers.

    What it knows of peers is a preference for nodes that callers are better served by; no node's
    right to give orders may rest on it.

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
        self._known_hosts: set[str] = set()
        self._handover_at = 0.0

    @property
    def is_isolated(self) -> bool:
        """Whether the store and some peers were lost: others are better off, and go on."""
        if self._store.is_reachable or self._store.is_relayed():
            return False
        return any(self._peers.link_to(host) is None for host in self._known_hosts)

    def take_handover(self, now: float) -> bool:
        """Return whether to leave the shards to nodes that the store serves, once each time."""
        if self._store.away_seconds() < HANDOVER_SECONDS or now < self._handover_at:
            return False
        if not self._store.serves_peers_sooner():
            return False
        self._handover_at = now + HANDOVER_PAUSE_SECONDS
        return True

    def note_peers(self) -> None:
        """Take note of the peers that are connected now."""
        linked = {link.host for link in self._peers.up_links()}
        self._known_hosts = linked if self._store.is_reachable else self._known_hosts | linked
