"""A log's stream that never blocks: bounded in lines a second and in bytes not yet written."""

from __future__ import annotations

import os
import select
import time
from collections.abc import Callable

#: Lines a second at most; a burst may use the room of the second before.
LINES_PER_SECOND = 1_500
BURST_LINES = 3_000
#: Bytes that wait to be written at most.
MAXIMUM_WAITING_BYTES = 512 * 1024
#: Lines, and a share of the bytes, that lines of these events leave to all others.
DETAILS = (" event=run_", " event=advice ")
RESERVED_LINES = 500
RESERVED_BYTES = MAXIMUM_WAITING_BYTES // 4
#: Bytes after which a write is tried at once.
EAGER_BYTES = 32 * 1024


class BoundedLogStream:
    """Looks like a text stream to a log handler; lines over the bounds are counted instead.

    What tells of single runs comes in the largest numbers and is left out first.

    Parameters
    ----------
    file_descriptor : int
        Where lines go; it is made non-blocking.
    clock : callable
        Returns steady seconds.
    """

    def __init__(self, file_descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(file_descriptor, False)
        self._file_descriptor = file_descriptor
        self._clock = clock
        self._waiting = bytearray()
        self._allowance = float(BURST_LINES)
        self._refilled_at = clock()
        self.written = 0
        self.dropped = 0
        self._reported = 0
        self._request_drain: Callable[[], object] = lambda: None

    def request_drains_with(self, request_drain: Callable[[], object]) -> None:
        """Set what is called when lines begin to wait; it is to have :meth:`drain` called soon."""
        self._request_drain = request_drain
        if self._waiting:
            request_drain()

    def write(self, text: str) -> int:
        """Take a line, or count it as dropped."""
        is_detail = any(mark in text for mark in DETAILS)
        if not self._may_take(len(text), is_detail):
            self.dropped += 1
            return len(text)
        self.written += 1
        if not self._waiting:
            self._request_drain()
        self._waiting += text.encode("utf-8", "replace")
        if len(self._waiting) >= EAGER_BYTES:
            self.drain()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by :meth:`drain`."""

    def close(self) -> None:
        """Write what can be written; called by the logging library when the process ends."""
        self.drain()

    def drain(self) -> None:
        """Write what the reader takes now."""
        if self.dropped > self._reported and self._waiting_room():
            count = self.dropped - self._reported
            self._reported = self.dropped
            self._waiting += f"event=log_lines_dropped count={count}\n".encode()
        while self._waiting:
            try:
                written = os.write(self._file_descriptor, self._next_piece())
            except BlockingIOError:
                self._request_drain()
                return
            except OSError:
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _next_piece(self) -> bytes:
        """Return whole lines that a pipe takes in one piece, beside those of other processes."""
        end = self._waiting.rfind(b"\n", 0, select.PIPE_BUF) + 1
        return bytes(self._waiting[: end or select.PIPE_BUF])

    def _may_take(self, length: int, is_detail: bool) -> bool:
        now = self._clock()
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._refilled_at = now
        least = RESERVED_LINES if is_detail else 1
        room = MAXIMUM_WAITING_BYTES - (RESERVED_BYTES if is_detail else 0)
        if self._allowance < least or len(self._waiting) + length > room:
            return False
        self._allowance -= 1
        return True

    def _waiting_room(self) -> bool:
        return len(self._waiting) < MAXIMUM_WAITING_BYTES // 2
