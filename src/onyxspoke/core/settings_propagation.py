"""Tracks settings changes until they are decided and, if accepted, all live entries apply them."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.actions import SettingsInForce, SettingsRefused
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import LogStream, SettingsApply
from onyxspoke.core.schema import EntryId, Offset


@dataclass(slots=True)
class AwaitedRevision:
    """An accepted change of this entry, and the peers that have not yet applied the change."""

    revision: Offset
    accepted_at: float
    missing_peers: set[EntryId]


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change of this entry that has not been read back from the log."""

    apply: SettingsApply
    expires_at: float


class PendingChanges:
    """Changes of this entry that are not decided yet; each change expires after a timeout."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._pending: dict[str, PendingChange] = {}

    def submit(self, apply: SettingsApply, now: float) -> None:
        """Append a change to the log, and wait for the verdict until the timeout."""
        expires_at = now + self._context.options.settings_change_timeout_seconds
        self._pending[apply.change_id] = PendingChange(apply, expires_at)
        self._context.append_queues[LogStream.SETTINGS].add(apply)

    def handle_read(self, change_id: str) -> None:
        """Handle a change that was read back from the log and is therefore decided."""
        self._pending.pop(change_id, None)

    @property
    def is_pending(self) -> bool:
        """Whether an operator waits for a verdict."""
        return bool(self._pending)

    def tick(self, now: float, is_last: bool = False) -> None:
        """Report the changes whose timeout has passed as refused, or all as the entry ends."""
        appends = self._context.append_queues[LogStream.SETTINGS]
        for change_id, pending in list(self._pending.items()):
            if not is_last and now < pending.expires_at:
                continue
            del self._pending[change_id]
            # A change that was already sent may still be accepted, so its outcome is unknown.
            withdrawn = appends.withdraw(pending.apply)
            code = ResultCode.LOG_UNAVAILABLE if withdrawn else ResultCode.LOG_ANSWER_LOST
            self._context.emit(SettingsRefused(change_id, code))


class SettingsPropagation:
    """Tracks which live peers have applied the changes that this entry submitted.

    Peers report their settings revision in their advertisements.  All times are read from
    this entry's own clock, so clock skew between machines does not count as lag.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._awaited_revisions: list[AwaitedRevision] = []
        self.peer_revisions: dict[EntryId, Offset] = {}

    def handle_accepted(self, revision: Offset, now: float) -> None:
        """Start to track a change that was accepted now."""
        missing_peers = {
            peer_id
            for peer_id in self._live_peers(now)
            if self.peer_revisions.get(peer_id, 0) < revision
        }
        self._awaited_revisions.append(AwaitedRevision(revision, now, missing_peers))
        self._report_propagated(now)

    def handle_peer_revision(self, peer_id: EntryId, revision: Offset, now: float) -> None:
        """Handle the settings revision that a peer reports as applied."""
        self.peer_revisions[peer_id] = max(revision, self.peer_revisions.get(peer_id, 0))
        for awaited in self._awaited_revisions:
            if awaited.revision <= revision:
                awaited.missing_peers.discard(peer_id)
        self._report_propagated(now)

    def tick(self, now: float) -> None:
        """Stop tracking the peers that are no longer live."""
        if not self._awaited_revisions:
            return
        live_ids = set(self._live_peers(now))
        for awaited in self._awaited_revisions:
            awaited.missing_peers &= live_ids
        self._report_propagated(now)

    def lagging_peers(self, now: float) -> list[EntryId]:
        """Return the live peers that have not applied this entry's settings revision."""
        revision = self._context.settings.revision
        return [
            peer_id
            for peer_id in self._live_peers(now)
            if self.peer_revisions.get(peer_id, 0) < revision
        ]

    def _live_peers(self, now: float) -> list[EntryId]:
        member_timeout_seconds = self._context.options.lease.member_timeout_seconds
        live_ids = self._context.cell.all_live_members(now, member_timeout_seconds)
        own_id = self._context.identity.entry_id
        return sorted(entry_id for entry_id in live_ids if entry_id != own_id)

    def _report_propagated(self, now: float) -> None:
        for awaited in self._awaited_revisions:
            if not awaited.missing_peers:
                seconds = now - awaited.accepted_at
                self._context.emit(SettingsInForce(awaited.revision, seconds))
        self._awaited_revisions = [
            awaited for awaited in self._awaited_revisions if awaited.missing_peers
        ]
