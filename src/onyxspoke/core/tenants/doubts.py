"""What tenants may have running that a new holder has not seen yet.

A new holder knows from the store which tasks are open, but not which of them run until their
workers have told.  Until then each open task of a tenant counts as running, though all of them
together no more than what those workers have.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxspoke.core.jobs.amounts import bounded, plus, times
from onyxspoke.core.jobs.model import Needs
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.tenants.policy import TenantName


def find_doubts(jobs: Iterable[JobProgress], unsettled: list[Worker]) -> dict[TenantName, Needs]:
    """Return what each tenant may have running on workers that have not told what they run."""
    if not unsettled:
        return {}
    room = Needs()
    for worker in unsettled:
        room = plus(room, worker.record.capacity)
    doubts: dict[TenantName, Needs] = {}
    for job in jobs:
        if job.state.is_final or not job.spec.tenant:
            continue
        for step in job.steps():
            if step.in_doubt:
                tenant = job.spec.tenant
                open_tasks = times(step.needs, step.in_doubt)
                doubts[tenant] = bounded(plus(doubts.get(tenant, Needs()), open_tasks), room)
    return doubts
