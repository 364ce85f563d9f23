"""``onyxspokectl``: the command line of operators and callers."""

from __future__ import annotations

import argparse
import os
import sys
import urllib.parse
from pathlib import Path
from typing import Any

import msgspec

from onyxspoke.cli.account_command import add_account_command
from onyxspoke.cli.api_client import ApiClient, ApiError
from onyxspoke.cli.common import exit_after_check, load_or_exit, make_parser
from onyxspoke.cli.config_commands import add_config_commands
from onyxspoke.cli.explain_log import add_explain_command
from onyxspoke.cli.load_commands import add_load_commands
from onyxspoke.cli.step_commands import add_step_commands
from onyxspoke.cli.tables import print_json, print_table
from onyxspoke.core.codes import ExitCode
from onyxspoke.entry.caller_api import SubmitBody
from onyxspoke.entry.operator_api import DrainBody

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
    except BrokenPipeError:
        # The reader, such as head, has seen enough; leave without a word.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.OK)
    except ApiError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


def _make_parser() -> argparse.ArgumentParser:
    parser = make_parser("onyxspokectl", "Look at and steer a cell, and submit work to it.")
    parser.add_argument(
        "--entry", default=DEFAULT_ENTRY, metavar="URL", help="an entry, the balancer, or a node"
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
    add_config_commands(commands)
    add_step_commands(commands)
    add_load_commands(commands)
    add_explain_command(commands)
    add_account_command(commands)
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


def _status(client: ApiClient, _arguments: argparse.Namespace) -> ExitCode:
    print_json(client.get("/v1/status"))
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
    print_json(client.post(path, body, arguments.key))
    return ExitCode.OK


def _job(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    path = f"/v1/jobs/{urllib.parse.quote(arguments.job_id, safe='')}"
    if arguments.cancel:
        print_json(client.delete(path))
    else:
        print_json(client.get(f"{path}?wait={arguments.wait}"))
    return ExitCode.OK


def _drain(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    path = f"/v1/workers/{urllib.parse.quote(arguments.worker_id, safe='')}/drain"
    print_json(client.post(path, DrainBody(draining=not arguments.undo)))
    return ExitCode.OK


if __name__ == "__main__":
    main()
