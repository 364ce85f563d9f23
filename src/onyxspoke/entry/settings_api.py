"""HTTP resources of the settings tree."""

from __future__ import annotations

import msgspec
from twisted.web.server import Request

from onyxspoke.core.codes import OnyxspokeError, ResultCode, http_status
from onyxspoke.core.log_records import SettingChange, SettingsApply
from onyxspoke.core.schema import EntryId, Offset
from onyxspoke.core.settings_tree import SettingScalar, SettingsVerdict, find_schema_violation
from onyxspoke.entry.shell import EntryShell
from onyxspoke.histograms import make_histogram, percentile_ms, record_seconds
from onyxspoke.net.http import CodedResource, read_json, read_query, write_error, write_json
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings


class SettingBody(msgspec.Struct):
    """One setting of the tree."""

    path: str
    key: str
    value: SettingScalar | None
    revision: Offset
    operator: str = ""
    level: str = ""


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """One item of a settings change; without a revision the present one is taken."""

    path: str
    key: str
    value: SettingScalar | None
    expected_revision: Offset | None = None


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of an atomic settings change."""

    change_id: str
    operator: str
    changes: list[ChangeBody]
    dry_run: bool = False


class VerdictBody(msgspec.Struct, omit_defaults=True):
    """The fold's decision on a settings change."""

    accepted: bool
    code: int
    code_name: str
    revision: Offset
    message: str = ""
    winner: SettingBody | None = None


class ReachBody(msgspec.Struct):
    """What a change would do to one class of work in one zone."""

    zone: str
    workload: str
    key: str
    before: SettingScalar | None
    after: SettingScalar | None


class EntryRevisionBody(msgspec.Struct):
    """The revision that one entry has folded, as this entry knows it."""

    entry_id: EntryId
    revision: Offset
    lags: bool


class SettingsStatusBody(msgspec.Struct):
    """How far changes are in force; times from accepted to in force everywhere."""

    revision: Offset
    entries: list[EntryRevisionBody]
    changes: int
    in_force_p50_ms: float
    in_force_p99_ms: float
    in_force_max_ms: float


_apply_decoder = msgspec.json.Decoder(ApplyBody)


class SettingsResource(CodedResource):
    """``/v1/settings``: the settings tree, its history and its spread."""

    def __init__(self, shell: EntryShell, settings: CellSettings, clock: Clock) -> None:
        super().__init__()
        self._shell = shell
        self._settings = settings
        self.putChild(b"history", HistoryResource(shell))
        self.putChild(b"status", SettingsStatusResource(shell, clock))

    def handle_get(self, request: Request) -> None:
        """List what is set; with ``?path=…&key=…`` resolve one setting."""
        tree = self._shell.scheduler.context.settings
        key = read_query(request, "key", "")
        if not key:
            bodies = [
                SettingBody(path, name, value.value, value.revision, value.operator)
                for path, name, value in tree.items()
            ]
            write_json(request, bodies)
            return
        path = read_query(request, "path", "")
        resolved = tree.resolve(path, key)
        revision = tree.revision_of(path, key)
        body = SettingBody(path, key, None, revision)
        if resolved is not None:
            body = SettingBody(
                path, key, resolved.value, revision, resolved.operator, resolved.level
            )
        write_json(request, body)

    def handle_post(self, request: Request) -> None:
        """Apply a change; answered once the fold has decided."""
        body: ApplyBody = read_json(request, _apply_decoder)
        apply = self._to_apply(body)
        if body.dry_run:
            write_json(request, find_reach(self._shell, self._settings, apply))
            return
        exchange = _ChangeExchange(request)
        self._shell.change_settings(apply, exchange.write_verdict, exchange.write_refusal)

    def _to_apply(self, body: ApplyBody) -> SettingsApply:
        tree = self._shell.scheduler.context.settings
        changes = []
        for item in body.changes:
            expected = item.expected_revision
            if expected is None:
                expected = tree.revision_of(item.path, item.key)
            change = SettingChange(item.path, item.key, item.value, expected)
            fault = find_schema_violation(change)
            if fault:
                raise OnyxspokeError(ResultCode.SETTING_INVALID, fault)
            changes.append(change)
        return SettingsApply(body.change_id, body.operator, changes)


