"""Tenants as the operator configures them."""

from __future__ import annotations

import msgspec

from onyxspoke.core.jobs.model import ResourceVector

TenantName = str


class TenantPolicy(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One tenant.

    Attributes
    ----------
    weight : float
        Its share when all is full: so many jobs a second come before what others send beyond
        their own weights.
    quota : ResourceVector
        What it may have running over all workers; an amount of 0 sets no limit.
    """

    name: TenantName
    weight: float = 1.0
    quota: ResourceVector = ResourceVector()
