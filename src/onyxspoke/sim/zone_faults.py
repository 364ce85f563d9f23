"""Faults in which a zone with the holder is cut off while nodes outside start, come or change."""

from __future__ import annotations

from functools import partial

from onyxspoke.sim.call_faults import STORE
from onyxspoke.sim.drawn_faults import DrawnFaults
from onyxspoke.sim.job_cluster import SimulatedNode

#: Share of the workers that are in the zone.
ZONE_SHARE = 0.5
#: How long a zone is cut off, in seconds: longer than the leases of its holder last.
CUT_SECONDS = (9.0, 16.0)
#: How long after its end a process starts again, in seconds.
RESTART_SECONDS = (0.05, 0.6)
#: How long a node has been cut off from the holder only before the zone is, in seconds.
UNMET_SECONDS = (1.0, 3.0)
#: How many further changes of holder there are behind a cut, and how far apart, in seconds.
CHANGES = (1, 3)
CHANGE_SECONDS = (0.7, 2.0)
#: The first of them comes so long after the cut, in seconds.
FIRST_CHANGE_SECONDS = (1.3, 2.5)
#: Share of the changes by which all nodes outside the zone are killed, not only their holder.
ALL_SHARE = 0.7


class ZoneFaults(DrawnFaults):
    """Cuts of zones."""

    def cut_while_others_start(self, seconds: float) -> None:
        """All nodes outside the zone are killed, and the cut falls while they start."""
        node = self._choose_node()
        if node is None:
            return
        inside, outside = self._split(node)
        self._restart(outside)
        self._later(self._random.uniform(0.0, 0.5), partial(self._cut_zone, inside, outside))

    def cut_before_node_is_added(self, seconds: float) -> None:
        """All nodes are in the zone, and a new one comes outside."""
        inside = list(self._cluster.nodes)
        added = f"node-{len(inside)}"
        self._cut_zone(inside, [added])
        self._later(self._random.uniform(0.0, 1.0), partial(self._start, added))

    def cut_from_unmet_node(self, seconds: float) -> None:
        """A node is cut off from the holder first; then it is the only one outside the zone."""
        node = self._choose_node()
        others = [name for name in self._cluster.nodes if node is None or name != node.name]
        if node is None or not others:
            return
        unmet = self._random.choice(others)
        unmet_host = [self._host(unmet)]
        self._cluster.cut(node.host, unmet_host)
        delay = self._random.uniform(*UNMET_SECONDS)
        inside = [name for name in self._cluster.nodes if name != unmet]
        self._later(delay, partial(self._cut_zone, inside, [unmet]))
        self._later(delay + CUT_SECONDS[1], partial(self._cluster.heal, node.host, unmet_host))

    def change_holders_behind_cut(self, seconds: float) -> None:
        """The zone of the holder is cut off, and the holders outside die one after the other."""
        node = self._choose_node()
        if node is None:
            return
        inside, outside = [node.name], [name for name in self._cluster.nodes if name != node.name]
        self._cut_zone(inside, outside)
        moment = self._random.uniform(*FIRST_CHANGE_SECONDS)
        for _ in range(self._random.randint(*CHANGES)):
            self._later(moment, partial(self._strike, outside))
            moment += self._random.uniform(*CHANGE_SECONDS)

    def _strike(self, outside: list[str]) -> None:
        """Kill the holder outside the zone, or all nodes there."""
        holders = [name for name in outside if self._cluster.nodes[name].is_holding]
        self._restart(outside if self._random.random() < ALL_SHARE else holders)

    def _split(self, node: SimulatedNode) -> tuple[list[str], list[str]]:
        """Return the nodes in the zone of a node, and those outside; there are always some."""
        others = [name for name in self._cluster.nodes if name != node.name]
        neighbours = self._random.sample(others, self._random.randrange(len(others)))
        return [node.name, *neighbours], [name for name in others if name not in neighbours]

    def _cut_zone(self, inside: list[str], outside: list[str]) -> None:
        """Cut nodes and some workers off from other nodes, the store and the other workers."""
        workers = list(self._cluster.pool.workers)
        zone = self._random.sample(workers, max(1, int(ZONE_SHARE * len(workers))))
        elsewhere = [worker for worker in workers if worker not in zone]
        cuts = {self._host(name): [STORE, *map(self._host, outside), *elsewhere] for name in inside}
        cuts |= {self._host(name): zone for name in outside}
        seconds = self._random.uniform(*CUT_SECONDS)
        for host, places in cuts.items():
            self._cluster.cut(host, places)
            self._later(seconds, partial(self._cluster.heal, host, places))

    def _restart(self, names: list[str]) -> None:
        for name in names:
            if self._cluster.nodes[name].process.alive:
                self._cluster.kill_node(name)
            self._later(self._random.uniform(*RESTART_SECONDS), partial(self._start, name))

    def _start(self, name: str) -> None:
        node = self._cluster.nodes.get(name)
        if node is None or not node.process.alive:
            self._cluster.start_node(name)

    def _host(self, name: str) -> str:
        return f"host-{name}"
