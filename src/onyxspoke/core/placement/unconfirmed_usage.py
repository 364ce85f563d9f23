"""What tenants may have running that a new holder has not seen yet.

A new holder knows from the store which tasks are open, but not which of them run until their
workers have told.  Until then each open task of a tenant counts as running, though all of them
together no more than what those workers have.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import TaskProgress
from onyxspoke.core.jobs.resource_vectors import add_vectors, elementwise_minimum
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.policy import TenantName


def find_doubts(
    tasks: Iterable[TaskProgress], unsettled: list[Worker]
) -> dict[TenantName, ResourceVector]:
    """Return what each tenant may have running on workers that have not told what they run.

    Parameters
    ----------
    tasks : iterable of TaskProgress
        Those that a former holder may have started and no worker has shown.
    unsettled : list of Worker
        Workers that may run them.
    """
    if not unsettled:
        return {}
    room = ResourceVector()
    for worker in unsettled:
        room = add_vectors(room, worker.record.capacity)
    doubts: dict[TenantName, ResourceVector] = {}
    for task in tasks:
        step = task.step
        tenant = step.job.spec.tenant
        if tenant and not step.job.state.is_final:
            doubts[tenant] = elementwise_minimum(
                add_vectors(doubts.get(tenant, ResourceVector()), step.needs), room
            )
    return doubts
