"""What groups of drawn faults share: the cluster that they strike, and the source of draws."""

from __future__ import annotations

import random
from collections.abc import Callable

from onyxspoke.sim.job_cluster import JobCluster, SimulatedNode


class DrawnFaults:
    """Carries a group of faults out.

    Parameters
    ----------
    cluster : JobCluster
        What the faults strike.
    source : random.Random
        Draws targets and times.
    choose_node : callable
        Returns the node that a fault strikes, most often a holder.
    """

    def __init__(
        self,
        cluster: JobCluster,
        source: random.Random,
        choose_node: Callable[[], SimulatedNode | None],
    ) -> None:
        self._cluster = cluster
        self._random = source
        self._choose_node = choose_node

    def _later(self, seconds: float, function: Callable[[], object]) -> None:
        self._cluster.time.schedule(seconds, function)
