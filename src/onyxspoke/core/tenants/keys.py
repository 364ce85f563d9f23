"""Checks callers' API keys and finds the tenants that own them.

An unknown key is either wrong or newer than the node's configuration; the node reads the newest
version to find out.  A known key may have been revoked since the node last received the
configuration, so the configuration is trusted for a limited time only.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

from onyxspoke.core.tenants.policy import TenantName

_FINGERPRINT_BYTES = 4


class KeyVerdict(Enum):
    """The result of checking the key of a call.

    ``CONFIGURATION_REFRESH_NEEDED``: the newest configuration must be read before the call is
    answered.
    ``CONFIGURATION_STALE``: the configuration may be out of date, and the newest one cannot be
    read.
    """

    ADMITTED = "admitted"
    MISSING = "missing"
    UNKNOWN = "unknown"
    CONFIGURATION_REFRESH_NEEDED = "look_first"
    CONFIGURATION_STALE = "unproven"


class Credential(msgspec.Struct, frozen=True):
    """The credential of a call; ``key`` is empty if the call has no readable key."""

    key: str = ""

    @property
    def fingerprint(self) -> str:
        """A short hash of the key for logs, which does not reveal the key."""
        if not self.key:
            return "none"
        return hashlib.blake2s(self.key.encode(), digest_size=_FINGERPRINT_BYTES).hexdigest()


class KeyRing(msgspec.Struct, frozen=True):
    """The keys of one version of the configuration.

    ``owners`` maps each key to its tenant; ``is_required`` tells whether callers need a key, which
    is false in a cell without tenants.
    """

    owners: dict[str, TenantName] = {}
    is_required: bool = False

    def tenant_of(self, credential: Credential) -> TenantName | None:
        """Return the tenant that owns a key, or ``None`` for an unknown key."""
        return self.owners.get(credential.key)


def check_key(
    credential: Credential,
    ring: KeyRing,
    configuration_age_seconds: float,
    maximum_age_seconds: float,
    was_configuration_refreshed: bool = False,
) -> KeyVerdict:
    """Return the verdict on the key of a call.

    Parameters
    ----------
    configuration_age_seconds : float
        Seconds since the node's configuration was last known to be the newest version.
    maximum_age_seconds : float
        Seconds for which the configuration is trusted without a new confirmation.
    was_configuration_refreshed : bool
        Whether the newest version was read after the call arrived.
    """
    if not credential.key:
        return KeyVerdict.MISSING
    if ring.tenant_of(credential) is not None:
        is_trusted = was_configuration_refreshed or configuration_age_seconds <= maximum_age_seconds
        return KeyVerdict.ADMITTED if is_trusted else KeyVerdict.CONFIGURATION_REFRESH_NEEDED
    return (
        KeyVerdict.UNKNOWN
        if was_configuration_refreshed
        else KeyVerdict.CONFIGURATION_REFRESH_NEEDED
    )


def may_access_job(owner: TenantName, caller: TenantName) -> bool:
    """Return whether a caller may see and cancel a job.

    A job without an owner was submitted on a route without keys, or before the cell had tenants.
    A caller without a tenant uses a route without keys.
    """
    return not owner or not caller or owner == caller
