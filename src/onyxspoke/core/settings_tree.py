"""The settings tree, rebuilt from the log; the order of the log decides between conflicts."""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import Enum

import msgspec

from onyxspoke.core.log_records import SettingChange, SettingsApply
from onyxspoke.core.schema import Offset
from onyxspoke.core.snapshot import SettingsSnapshot, SettingState, VerdictState

SettingScalar = bool | int | float | str
_MAXIMUM_REMEMBERED_VERDICTS = 5_000
_MAXIMUM_HISTORY_ITEMS = 5_000


class SettingKind(Enum):
    """Type of a setting's value."""

    BOOLEAN = "boolean"
    INTEGER = "integer"
    NUMBER = "number"
    CHOICE = "choice"


class SettingDefinition(msgspec.Struct, frozen=True, kw_only=True):
    """Schema of one settings key: type, bounds, unit and description."""

    key: str
    kind: SettingKind
    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


SETTING_DEFINITIONS: dict[str, SettingDefinition] = {
    definition.key: definition
    for definition in (
        SettingDefinition(
            key="placement.policy",
            kind=SettingKind.CHOICE,
            choices=("spread", "pack"),
            description="How tasks are laid on workers.",
        ),
        SettingDefinition(
            key="task.patience_seconds",
            kind=SettingKind.NUMBER,
            unit="s",
            minimum=0.01,
            maximum=604_800,
            description="How long a task may wait when its caller names no deadline.",
        ),
        SettingDefinition(
            key="task.priority",
            kind=SettingKind.INTEGER,
            minimum=0,
            maximum=2,
            description="Order of waiting work: 0 urgent, 1 normal, 2 patient.",
        ),
        SettingDefinition(
            key="service.admitted",
            kind=SettingKind.BOOLEAN,
            description="Whether new work of the service is taken.",
        ),
    )
}


class SettingValue(msgspec.Struct, frozen=True):
    """A value in the tree, with the revision and the operator that set it."""

    value: SettingScalar | None
    revision: Offset
    operator: str


class SettingsVerdict(msgspec.Struct, frozen=True):
    """The decision on one settings change.

    ``conflict`` is the item for which the change was rejected, and ``winner`` is the current
    value of that item's key.
    """

    accepted: bool
    revision: Offset
    conflict: SettingChange | None = None
    winner: SettingValue | None = None


class ResolvedSetting(msgspec.Struct, frozen=True):
    """The value in force at a path, and the level of the tree at which the value is set."""

    value: SettingScalar
    level: str
    revision: Offset
    operator: str


class HistoryItem(msgspec.Struct, frozen=True):
    """One accepted change of one key."""

    revision: Offset
    change_id: str
    operator: str
    path: str
    key: str
    before: SettingScalar | None
    after: SettingScalar | None


def path_levels(path: str) -> list[str]:
    """Return the path and all of its ancestors up to the root, which is ``""``."""
    levels = [path] if path else []
    while "/" in path:
        path = path.rsplit("/", 1)[0]
        levels.append(path)
    return [*levels, ""]


def find_schema_violation(change: SettingChange) -> str:
    """Return how a change violates the schema, or an empty string if the change is valid."""
    definition = SETTING_DEFINITIONS.get(change.key)
    if definition is None:
        return f"{change.key}: no such setting"
    if change.value is None:
        return ""
    return _find_value_violation(definition, change.value)


def _find_value_violation(definition: SettingDefinition, value: SettingScalar) -> str:
    if definition.kind is SettingKind.BOOLEAN:
        return "" if isinstance(value, bool) else f"{definition.key}: expected true or false"
    if definition.kind is SettingKind.CHOICE:
        allowed = ", ".join(definition.choices)
        return "" if value in definition.choices else f"{definition.key}: expected one of {allowed}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return f"{definition.key}: expected a number"
    if definition.kind is SettingKind.INTEGER and not isinstance(value, int):
        return f"{definition.key}: expected a whole number"
    is_below_minimum = definition.minimum is not None and value < definition.minimum
    is_above_maximum = definition.maximum is not None and value > definition.maximum
    if is_below_minimum or is_above_maximum:
        bounds = f"{definition.minimum} to {definition.maximum} {definition.unit}".strip()
        return f"{definition.key}: expected {bounds}"
    return ""


def _to_state(path: str, key: str, value: SettingValue) -> SettingState:
    return SettingState(path, key, value.value, value.revision, value.operator)


def _to_value(state: SettingState) -> SettingValue:
    return SettingValue(state.value, state.revision, state.operator)


