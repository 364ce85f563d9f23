"""``onyxspokectl config``: the settings tree from the command line."""

from __future__ import annotations

import argparse
import getpass
import sys
import urllib.parse
import uuid
from pathlib import Path
from typing import Any

import msgspec
import yaml

from onyxspoke.cli.api_client import ApiClient
from onyxspoke.cli.tables import print_json, print_table
from onyxspoke.core.codes import ExitCode
from onyxspoke.core.settings_tree import SettingScalar
from onyxspoke.entry.settings_api import ApplyBody, ChangeBody

_PATH_HELP = "REGION[/ZONE[/SERVICE[/CLASS]]], or / for the root"
_FILE_HELP = "YAML: a mapping of paths to mappings of keys to values; null unsets"


def add_config_commands(commands: Any) -> None:
    """Add ``config`` and its actions to the commands of ``onyxspokectl``."""
    config = commands.add_parser("config", help="the settings tree")
    actions = config.add_subparsers(metavar="ACTION", required=True)
    _add(actions, "list", _list, "all that is set")
    _add(actions, "status", _status, "which entries have folded what, and how fast")
    _add_key(actions, "get", _get, "the value in force at a path")
    _add_key(actions, "explain", _explain, "value, level, revision and operator")
    _add_key(actions, "unset", _unset, "inherit again").add_argument("--revision", type=int)
    change = _add_key(actions, "set", _set, "set one key")
    change.add_argument("value", help="JSON value, or a bare word")
    change.add_argument("--revision", type=int, help="refuse if it was changed since")
    history = _add(actions, "history", _history, "accepted changes")
    history.add_argument("path", nargs="?", default="*")
    history.add_argument("key", nargs="?", default="*")
    diff = _add(actions, "diff", _diff, "compare a file with the tree")
    diff.add_argument("file", type=Path, help=_FILE_HELP)
    apply = _add(actions, "apply", _apply, "set all keys of a file, or none")
    apply.add_argument("file", type=Path, help=_FILE_HELP)
    apply.add_argument("--dry-run", action="store_true", help="show the work that it reaches")


def _add(actions: Any, name: str, run: Any, text: str) -> argparse.ArgumentParser:
    action: argparse.ArgumentParser = actions.add_parser(name, help=text)
    action.set_defaults(run=run)
    return action


def _add_key(actions: Any, name: str, run: Any, text: str) -> argparse.ArgumentParser:
    action = _add(actions, name, run, text)
    action.add_argument("path", help=_PATH_HELP)
    action.add_argument("key")
    return action


def _list(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    columns = ["path", "key", "value", "revision", "operator"]
    print_table(columns, client.get("/v1/settings"))
    return ExitCode.OK


def _status(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    status = client.get("/v1/settings/status")
    print_table(["entry_id", "revision", "lags"], status["entries"])
    print(
        f"revision {status['revision']}; {status['changes']} changes accepted here, in force"
        f" everywhere after p50 {status['in_force_p50_ms']:.0f} ms,"
        f" p99 {status['in_force_p99_ms']:.0f} ms, max {status['in_force_max_ms']:.0f} ms"
    )
    return ExitCode.OK


def _get(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    value = _resolve(client, arguments.path, arguments.key)["value"]
    print(msgspec.json.encode(value).decode())
    return ExitCode.OK


def _explain(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    print_json(_resolve(client, arguments.path, arguments.key))
    return ExitCode.OK


def _set(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _change_one(client, arguments, _parse_value(arguments.value))


def _unset(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _change_one(client, arguments, None)


def _history(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    query = urllib.parse.urlencode({"path": _clean(arguments.path), "key": arguments.key})
    columns = ["revision", "operator", "path", "key", "before", "after", "change_id"]
    print_table(columns, client.get(f"/v1/settings/history?{query}"))
    return ExitCode.OK


def _diff(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    current = {(item["path"], item["key"]): item["value"] for item in client.get("/v1/settings")}
    rows = [
        {
            "path": change.path,
            "key": change.key,
            "now": current.get((change.path, change.key)),
            "file": change.value,
        }
        for change in _read_changes(arguments.file)
        if current.get((change.path, change.key)) != change.value
    ]
    print_table(["path", "key", "now", "file"], rows)
    return ExitCode.OK


def _apply(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    changes = _read_changes(arguments.file)
    if arguments.dry_run:
        body = _make_body(changes, dry_run=True)
        columns = ["zone", "workload", "key", "before", "after"]
        print_table(columns, client.post("/v1/settings", body))
        return ExitCode.OK
    print_json(client.post("/v1/settings", _make_body(changes)))
    return ExitCode.OK


def _change_one(
    client: ApiClient, arguments: argparse.Namespace, value: SettingScalar | None
) -> ExitCode:
    change = ChangeBody(_clean(arguments.path), arguments.key, value, arguments.revision)
    print_json(client.post("/v1/settings", _make_body([change])))
    return ExitCode.OK


def _make_body(changes: list[ChangeBody], *, dry_run: bool = False) -> ApplyBody:
    return ApplyBody(str(uuid.uuid4()), getpass.getuser(), changes, dry_run)


def _read_changes(path: Path) -> list[ChangeBody]:
    """Return the changes that a file asks for, or exit with ``SETTINGS_INVALID``."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        values = msgspec.convert(document, dict[str, dict[str, SettingScalar | None]])
    except (OSError, UnicodeDecodeError, yaml.YAMLError, msgspec.ValidationError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(ExitCode.SETTINGS_INVALID)
    return [
        ChangeBody(_clean(level), key, value)
        for level, keys in values.items()
        for key, value in keys.items()
    ]


def _resolve(client: ApiClient, path: str, key: str) -> Any:
    query = urllib.parse.urlencode({"path": _clean(path), "key": key})
    return client.get(f"/v1/settings?{query}")


def _clean(path: str) -> str:
    return path.strip("/")


def _parse_value(text: str) -> SettingScalar:
    try:
        value: SettingScalar = msgspec.json.decode(text, type=bool | int | float | str)
    except msgspec.MsgspecError:
        return text
    return value
