"""``onyxspoke-load``: drive a cell with work, record the answers, audit and report them."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec
from absl import logging
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from onyxspoke.cli.common import (
    add_settings_arguments,
    configure_logging,
    exit_after_check,
    load_or_exit,
    make_parser,
)
from onyxspoke.core.codes import ExitCode
from onyxspoke.kit.journal import read_journal
from onyxspoke.load.audit import AuditReport, audit
from onyxspoke.load.generator import LoadGenerator
from onyxspoke.load.records import read_records, write_records
from onyxspoke.load.report import format_table, make_report, plot
from onyxspoke.net.reactor_clock import BootClock
from onyxspoke.settings_file import CellSettings, LoadSettings

RECORDS_FILE = "submissions.jsonl"
AUDIT_FILE = "audit.json"
DEFAULT_SEED = 1


def main() -> None:
    """Run the program."""
    arguments = _parse()
    configure_logging("load", verbose=arguments.verbose)
    if arguments.command == "run":
        sys.exit(_run(arguments))
    if arguments.command == "audit":
        sys.exit(_audit(arguments.out, arguments.journal, arguments.label))
    sys.exit(_report(arguments))


def _parse() -> argparse.Namespace:
    parser = make_parser("onyxspoke-load", "Drive a cell with work and audit the answers.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="submit work and record every answer")
    add_settings_arguments(run)
    run.add_argument("--out", type=Path, required=True, metavar="DIR", help="write records there")
    run.add_argument("--rate", type=float, help="submissions a second (default: settings)")
    run.add_argument("--duration", type=float, help="seconds (default: settings)")
    run.add_argument("--seed", type=int, default=DEFAULT_SEED)
    audited = commands.add_parser("audit", help="join records with the workers' journals")
    audited.add_argument("--out", type=Path, required=True, metavar="DIR")
    audited.add_argument("--journal", type=Path, required=True, metavar="DIR")
    audited.add_argument("--label", default="audit", help="word before the closing line")
    report = commands.add_parser("report", help="print histograms of a recorded run")
    report.add_argument("--out", type=Path, required=True, metavar="DIR")
    report.add_argument("--json", action="store_true", help="print JSON instead of tables")
    report.add_argument("--plot", type=Path, metavar="FILE.png", help="write a plot")
    return parser.parse_args()


def _run(arguments: argparse.Namespace) -> ExitCode:
    settings = load_or_exit(arguments.config)
    if arguments.check:
        exit_after_check(arguments.config)
    load = _choose_load(settings, arguments)
    if load is None:
        print(f"{arguments.config}: load: expected a section", file=sys.stderr)
        return ExitCode.SETTINGS_INVALID
    generator = LoadGenerator(settings, load, BootClock(), arguments.seed)
    failures: list[Failure] = []

    def begin() -> None:
        running = ensureDeferred(generator.run())
        running.addErrback(failures.append)
        running.addBoth(lambda _result: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    for failure in failures:
        logging.error("event=load_failed error=%r", failure.getErrorMessage())
    write_records(arguments.out / RECORDS_FILE, generator.records)
    return ExitCode.FAILED if failures else ExitCode.OK


def _choose_load(settings: CellSettings, arguments: argparse.Namespace) -> LoadSettings | None:
    if settings.load is None:
        return None
    changes = {
        "requests_per_second": arguments.rate,
        "duration_seconds": arguments.duration,
    }
    given = {key: value for key, value in changes.items() if value is not None}
    return settings.load.model_copy(update=given)


def _audit(out: Path, journal: Path, label: str) -> ExitCode:
    records = read_records(out / RECORDS_FILE)
    events = [event for path in sorted(journal.glob("*.jsonl")) for event in read_journal(path)]
    events.sort(key=lambda event: event.at)
    report: AuditReport = audit(records, events)
    (out / AUDIT_FILE).write_bytes(msgspec.json.encode(report))
    for example in report.examples:
        print(f"  {example}")
    print(f"{label}: {report.summary()}")
    return ExitCode.OK if report.holds else ExitCode.AUDIT_VIOLATION


def _report(arguments: argparse.Namespace) -> ExitCode:
    records = read_records(arguments.out / RECORDS_FILE)
    report = make_report(records)
    if arguments.json:
        print(msgspec.json.encode(report).decode())
    else:
        print(format_table(report.by_class))
        print()
        print(format_table(report.by_tenant))
    if arguments.plot is not None:
        plot(records, arguments.plot)
    return ExitCode.OK


if __name__ == "__main__":
    main()
