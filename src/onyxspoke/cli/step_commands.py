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
_MILLI = 1_000.0
_TENANT_COLUMNS = [
    "tenant",
    "shard",
    "weight",
    "running_jobs",
    "waiting_jobs",
    "cores",
    "memory_mb",
    "accelerators",
    "of_quota",
    "over_quota_steps",
    "owed",
    "beyond",
]
_TENANT_ORDERS = {
    "used": "cores",
    "quota": "of_quota",
    "waiting": "waiting_jobs",
    "beyond": "beyond",
}
_SHARD_COLUMNS = ["shard", "state", "holder", "token", "jobs", "runs"]


def add_step_commands(commands: Any) -> None:
    """Add the commands to a parser."""
    node = commands.add_parser("node", help="what a node knows: shards, workers, peers")
    node.add_argument("--json", action="store_true", help="everything, as JSON")
    node.set_defaults(run=_node)
    tenants = commands.add_parser(
        "tenants", help="what runs and waits of each tenant, its quota, and what it was owed"
    )
    tenants.add_argument("--sort", choices=sorted(_TENANT_ORDERS), default="used")
    tenants.add_argument("--json", action="store_true", help="everything, as JSON")
    tenants.set_defaults(run=_tenants)
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


def _tenants(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    answer = client.get("/v1/tenants")
    if arguments.json:
        print_json(answer)
        return ExitCode.OK
    held = ", ".join(str(shard) for shard in answer["held_shards"]) or "none"
    print(f"shards held by this node: {held} (of {answer['shard_count']})")
    rows = [_tenant_row(item) for item in answer["tenants"]]
    rows.sort(key=lambda row: (-row[_TENANT_ORDERS[arguments.sort]], row["tenant"]))
    print_table(_TENANT_COLUMNS, rows)
    return ExitCode.OK


def _tenant_row(item: dict[str, Any]) -> dict[str, Any]:
    shares = [have / most for have, most in zip(item["used"], item["quota"], strict=True) if most]
    return {
        **item,
        "cores": item["used"][0] / _MILLI,
        "memory_mb": item["used"][1],
        "accelerators": item["used"][2],
        "of_quota": max(shares, default=0.0),
    }


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
