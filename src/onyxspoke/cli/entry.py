"""``onyxspoke-entry``: one entry of the system."""

from __future__ import annotations

import dataclasses
import signal
import sys
from functools import partial
from pathlib import Path
from typing import cast

from twisted.internet import reactor
from twisted.internet.interfaces import IReactorFromThreads
from twisted.internet.task import LoopingCall

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
from onyxspoke.net.link_cuts import POLL_SECONDS, CuttableEndpoints
from onyxspoke.net.network import Network, tcp_network
from onyxspoke.net.reactor_clock import BootClock
from onyxspoke.settings_file import CellSettings


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-entry", "Run one entry of the cell.")
    add_settings_arguments(parser)
    parser.add_argument("--name", help="which entry of the settings file this process is")
    parser.add_argument(
        "--cuts", type=Path, metavar="FILE", help="rehearsals: zones that are cut from this entry"
    )
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
    network = tcp_network(reactor)
    if arguments.cuts is not None:
        network = make_cuttable(network, settings, arguments.cuts)
    service = EntryService(settings, entry, network, BootClock())
    runner = ProcessRunner(service)
    service.shell.on_stopped = partial(service.close_site, runner.stop)
    service.shell.on_state_lost = partial(runner.stop, ExitCode.STATE_LOST)

    def begin_stop(_signal: int, _frame: object) -> None:
        cast("IReactorFromThreads", reactor).callFromThread(service.shell.stop)

    reactor.callWhenRunning(lambda: signal.signal(signal.SIGTERM, begin_stop))
    sys.exit(runner.run(service.listen()))


def make_cuttable(network: Network, settings: CellSettings, path: Path) -> Network:
    """Return a network that obeys a file of cut zones."""
    endpoints = CuttableEndpoints(network.endpoints, settings.zone_of_host(), path)
    polls = LoopingCall(endpoints.poll)
    reactor.callWhenRunning(polls.start, POLL_SECONDS)
    return dataclasses.replace(network, endpoints=endpoints)


if __name__ == "__main__":
    main()
