"""Callers' keys: whose they are, and what is answered to a key that this node does not know.

A key that is not known is wrong, or newer than the configuration in force here; one look at the
newest version tells which.  A key that is known may have been withdrawn since this node last heard
of the configuration, so what is known is trusted for a bounded time only.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

from onyxspoke.core.tenants.policy import TenantName

_FINGERPRINT_BYTES = 4


class KeyVerdict(Enum):
    """What is done with a call, by the key that came with it.

    ``CONFIGURATION_REFRESH_NEEDED``: the newest configuration is looked at before the call is
    answered.
    ``CONFIGURATION_STALE``: what is known here may be too old to go by, and nothing newer can be
    had.
    """

    ADMITTED = "admitted"
    MISSING = "missing"
    UNKNOWN = "unknown"
    CONFIGURATION_REFRESH_NEEDED = "look_first"
    CONFIGURATION_STALE = "unproven"


class Credential(msgspec.Struct, frozen=True):
    """What a caller shows; ``key`` is empty where nothing readable came."""

    key: str = ""

    @property
    def fingerprint(self) -> str:
        """A short name of the key for logs, from which the key cannot be told."""
        if not self.key:
            return "none"
        return hashlib.blake2s(self.key.encode(), digest_size=_FINGERPRINT_BYTES).hexdigest()


class KeyRing(msgspec.Struct, frozen=True):
    """The keys of one version of the configuration.

    ``owners`` tells whose each key is; ``is_required`` whether callers need a key at all, which
    they do not in a cell without tenants.
    """

    owners: dict[str, TenantName] = {}
    is_required: bool = False

    def tenant_of(self, credential: Credential) -> TenantName | None:
        """Return whose a key is, or ``None`` for one that is not known."""
        return self.owners.get(credential.key)


def check_key(
    credential: Credential,
    ring: KeyRing,
    proof_age_seconds: float,
    trusted_seconds: float,
    was_configuration_refreshed: bool = False,
) -> KeyVerdict:
    """Return what is done with a call.

    Parameters
    ----------
    proof_age_seconds : float
        How long ago the version in force here was last known to be the newest.
    trusted_seconds : float
        For how long a version is gone by without such proof.
    was_configuration_refreshed : bool
        Whether the newest version was read after the call came.
    """
    if not credential.key:
        return KeyVerdict.MISSING
    if ring.tenant_of(credential) is not None:
        is_trusted = was_configuration_refreshed or proof_age_seconds <= trusted_seconds
        return KeyVerdict.ADMITTED if is_trusted else KeyVerdict.CONFIGURATION_REFRESH_NEEDED
    return (
        KeyVerdict.UNKNOWN
        if was_configuration_refreshed
        else KeyVerdict.CONFIGURATION_REFRESH_NEEDED
    )


def may_access_job(owner: TenantName, caller: TenantName) -> bool:
    """Return whether a caller may see and cancel a job.

    A job without an owner was handed in where no key was asked for, or before there were
    tenants; a caller without one calls where none is asked for.
    """
    return not owner or not caller or owner == caller
