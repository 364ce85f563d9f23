"""Keys of the load settings file: meaning, bounds and documentation."""

from __future__ import annotations

import msgspec

from onyxspoke.core.shard.load_options import LoadOptions


class LoadOptionDefinition(msgspec.Struct, frozen=True, kw_only=True):
    """Definition of one key; ``minimum`` and ``maximum`` are the bounds of a numeric value."""

    description: str
    unit: str = ""
    minimum: float = 0.0
    maximum: float = 0.0


#: Every field of :class:`LoadOptions`.
LOAD_OPTION_DEFINITIONS: dict[str, LoadOptionDefinition] = {
    "admission": LoadOptionDefinition(
        description="Refuse jobs that cannot finish in time, at once and with a retry time."
    ),
    "advice_shares": LoadOptionDefinition(
        description="Share the advice queue fairly between tenants and queues."
    ),
    "learned_estimates": LoadOptionDefinition(
        description="Correct callers' estimates by durations seen for queues, tenants and workers."
    ),
    "unlike_workers": LoadOptionDefinition(
        description="Place steps that are short of time on fast workers, others on slow ones."
    ),
    "summary_trust_seconds": LoadOptionDefinition(
        description=(
            "For how long an entry that reaches no holder refuses jobs by the last holder's "
            "summary; 0: never."
        ),
        unit="s",
        minimum=0.0,
        maximum=30.0,
    ),
}
_TYPE_NAMES = {bool: "boolean", float: "number"}
_OPTION_FIELDS = {field.name: field for field in msgspec.structs.fields(LoadOptions)}


def override_load_options(document: object, options: LoadOptions) -> tuple[LoadOptions, list[str]]:
    """Return the options with the values of a decoded file, and a message for each invalid key.

    The returned options must not be used if there are such messages.
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
    """Return a message for an invalid key or value, or an empty string if both are valid."""
    if not isinstance(key, str) or key not in LOAD_OPTION_DEFINITIONS:
        return f"no such key, expected one of {', '.join(LOAD_OPTION_DEFINITIONS)}"
    value_type = _OPTION_FIELDS[key].type
    try:
        number = msgspec.convert(value, value_type)
    except msgspec.ValidationError:
        return f"expected a {_TYPE_NAMES[value_type]}"
    bounds = LOAD_OPTION_DEFINITIONS[key]
    if value_type is float and not bounds.minimum <= number <= bounds.maximum:
        return f"expected {bounds.minimum:g} to {bounds.maximum:g}"
    return ""


def render_load_page() -> str:
    """Return the section of the settings page that documents every key."""
    rows = []
    for name, key in LOAD_OPTION_DEFINITIONS.items():
        value_type = _OPTION_FIELDS[name].type
        allowed = f"{key.minimum:g} to {key.maximum:g}" if value_type is float else "-"
        default = msgspec.json.encode(_OPTION_FIELDS[name].default).decode()
        rows.append(
            f"| `{name}` | {_TYPE_NAMES[value_type]} | {allowed} | {key.unit or '-'} | `{default}` "
            f"| {key.description} |"
        )
    page_head = (
        "\n## What a node does under load\n\nKeys of the file that `onyxspoke-node "
        "--load-settings FILE` reads (example: `deploy/load.yaml`). A key\nthat is absent keeps "
        "its default; `admission` is on by default where the deployment's settings say that\n"
        "callers compete for capacity.\n\n"
        "| key | type | allowed | unit | default | meaning |\n|---|---|---|---|---|---|\n"
    )
    return page_head + "\n".join(rows) + "\n"
