"""``onyxspokectl``: the command line of operators and callers."""

from __future__ import annotations

import argparse
import getpass
import sys
import urllib.parse
import uuid
from pathlib import Path
from typing import Any

import msgspec

from onyxspoke.cli.api_client import ApiClient, ApiError
from onyxspoke.cli.common import exit_after_check, load_or_exit, make_parser
from onyxspoke.cli.tables import print_table
from onyxspoke.core.codes import ExitCode
from onyxspoke.core.settings_tree import SettingScalar
from onyxspoke.entry.caller_api import SubmitBody
from onyxspoke.entry.operator_api import ApplyBody, ChangeBody, DrainBody

DEFAULT_ENTRY = "http://127.0.11.1:21101"


def main() -> None:
    """Run the program."""
    parser = _make_parser()
    arguments = parser.parse_args()
    if arguments.config is not None:
        load_or_exit(arguments.config)
        if arguments.check:
            exit_after_check(arguments.config)
    if arguments.run is None:
        parser.error("a command is required")
    try:
        sys.exit(arguments.run(ApiClient(arguments.entry), arguments))
    except ApiError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


def _make_parser() -> argparse.ArgumentParser:
    parser = make_parser("onyxspokectl", "Look at and steer a cell, and submit work to it.")
    parser.add_argument(
        "--entry", default=DEFAULT_ENTRY, metavar="URL", help="an entry or the balancer"
    )
    parser.add_argument("--config", type=Path, metavar="FILE.yaml", help="settings file to check")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.set_defaults(run=None)
    commands = parser.add_subparsers(metavar="COMMAND")
    commands.add_parser("status", help="state of an entry").set_defaults(run=_status)
    commands.add_parser("workers", help="all workers").set_defaults(run=_workers)
    commands.add_parser("top", help="time to answer by tenant and class").set_defaults(run=_top)
    _add_submit(commands)
    _add_job(commands)
    _add_drain(commands)
    _add_config(commands)
    return parser


def _add_submit(commands: Any) -> None:
    submit = commands.add_parser("submit", help="submit a request or a batch job")
    submit.add_argument("tenant")
    submit.add_argument("task_class", metavar="SERVICE/CLASS")
    submit.add_argument("--payload", default="null", help="JSON (default: null)")
    submit.add_argument("--key", default="", help="idempotency key")
    submit.add_argument("--deadline", type=float, help="seconds")
    submit.add_argument("--job", action="store_true", help="submit as a durable batch job")
    submit.add_argument("--tasks", type=int, default=1, help="tasks of the job")
    submit.set_defaults(run=_submit)


def _add_job(commands: Any) -> None:
    job = commands.add_parser("job", help="ask for a job, wait for it or cancel it")
    job.add_argument("job_id")
    job.add_argument("--wait", type=float, default=0.0, help="seconds")
    job.add_argument("--cancel", action="store_true")
    job.set_defaults(run=_job)


def _add_drain(commands: Any) -> None:
    drain = commands.add_parser("drain", help="give a worker no new work")
    drain.add_argument("worker_id")
    drain.add_argument("--undo", action="store_true", help="let it have work again")
    drain.set_defaults(run=_drain)


def _add_config(commands: Any) -> None:
    config = commands.add_parser("config", help="the settings tree")
    actions = config.add_subparsers(metavar="ACTION", required=True)
    actions.add_parser("list", help="all that is set").set_defaults(run=_config_list)
    for name, run in (("get", _config_get), ("explain", _config_explain)):
        action = actions.add_parser(name)
        action.add_argument("path", help="REGION[/ZONE[/SERVICE[/CLASS]]], or / for the root")
        action.add_argument("key")
        action.set_defaults(run=run)
    change = actions.add_parser("set")
    change.add_argument("path")
    change.add_argument("key")
    change.add_argument("value", help="JSON value, or a bare word")
    change.add_argument("--revision", type=int, help="refuse if it was changed since")
    change.set_defaults(run=_config_set)
    unset = actions.add_parser("unset")
    unset.add_argument("path")
    unset.add_argument("key")
    unset.add_argument("--revision", type=int, help="refuse if it was changed since")
    unset.set_defaults(run=_config_unset)


def _status(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    _print_json(client.get("/v1/status"))
    return ExitCode.OK


def _workers(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    columns = ["worker_id", "zone", "rack", "generation", "listing", "draining", "owner", "state"]
    print_table(columns, client.get("/v1/workers"))
    return ExitCode.OK


def _top(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    columns = ["tenant", "task_class", "count", "p50_ms", "p99_ms", "max_ms", "codes"]
    print_table(columns, client.get("/v1/histograms"))
    return ExitCode.OK


def _submit(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    service, _, task_class = arguments.task_class.partition("/")
    body = SubmitBody(
        tenant=arguments.tenant,
        service=service,
        task_class=task_class,
        payload=msgspec.Raw(arguments.payload.encode()),
        deadline_seconds=arguments.deadline,
        tasks=arguments.tasks,
    )
    path = "/v1/jobs" if arguments.job else "/v1/requests"
    _print_json(client.post(path, body, arguments.key))
    return ExitCode.OK


def _job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    path = f"/v1/jobs/{urllib.parse.quote(arguments.job_id, safe='')}"
    if arguments.cancel:
        _print_json(client.delete(path))
    else:
        _print_json(client.get(f"{path}?wait={arguments.wait}"))
    return ExitCode.OK


def _drain(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    path = f"/v1/workers/{urllib.parse.quote(arguments.worker_id, safe='')}/drain"
    _print_json(client.post(path, DrainBody(draining=not arguments.undo)))
    return ExitCode.OK


def _config_list(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    columns = ["path", "key", "value", "revision", "operator"]
    print_table(columns, client.get("/v1/settings"))
    return ExitCode.OK


def _config_get(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    print(msgspec.json.encode(_resolve(client, arguments)["value"]).decode())
    return ExitCode.OK


def _config_explain(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    _print_json(_resolve(client, arguments))
    return ExitCode.OK


def _config_set(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _change(client, arguments, _parse_value(arguments.value))


def _config_unset(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _change(client, arguments, None)


def _change(
    client: ApiClient, arguments: argparse.Namespace, value: SettingScalar | None
) -> ExitCode:
    change = ChangeBody(_path(arguments), arguments.key, value, arguments.revision)
    body = ApplyBody(f"{uuid.uuid4()}", getpass.getuser(), [change])
    _print_json(client.post("/v1/settings", body))
    return ExitCode.OK


def _resolve(client: ApiClient, arguments: argparse.Namespace) -> Any:
    query = urllib.parse.urlencode({"path": _path(arguments), "key": arguments.key})
    return client.get(f"/v1/settings?{query}")


def _path(arguments: argparse.Namespace) -> str:
    path: str = arguments.path
    return path.strip("/")


def _parse_value(text: str) -> SettingScalar:
    try:
        value: SettingScalar = msgspec.json.decode(text, type=bool | int | float | str)
    except msgspec.MsgspecError:
        return text
    return value


def _print_json(value: Any) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


if __name__ == "__main__":
    main()
