"""The keys of a file that overrides what a holder does under load: meaning, bounds, page."""

from __future__ import annotations

import msgspec

from onyxspoke.core.shard.load_options import LoadOptions


class LoadKey(msgspec.Struct, frozen=True, kw_only=True):
    """One key; ``low`` and ``high`` bound a number."""

    description: str
    unit: str = ""
    low: float = 0.0
    high: float = 0.0


#: Every field of :class:`LoadOptions`.
LOAD_KEYS: dict[str, LoadKey] = {
    "admission": LoadKey(
        description="Refuse at once, with when to come back, what can't be done in time."
    ),
    "advice_shares": LoadKey(description="Give tenants and queues shares of the line for advice."),
    "learned_estimates": LoadKey(
        description="Correct callers' estimates by what was seen of queues, tenants and workers."
    ),
    "unlike_workers": LoadKey(
        description="Send steps short of time to fast workers, others to slow ones."
    ),
    "summary_trust_seconds": LoadKey(
        description=(
            "For how long an entry that reaches no holder refuses by what the last one said; "
            "0: never."
        ),
        unit="s",
        low=0.0,
        high=30.0,
    ),
}
_TYPE_NAMES = {bool: "boolean", float: "number"}
_FIELDS = {field.name: field for field in msgspec.structs.fields(LoadOptions)}


def override_load_options(document: object, options: LoadOptions) -> tuple[LoadOptions, list[str]]:
    """Return the options with what a decoded file sets, and a line for each fault.

    Options with faults are not to be used.
    """
    if not isinstance(document, dict):
        return options, [f"(file): expected a table of keys, got {document!r:.80}"]
    faults = []
    values = {}
    for key, value in document.items():
        fault = _find_fault(key, value)
        if fault:
            faults.append(f"{key}: {fault} (got {value!r:.80})")
        else:
            values[key] = value
    return msgspec.structs.replace(options, **values), faults


def _find_fault(key: object, value: object) -> str:
    """Return what is wrong with an entry; an empty text where nothing is."""
    if not isinstance(key, str) or key not in LOAD_KEYS:
        return f"no such key, expected one of {', '.join(LOAD_KEYS)}"
    kind = _FIELDS[key].type
    try:
        number = msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return f"expected a {_TYPE_NAMES[kind]}"
    bounds = LOAD_KEYS[key]
    if kind is float and not bounds.low <= number <= bounds.high:
        return f"expected {bounds.low:g} to {bounds.high:g}"
    return ""


def render_load_page() -> str:
    """Return the part of the settings' page that documents every key."""
    rows = []
    for name, key in LOAD_KEYS.items():
        kind = _FIELDS[name].type
        allowed = f"{key.low:g} to {key.high:g}" if kind is float else "-"
        default = msgspec.json.encode(_FIELDS[name].default).decode()
        rows.append(
            f"| `{name}` | {_TYPE_NAMES[kind]} | {allowed} | {key.unit or '-'} | `{default}` "
            f"| {key.description} |"
        )
    head = (
        "\n## What a node does under load\n\nKeys of the file that `onyxspoke-node "
        "--load-settings FILE` reads (example: `deploy/load.yaml`). A key\nthat is absent keeps "
        "its default; `admission` is on by default where the deployment's settings say that\n"
        "callers compete for room.\n\n"
        "| key | type | allowed | unit | default | meaning |\n|---|---|---|---|---|---|\n"
    )
    return head + "\n".join(rows) + "\n"