class SettingsTree:
    """State that results from applying the records of the settings stream in order."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], SettingValue] = {}
        self._verdicts: OrderedDict[str, SettingsVerdict] = OrderedDict()
        #: Changes accepted after this reader started or after the snapshot that it loaded.
        self.history: deque[HistoryItem] = deque(maxlen=_MAXIMUM_HISTORY_ITEMS)
        self.revision: Offset = 0

    def apply(self, offset: Offset, apply: SettingsApply) -> None:
        """Decide on one change and apply it if accepted; a repeated change keeps its verdict."""
        if apply.change_id in self._verdicts:
            return
        verdict = self._decide(offset, apply)
        if verdict.accepted:
            for change in apply.changes:
                self._set_value(offset, apply, change)
        self.revision = offset
        self._verdicts[apply.change_id] = verdict
        if len(self._verdicts) > _MAXIMUM_REMEMBERED_VERDICTS:
            self._verdicts.popitem(last=False)

    def to_snapshot(self) -> SettingsSnapshot:
        """Return the state as a snapshot, including markers of unset values."""
        values = [
            _to_state(path, key, value) for (path, key), value in sorted(self._values.items())
        ]
        verdicts = [
            VerdictState(
                change_id,
                verdict.accepted,
                verdict.revision,
                verdict.conflict,
                None if verdict.winner is None else _to_state("", "", verdict.winner),
            )
            for change_id, verdict in self._verdicts.items()
        ]
        return SettingsSnapshot(self.revision, values, verdicts)

    def load_snapshot(self, snapshot: SettingsSnapshot) -> None:
        """Replace the state by a snapshot."""
        self.revision = snapshot.revision
        self._values = {(state.path, state.key): _to_value(state) for state in snapshot.values}
        for state in snapshot.verdicts:
            winner = None if state.winner is None else _to_value(state.winner)
            self._verdicts[state.change_id] = SettingsVerdict(
                state.accepted, state.revision, state.conflict, winner
            )

    def _set_value(self, offset: Offset, apply: SettingsApply, change: SettingChange) -> None:
        before = self._values.get((change.path, change.key))
        value = SettingValue(change.value, offset, apply.operator)
        self._values[(change.path, change.key)] = value
        self.history.append(
            HistoryItem(
                offset,
                apply.change_id,
                apply.operator,
                change.path,
                change.key,
                None if before is None else before.value,
                change.value,
            )
        )

    def verdict(self, change_id: str) -> SettingsVerdict | None:
        """Return the verdict on a change, or ``None`` if the change is not decided."""
        return self._verdicts.get(change_id)

    def value_at(self, path: str, key: str) -> SettingValue | None:
        """Return the value or unset marker of a key at exactly this level."""
        return self._values.get((path, key))

    def revision_of(self, path: str, key: str) -> Offset:
        """Return the revision of the last change of a key at this level; 0 if there is none."""
        value = self._values.get((path, key))
        return 0 if value is None else value.revision

    def resolve(self, path: str, key: str) -> ResolvedSetting | None:
        """Return the value in force at a path: the value at the nearest level that sets the key."""
        for level in path_levels(path):
            value = self._values.get((level, key))
            if value is not None and value.value is not None:
                return ResolvedSetting(value.value, level, value.revision, value.operator)
        return None

    def preview(self, path: str, key: str, changes: list[SettingChange]) -> SettingScalar | None:
        """Return the value that would be in force at a path after the given changes."""
        changed = {change.path: change.value for change in changes if change.key == key}
        for level in path_levels(path):
            if level in changed:
                value = changed[level]
            else:
                current = self._values.get((level, key))
                value = None if current is None else current.value
            if value is not None:
                return value
        return None

    def items(self) -> list[tuple[str, str, SettingValue]]:
        """Return all set values as (path, key, value), sorted."""
        return [
            (path, key, value)
            for (path, key), value in sorted(self._values.items())
            if value.value is not None
        ]

    def _decide(self, offset: Offset, apply: SettingsApply) -> SettingsVerdict:
        for change in apply.changes:
            if self.revision_of(change.path, change.key) != change.expected_revision:
                winner = self._values.get((change.path, change.key))
                return SettingsVerdict(False, offset, change, winner)
            if find_schema_violation(change):
                return SettingsVerdict(False, offset, change)
        return SettingsVerdict(True, offset)


def render_settings_page() -> str:
    """Return the Markdown page that documents every key of the schema."""
    rows = []
    for definition in SETTING_DEFINITIONS.values():
        allowed = ", ".join(f"`{choice}`" for choice in definition.choices)
        if definition.minimum is not None or definition.maximum is not None:
            allowed = f"{definition.minimum:g} to {definition.maximum:g}"
        rows.append(
            f"| `{definition.key}` | {definition.kind.value} | {allowed or '-'} "
            f"| {definition.unit or '-'} | {definition.description} |"
        )
    page_header = (
        "# Settings\n\nKeys of the settings tree, written from the schema by "
        "`scripts/make_codes_page.py`. A key\nmay be set at any level: the root, a region, a "
        "zone, a service in a zone, a class of work.\n\n"
        "| key | type | allowed | unit | meaning |\n|---|---|---|---|---|\n"
    )
    return page_header + "\n".join(rows) + "\n"
