"""Which workers this entry should claim or release: wanted compared with seen.

Candidates are the live entries of the worker's own zone, by rendezvous hashing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from onyxspoke.core.cell_state import CellState
from onyxspoke.core.log_records import ClaimItem
from onyxspoke.core.rendezvous import preferred
from onyxspoke.core.schema import EntryId, EntryIdentity, MachineRecord, WorkerId, WorkerListing


class LeaseOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Times of entry leases, in seconds.

    A holder stops at ``lease_seconds`` after it *created* its last renewal; a claimant
    waits ``lease_seconds + margin_seconds`` after it *read* that renewal, which is later.
    The margin covers the difference in rate of two monotonic clocks.
    """

    lease_seconds: float = 5.0
    margin_seconds: float = 1.0
    settle_seconds: float = 1.0
    member_retention_seconds: float = 600.0

    @property
    def member_timeout_seconds(self) -> float:
        """Silence after which a member counts as gone."""
        return self.lease_seconds + self.margin_seconds


class OwnershipPlan(msgspec.Struct, frozen=True):
    """What to append to bring ownership to where it should be."""

    claims: list[ClaimItem]
    releases: list[WorkerId]


class PreferenceCache:
    """Which live entry each worker prefers, computed anew only when either changes."""

    def __init__(self) -> None:
        self._live: list[EntryId] = []
        self._preferred: dict[WorkerId, EntryId | None] = {}

    def preferred(self, worker_id: WorkerId, live: list[EntryId]) -> EntryId | None:
        """Return the entry that a worker prefers among the live ones."""
        if live != self._live:
            self._live = list(live)
            self._preferred.clear()
        if worker_id not in self._preferred:
            self._preferred[worker_id] = preferred(worker_id, live)
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
    """Compare wanted ownership with the folded one.

    Parameters
    ----------
    identity : EntryIdentity
        The entry that plans.
    cell : CellState
        What the log says.
    machines : iterable of MachineRecord
        The machine list; only machines of the entry's zone count.
    now : float
        This entry's monotonic clock.
    options : LeaseOptions
        Lease times.
    cache : PreferenceCache
        Remembers preferences from one plan to the next.
    holdover_promised_until : mapping
        Until when this entry promised holders not to claim their workers.
    """
    live = cell.live_members(identity.zone, now, options.member_timeout_seconds)
    claims: list[ClaimItem] = []
    releases: list[WorkerId] = []
    if identity.entry_id not in live:
        return OwnershipPlan(claims, releases)
    for machine in machines:
        if machine.zone != identity.zone:
            continue
        wanted_here = cache.preferred(machine.worker_id, live) == identity.entry_id
        held_here = cell.ownership_of(machine.worker_id).holder == identity.entry_id
        if held_here and not wanted_here:
            releases.append(machine.worker_id)
        elif wanted_here and not held_here and machine.listing is WorkerListing.LIVE:
            holder = cell.ownership_of(machine.worker_id).holder
            if now < holdover_promised_until.get(holder, now):
                continue
            claim = _claim_if_free(cell, machine.worker_id, now, options)
            if claim is not None:
                claims.append(claim)
    return OwnershipPlan(claims, releases)


def _claim_if_free(
    cell: CellState, worker_id: WorkerId, now: float, options: LeaseOptions
) -> ClaimItem | None:
    holding = cell.ownership_of(worker_id)
    holder = cell.members.get(holding.holder)
    if holder is None:
        return ClaimItem(worker_id, holding.epoch, 0)
    if now - holder.last_seen_at <= options.member_timeout_seconds:
        return None
    return ClaimItem(worker_id, holding.epoch, holder.last_offset)
