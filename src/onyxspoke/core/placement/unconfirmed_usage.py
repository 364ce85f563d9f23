"""Estimates the usage of tenants that workers have not yet reported to a new holder.

A new holder reads from the store which tasks are open, but learns only from the workers which of
them run.  Until all workers have reported, each open task counts towards its tenant's quota.  The
total per tenant is limited by the capacity of the workers that have not reported.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import TaskProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors, elementwise_minimum
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.policy import TenantName


def find_doubts(
    tasks: Iterable[TaskProgress], unreported_workers: list[Worker]
) -> dict[TenantName, ResourceVector]:
    """Return the resources that tenants may be using on workers that have not reported their runs.

    Parameters
    ----------
    tasks : iterable of TaskProgress
        Tasks that a previous holder may have started and that no worker has reported.
    unreported_workers : list of Worker
        Workers that have not reported their runs and may run these tasks.
    """
    if not unreported_workers:
        return {}
    unreported_capacity = ResourceVector()
    for worker in unreported_workers:
        unreported_capacity = add_vectors(unreported_capacity, worker.record.capacity)
    usage_by_tenant: dict[TenantName, ResourceVector] = {}
    for task in tasks:
        step = task.step
        tenant = step.job.spec.tenant
        if tenant and not step.job.state.is_final:
            usage_by_tenant[tenant] = elementwise_minimum(
                add_vectors(usage_by_tenant.get(tenant, ResourceVector()), step.needs),
                unreported_capacity,
            )
    return usage_by_tenant
