"""The nodes' processes: killed, paused, stopped as an operator does, and started again."""

from __future__ import annotations

import signal
from collections.abc import Callable
from enum import Enum
from functools import partial
from pathlib import Path

from onyxspoke.soak.plan import STOP_GRACE_SECONDS
from onyxspoke.soak.processes import Processes, RunProcess

#: What a node logs as it begins to decide for the first shard.
_HOLDING = b"event=election shard=0 state=holding "

Later = Callable[[float, Callable[[], None]], None]


class _NodeState(Enum):
    UP = "up"
    PAUSED = "paused"
    ENDING = "ending"


class _Life:
    def __init__(self, process: RunProcess) -> None:
        self.process = process
        self.state = _NodeState.UP


class NodeProcesses:
    """Implements ``NodeControl``; a fault leaves a node that is not up alone."""

    def __init__(
        self,
        processes: Processes,
        program: list[str],
        settings: list[Path],
        later: Later,
        on_untimely_end: Callable[[str], None],
        load_path: str = "",
    ) -> None:
        self._processes = processes
        self._program = program
        self._settings = settings
        self._later = later
        self._on_untimely_end = on_untimely_end
        self._lives: dict[int, _Life] = {}
        self._environment = {"PYTHONPATH": load_path} if load_path else {}
        self._holder: tuple[int, _Life] | None = None
        self._is_over = False

    def start(self, index: int) -> None:
        """Start a node."""
        if self._is_over:
            return
        arguments = [*self._program, "--config", str(self._settings[index])]
        process = self._processes.start(f"node-{index}", arguments, self._environment)
        life = _Life(process)
        process.on_end = partial(self._handle_end, life)
        log = self._settings[index].with_suffix(".out")
        process.on_line = partial(self._take_line, index, life, log)
        self._lives[index] = life

    def finish(self) -> None:
        """Start nothing more, and take every end as meant."""
        self._is_over = True

    def kill(self, index: int, down_seconds: float) -> bool:
        """Kill a node that is up, and start it again later."""
        life = self._lives[index]
        if life.state is _NodeState.ENDING:
            return False
        life.state = _NodeState.ENDING
        life.process.send_signal(signal.SIGKILL)
        self._start_after(life, index, down_seconds)
        return True

    def pause(self, index: int, seconds: float) -> bool:
        """Pause a node that is up."""
        life = self._lives[index]
        if life.state is not _NodeState.UP:
            return False
        life.state = _NodeState.PAUSED
        life.process.send_signal(signal.SIGSTOP)
        self._later(seconds, partial(self._go_on, life))
        return True

    def stop(self, index: int, down_seconds: float) -> bool:
        """Stop a node that is up as an operator does, and start it again later."""
        life = self._lives[index]
        if life.state is not _NodeState.UP:
            return False
        life.state = _NodeState.ENDING
        life.process.send_signal(signal.SIGTERM)
        self._later(STOP_GRACE_SECONDS, partial(life.process.send_signal, signal.SIGKILL))
        self._start_after(life, index, down_seconds)
        return True

    def holder(self) -> int | None:
        """Return the node that began to decide last, if that process is still up."""
        if self._holder is None or self._holder[1].state is not _NodeState.UP:
            return None
        return self._holder[0]

    def _take_line(self, index: int, life: _Life, log: Path, line: bytes) -> None:
        if _HOLDING in line:
            self._holder = (index, life)
        _append_line(log, line)

    def _go_on(self, life: _Life) -> None:
        if life.state is _NodeState.PAUSED:
            life.state = _NodeState.UP
            life.process.send_signal(signal.SIGCONT)

    def _start_after(self, life: _Life, index: int, seconds: float) -> None:
        restart = partial(self._later, seconds, partial(self.start, index))
        life.process.ended.addCallback(lambda _none: restart())

    def _handle_end(self, life: _Life) -> None:
        if life.state is not _NodeState.ENDING and not self._is_over:
            life.state = _NodeState.ENDING
            self._on_untimely_end(life.process.name)


def _append_line(path: Path, line: bytes) -> None:
    with path.open("ab") as log:
        log.write(line + b"\n")
