"""What every binary does: arguments, logging, garbage collection, exit codes."""

from __future__ import annotations

import argparse
import gc
import logging as standard_logging
import sys
import time
from typing import Any, Protocol

from absl import flags, logging
from twisted.application.service import Service
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.python.failure import Failure

from onyxspoke import __version__
from onyxspoke.core.codes import ExitCode
from onyxspoke.net.reactor_clock import boot_seconds

#: Young objects before a collection, and collections before one of the next generation.
GARBAGE_COLLECTION_THRESHOLDS = (2_000, 10, 100)


class LogStream(Protocol):
    """Where log lines go."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Write what was taken."""


class KeyValueFormatter(standard_logging.Formatter):
    """One line of key=value pairs for each event."""

    def __init__(self, process_name: str) -> None:
        super().__init__()
        self._process_name = process_name

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        level = record.levelname.lower()
        line = (
            f"time={moment}.{int(record.msecs):03d}Z level={level}"
            f" process={self._process_name} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" exception={self.formatException(record.exc_info)!r}"
        return line


def configure_logging(process_name: str, *, verbose: bool, stream: LogStream | None = None) -> None:
    """Send log lines to a stream; by default to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter(process_name))
    handler.python_handler.stream = sys.stderr if stream is None else stream
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all binaries take."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--verbose", action="store_true", help="log more")
    return parser


def use_boot_clock_timers() -> None:
    """Have the reactor's timers run on the clock since the machine's start.

    Twisted takes the time of day, which may jump: timers would stand still, or all fire.  What is
    due while the machine is suspended is due as it wakes.
    """
    vars(reactor)["seconds"] = boot_seconds


def tune_garbage_collection() -> None:
    """Keep collections short: what was imported is never looked at again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)


class ProcessRunner:
    """Runs one service in the reactor and turns its end into an exit code."""

    def __init__(self, service: Service) -> None:
        use_boot_clock_timers()
        self._service = service
        self._exit_code = ExitCode.OK

    def run(self, listening: Deferred[Any]) -> ExitCode:
        """Run until the reactor stops.

        Parameters
        ----------
        listening : Deferred
            Fires once the service's sockets are open.
        """
        listening.addCallbacks(self._start, self._fail_to_listen)
        reactor.addSystemEventTrigger("before", "shutdown", self._stop_service)
        reactor.run()
        return self._exit_code

    def stop(self, exit_code: ExitCode = ExitCode.OK) -> None:
        """Stop the reactor."""
        self._exit_code = exit_code
        if reactor.running:
            reactor.stop()
        else:
            reactor.callWhenRunning(reactor.stop)

    def _start(self, _listening: object) -> None:
        tune_garbage_collection()
        logging.info("event=started")
        self._service.startService()

    def _fail_to_listen(self, failure: Failure) -> None:
        logging.error("event=start_failed error=%r", failure.getErrorMessage())
        cannot_listen = failure.check(CannotListenError) is not None
        self.stop(ExitCode.CANNOT_LISTEN if cannot_listen else ExitCode.FAILED)

    def _stop_service(self) -> object:
        if self._service.running:
            return self._service.stopService()
        return None
