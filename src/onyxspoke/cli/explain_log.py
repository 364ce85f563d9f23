"""``onyxspokectl explain-log``: follows one job, worker or life through the logs of all nodes."""

from __future__ import annotations

import argparse
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxspoke.cli.api_client import ApiClient
from onyxspoke.core.codes import ExitCode

#: Events that change what a node believes; shown where they lie between lines about the name.
BELIEFS = frozenset(
    {
        "election",
        "step_down",
        "stalled",
        "dependency_lost",
        "dependency_regained",
        "state_restored",
        "recovery_complete",
        "configuration",
        "stopping",
        "started",
    }
)
_PAIR = re.compile(r"(\w+)=(\S+)")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, as its pairs."""

    moment: str
    process: str
    event: str
    text: str


def add_explain_command(commands: Any) -> None:
    """Add the command to a parser."""
    explain = commands.add_parser("explain-log", help="follow one name through nodes' logs")
    explain.add_argument("name", help="a job, a task, a worker or the life of a node")
    explain.add_argument("files", nargs="+", type=Path, metavar="FILE")
    explain.add_argument("--beliefs", action="store_true", help="with changes of belief between")
    explain.set_defaults(run=_explain)


def _explain(_client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    lines = sorted(read_lines(arguments.files), key=lambda line: line.moment)
    shown = select_lines(lines, arguments.name, arguments.beliefs)
    for line in shown:
        print(f"{line.moment} {line.process} {line.text}")
    return ExitCode.OK if shown else ExitCode.FAILED


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of files that are key=value pairs."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


def parse_line(text: str) -> LogLine | None:
    """Return a line's pairs, or ``None`` if it is no line of ours."""
    pairs = dict(_PAIR.findall(text))
    if "event" not in pairs or "time" not in pairs:
        return None
    start = text.index("event=")
    return LogLine(pairs["time"], pairs.get("process", "-"), pairs["event"], text[start:].strip())


def select_lines(lines: list[LogLine], name: str, with_beliefs: bool) -> list[LogLine]:
    """Return the lines about a name and, if wanted, the changes of belief between them."""
    about = [index for index, line in enumerate(lines) if name in line.text]
    if not about:
        return []
    if not with_beliefs:
        return [lines[index] for index in about]
    first, last = about[0], about[-1]
    chosen = set(about)
    return [
        line
        for index, line in enumerate(lines)
        if index in chosen or (first <= index <= last and line.event in BELIEFS)
    ]
