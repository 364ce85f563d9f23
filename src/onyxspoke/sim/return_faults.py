"""Faults in which a holder loses the store alone and gets its shard back, with workers cut off."""

from __future__ import annotations

from functools import partial

from onyxspoke.sim.call_faults import STORE
from onyxspoke.sim.drawn_faults import DrawnFaults
from onyxspoke.sim.job_cluster import SimulatedNode

#: How long a round takes at most, in seconds: the restart, the term and the cut of workers.
ROUND_SECONDS = 30.0
#: Share of the workers that are cut off from all nodes, and for how long, in seconds: most often
#: they are reached again before the leases of the holder that lost them are over.
WORKERS_SHARE = 0.5
WORKERS_CUT_SECONDS = (5.0, 12.0)
#: After its restart the former holder is there so soon, the other nodes so much later, in seconds.
FIRST_RESTART_SECONDS = (0.05, 0.3)
OTHERS_RESTART_SECONDS = (0.4, 1.0)
#: The term of a holder before it loses the store, in seconds.
TERM_SECONDS = (5.0, 13.0)
#: For how long the store turns it away, in seconds.
AWAY_SECONDS = (1.2, 3.0)
#: Share of those that it refuses; the others get no answer.
REFUSED_SHARE = 0.5
#: The others die so long after that begins, and come back so much later than that, in seconds: the
#: former holder claims nothing for 4 s after it gave the shard up.
DEATH_SECONDS = (0.4, 1.3)
ABSENCE_SECONDS = (4.5, 7.0)
#: How many holders in a row lose the store, and how far apart, in seconds.
CHANGES = (2, 4)
CHANGE_SECONDS = (1.2, 3.5)
#: Share of the holders whose process ends instead; it starts again at once.
KILL_SHARE = 0.3


class ReturnFaults(DrawnFaults):
    """Holders that lose the store alone, with workers cut off."""

    def claim_again(self, seconds: float) -> None:
        """A holder claims the shard back after a restart of all, loses it, and gets it back.

        The other nodes die at about the time when the holder gives the shard up.
        """
        node = self._choose_node()
        if node is None:
            return
        others = [name for name in self._cluster.nodes if name != node.name]
        self._restart([node.name], FIRST_RESTART_SECONDS)
        self._restart(others, OTHERS_RESTART_SECONDS)
        self._later(self._random.uniform(*TERM_SECONDS), self._lose_store_and_others)

    def pass_on_and_return(self, seconds: float) -> None:
        """One holder after the other loses the store or dies, until an earlier one holds again."""
        self._cut_workers()
        moment = 0.0
        for _ in range(self._random.randint(*CHANGES)):
            self._later(moment, self._strike)
            moment += self._random.uniform(*CHANGE_SECONDS)

    def _lose_store_and_others(self) -> None:
        node = self._cluster.holder() or self._choose_node()
        if node is None:
            return
        self._cut_workers()
        self._lose_store(node)
        others = [name for name in self._cluster.nodes if name != node.name]
        delay = self._random.uniform(*DEATH_SECONDS)
        self._later(delay, partial(self._restart, others, ABSENCE_SECONDS))

    def _strike(self) -> None:
        node = self._cluster.holder() or self._choose_node()
        if node is None:
            return
        if self._random.random() < KILL_SHARE:
            self._restart([node.name], FIRST_RESTART_SECONDS)
        else:
            self._lose_store(node)

    def _lose_store(self, node: SimulatedNode) -> None:
        """Have the store turn a node away, or lose all that the node asks."""
        seconds = self._random.uniform(*AWAY_SECONDS)
        if self._random.random() < REFUSED_SHARE:
            refuses = self._cluster.store.faults.refuses
            refuses.add(node.name)
            self._later(seconds, partial(refuses.discard, node.name))
        else:
            self._cluster.cut(node.host, [STORE])
            self._later(seconds, partial(self._cluster.heal, node.host, [STORE]))

    def _cut_workers(self) -> None:
        workers = list(self._cluster.pool.workers)
        cut = self._random.sample(workers, max(1, int(WORKERS_SHARE * len(workers))))
        seconds = self._random.uniform(*WORKERS_CUT_SECONDS)
        for name in self._cluster.nodes:
            host = f"host-{name}"
            self._cluster.cut(host, cut)
            self._later(seconds, partial(self._cluster.heal, host, cut))

    def _restart(self, names: list[str], absence: tuple[float, float]) -> None:
        for name in names:
            if self._cluster.nodes[name].process.alive:
                self._cluster.kill_node(name)
            self._later(self._random.uniform(*absence), partial(self._start, name))

    def _start(self, name: str) -> None:
        """Start a node, unless an earlier restart has; an address has one process at a time."""
        if not self._cluster.nodes[name].process.alive:
            self._cluster.start_node(name)
