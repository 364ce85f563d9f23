"""``onyxspokectl steps`` and ``node``: jobs of several steps, and what a node knows."""

from __future__ import annotations

import argparse
import secrets
from pathlib import Path
from typing import Any
from urllib.parse import quote

import yaml

from onyxspoke.cli.api_client import ApiClient, ApiError
from onyxspoke.cli.tables import print_json, print_table
from onyxspoke.core.codes import ExitCode

ID_BYTES = 8
_WORKER_COLUMNS = [
    "worker_id",
    "rack",
    "kind",
    "listing",
    "contact",
    "runs",
    "free_processors_milli",
    "free_memory_mb",
]
_SHARD_COLUMNS = ["shard", "state", "holder", "token", "jobs", "runs"]


def add_step_commands(commands: Any) -> None:
    """Add the commands to a parser."""
    node = commands.add_parser("node", help="what a node knows: shards, workers, peers")
    node.add_argument("--json", action="store_true", help="everything, as JSON")
    node.set_defaults(run=_node)
    steps = commands.add_parser("steps", help="jobs of several steps")
    actions = steps.add_subparsers(metavar="ACTION", required=True)
    submit = actions.add_parser("submit", help="hand a job in from a YAML file")
    submit.add_argument("queue")
    submit.add_argument("file", type=Path, metavar="FILE.yaml")
    submit.add_argument("--id", default="", help="16 hexadecimal digits (default: drawn)")
    submit.set_defaults(run=_submit)
    for name, help_text, run in (
        ("show", "a job's state", _show),
        ("cancel", "cancel a job", _cancel),
    ):
        action = actions.add_parser(name, help=help_text)
        action.add_argument("job_id")
        action.set_defaults(run=run)
    waiting = actions.add_parser("waiting", help="accepted jobs of a queue that have not begun")
    waiting.add_argument("queue")
    waiting.set_defaults(run=_waiting)


def _node(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    status = client.get("/v1/status")
    if arguments.json:
        print_json(status)
        return ExitCode.OK
    for name in ("life", "is_ready", "reaches_store", "configuration_version"):
        print(f"{name}: {status[name]}")
    print(f"peers: {' '.join(status['peers'])}")
    print_table(_SHARD_COLUMNS, status["shards"])
    print_table(_WORKER_COLUMNS, status["workers"])
    return ExitCode.OK


def _submit(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    try:
        body = yaml.safe_load(arguments.file.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise ApiError(ExitCode.USAGE, f"{arguments.file}: {error}") from error
    job_id = arguments.id or secrets.token_hex(ID_BYTES)
    path = f"/v1/queues/{quote(arguments.queue, safe='')}/jobs/{quote(job_id, safe='')}"
    print_json(client.post(path, body))
    return ExitCode.OK


def _show(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    print_json(client.get(f"/v1/jobs/{quote(arguments.job_id, safe='')}"))
    return ExitCode.OK


def _cancel(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    print_json(client.delete(f"/v1/jobs/{quote(arguments.job_id, safe='')}"))
    return ExitCode.OK


def _waiting(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    print_json(client.get(f"/v1/queues/{quote(arguments.queue, safe='')}"))
    return ExitCode.OK
