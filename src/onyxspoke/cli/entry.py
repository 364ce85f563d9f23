"""``onyxspoke-entry``: one entry of the system."""

from __future__ import annotations

import signal
import sys
from typing import cast

from twisted.internet import reactor
from twisted.internet.interfaces import IReactorFromThreads

from onyxspoke.cli.common import (
    ProcessRunner,
    add_settings_arguments,
    configure_logging,
    exit_after_check,
    load_or_exit,
    make_parser,
)
from onyxspoke.core.codes import ExitCode
from onyxspoke.entry.service import EntryService
from onyxspoke.net.network import tcp_network
from onyxspoke.net.reactor_clock import MonotonicClock


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-entry", "Run one entry of the cell.")
    add_settings_arguments(parser)
    parser.add_argument("--name", help="which entry of the settings file this process is")
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    if arguments.check:
        exit_after_check(arguments.config)
    entry = settings.entry(arguments.name or "")
    if entry is None:
        names = ", ".join(entry.name for entry in settings.entries)
        print(f"--name: expected one of {names}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    configure_logging(entry.name, verbose=arguments.verbose)
    service = EntryService(settings, entry, tcp_network(reactor), MonotonicClock())
    runner = ProcessRunner(service)
    service.shell.on_stopped = runner.stop

    def begin_stop(_signal: int, _frame: object) -> None:
        cast("IReactorFromThreads", reactor).callFromThread(service.shell.stop)

    reactor.callWhenRunning(lambda: signal.signal(signal.SIGTERM, begin_stop))
    sys.exit(runner.run(service.listen()))


if __name__ == "__main__":
    main()
