"""Counts runs of ended jobs that earlier holders started and that may still execute.

A job may end while runs of it go on: it is cancelled, or a task fails for the last time.  This
holder stops its own runs and counts them until they have ended.  Runs of earlier holders on workers
that have not answered yet can't be stopped; they go on until their leases are over.
"""

from __future__ import annotations

from onyxspoke.core.jobs.model import JobId, ResourceVector, WorkerId
from onyxspoke.core.jobs.resource_vectors import add_vectors
from onyxspoke.core.tenants.policy import TenantName


class EndedJobUsage:
    """The resources that runs of ended jobs may still use, by worker and job."""

    def __init__(self) -> None:
        self._by_worker: dict[WorkerId, dict[JobId, tuple[TenantName, ResourceVector]]] = {}

    def add(
        self, worker_id: WorkerId, job_id: JobId, tenant: TenantName, needs: ResourceVector
    ) -> None:
        """Add resources that runs of a job may use on a worker."""
        by_job = self._by_worker.setdefault(worker_id, {})
        _tenant, former = by_job.get(job_id, (tenant, ResourceVector()))
        by_job[job_id] = (tenant, add_vectors(former, needs))

    def workers(self) -> list[WorkerId]:
        """Return the workers that may have such runs."""
        return list(self._by_worker)

    def has_runs_on(self, worker_id: WorkerId) -> bool:
        """Return whether a worker may have such runs."""
        return worker_id in self._by_worker

    def keep_only(self, worker_id: WorkerId, job_ids: set[JobId]) -> list[JobId]:
        """Forget the runs on a worker except those of some jobs; return the other jobs."""
        by_job = self._by_worker.pop(worker_id, {})
        kept = {job_id: usage for job_id, usage in by_job.items() if job_id in job_ids}
        if kept:
            self._by_worker[worker_id] = kept
        return [job_id for job_id in by_job if job_id not in kept]

    def add_to(self, usage_by_tenant: dict[TenantName, ResourceVector]) -> None:
        """Add the resources to what tenants use otherwise."""
        for by_job in self._by_worker.values():
            for tenant, needs in by_job.values():
                usage_by_tenant[tenant] = add_vectors(
                    usage_by_tenant.get(tenant, ResourceVector()), needs
                )
