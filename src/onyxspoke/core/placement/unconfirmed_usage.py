"""Estimates the usage of tenants that workers have not yet reported to a new holder.

A new holder reads from the store which tasks are open, but learns only from the workers which of
them run.  Until a worker has reported, each open task that is recorded on it counts towards its
tenant's quota.  Where previous holders did not record their starts, every open task counts until
all workers have reported, limited per tenant by the capacity of those that have not.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import TaskProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors, elementwise_minimum
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.policy import TenantName


def find_doubts(
    tasks: Iterable[TaskProgress],
    unreported_workers: list[Worker],
    *,
    starts_are_recorded: bool,
) -> dict[TenantName, ResourceVector]:
    """Return the resources that tenants may be using on workers that have not reported their runs.

    Parameters
    ----------
    tasks : iterable of TaskProgress
        Tasks that a previous holder may have started and that no worker has reported.
    unreported_workers : list of Worker
        Workers that have not reported their runs and may run these tasks.
    starts_are_recorded : bool
        Whether each of the tasks is recorded on a worker.  They are counted in full then: a
        worker's capacity may have shrunk below what its runs use.
    """
    if not unreported_workers:
        return {}
    usage_by_tenant: dict[TenantName, ResourceVector] = {}
    for task in tasks:
        step = task.step
        tenant = step.job.spec.tenant
        if tenant and not step.job.state.is_final:
            usage_by_tenant[tenant] = add_vectors(
                usage_by_tenant.get(tenant, ResourceVector()), step.needs
            )
    if starts_are_recorded:
        return usage_by_tenant
    unreported_capacity = ResourceVector()
    for worker in unreported_workers:
        unreported_capacity = add_vectors(unreported_capacity, worker.record.capacity)
    return {
        tenant: elementwise_minimum(usage, unreported_capacity)
        for tenant, usage in usage_by_tenant.items()
    }
