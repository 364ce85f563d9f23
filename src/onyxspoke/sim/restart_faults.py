"""Faults of workers that start again under their names."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from msgspec.structs import replace

from onyxspoke.core.jobs.model import WorkerId
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.sim.job_cluster import JobCluster

#: Share of the workers that one fault strikes.
STRUCK_SHARE = 0.4
#: A worker is back after at most so long, in seconds.
LONGEST_ABSENCE_SECONDS = 5.0
#: Of the absences, so many are shorter, by this factor.
SHORT_ABSENCES_SHARE = 0.5
SHORT_ABSENCE = 0.1
#: Share of the orders that are not answered and carried out late, by so many seconds.
LATE_SHARE = 0.3
LATE_SECONDS = (2.0, 12.0)


class RestartFaults:
    """Carries the faults out.

    Parameters
    ----------
    cluster : JobCluster
        Its workers keep their names.
    source : random.Random
        Draws targets and times.
    """

    def __init__(self, cluster: JobCluster, source: random.Random) -> None:
        self._cluster = cluster
        self._random = source

    def restart(self, seconds: float) -> None:
        """Some workers go down and come back."""
        for worker_id in self._choose():
            self._restart(worker_id)

    def restart_twice(self, seconds: float) -> None:
        """Some workers go down again soon after they have come back."""
        for worker_id in self._choose():
            absence = self._restart(worker_id)
            again = absence + self._random.uniform(0.05, 1.5)
            self._later(again, partial(self._restart, worker_id))

    def restart_behind_cut(self, seconds: float) -> None:
        """Some workers restart where no node reaches them."""
        worker_ids = self._choose()
        hosts = [node.host for node in self._cluster.nodes.values()]
        for host in hosts:
            self._cluster.cut(host, worker_ids)
            self._later(seconds, partial(self._cluster.heal, host, worker_ids))
        for worker_id in worker_ids:
            self._later(self._random.uniform(0.0, seconds), partial(self._restart, worker_id))

    def restart_with_late_orders(self, seconds: float) -> None:
        """Some workers restart while orders go unanswered and are carried out late."""
        for worker in list(self._cluster.pool.workers.values()):
            worker.faults.late_share = LATE_SHARE
            worker.faults.late_seconds = self._random.uniform(*LATE_SECONDS)
            self._later(seconds, partial(setattr, worker.faults, "late_share", 0.0))
        for worker_id in self._choose():
            self._later(self._random.uniform(0.0, seconds), partial(self._restart, worker_id))

    def list_former_lives(self, seconds: float) -> None:
        """Some workers restart, and the directory tells of their former lives once more."""
        for worker_id in self._choose():
            former = self._cluster.pool.workers[worker_id].record
            absence = self._restart(worker_id)
            stale_at = absence + self._random.uniform(0.0, seconds)
            self._later(stale_at, partial(self._list, worker_id, former))
            self._later(stale_at + seconds, partial(self._list_present, worker_id))

    def list_without_birth(self, seconds: float) -> None:
        """Another writer leaves entries that do not say when the worker was born."""
        for worker_id in self._choose():
            record = self._cluster.pool.workers[worker_id].record
            self._list(worker_id, replace(record, born_ms=0))
            self._later(seconds, partial(self._list_present, worker_id))

    def _choose(self) -> list[WorkerId]:
        up = [worker.worker_id for worker in self._cluster.pool.workers.values() if worker.is_up]
        return self._random.sample(up, max(1, int(len(up) * STRUCK_SHARE))) if up else []

    def _restart(self, worker_id: WorkerId) -> float:
        """Restart a worker, unless it is down; return for how long it is away."""
        absence = self._random.uniform(0.0, LONGEST_ABSENCE_SECONDS)
        if self._random.random() < SHORT_ABSENCES_SHARE:
            absence *= SHORT_ABSENCE
        if self._cluster.pool.workers[worker_id].is_up:
            self._cluster.crash_worker(worker_id, absence)
        return absence

    def _list(self, worker_id: WorkerId, record: WorkerRecord) -> None:
        if worker_id in self._cluster.directory.records:
            self._cluster.directory.list(record)

    def _list_present(self, worker_id: WorkerId) -> None:
        worker = self._cluster.pool.workers[worker_id]
        if worker.is_up:
            self._cluster.directory.list(worker.record)

    def _later(self, seconds: float, function: Callable[[], object]) -> None:
        self._cluster.time.schedule(seconds, function)
