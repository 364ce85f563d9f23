"""Processes of a run: each is noted, signalled and ended by its own id only."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, cast

from absl import logging
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.interfaces import IProcessTransport, IReactorProcess
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

_STDOUT = 1


class RunProcess(ProcessProtocol):
    """One process that this run started.

    Attributes
    ----------
    on_line : callable
        Takes each line of its standard output.
    on_end : callable
        Told once, as it has ended.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.pid = 0
        self.is_alive = False
        self.ended: Deferred[None] = Deferred()
        self.on_line: Callable[[bytes], None] = lambda _line: None
        self.on_end: Callable[[], None] = lambda: None
        self._rest = b""

    def connectionMade(self) -> None:
        """Note the process; called by Twisted."""
        self.pid = cast("IProcessTransport", self.transport).pid
        self.is_alive = True

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803 - Twisted's
        """Take output; called by Twisted."""
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self.on_line(line)

    def processEnded(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Note the end; called by Twisted."""
        self.is_alive = False
        logging.info("event=process_ended name=%s pid=%d how=%s", self.name, self.pid, reason.value)
        self.on_end()
        self.ended.callback(None)

    def send_line(self, line: bytes) -> None:
        """Write a line to its standard input."""
        if self.is_alive:
            cast("Any", self.transport).write(line + b"\n")

    def send_signal(self, number: signal.Signals) -> None:
        """Signal it, if it has not ended; its id stays its own until its end is noted here."""
        if self.is_alive:
            os.kill(self.pid, number)


class Processes:
    """Starts processes and ends just those.

    Parameters
    ----------
    directory : Path
        Takes their logs and the list of their ids.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._all: list[RunProcess] = []

    def start(
        self, name: str, arguments: list[str], environment: Mapping[str, str] | None = None
    ) -> RunProcess:
        """Start a process whose standard error, and a node's output too, goes to its log."""
        process = RunProcess(name)
        with (self._directory / f"{name}.log").open("ab") as log:
            cast("IReactorProcess", reactor).spawnProcess(
                cast("Any", process),
                arguments[0],
                arguments,
                env=dict(os.environ) | dict(environment or {}),
                childFDs=cast("Any", {0: "w", 1: "r", 2: log.fileno()}),
            )
        self._all.append(process)
        with (self._directory / "pids").open("a", encoding="ascii") as pids:
            pids.write(f"{process.pid} {name}\n")
        return process

    def end_all(self) -> Deferred[Any]:
        """Kill whatever is left, and tell when it is gone."""
        for process in self._all:
            process.send_signal(signal.SIGKILL)
        return DeferredList([process.ended for process in self._all])
