"""``onyxspokectl admission`` and ``estimates``: what a node does under load, what it learned."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Any

from onyxspoke.cli.api_client import ApiClient
from onyxspoke.cli.tables import print_json, print_table
from onyxspoke.core.codes import ExitCode

_HELD_COLUMNS = [
    "shard",
    "queue",
    "waiting_jobs",
    "closed_seconds",
    "closed_for",
    "advice_wait_seconds",
]
_TOLD_COLUMNS = ["shard", "queue", "closed_seconds", "closed_for", "age_seconds"]
_QUEUE_COLUMNS = ["shard", "queue", "tenant", "median", "upper", "evidence"]
_WORKER_COLUMNS = ["shard", "worker_id", "kind", "factor"]
EVERYBODY = "(all)"


def add_load_commands(commands: Any) -> None:
    """Add the commands to a parser."""
    for name, help_text, run in (
        ("admission", "which queues take jobs, as far as a node knows", _admission),
        ("estimates", "how long work takes against its estimates, by queue and worker", _estimates),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("--json", action="store_true", help="everything, as JSON")
        command.set_defaults(run=run)


def _admission(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _show(client.get("/v1/admission"), arguments, _print_admission)


def _estimates(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    return _show(client.get("/v1/estimates"), arguments, _print_estimates)


def _show(
    answer: Any, arguments: argparse.Namespace, print_tables: Callable[[Any], None]
) -> ExitCode:
    if arguments.json:
        print_json(answer)
        return ExitCode.OK
    options = " ".join(f"{name}={_word(value)}" for name, value in answer["options"].items())
    print(f"options: {options}")
    held = ", ".join(str(shard) for shard in answer["held_shards"]) or "none"
    print(f"shards held by this node: {held} (of {answer['shard_count']})")
    print_tables(answer)
    return ExitCode.OK


def _print_admission(answer: Any) -> None:
    print_table(_HELD_COLUMNS, [_named(row, row["closed_seconds"] > 0) for row in answer["held"]])
    print("closed by other holders' word:")
    print_table(_TOLD_COLUMNS, [_named(row, True) for row in answer["told"]])


def _named(row: dict[str, Any], is_closed: bool) -> dict[str, Any]:
    """Return a row that says for whom a queue is closed."""
    everybody = EVERYBODY if is_closed else "-"
    return {**row, "closed_for": ",".join(row["closed_for"]) or everybody}


def _print_estimates(answer: Any) -> None:
    rows = [{**row, "tenant": row["tenant"] or EVERYBODY} for row in answer["queues"]]
    print_table(_QUEUE_COLUMNS, rows)
    print("workers unlike the usual, the slowest first:")
    slowest = sorted(answer["workers"], key=lambda row: (-row["factor"], row["worker_id"]))
    print_table(_WORKER_COLUMNS, slowest)


def _word(value: Any) -> str:
    if isinstance(value, bool):
        return "on" if value else "off"
    return f"{value:g}"
