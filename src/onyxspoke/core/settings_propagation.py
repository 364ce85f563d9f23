"""How long an accepted change takes until it is in force at every entry."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.actions import SettingsInForce, SettingsRefused
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import LogStream, SettingsApply
from onyxspoke.core.schema import EntryId, Offset


@dataclass(slots=True)
class AwaitedRevision:
    """An own accepted change, and the entries that have not yet said that they folded it."""

    revision: Offset
    accepted_at: float
    missing: set[EntryId]


@dataclass(frozen=True, slots=True)
class PendingChange:
    """An own change that was not read back yet."""

    apply: SettingsApply
    give_up_at: float


class PendingChanges:
    """Own changes on their way to the log; given up when the log does not take them."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._pending: dict[str, PendingChange] = {}

    def submit(self, apply: SettingsApply, now: float) -> None:
        """Send a change to the log."""
        give_up_at = now + self._context.options.settings_patience_seconds
        self._pending[apply.change_id] = PendingChange(apply, give_up_at)
        self._context.append_queues[LogStream.SETTINGS].add(apply)

    def handle_read(self, change_id: str) -> None:
        """Note that a change was read back and decided."""
        self._pending.pop(change_id, None)

    def keep(self, now: float) -> None:
        """Give up changes whose time has passed."""
        appends = self._context.append_queues[LogStream.SETTINGS]
        for change_id, pending in list(self._pending.items()):
            if now < pending.give_up_at:
                continue
            del self._pending[change_id]
            # One that was sent may still be accepted: only the log can tell.
            withdrawn = appends.withdraw(pending.apply)
            code = ResultCode.LOG_UNAVAILABLE if withdrawn else ResultCode.LOG_ANSWER_LOST
            self._context.emit(SettingsRefused(change_id, code))


class SettingsPropagation:
    """Waits for the peers' word on accepted changes.

    Peers tell their revision with their advertisements; all times are of this entry's own
    clock, so clocks that differ between machines do not show as lag.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._awaited: list[AwaitedRevision] = []
        self.peer_revisions: dict[EntryId, Offset] = {}

    def handle_accepted(self, revision: Offset, now: float) -> None:
        """Begin to wait for a change that was accepted now."""
        missing = {
            peer_id
            for peer_id in self._live_peers(now)
            if self.peer_revisions.get(peer_id, 0) < revision
        }
        self._awaited.append(AwaitedRevision(revision, now, missing))
        self._report(now)

    def handle_peer_revision(self, peer_id: EntryId, revision: Offset, now: float) -> None:
        """Take a peer's word for the revision that it has folded."""
        self.peer_revisions[peer_id] = max(revision, self.peer_revisions.get(peer_id, 0))
        for awaited in self._awaited:
            if awaited.revision <= revision:
                awaited.missing.discard(peer_id)
        self._report(now)

    def keep(self, now: float) -> None:
        """Stop to wait for entries that are gone."""
        if not self._awaited:
            return
        live = set(self._live_peers(now))
        for awaited in self._awaited:
            awaited.missing &= live
        self._report(now)

    def lagging_peers(self, now: float) -> list[EntryId]:
        """Return the live peers that have not folded this entry's revision."""
        revision = self._context.settings.revision
        return [
            peer_id
            for peer_id in self._live_peers(now)
            if self.peer_revisions.get(peer_id, 0) < revision
        ]

    def _live_peers(self, now: float) -> list[EntryId]:
        member_timeout_seconds = self._context.options.lease.member_timeout_seconds
        live = self._context.cell.all_live_members(now, member_timeout_seconds)
        own_id = self._context.identity.entry_id
        return sorted(entry_id for entry_id in live if entry_id != own_id)

    def _report(self, now: float) -> None:
        for awaited in self._awaited:
            if not awaited.missing:
                seconds = now - awaited.accepted_at
                self._context.emit(SettingsInForce(awaited.revision, seconds))
        self._awaited = [awaited for awaited in self._awaited if awaited.missing]
