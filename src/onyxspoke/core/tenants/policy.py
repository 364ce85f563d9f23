"""The configuration of a tenant."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import ResourceVector

TenantName = str


class TenantPolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The configured weight and quota of one tenant.

    Attributes
    ----------
    weight : float
        The tenant's fair share in jobs per second: in a full cell, jobs within this share go
        before jobs of tenants that are over theirs.
    quota : ResourceVector
        The resources that the tenant's runs may use on all workers; an amount of 0 sets no limit.
    """

    name: TenantName
    weight: float = 1.0
    quota: ResourceVector = ResourceVector()