class HistoryResource(CodedResource):
    """``GET /v1/settings/history``: accepted changes, the latest last."""

    isLeaf = True

    def __init__(self, shell: EntryShell) -> None:
        super().__init__()
        self._shell = shell

    def handle_get(self, request: Request) -> None:
        """List changes; ``?path=…&key=…`` narrows the list."""
        path, key = read_query(request, "path", "*"), read_query(request, "key", "*")
        items = [
            item
            for item in self._shell.scheduler.context.settings.history
            if path in ("*", item.path) and key in ("*", item.key)
        ]
        write_json(request, items)


class SettingsStatusResource(CodedResource):
    """``GET /v1/settings/status``: which entries have folded what."""

    isLeaf = True

    def __init__(self, shell: EntryShell, clock: Clock) -> None:
        super().__init__()
        self._shell = shell
        self._clock = clock
        self._in_force = make_histogram()
        shell.on_settings_in_force = self._record

    def handle_get(self, request: Request) -> None:
        """Describe the spread."""
        scheduler = self._shell.scheduler
        watch, revision = scheduler.settings_propagation, scheduler.context.settings.revision
        lagging = set(watch.lagging_peers(self._clock.now()))
        entries = [EntryRevisionBody(self._shell.entry_id, revision, lags=False)]
        entries += [
            EntryRevisionBody(peer_id, peer_revision, peer_id in lagging)
            for peer_id, peer_revision in sorted(watch.peer_revisions.items())
        ]
        body = SettingsStatusBody(
            revision=revision,
            entries=entries,
            changes=int(self._in_force.get_total_count()),
            in_force_p50_ms=percentile_ms(self._in_force, 50),
            in_force_p99_ms=percentile_ms(self._in_force, 99),
            in_force_max_ms=percentile_ms(self._in_force, 100),
        )
        write_json(request, body)

    def _record(self, seconds: float) -> None:
        record_seconds(self._in_force, seconds)


def find_reach(shell: EntryShell, settings: CellSettings, apply: SettingsApply) -> list[ReachBody]:
    """Return the classes of work, by zone, whose value in force a change would alter."""
    tree = shell.scheduler.context.settings
    reached = []
    for zone_name, zone in settings.zones.items():
        for service, name in settings.catalog():
            path = f"{zone.region}/{zone_name}/{service}/{name}"
            for key in sorted({change.key for change in apply.changes}):
                before, after = tree.resolve(path, key), tree.preview(path, key, apply.changes)
                value = None if before is None else before.value
                if value != after:
                    reached.append(ReachBody(zone_name, f"{service}/{name}", key, value, after))
    return reached


class _ChangeExchange:
    """One HTTP request that waits for the decision on a change."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._gone = False
        request.notifyFinish().addErrback(lambda _failure: self._handle_gone())

    def write_verdict(self, verdict: SettingsVerdict) -> None:
        """Write the fold's decision."""
        code = ResultCode.OK if verdict.accepted else ResultCode.SETTING_CONFLICT
        winner = None
        if verdict.conflict is not None and verdict.winner is not None:
            lost, won = verdict.conflict, verdict.winner
            winner = SettingBody(lost.path, lost.key, won.value, won.revision, won.operator)
        body = VerdictBody(verdict.accepted, int(code), code.name, verdict.revision, winner=winner)
        if not self._gone:
            write_json(self._request, body, http_status(code))

    def write_refusal(self, code: ResultCode) -> None:
        """Write that the log did not take the change in time."""
        if not self._gone:
            write_error(self._request, OnyxspokeError(code))

    def _handle_gone(self) -> None:
        self._gone = True
