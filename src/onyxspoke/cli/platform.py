"""``onyxspoke-platform``: stand-in for the platform's log and machine list."""

from __future__ import annotations

import sys

from twisted.internet import reactor

from onyxspoke.cli.common import (
    ProcessRunner,
    add_settings_arguments,
    configure_logging,
    exit_after_check,
    load_or_exit,
    make_parser,
)
from onyxspoke.net.network import tcp_network
from onyxspoke.net.reactor_clock import MonotonicClock
from onyxspoke.platform.service import PlatformService


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-platform", "Run the stand-in for the platform.")
    add_settings_arguments(parser)
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    if arguments.check:
        exit_after_check(arguments.config)
    configure_logging("platform", verbose=arguments.verbose)
    service = PlatformService(settings, tcp_network(reactor), MonotonicClock())
    sys.exit(ProcessRunner(service).run(service.listen()))


if __name__ == "__main__":
    main()
