"""The configuration of queues, services and tenants that a shard's holder uses."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import JobSpec, QueuePolicy
from onyxspoke.core.tenants.policy import TenantName, TenantPolicy


class ServicePolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The policy of a service, which is a pool of workers.

    Attributes
    ----------
    checks_capacity : bool
        Whether its workers reject tasks that exceed their free capacity.
    is_spare : bool
        Whether its machines are powered off and run no tasks.
    """

    name: str
    checks_capacity: bool = False
    is_spare: bool = False


class PolicySet(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's configuration, without the settings of the ingress."""

    version: int = 0
    queues: dict[str, QueuePolicy] = {}
    services: dict[str, ServicePolicy] = {}
    tenants: dict[TenantName, TenantPolicy] = {}

    def queue_of(self, job: JobSpec) -> QueuePolicy:
        """Return the policy of a job's queue; if the queue was removed, return the job's copy."""
        return self.queues.get(job.queue.name, job.queue)

    def highest_priority(self, service: str) -> int | None:
        """Return the highest priority among a service's queues; ``None`` if it has no queue."""
        service_queues = (queue for queue in self.queues.values() if queue.service == service)
        return min((queue.priority for queue in service_queues), default=None)
