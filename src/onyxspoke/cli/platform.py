"""``onyxspoke-platform``: stand-in for the platform's log and machine list."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from functools import partial
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
from onyxspoke.kit.platform.service import PlatformService
from onyxspoke.net.network import tcp_network
from onyxspoke.net.reactor_clock import BootClock


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-platform", "Run the stand-in for the platform.")
    add_settings_arguments(parser)
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    if arguments.check:
        exit_after_check(arguments.config)
    configure_logging("platform", verbose=arguments.verbose)
    service = PlatformService(settings, tcp_network(reactor), BootClock())
    reactor.callWhenRunning(install_fault_signals, service)
    sys.exit(ProcessRunner(service).run(service.listen()))


def install_fault_signals(service: PlatformService) -> None:
    """Let rehearsal scripts switch faults: USR1 outage, USR2 lost answers, HUP slow log."""
    switches = {
        signal.SIGUSR1: service.switch_outage,
        signal.SIGUSR2: service.switch_lost_answers,
        signal.SIGHUP: service.switch_slow_log,
    }
    for number, switch in switches.items():
        signal.signal(number, partial(_call_in_reactor, switch))


def _call_in_reactor(switch: Callable[[], None], _number: int, _frame: object) -> None:
    cast("IReactorFromThreads", reactor).callFromThread(switch)


if __name__ == "__main__":
    main()
