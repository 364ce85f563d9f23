"""``onyxspoke-worker``: stand-in for workers, many hollow ones in one process."""

from __future__ import annotations

import sys
from pathlib import Path

from twisted.internet import reactor

from onyxspoke.cli.common import (
    ProcessRunner,
    add_settings_arguments,
    configure_logging,
    exit_after_check,
    load_or_exit,
    make_parser,
)
from onyxspoke.core.codes import ExitCode
from onyxspoke.kit.journal import FileJournal, Journal, NullJournal
from onyxspoke.net.network import tcp_network
from onyxspoke.net.reactor_clock import BootClock
from onyxspoke.worker.service import WorkerService


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-worker", "Run hollow workers.")
    add_settings_arguments(parser)
    parser.add_argument(
        "--zone", action="append", help="zone whose workers to run; may be repeated (default: all)"
    )
    parser.add_argument("--journal", type=Path, metavar="DIR", help="write journals there")
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    if arguments.check:
        exit_after_check(arguments.config)
    zones = set(arguments.zone or settings.zones)
    unknown = zones - set(settings.zones)
    if unknown:
        print(f"--zone: expected a zone of the file, got {sorted(unknown)}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    configure_logging("workers-" + "-".join(sorted(zones)), verbose=arguments.verbose)
    journal: Journal = NullJournal()
    if arguments.journal is not None:
        journal = FileJournal(arguments.journal / f"workers-{'-'.join(sorted(zones))}.jsonl")
    service = WorkerService(settings, zones, tcp_network(reactor), BootClock(), journal)
    sys.exit(ProcessRunner(service).run(service.listen()))


if __name__ == "__main__":
    main()
