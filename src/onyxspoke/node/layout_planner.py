"""When a new cell is laid out: once its workers are listed, and no more of them come."""

from __future__ import annotations

from onyxspoke.core.shard.layout import CellLayout, plan_layout
from onyxspoke.node.directory_hub import DirectoryHub
from onyxspoke.node.settings import NodeSettings
from onyxspoke.ports.clock import Clock

#: A cell in which no worker is listed is laid out after so long.
EMPTY_LAYOUT_SECONDS = 3.0
#: A cell is laid out after so long at the latest, though workers still come.
LONGEST_SETTLE_SECONDS = 6.0


class LayoutPlanner:
    """Plans the layout of a new cell; it never changes afterwards, so haste would be for good.

    Parameters
    ----------
    settings : NodeSettings
        Sizes of shards, and how long workers may take to come.
    directory : DirectoryHub
        The workers that are listed.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: NodeSettings, directory: DirectoryHub, clock: Clock) -> None:
        self._settings = settings
        self._directory = directory
        self._clock = clock
        self._count = 0
        self._grown_at = 0.0

    def plan(self) -> CellLayout | None:
        """Return the layout, if the list of workers has settled."""
        listed_seconds = self._directory.listed_seconds()
        workers = self._directory.workers()
        now = self._clock.now()
        if len(workers) != self._count:
            self._count = len(workers)
            self._grown_at = now
        if listed_seconds < self._patience(now):
            return None
        settings = self._settings
        return plan_layout(workers, settings.workers_per_shard, settings.maximum_shards)

    def _patience(self, now: float) -> float:
        """Return for how long the list must have been known."""
        if not self._count:
            return EMPTY_LAYOUT_SECONDS
        settle_seconds = self._settings.layout_settle_seconds
        is_settled = now - self._grown_at >= settle_seconds
        return settle_seconds if is_settled else LONGEST_SETTLE_SECONDS
