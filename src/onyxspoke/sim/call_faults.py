"""Faults after which nodes send calls again: a holder out of sight, with calls on their way."""

from __future__ import annotations

from functools import partial

from onyxspoke.sim.drawn_faults import DrawnFaults
from onyxspoke.sim.job_cluster import SimulatedNode

STORE = "store"
#: One way over a slow link takes so long, in seconds: about as long as a node waits for a
#: heartbeat, so that it loses sight of the holder on an open stream.
SLOW_SECONDS = (0.25, 0.7)


class CallFaults(DrawnFaults):
    """Faults of the ways between nodes."""

    def slow_links(self, seconds: float) -> None:
        """All links between nodes are slow."""
        hosts = [node.host for node in self._cluster.nodes.values()]
        delay = self._random.uniform(*SLOW_SECONDS)
        for index, host in enumerate(hosts):
            self._slow(host, hosts[:index], delay, seconds)

    def slow_links_of_node(self, seconds: float) -> None:
        """The links of one node are slow."""
        node = self._choose_node()
        if node is not None:
            delay = self._random.uniform(*SLOW_SECONDS)
            self._slow(node.host, self._other_hosts(node), delay, seconds)

    def cut_zone_from_store(self, seconds: float) -> None:
        """Two nodes lose the store, and one of them the nodes elsewhere; a slow link joins both."""
        node = self._choose_node()
        if node is None:
            return
        others = self._other_hosts(node)
        neighbour = self._random.choice(others)
        cuts = {node.host: [STORE], neighbour: [STORE]}
        cuts[node.host] += [host for host in others if host != neighbour]
        for host, places in cuts.items():
            self._cluster.cut(host, places)
            self._later(seconds, partial(self._cluster.heal, host, places))
        self._slow(node.host, [neighbour], self._random.uniform(*SLOW_SECONDS), seconds)

    def _other_hosts(self, node: SimulatedNode) -> list[str]:
        return [other.host for other in self._cluster.nodes.values() if other.host != node.host]

    def _slow(self, host: str, others: list[str], delay: float, seconds: float) -> None:
        network = self._cluster.network
        for other in others:
            network.slow(host, other, delay)
            self._later(seconds, partial(network.slow, host, other, 0.0))
