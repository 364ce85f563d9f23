"""The link between the runner and a stand-in: events out, commands in, one a line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import msgspec
from absl import logging
from twisted.internet import reactor, stdio
from twisted.internet.interfaces import IReactorCore, IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from onyxspoke.soak.events import AnyCommand, AnyEvent, Passed
from onyxspoke.soak.timers import DueTimers

#: How often a stand-in says that it has told everything until now, in seconds.
PASSED_SECONDS = 0.2
MAXIMUM_LINE_BYTES = 1 << 20

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(AnyCommand)


class EventLink(LineOnlyReceiver):
    """A stand-in's end: standard input and output.

    The stand-in ends with the link, so that none is left over where the runner ends untimely.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAXIMUM_LINE_BYTES

    def __init__(self, timers: DueTimers) -> None:
        self._timers = timers
        self._on_command: Callable[[AnyCommand], None] = ignore_command

    def open(self, on_command: Callable[[AnyCommand], None]) -> None:
        """Take commands, and tell how far events have been told."""
        self._on_command = on_command
        stdio.StandardIO(cast("Protocol", self))
        self._tell_passed()

    def tell(self, event: AnyEvent) -> None:
        """Tell an event; those of one process come in the order of their times."""
        self.sendLine(_encoder.encode(event))

    def lineReceived(self, line: bytes) -> None:  # noqa: N802 - Twisted's name
        """Take a command; called by Twisted."""
        self._timers.catch_up()
        self._on_command(_decoder.decode(line))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the process; called by Twisted."""
        logging.info("event=link_closed")
        core = cast("IReactorCore", reactor)
        if core.running:
            core.stop()

    def _tell_passed(self) -> None:
        self._timers.catch_up()
        self.tell(Passed(self._timers.now()))
        cast("IReactorTime", reactor).callLater(PASSED_SECONDS, self._tell_passed)


def ignore_command(command: AnyCommand) -> None:
    """Log a command of which the stand-in knows nothing."""
    logging.error("event=command_unknown command=%r", command)
