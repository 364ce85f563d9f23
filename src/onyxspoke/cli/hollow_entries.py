"""Many entries without HTTP in one process, for measurements at scale."""

from __future__ import annotations

import secrets
import sys
from typing import Any

from twisted.application.service import MultiService
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults

from onyxspoke.cli.common import (
    ProcessRunner,
    add_settings_arguments,
    configure_logging,
    load_or_exit,
    make_parser,
)
from onyxspoke.core.scheduler import EntryScheduler
from onyxspoke.entry.node import EntryNode, make_core_options, make_identity
from onyxspoke.net.network import tcp_network
from onyxspoke.net.reactor_clock import MonotonicClock
from onyxspoke.settings_file import CellSettings, EntrySettings

INCARNATION_BYTES = 4
TICK_SECONDS = 0.2


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke.cli.hollow_entries", "Run entries without HTTP.")
    add_settings_arguments(parser)
    parser.add_argument("--first", type=int, required=True, help="index of the first entry")
    parser.add_argument("--count", type=int, required=True)
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    chosen = settings.entries[arguments.first : arguments.first + arguments.count]
    configure_logging(f"hollow-{arguments.first}", verbose=arguments.verbose)
    service = MultiService()
    nodes = [_make_node(settings, entry) for entry in chosen]
    for node in nodes:
        node.setServiceParent(service)
    listening: Deferred[Any] = gatherResults([node.listen() for node in nodes])
    sys.exit(ProcessRunner(service).run(listening))


def _make_node(settings: CellSettings, entry: EntrySettings) -> EntryNode:
    identity = make_identity(settings, entry, secrets.token_hex(INCARNATION_BYTES))
    scheduler = EntryScheduler(identity, make_core_options(settings))
    return EntryNode(settings, scheduler, tcp_network(reactor), MonotonicClock(), TICK_SECONDS)


if __name__ == "__main__":
    main()
