"""Queues and services in force, as a shard's holder needs them."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobSpec, QueuePolicy
from onyxspoke.core.tenants.policy import TenantName, TenantPolicy


class ServicePolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A service: a pool of workers.

    Attributes
    ----------
    checks_capacity : bool
        Its workers reject what does not fit.
    is_spare : bool
        Its machines are off and run nothing.
    """

    name: str
    checks_capacity: bool = False
    is_spare: bool = False


class PolicySet(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's configuration, without what only the ingress needs."""

    version: int = 0
    queues: dict[str, QueuePolicy] = {}
    services: dict[str, ServicePolicy] = {}
    tenants: dict[TenantName, TenantPolicy] = {}

    def queue_of(self, job: JobSpec) -> QueuePolicy:
        """Return a job's queue as it is now; one that was dropped, as the job met it."""
        return self.queues.get(job.queue.name, job.queue)

    def highest_priority(self, service: str) -> int | None:
        """Return the priority of the queue that goes first at a service, if it has any."""
        of_service = (queue for queue in self.queues.values() if queue.service == service)
        return min((queue.priority for queue in of_service), default=None)
