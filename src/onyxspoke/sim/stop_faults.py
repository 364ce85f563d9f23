"""Faults in which planned stops of several nodes overlap."""

from __future__ import annotations

import random
from functools import partial

from onyxspoke.sim.job_cluster import JobCluster

#: Between the stops of two nodes, in seconds: all at once, or in turn faster than one stop takes.
STOP_GAPS = (0.0, 0.02, 0.3, 1.25)
#: A process that has ended starts again after so long.
RESTART_SECONDS = 0.5


class StopFaults:
    """Carries the faults out.

    Parameters
    ----------
    cluster : JobCluster
        Its nodes are stopped.
    source : random.Random
        Draws order and times.
    """

    def __init__(self, cluster: JobCluster, source: random.Random) -> None:
        self._cluster = cluster
        self._random = source

    def stop_all(self, seconds: float) -> None:
        """Every node is stopped, one after the other, and started again once it has ended."""
        names = [node.name for node in self._cluster.nodes.values() if node.process.alive]
        self._random.shuffle(names)
        gap = self._random.choice(STOP_GAPS)
        for index, name in enumerate(names):
            self._cluster.time.schedule(index * gap, partial(self._stop, name))

    def _stop(self, name: str) -> None:
        if self._cluster.nodes[name].process.alive:
            self._cluster.stop_node(name, partial(self._start_later, name))

    def _start_later(self, name: str) -> None:
        self._cluster.time.schedule(RESTART_SECONDS, partial(self._start, name))

    def _start(self, name: str) -> None:
        if not self._cluster.nodes[name].process.alive:
            self._cluster.start_node(name)
