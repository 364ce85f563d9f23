"""Decides which workers this entry claims and which ones it releases.

Rendezvous hashing assigns each worker to one of the live entries of the worker's zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from onyxspoke.core.cell_state import CellState
from onyxspoke.core.log_records import ClaimItem
from onyxspoke.core.rendezvous import choose_by_rendezvous_hash
from onyxspoke.core.schema import EntryId, EntryIdentity, MachineRecord, WorkerId, WorkerListing


class LeaseOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of entry leases, in seconds.

    A holder's lease ends ``lease_seconds`` after the holder *created* its last renewal.
    A claimant waits for ``lease_seconds + margin_seconds`` after it *read* that renewal.  A
    renewal is read only after it was created, so the claimant waits longer than the lease lasts.
    The margin covers the difference in rate between two monotonic clocks.
    """

    lease_seconds: float = 5.0
    margin_seconds: float = 1.0
    settle_seconds: float = 1.0
    member_retention_seconds: float = 600.0

    @property
    def member_timeout_seconds(self) -> float:
        """Time without a new batch after which a member counts as failed."""
        return self.lease_seconds + self.margin_seconds


class OwnershipPlan(msgspec.Struct, frozen=True):
    """The claims and releases that this entry should append to the log."""

    claims: list[ClaimItem]
    releases: list[WorkerId]


class PreferenceCache:
    """Caches the live entry that hashing prefers for each worker, until the entries change."""

    def __init__(self) -> None:
        self._live_entry_ids: list[EntryId] = []
        self._preferred: dict[WorkerId, EntryId | None] = {}

    def choose_by_rendezvous_hash(
        self, worker_id: WorkerId, live_entry_ids: list[EntryId]
    ) -> EntryId | None:
        """Return the live entry that rendezvous hashing prefers for a worker."""
        if live_entry_ids != self._live_entry_ids:
            self._live_entry_ids = list(live_entry_ids)
            self._preferred.clear()
        if worker_id not in self._preferred:
            self._preferred[worker_id] = choose_by_rendezvous_hash(worker_id, live_entry_ids)
        return self._preferred[worker_id]


def plan_ownership(
    identity: EntryIdentity,
    cell: CellState,
    machines: Iterable[MachineRecord],
    now: float,
    options: LeaseOptions,
    cache: PreferenceCache,
    holdover_promised_until: Mapping[EntryId, float],
) -> OwnershipPlan:
    """Compare the ownership that hashing assigns with the ownership in the log.

    Parameters
    ----------
    identity : EntryIdentity
        The entry that plans.
    cell : CellState
        State of the cell, rebuilt from the log.
    machines : iterable of MachineRecord
        The machine list; machines of other zones are ignored.
    now : float
        Time on this entry's monotonic clock, in seconds.
    options : LeaseOptions
        Durations of leases.
    cache : PreferenceCache
        Keeps the preferred entries from one plan to the next.
    holdover_promised_until : mapping
        Time, for each holder, until which this entry promised not to claim the holder's workers.
    """
    live_entry_ids = cell.live_members(identity.zone, now, options.member_timeout_seconds)
    claims: list[ClaimItem] = []
    releases: list[WorkerId] = []
    if identity.entry_id not in live_entry_ids:
        return OwnershipPlan(claims, releases)
    for machine in machines:
        if machine.zone != identity.zone:
            continue
        should_own = (
            cache.choose_by_rendezvous_hash(machine.worker_id, live_entry_ids) == identity.entry_id
        )
        owns_worker = cell.ownership_of(machine.worker_id).holder == identity.entry_id
        if owns_worker and not should_own:
            releases.append(machine.worker_id)
        elif should_own and not owns_worker and machine.listing is WorkerListing.LIVE:
            holder = cell.ownership_of(machine.worker_id).holder
            if now < holdover_promised_until.get(holder, now):
                continue
            claim = _make_claim_if_expired(cell, machine.worker_id, now, options)
            if claim is not None:
                claims.append(claim)
    return OwnershipPlan(claims, releases)


def _make_claim_if_expired(
    cell: CellState, worker_id: WorkerId, now: float, options: LeaseOptions
) -> ClaimItem | None:
    ownership = cell.ownership_of(worker_id)
    holder = cell.members.get(ownership.holder)
    if holder is None:
        return ClaimItem(worker_id, ownership.epoch, 0)
    if now - holder.last_seen_at <= options.member_timeout_seconds:
        return None
    return ClaimItem(worker_id, ownership.epoch, holder.last_offset)
